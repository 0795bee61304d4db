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
	// tellPath is the path at which a VM tells others what it has read.
	tellPath = "/changes"
	// askTimeout bounds a question to another VM: some round trips between zones and
	// the turn of a process that shares its processor.
	askTimeout = 500 * time.Millisecond
	// tellMost bounds an answer: the registrations of some ten thousand replicas.
	tellMost = 16 << 20
)

// handleTell tells another VM what changed.
func (e *Edge) handleTell(ctx *fasthttp.RequestCtx) {
	kind := string(ctx.QueryArgs().Peek("Kind"))
	since, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("Since")), 10, 64)
	if string(ctx.Path()) != tellPath || err != nil || !slices.Contains(kinds, kind) {
		ctx.Error("want "+tellPath+"?Kind=KIND&Since=VERSION", http.StatusBadRequest)
		return
	}
	s, ok := e.mirror.Since(kind, dandeliongap.Version(since))
	if !ok {
		ctx.Error("nothing of this kind was read yet", http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(s)
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	e.stats.add("Told")
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ask asks a VM for what changed since the follower's own state (W3).
func (f *follower) ask(addr string) (batch, error) {
	if addr == "" {
		return batch{}, fmt.Errorf("changes of %s: no VM to ask: %w", f.kind, dandeliongap.ErrUnreachable)
	}
	s, err := f.c.ask(addr, f.kind, f.since)
	if err != nil {
		f.c.e.stats.add("AskedInVain")
		f.c.e.log.event("not told").Str("Rule", "W3").Str("Kind", f.kind).Str("Address", addr).Uint64("Since", uint64(f.since)).Err(err).Send()
		return batch{}, err
	}
	f.c.e.stats.add("Asked")
	if len(s.Objects) > 0 {
		f.c.e.log.event("told").Str("Rule", "W3").Str("Kind", f.kind).Str("Address", addr).Uint64("Since", uint64(f.since)).
			Uint64("Version", uint64(s.Version)).Bool("Full", s.Full).Int("Objects", len(s.Objects)).Send()
	}
	return batch{kind: f.kind, told: true, full: s.Full, objects: s.Objects, version: s.Version}, nil
}

// ask sends one question to another VM.
func (c *control) ask(addr, kind string, since dandeliongap.Version) (dgwatch.State, error) {
	ctx, cancel := context.WithTimeout(c.ctx, askTimeout)
	defer cancel()
	t := dghttp.New(addr, 0, tellMost)
	defer t.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(addr)
	req.SetRequestURI(fmt.Sprintf("%s?Kind=%s&Since=%d", tellPath, url.QueryEscape(kind), since))
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

// tellFrom tells the follower which VMs have something newer.
func (f *follower) tellFrom(addrs []string) {
	f.from.Store(&addrs)
	f.push()
}

// sources returns the addresses of the VMs that have changes newer than the own.
func (c *control) sources(now dandeliongap.Instant, kind string) []string {
	var out []string
	for _, b := range c.presence.Others(now) {
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

// role returns what this VM does about the store.
func (c *control) role() dgwatch.Role { return dgwatch.Role(c.roleNow.Load()) }

// updateRole decides the role of this VM anew, and what is known of the store
// through the VMs that read it.
func (c *control) updateRole(now dandeliongap.Instant) {
	present := []dgwatch.Peer{{VM: c.e.opt.Settings.VM, Away: len(c.lostKind) > 0}}
	for _, b := range c.presence.Others(now) {
		present = append(present, dgwatch.Peer{VM: b.VM, Away: b.Away})
	}
	role := dgwatch.RoleOf(c.e.opt.Settings.VM, present)
	if old := c.role(); old != role {
		c.roleNow.Store(int32(role))
		c.e.log.event("role changed").Str("Rule", "W1").Stringer("From", old).Stringer("To", role).Int("Present", len(present)).Bool("Away", len(c.lostKind) > 0).Send()
	}
	away := role == dgwatch.Follows && dgwatch.StoreAway(present)
	switch {
	case away && !c.readersAway:
		c.catalog.Lost()
		c.e.log.event("store lost").Str("Rule", "W2").Str("Kind", "all, by the VMs that read").Send()
	case !away && c.readersAway:
		c.catalog.Regained(now)
		c.e.log.event("store regained").Str("Rule", "W2").Str("Kind", "all, by the VMs that read").Send()
	}
	c.readersAway = away
	if role == dgwatch.Follows && !away {
		c.heard = now
	}
}
