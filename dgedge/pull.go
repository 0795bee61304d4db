package dgedge

import (
	"context"
	"encoding/json"
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
	// changesPath is the path at which a VM passes on what it has read.
	changesPath = "/changes"
	// pullTimeout bounds one pull: some round trips between zones and the turn of a
	// process that shares its processor.
	pullTimeout = 500 * time.Millisecond
	// changesMost bounds an answer: the registrations of some ten thousand replicas.
	changesMost = 16 << 20
)

// handleChanges passes changes on to another VM.
func (e *Edge) handleChanges(ctx *fasthttp.RequestCtx) {
	kind := string(ctx.QueryArgs().Peek("Kind"))
	since, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("Since")), 10, 64)
	if string(ctx.Path()) != changesPath || err != nil || !slices.Contains(kinds, kind) {
		ctx.Error("want "+changesPath+"?Kind=KIND&Since=VERSION", http.StatusBadRequest)
		return
	}
	s, ok := e.mirror.Since(kind, dandeliongap.Version(since))
	if !ok || !e.view.Load().ready { // what it has read may be old (F4)
		ctx.Error("not all control state is confirmed yet", http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(s)
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	e.stats.add("PullsServed")
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// pull gets what changed since the follower's own state from a VM, for a rule of
// dgwatch.
func (f *follower) pull(rule, addr string) (batch, error) {
	if addr == "" {
		return batch{}, fmt.Errorf("changes of %s: no VM to pull from: %w", f.kind, dandeliongap.ErrUnreachable)
	}
	s, err := f.c.pull(addr, f.kind, f.since)
	if err != nil {
		f.c.e.stats.add("PullsFailed")
		if addr != f.failedFrom { // repeated several times a second in an outage
			f.c.e.log.event("pull failed").Str("Rule", rule).Str("Kind", f.kind).Str("Address", addr).Uint64("Since", uint64(f.since)).Err(err).Send()
		}
		f.failedFrom = addr
		return batch{}, err
	}
	f.failedFrom = ""
	f.c.e.stats.add("Pulls")
	if len(s.Objects) > 0 {
		f.c.e.log.event("changes pulled").Str("Rule", rule).Str("Kind", f.kind).Str("Address", addr).Uint64("Since", uint64(f.since)).
			Uint64("Version", uint64(s.Version)).Bool("Full", s.Full).Int("Objects", len(s.Objects)).Send()
	}
	return batch{kind: f.kind, pulled: true, full: s.Full, objects: s.Objects, version: s.Version}, nil
}

// pull gets changes from the VM at an address.
func (c *control) pull(addr, kind string, since dandeliongap.Version) (dgwatch.State, error) {
	ctx, cancel := context.WithTimeout(c.ctx, pullTimeout)
	defer cancel()
	t := dghttp.New(addr, 0, changesMost)
	defer t.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(addr)
	req.SetRequestURI(fmt.Sprintf("%s?Kind=%s&Since=%d", changesPath, url.QueryEscape(kind), since))
	end, _ := ctx.Deadline()
	if _, err := t.Do(ctx, req, resp, end); err != nil {
		return dgwatch.State{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return dgwatch.State{}, fmt.Errorf("VM at %s: status %d: %w", addr, resp.StatusCode(), dandeliongap.ErrUnreachable)
	}
	var s dgwatch.State
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return dgwatch.State{}, fmt.Errorf("VM at %s: %w: %w", addr, dandeliongap.ErrInvalid, err)
	}
	return s, nil
}

// source returns the address of a VM that has newer changes; "" if there is none.
func (f *follower) source() string {
	from := f.from.Load()
	if from == nil || len(*from) == 0 {
		return ""
	}
	return (*from)[rand.IntN(len(*from))]
}

// setSources hands the follower the addresses of VMs that have something newer.
func (f *follower) setSources(addrs []string) {
	f.from.Store(&addrs)
	f.push()
}

// sources returns the addresses of the VMs that have changes newer than the own.
func (c *control) sources(now dandeliongap.Instant, kind string) []string {
	var out []string
	for _, b := range c.presence.PeerHeartbeats(now) {
		if m, ok := c.members[b.VM]; ok && b.Seen[kind] > c.complete[kind] {
			out = append(out, m.Gossip)
		}
	}
	return out
}

// heardFrom returns the address of the VM that was heard last; "" if there is none.
func (c *control) heardFrom() string {
	if a := c.lastHeard.Load(); a != nil {
		return *a
	}
	return ""
}
