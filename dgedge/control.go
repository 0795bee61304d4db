package dgedge

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgcatalog"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgroute"
	"dandeliongap.example/dandeliongap/dgwatch"
	"github.com/sourcegraph/conc"
)

// storeStaleAfter is the age of the store's last answer at which a VM may have
// missed a configuration: a watch ends sooner than that.
const storeStaleAfter = waitMost + 5*time.Second

// beatsQueue is the number of datagrams that may wait for the control goroutine;
// the next beats make up for those that are dropped.
const beatsQueue = 64

// batch is what one answer of the store or of another VM brought, or that it brought
// none.
type batch struct {
	kind        string
	full        bool // the whole collection
	unconfirmed bool // may be older than the call (F4)
	pulled      bool // by another VM, not by the store
	cut         bool // the watch was cut short by a hint
	objects     []dandeliongap.Object
	version     dandeliongap.Version
	err         error
}

// control owns the control state of a VM.
type control struct {
	e       *Edge
	batches chan batch
	beats   chan []dgpresence.Heartbeat
	poked   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	udp    *net.UDPConn
	packer packer
	rng    *rand.Rand // of the control goroutine

	table    *dgroute.Table
	catalog  *dgcatalog.Catalog
	known    map[string]bool // kinds that were listed
	zonesOut map[dandeliongap.ZoneName]bool
	members  map[dandeliongap.VMName]dandeliongap.EdgeMember
	versions map[dandeliongap.VMName]dandeliongap.Version
	presence *dgpresence.View
	since    map[dandeliongap.VMName]dandeliongap.Instant // first seen in the registry
	heard    dandeliongap.Instant                         // last answer of the store
	lostKind map[string]bool                              // kinds whose last call failed
	recheck  dandeliongap.Instant                         // next expiry in the catalog
	shared   []dandeliongap.VMName                        // VMs that share the connections

	followers map[string]*follower
	seen      map[string]dandeliongap.Version // newest change of a kind that is in force here
	complete  map[string]dandeliongap.Version // all changes of a kind up to here are in force
	others    map[string]dandeliongap.Version // newest change that another VM has
	behind    map[string]dandeliongap.Instant // since when others have more
	present   atomic.Int64                    // other VMs that are alive
	roleNow   atomic.Int32                    // a dgwatch.Role
	lastHeard atomic.Pointer[string]          // address that the last beats came from
	// readersFailing: this VM does not read the store, and those that do say that their
	// calls fail.
	readersFailing bool
	careful        atomic.Int64 // instant until which watches wait shortly
	settling       atomic.Int64 // instant until which lapsed registrations come back

	backMu sync.Mutex
	back   chan struct{} // closed when the store has answered

	regMu      sync.Mutex
	registered bool
}

func newControl(e *Edge) *control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{
		e: e, ctx: ctx, cancel: cancel,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		batches:  make(chan batch),
		beats:    make(chan []dgpresence.Heartbeat, beatsQueue),
		poked:    make(chan struct{}, 1),
		catalog:  dgcatalog.New(),
		known:    make(map[string]bool),
		zonesOut: make(map[dandeliongap.ZoneName]bool),
		members:  make(map[dandeliongap.VMName]dandeliongap.EdgeMember),
		versions: make(map[dandeliongap.VMName]dandeliongap.Version),
		presence: dgpresence.New(e.opt.Settings.VM, e.boot),
		since:    make(map[dandeliongap.VMName]dandeliongap.Instant),
		lostKind: make(map[string]bool),

		followers: make(map[string]*follower),
		seen:      make(map[string]dandeliongap.Version),
		complete:  make(map[string]dandeliongap.Version),
		others:    make(map[string]dandeliongap.Version),
		behind:    make(map[string]dandeliongap.Instant),
		back:      make(chan struct{}),
	}
	c.listenGossip()
	return c
}

// kinds are the collections that a VM follows.
var kinds = []string{dandeliongap.KindRoutes, dandeliongap.KindInstances, dandeliongap.KindZonesOut, dandeliongap.KindMembers}

// run owns the control state until the edge stops.
func (c *control) run() {
	for _, kind := range kinds {
		f := &follower{c: c, kind: kind, hint: make(chan struct{}, 1)}
		c.followers[kind] = f
		c.wg.Go(f.run)
	}
	c.wg.Go(c.register)
	tick := time.NewTicker(dgpresence.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.wg.Wait()
			return
		case b := <-c.batches:
			c.apply(b)
		case beats := <-c.beats:
			c.hearBeats(beats)
		case <-c.poked:
			c.publish()
			c.beat()
		case <-tick.C:
			c.tick()
		}
	}
}

func (c *control) close() {
	c.cancel()
	if c.udp != nil {
		_ = c.udp.Close()
	}
}

// poke makes the control goroutine publish a change of the process's own state.
func (c *control) poke() {
	select {
	case c.poked <- struct{}{}:
	default:
	}
}

