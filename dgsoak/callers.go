package dgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// directoryRefresh is the time for which a caller keeps an answer of the directory.
	directoryRefresh = 2 * time.Second
	directoryTimeout = time.Second
	// searchShare and fetchShare are the shares of the requests of these routes; the rest
	// are orders.
	searchShare, fetchShare = 0.6, 0.25
	// stickyArchiveShare is the share of the requests of sticky callers that go to the
	// archive, unless their account is hot: it is slow.
	stickyArchiveShare = 0.4
	// publicShare is the share of the orders that go to the public route instead, in
	// seeds with accounts.
	publicShare = 0.3
	// forgeShare is the share of the requests that state the name of an account.
	forgeShare = 0.3
)

// deadlines are the times that callers wait for responses.
var deadlines = map[dandeliongap.RouteName]time.Duration{
	routeSearch: 1200 * time.Millisecond, routeFetch: 1500 * time.Millisecond, routeOrder: 2 * time.Second,
	routeArchive: 5 * time.Second, routePublic: 1500 * time.Millisecond,
}

// callerState is one caller: it sends a request at a time.
type callerState struct {
	s         *soak
	number    int
	rng       *rand.Rand
	caller    Caller
	sticky    bool // uses a VM until its process is gone, whatever the directory says
	sent      int
	known     []*vm // VMs that the directory named and that have not failed since
	refreshAt dandeliongap.Instant
}

// run sends requests until the soak ends.
func (c *callerState) run(interval time.Duration) {
	defer func() { _ = c.caller.Close() }()
	for !c.s.callersDone() {
		begin := c.s.now()
		c.send()
		wait := time.Duration(c.rng.ExpFloat64()*float64(interval)/c.s.operator.speed(c.number, begin)) - c.s.now().Sub(begin)
		time.Sleep(max(0, wait))
	}
}

func (c *callerState) send() {
	if !c.sticky && c.s.now() >= c.refreshAt || len(c.known) == 0 {
		c.refresh()
	}
	if len(c.known) == 0 {
		return
	}
	if c.sticky {
		c.known = c.known[:1]
	}
	v := c.known[c.rng.IntN(len(c.known))]
	x := c.next()
	x.VM, x.Process, x.SentAt = v.name, v.current(), c.s.now()
	c.s.ledger.sent(x)
	r := c.caller.Send(v.entry.addr(), x.Request)
	c.s.ledger.answered(x.ID, c.s.now(), r)
	if r.Status == 0 {
		c.known = slices.DeleteFunc(slices.Clone(c.known), func(o *vm) bool { return o == v })
	}
}

// next returns the next request.
func (c *callerState) next() Exchange {
	c.sent++
	id := RequestID(fmt.Sprintf("r%d-%d", c.number, c.sent))
	name, method, body := routeOrder, "POST", fmt.Sprintf("order of %s", id)
	p := c.rng.Float64()
	switch {
	case c.sticky && c.rng.Float64() < stickyArchiveShare && c.s.operator.speed(c.number, c.s.now()) == 1:
		name, method, body = routeArchive, "GET", ""
	case p < searchShare:
		name, method, body = routeSearch, "GET", ""
	case p < searchShare+fetchShare:
		name, method, body = routeFetch, "GET", ""
	}
	key, forge := "", ForgeNothing
	if c.s.operator.hasAccounts() {
		key = c.s.operator.keyOf(c.number)
		if name == routeOrder && c.rng.Float64() < publicShare {
			name, method, body = routePublic, "GET", ""
		}
		if c.rng.Float64() < forgeShare {
			forge = 1 + Forge(c.rng.IntN(int(forges-1)))
		}
	}
	route := routeNamed(c.s.operator.newest(), name)
	return Exchange{
		Request: Request{
			ID: id, Method: method, Host: host, Path: fmt.Sprintf("%s%d", route.Prefix, c.sent), Body: body, Deadline: deadlines[name], Key: key, Forge: forge,
		},
		Route: route,
	}
}

// refresh asks VMs in random order for the VMs that accept callers, until one answers.
func (c *callerState) refresh() {
	for _, i := range c.rng.Perm(len(c.s.vms)) {
		ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
		addrs, err := c.s.opt.Platform.Directory(ctx, c.s.vms[i].ports.directory)
		cancel()
		if err != nil || len(addrs) == 0 {
			continue
		}
		c.known = nil
		for _, v := range c.s.vms {
			if slices.Contains(addrs, v.ports.entry) {
				c.known = append(c.known, v)
			}
		}
		c.rng.Shuffle(len(c.known), func(i, j int) { c.known[i], c.known[j] = c.known[j], c.known[i] })
		c.refreshAt = c.s.now().Add(directoryRefresh)
		return
	}
}
