package dgedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dghttp"
	"dandeliongap.example/dandeliongap/dgwatch"
	"github.com/valyala/fasthttp"
)

const (
	// changesPath is the path at which a VM serves its control state to other VMs.
	changesPath = "/changes"
	// pullTimeout limits one pull. It allows for several round trips between availability
	// zones and for the scheduling delay of a process that shares its CPU.
	pullTimeout = 500 * time.Millisecond
	// maxChangesBytes limits the body of an answer. It is enough for the registrations of
	// about ten thousand replicas.
	maxChangesBytes = 16 << 20
)

// errNoState means that this VM does not have the state that another VM asks for.
var errNoState = errors.New("no such state")

// handleChanges serves changes of the control state to another VM.
func (e *Edge) handleChanges(ctx *fasthttp.RequestCtx) {
	kind := string(ctx.QueryArgs().Peek("Kind"))
	since, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("Since")), 10, 64)
	eras := ctx.QueryArgs().GetBool("Eras")
	if string(ctx.Path()) != changesPath || err != nil || !slices.Contains(e.kinds(), kind) {
		ctx.Error("want "+changesPath+"?Kind=KIND&Since=VERSION", http.StatusBadRequest)
		return
	}
	packed := ctx.QueryArgs().GetBool("Packed")
	out, err := e.answers.encode(kind, dandeliongap.Version(since), packed, func() (dgwatch.State, error) { return e.stateSince(ctx.QueryArgs(), kind, since, eras) })
	if errors.Is(err, errNoState) {
		ctx.Error(err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	e.stats.add("PullsServed")
	ctx.SetContentType("application/json") // for VMs of earlier versions
	if packed {
		ctx.SetContentType(packedType)
	}
	e.answers.deliver(ctx, out)
}

// stateSince returns the state that another VM asks for. Its error wraps errNoState if this
// VM does not have it.
func (e *Edge) stateSince(query *fasthttp.Args, kind string, since uint64, eras bool) (dgwatch.State, error) {
	s, ok := e.mirror.Since(kind, dandeliongap.Version(since))
	if !eras { // a VM of an earlier version (dgwatch W7)
		s, ok = e.mirror.SinceRevision(kind, since)
	}
	if !ok || !e.view.Load().ready { // state that is not confirmed may be outdated (F4)
		return s, fmt.Errorf("not all control state is confirmed yet: %w", errNoState)
	}
	if kind == dandeliongap.KindRoutes && len(s.Objects) > 0 && e.sharesHashes.Load() && !query.GetBool("Hashes") {
		// A VM of an earlier version would find accounts without keys and refuse all callers.
		// It reads the store instead.
		return s, fmt.Errorf("this configuration has hashes of keys: %w", errNoState)
	}
	if above, err := query.GetUint("AboveNumber"); err == nil && e.view.Load().table.Config.Number <= uint64(above) {
		s.Full, s.Objects = false, nil // the other VM has this configuration (dgrestore E4)
	}
	return s, nil
}

// pull fetches the changes since f.since from the VM at addr. The log names rule, the
// rule of dgwatch that requires the pull.
func (f *follower) pull(rule, addr string) (batch, error) {
	if addr == "" {
		return batch{}, fmt.Errorf("changes of %s: no VM to pull from: %w", f.kind, dandeliongap.ErrUnreachable)
	}
	s, err := f.c.fetchChanges(addr, f.kind, f.since, "")
	if err == nil && !s.Follows(f.newest) {
		err = fmt.Errorf("%w: version %d of VM at %s does not follow %d", dandeliongap.ErrConflict, s.Version, addr, f.newest)
	}
	if err != nil {
		f.c.e.stats.add("PullsFailed")
		if addr != f.failedSource { // not repeated for the same address, as an outage causes several failures a second
			f.c.e.log.event("pull failed").Str("Rule", rule).Str("Kind", f.kind).Str("Address", addr).Uint64("Since", uint64(f.since)).Err(err).Send()
		}
		f.failedSource = addr
		return batch{}, err
	}
	f.failedSource = ""
	f.c.e.stats.add("Pulls")
	if len(s.Objects) > 0 {
		f.c.e.log.event("changes pulled").Str("Rule", rule).Str("Kind", f.kind).Str("Address", addr).Uint64("Since", uint64(f.since)).
			Uint64("Version", uint64(s.Version)).Bool("Full", s.Full).Int("Objects", len(s.Objects)).Send()
	}
	return batch{kind: f.kind, fromVM: true, full: s.Full, objects: s.Objects, version: s.Version}, nil
}

// fetchChanges fetches the changes of a kind since a version from the VM at addr. query is
// added to the query of the request.
func (c *control) fetchChanges(addr, kind string, since dandeliongap.Version, query string) (dgwatch.State, error) {
	ctx, cancel := context.WithTimeout(c.ctx, pullTimeout)
	defer cancel()
	transport := dghttp.New(addr, 0, maxChangesBytes)
	defer transport.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(addr)
	req.SetRequestURI(fmt.Sprintf("%s?Kind=%s&Since=%d&Packed=1&Eras=1&Hashes=1%s", changesPath, url.QueryEscape(kind), since, query))
	deadline, _ := ctx.Deadline()
	if _, err := transport.Do(ctx, req, resp, deadline); err != nil {
		return dgwatch.State{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return dgwatch.State{}, fmt.Errorf("VM at %s: status %d: %w", addr, resp.StatusCode(), dandeliongap.ErrUnreachable)
	}
	var s dgwatch.State
	var err error
	if string(resp.Header.ContentType()) == packedType {
		s, err = unpackState(resp.Body())
	} else {
		err = json.Unmarshal(resp.Body(), &s)
	}
	if err != nil {
		return dgwatch.State{}, fmt.Errorf("VM at %s: %w: %w", addr, dandeliongap.ErrInvalid, err)
	}
	if kind != dandeliongap.KindRoutes {
		return s, nil
	}
	for _, o := range s.Objects {
		// A VM of an earlier version passes on keys. Its state is not taken, so that this VM
		// reads the store instead.
		if _, err := c.e.opt.Store.DecodeSharedRoutes(o); errors.Is(err, dandeliongap.ErrHasKeys) {
			return dgwatch.State{}, fmt.Errorf("VM at %s: %w", addr, err)
		}
	}
	return s, nil
}

// randomSource returns the address of one of the VMs that have newer changes, or "" if
// there is none.
func (f *follower) randomSource() string {
	addrs := f.sourceAddrs.Load()
	if addrs == nil || len(*addrs) == 0 {
		return ""
	}
	return (*addrs)[rand.IntN(len(*addrs))]
}

// setSources sets the addresses of the VMs that have newer changes, up to the version newest,
// and sends f a hint.
func (f *follower) setSources(addrs []string, newest dandeliongap.Version) {
	f.sourceEra.Store(uint64(newest.Era()))
	f.sourceAddrs.Store(&addrs)
	f.sendHint()
}

// newerSources returns the gossip addresses of the hubs that have newer changes of a
// kind than this VM: of those in its own availability zone if there are any, because
// traffic between zones costs money.
func (c *control) newerSources(now dandeliongap.Instant, kind string) []string {
	var near, far []string
	for _, hb := range c.presence.Hubs(now) {
		m, ok := c.members[hb.VM]
		switch {
		case !ok || hb.Seen[kind] <= c.completeUpTo[kind]:
		case m.Zone == c.e.opt.Settings.Zone:
			near = append(near, m.Gossip)
		default:
			far = append(far, m.Gossip)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// lastSenderAddr returns the address of the VM that sent the last heartbeats, or "" if
// none has arrived.
func (c *control) lastSenderAddr() string {
	if a := c.lastSender.Load(); a != nil {
		return *a
	}
	return ""
}

const (
	// routesQuestionInterval is the time between two questions to a hub for its
	// configuration (dgrestore E4).
	routesQuestionInterval = time.Second
	// routesQuestionPeriod is the time since the start of the process after which a VM asks
	// no more. The writers of a restored store have written again by then.
	routesQuestionPeriod = 20 * time.Second
)

// askRoutes asks a hub that serves for its configuration if this VM has started recently and
// read its own from a store with eras (dgrestore E4). The hub responds only with one of a
// higher number.
func (c *control) askRoutes(now dandeliongap.Instant) {
	hub := c.servingHub.Load()
	if c.routesAsked || c.era == 0 || c.table == nil || hub == nil || now < c.askRoutesAt || now > dandeliongap.Instant(routesQuestionPeriod) {
		return
	}
	c.askRoutesAt = now.Add(routesQuestionInterval)
	query := fmt.Sprintf("&AboveNumber=%d", c.inForce.Number())
	c.wg.Go(func() {
		s, err := c.fetchChanges(*hub, dandeliongap.KindRoutes, 0, query)
		if err != nil {
			c.e.stats.add("PullsFailed")
			return
		}
		select {
		case c.batches <- batch{kind: dandeliongap.KindRoutes, fromVM: true, offer: true, objects: s.Objects}:
		case <-c.ctx.Done():
		}
	})
}