// apply takes in an answer of the store or of another VM.
func (c *control) apply(b batch) {
	now := c.e.now()
	if b.err != nil {
		c.storeLost(b)
		return
	}
	if !b.pulled {
		c.storeRegained(now, b.kind)
	}
	c.e.mirror.Apply(b.kind, dgwatch.State{Full: b.full, Version: b.version, Objects: b.objects})
	switch b.kind {
	case dandeliongap.KindRoutes:
		for _, o := range b.objects {
			c.applyRoutes(o)
		}
	case dandeliongap.KindInstances:
		c.applyInstances(now, b)
	case dandeliongap.KindZonesOut:
		c.applyZones(b)
	case dandeliongap.KindMembers:
		c.applyMembers(now, b)
	}
	first := !c.known[b.kind] && !b.unconfirmed
	c.known[b.kind] = c.known[b.kind] || first
	c.note(b)
	if first || b.full || len(b.objects) > 0 {
		c.refresh()
	}
}

// note records up to where the changes are in, and the newest one for the other VMs
// (F2). The store's own version is not for them: it rises with every kind.
func (c *control) note(b batch) {
	c.complete[b.kind] = max(c.complete[b.kind], b.version)
	for _, o := range b.objects {
		c.seen[b.kind] = max(c.seen[b.kind], o.Version)
	}
}

// hearBeats takes in the beats of a datagram.
func (c *control) hearBeats(beats []dgpresence.Heartbeat) {
	now := c.e.now()
	c.presence.Merge(now, beats)
	for _, b := range beats {
		for kind, v := range b.Seen {
			c.others[kind] = max(c.others[kind], v)
		}
	}
	c.catchUp(now)
}

// catchUp makes a follower look when other VMs are ahead: at once if it does not
// read the store, else when they have been for longer than a change takes to arrive
// here (F2).
func (c *control) catchUp(now dandeliongap.Instant) {
	for kind, f := range c.followers {
		switch {
		case c.others[kind] <= c.complete[kind] || !c.known[kind]:
			delete(c.behind, kind)
		case c.behind[kind] == 0:
			c.behind[kind] = now
			if c.role() == dgwatch.Reader && len(c.lostKind) == 0 {
				continue
			}
			f.setSources(c.sources(now, kind))
		case now.Sub(c.behind[kind]) > behindMost:
			c.behind[kind] = now
			c.e.log.event("behind").Str("Rule", "F2").Str("Kind", kind).Uint64("Complete", uint64(c.complete[kind])).Uint64("Others", uint64(c.others[kind])).Send()
			f.setSources(c.sources(now, kind))
		}
	}
}

// behindMost is above the time between two answers of a watch that brings news.
const behindMost = 450 * time.Millisecond

func (c *control) storeLost(b batch) {
	c.catalog.StoreUnavailable()
	if !c.lostKind[b.kind] {
		c.e.log.event("store lost").Str("Kind", b.kind).Dur("Age", c.e.now().Sub(c.heard)).Err(b.err).Send()
	}
	c.lostKind[b.kind] = true
	c.careful.Store(int64(c.e.now().Add(waitCareful)))
}

func (c *control) storeRegained(now dandeliongap.Instant, kind string) {
	c.catalog.StoreAvailable(now)
	if c.lostKind[kind] {
		c.e.log.event("store regained").Str("Kind", kind).Dur("Age", now.Sub(c.heard)).Send()
		c.settling.Store(int64(now.Add(settleFor)))
	}
	delete(c.lostKind, kind)
	c.heard = now
}

// refresh gives the control state to the decisions of requests.
func (c *control) refresh() {
	e, now := c.e, c.e.now()
	_, c.recheck = c.catalog.Expire(now)
	list := c.catalog.Instances(now)
	c.shared = c.sharing(now)
	limits := map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{}
	if c.table != nil {
		limits = c.table.Config.Services
	}
	ids := make(map[dandeliongap.InstanceID]bool, len(list))
	for _, in := range list {
		ids[in.ID] = true
	}
	e.mu.Lock()
	e.bal.Update(now, list, limits, c.zonesOut, c.shared)
	e.budget.SetMembers(now, len(c.members))
	e.mu.Unlock()
	e.forward.Retain(ids)
	c.publish()
}

// publish replaces the view of requests.
func (c *control) publish() {
	e, now := c.e, c.e.now()
	v := &view{table: c.table}
	v.ready = c.table != nil
	for _, kind := range kinds {
		v.ready = v.ready && c.known[kind]
	}
	v.stale = c.lostKind[dandeliongap.KindRoutes] || c.readersFailing || now.Sub(c.heard) > storeStaleAfter
	if v.ready && !e.leaving.Load() {
		v.names = append(v.names, e.opt.Settings.EntryListen)
	}
	present := int64(0)
	for vm, m := range c.members {
		alive, serving := c.presence.Present(now, vm)
		if serving {
			v.names = append(v.names, m.Entry)
		}
		if alive {
			present++
		}
	}
	c.present.Store(present)
	slices.Sort(v.names)
	if old := e.view.Load(); old.ready != v.ready || !slices.Equal(old.names, v.names) {
		e.log.event("directory changed").Bool("Ready", v.ready).Strs("Names", v.names).Send()
	}
	e.view.Store(v)
}

// tick sends the own beat and looks at what only time changes.
func (c *control) tick() {
	now := c.e.now()
	c.updateRole(now)
	c.beat()
	c.catchUp(now)
	if c.recheck > 0 && now >= c.recheck || !slices.Equal(c.shared, c.sharing(now)) {
		c.refresh()
	} else {
		c.publish()
	}
	c.forget(now)
	c.e.log.report()
}
