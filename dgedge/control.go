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
	"dandeliongap.example/dandeliongap/dgaccount"
	"dandeliongap.example/dandeliongap/dgcatalog"
	"dandeliongap.example/dandeliongap/dgpresence"
	"dandeliongap.example/dandeliongap/dgrestore"
	"dandeliongap.example/dandeliongap/dgroster"
	"dandeliongap.example/dandeliongap/dgroute"
	"dandeliongap.example/dandeliongap/dgwatch"
	"github.com/sourcegraph/conc"
)

// storeStaleAfter is the age of the store's last answer above which the VM may have
// missed a configuration. Every watch waits for less than that (see watchWait).
const storeStaleAfter = maxWatchWait + 5*time.Second

// heartbeatQueueSize is the number of datagrams queued for the control goroutine.
// While the queue is full, incoming datagrams are dropped; later heartbeats make up for
// them.
const heartbeatQueueSize = 64

// batch is the content of an answer of the store or of another VM, or the error of a
// call that failed.
type batch struct {
	kind        string
	full        bool // objects holds the whole collection, not only changes
	unconfirmed bool // may be some seconds older than the call (F4)
	fromVM      bool // pulled from another VM, not read from the store
	interrupted bool // a hint canceled the watch; there is no answer
	cutOff      bool // the store cut off the watch; there is no answer (F6)
	offer       bool // the configuration in force of another VM (dgrestore E4)
	objects     []dandeliongap.Object
	version     dandeliongap.Version // the batch contains all changes up to here
	err         error
}

// control maintains the control state of a VM. Mutable fields without a lock or an
// atomic type belong to the control goroutine, which executes run.
type control struct {
	e               *Edge
	batches         chan batch
	heartbeats      chan gossip
	queuedBytes     atomic.Int64  // size of what is in heartbeats
	publishRequests chan struct{} // see requestPublish
	ctx             context.Context
	cancel          context.CancelFunc
	wg              conc.WaitGroup

	udp    *net.UDPConn
	packer packer
	rng    *rand.Rand

	table           *dgroute.Table
	accounts        *dgaccount.Book     // of table
	inForce         dgrestore.Config    // identity of the configuration of table
	routes          dandeliongap.Object // object of the configuration of table, as it is passed on
	catalog         *dgcatalog.Catalog
	confirmed       map[string]bool // kinds whose whole state is known, no older than the start of the VM (F4)
	zonesOut        dgrestore.Zones
	members         map[dandeliongap.VMName]dandeliongap.EdgeMember
	memberVersions  map[dandeliongap.VMName]dandeliongap.Version
	presence        *dgpresence.View
	memberSince     map[dandeliongap.VMName]dandeliongap.Instant // when the registration was first seen
	lastStoreAnswer dandeliongap.Instant                         // last answer of the store; while this VM pulls: last time that not all readers failed
	failingKinds    map[string]bool                              // kinds whose last call to the store failed
	nextExpiry      dandeliongap.Instant                         // next expiry in the catalog; 0: none
	sharers         []dandeliongap.VMName                        // VMs among which the connections to replicas are divided

	roster      dgroster.Roster
	near        dgroster.Nearness
	onRoster    []dandeliongap.VMName // VMs that serve callers
	hubs        []dandeliongap.VMName
	questions   int                   // number of questions to hubs so far
	ticks       int                   // number of heartbeat intervals so far
	memberCount int                   // number of registered VMs, this one included
	nominal     []dandeliongap.VMName // VMs that would be on the roster if all were present
	rate        float64               // attempts per second that this VM starts
	rateStarted int64                 // attempts started up to rateAt
	rateAt      dandeliongap.Instant

	era         dandeliongap.Era     // of the newest state of any kind; 0: the store has no eras
	keptMembers dgrestore.Members    // members that stay although the store does not list them
	askRoutesAt dandeliongap.Instant // time of the next question to a hub for its configuration (dgrestore E4)
	routesAsked bool                 // a hub has answered that question

	followers     map[string]*follower
	newestApplied map[string]dandeliongap.Version // by kind: version of the newest applied change
	completeUpTo  map[string]dandeliongap.Version // by kind: all changes up to this version are applied
	behindSince   map[string]dandeliongap.Instant // by kind: when another VM was found to have a newer change, or when the last hint was sent
	presentOthers atomic.Int64                    // number of other hubs that are alive
	currentRole   atomic.Int32                    // a dgwatch.Role
	rolloutRole   atomic.Int32                    // that for rolloutKinds (dgwatch W8)
	lastSender    atomic.Pointer[string]          // address that sent the last heartbeats
	// readersFailing is set while this VM pulls changes and all of the first
	// dgwatch.ReaderCount VMs report that their calls to the store fail (dgwatch W2).
	readersFailing  bool
	shortWaitsUntil atomic.Int64 // Instant until which watches use baseWatchWait
	rollouts        rolloutControl
	settlingUntil   atomic.Int64 // Instant at which settlePeriod ends after an outage

	membersKnown chan struct{} // closed when the registered VMs were listed first
	membersOnce  sync.Once
	standby      atomic.Bool            // this VM is not a hub
	servingHub   atomic.Pointer[string] // gossip address of a hub that serves; nil: none is known

	answeredMu sync.Mutex
	answered   chan struct{} // closed and replaced when the store answers

	regMu      sync.Mutex
	registered bool // the registration of this process is in the store
}

func newControl(e *Edge) *control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{
		e: e, ctx: ctx, cancel: cancel,
		rng:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		batches:         make(chan batch),
		heartbeats:      make(chan gossip, heartbeatQueueSize),
		publishRequests: make(chan struct{}, 1),
		catalog:         dgcatalog.New(),
		confirmed:       make(map[string]bool),
		members:         make(map[dandeliongap.VMName]dandeliongap.EdgeMember),
		memberVersions:  make(map[dandeliongap.VMName]dandeliongap.Version),
		presence:        dgpresence.New(e.opt.Settings.VM, e.boot),
		memberSince:     make(map[dandeliongap.VMName]dandeliongap.Instant),
		failingKinds:    make(map[string]bool),

		followers:     make(map[string]*follower),
		newestApplied: make(map[string]dandeliongap.Version),
		completeUpTo:  make(map[string]dandeliongap.Version),
		behindSince:   make(map[string]dandeliongap.Instant),
		answered:      make(chan struct{}),
		membersKnown:  make(chan struct{}),
	}
	e.quotas.send = c.sendDatagram
	c.listenGossip()
	return c
}

// kinds are the kinds of control state that a VM follows.
var kinds = []string{dandeliongap.KindRoutes, dandeliongap.KindInstances, dandeliongap.KindZonesOut, dandeliongap.KindMembers}

// run executes the control goroutine and starts the followers. It returns after close,
// when they have ended.
func (c *control) run() {
	for _, kind := range c.e.kinds() {
		f := &follower{c: c, kind: kind, hint: make(chan struct{}, 1)}
		c.followers[kind] = f
		c.wg.Go(f.run)
	}
	c.wg.Go(c.keepRegistered)
	tick := time.NewTicker(dgpresence.HeartbeatInterval)
	defer tick.Stop()
	expiry := time.NewTimer(0)
	defer expiry.Stop()
	for {
		expiry.Stop()
		if c.nextExpiry > 0 {
			expiry.Reset(c.nextExpiry.Sub(c.e.now()))
		}
		select {
		case <-c.ctx.Done():
			c.wg.Wait()
			return
		case b := <-c.batches:
			c.apply(b)
		case heartbeats := <-c.heartbeats:
			c.queuedBytes.Add(-heartbeats.size)
			c.applyHeartbeats(heartbeats)
		case <-c.publishRequests:
			c.updateRoster(c.e.now())
			c.publish()
			c.sendHeartbeats()
		case <-tick.C:
			c.tick()
		case <-expiry.C:
			c.propagate()
		}
	}
}

func (c *control) close() {
	c.cancel()
	if c.udp != nil {
		_ = c.udp.Close()
	}
}

// requestPublish makes the control goroutine publish a new view and send heartbeats,
// after a change of the state of this process.
func (c *control) requestPublish() {
	select {
	case c.publishRequests <- struct{}{}:
	default:
	}
}

// apply applies an answer of the store or of another VM, or records that a call to the
// store failed.
func (c *control) apply(b batch) {
	now := c.e.now()
	if b.err != nil {
		c.storeFailed(b)
		return
	}
	if b.cutOff {
		c.catalog.StoreUnavailable()
		c.e.stats.add("WatchesCutOff")
		return
	}
	b.objects = c.named(b)
	if b.offer {
		c.routesAsked = true
		c.offerRoutes(b.objects)
		return
	}
	if !b.fromVM {
		c.storeAnswered(now, b.kind)
	}
	c.beginEra(now, b)
	state := dgwatch.State{Full: b.full, Version: b.version, Objects: b.objects}
	if b.kind == dandeliongap.KindRoutes {
		state = c.applyRouteState(state, b.fromVM)
	}
	c.e.mirror.Apply(b.kind, state)
	switch b.kind {
	case dandeliongap.KindInstances:
		c.applyInstances(now, b)
	case dandeliongap.KindZonesOut:
		c.applyZones(now, b)
	case dandeliongap.KindMembers:
		c.applyMembers(now, b)
	case dandeliongap.KindRollouts:
		c.applyRollouts(now, b)
	case dandeliongap.KindRolloutStates:
		c.applyRolloutStates(now, b)
	}
	first := !c.confirmed[b.kind] && !b.unconfirmed
	c.confirmed[b.kind] = c.confirmed[b.kind] || first
	c.recordVersions(b)
	if first || b.full || len(b.objects) > 0 {
		wasReady := c.e.view.Load().ready
		c.propagate()
		if c.e.view.Load().ready && !wasReady {
			c.requestPublish() // the others need not wait for the next tick
		}
	}
	if b.kind == dandeliongap.KindMembers {
		c.membersOnce.Do(func() { close(c.membersKnown) })
	}
}

// named returns the objects of a batch that have a valid name. Another writer may leave others in
// the store, which name nothing that could be used. Every object that this VM uses or passes on
// goes through here, whether the store or another VM sent it.
func (c *control) named(b batch) []dandeliongap.Object {
	return slices.DeleteFunc(slices.Clone(b.objects), func(o dandeliongap.Object) bool {
		name := baseName(o.Name)
		err := dandeliongap.CheckName(name)
		if err != nil && !o.Deleted {
			c.e.log.event("object without a valid name").Str("Kind", b.kind).Str("Name", clip(name)).Uint64("Version", uint64(o.Version)).Str("Error", clip(err.Error())).Send()
		}
		return err != nil
	})
}

// beginEra prepares the state of the kind of a batch for the first list of a new era of the
// store.
func (c *control) beginEra(now dandeliongap.Instant, b batch) {
	era, last := b.version.Era(), c.completeUpTo[b.kind]
	c.era = max(c.era, era)
	if !b.full || last == 0 || era <= last.Era() {
		return
	}
	c.e.stats.add("RestoredLists")
	c.e.log.event("store restored").Str("Rule", "W6").Str("Kind", b.kind).Uint64("Era", uint64(era)).Uint64("Last", uint64(last)).
		Uint64("Version", uint64(b.version)).Bool("FromVM", b.fromVM).Int("Objects", len(b.objects)).Send()
	switch b.kind {
	case dandeliongap.KindInstances:
		c.catalog.BeginEra(now, b.version)
	case dandeliongap.KindZonesOut:
		c.zonesOut.BeginEra(now)
	case dandeliongap.KindMembers:
		c.keptMembers.BeginEra(now)
	}
}

// recordVersions records two versions for the kind of the batch: the one up to which all
// changes are applied, and that of the newest applied change. Heartbeats report only the
// second to other VMs (F2). The first increases with changes of every kind, and would
// make the other VMs look for changes of this kind that do not exist.
func (c *control) recordVersions(b batch) {
	c.completeUpTo[b.kind] = max(c.completeUpTo[b.kind], b.version)
	newest := dgwatch.State{Full: b.full, Version: b.version, Objects: b.objects}.Newest()
	if newest > c.newestApplied[b.kind] {
		c.newestApplied[b.kind] = newest
	}
}

// applyHeartbeats applies the content of a datagram and replies to it.
func (c *control) applyHeartbeats(g gossip) {
	now := c.e.now()
	if g.short == nil {
		c.presence.Merge(now, g.long)
	} else {
		replies, long := c.presence.Receive(now, *g.short)
		eras := c.knowsEras(g.short.Process)
		if !eras {
			long = dgpresence.WithoutEras(long)
		}
		for _, m := range replies {
			if !eras {
				m = m.WithoutEras()
			}
			if g.extended && c.e.rollouts != nil {
				c.sendDatagram(encodeExtended(m), g.from)
			} else {
				c.sendDatagram(encodeShort(m), g.from)
			}
		}
		if len(long) > 0 {
			c.sendDatagram(c.pack(long), g.from)
		}
	}
	c.hintFollowers(now)
	c.applyReports(g)
}

// hintFollowers sends a hint to the followers of kinds of which other VMs have newer
// changes (F2). A VM that reads the store and whose calls succeed usually gets the
// change from its own watch, so its followers get the hint only after maxBehind. On all
// other VMs they get it immediately. It is repeated after each further maxBehind.
func (c *control) hintFollowers(now dandeliongap.Instant) {
	for kind, f := range c.followers {
		newest := c.presence.Newest(kind)
		switch {
		case newest <= c.completeUpTo[kind] || !c.confirmed[kind]:
			delete(c.behindSince, kind)
		case c.behindSince[kind] == 0:
			c.behindSince[kind] = now
			if c.roleFor(kind) == dgwatch.Reader && len(c.failingKinds) == 0 {
				continue
			}
			f.setSources(c.newerSources(now, kind), newest)
		case now.Sub(c.behindSince[kind]) > maxBehind:
			c.behindSince[kind] = now
			c.e.log.event("behind").Str("Rule", "F2").Str("Kind", kind).Uint64("Complete", uint64(c.completeUpTo[kind])).Uint64("Others", uint64(newest)).Send()
			f.setSources(c.newerSources(now, kind), newest)
		}
	}
}

// maxBehind is how long a VM that reads the store may lack a change that another VM
// has before its follower gets a hint. It is not below batchDelay, the wait between two
// watches while changes arrive, so that this wait alone causes no hint.
const maxBehind = 450 * time.Millisecond

func (c *control) storeFailed(b batch) {
	c.catalog.StoreUnavailable()
	if !c.failingKinds[b.kind] {
		c.e.log.event("store lost").Str("Kind", b.kind).Dur("Age", c.e.now().Sub(c.lastStoreAnswer)).Err(b.err).Send()
	}
	c.failingKinds[b.kind] = true
	if b.kind == dandeliongap.KindRoutes {
		c.publish() // from now on an unknown route is refused temporarily (dgadmit A2)
	}
	c.shortWaitsUntil.Store(int64(c.e.now().Add(shortWaitPeriod)))
}

func (c *control) storeAnswered(now dandeliongap.Instant, kind string) {
	c.catalog.StoreAvailable(now)
	if c.failingKinds[kind] {
		c.e.log.event("store regained").Str("Kind", kind).Dur("Age", now.Sub(c.lastStoreAnswer)).Send()
		c.settlingUntil.Store(int64(now.Add(settlePeriod)))
	}
	delete(c.failingKinds, kind)
	c.lastStoreAnswer = now
	c.storeAnsweredRollouts(now, kind)
}

// propagate passes the control state to the balancer, the budget and the connection
// pools, and publishes a new view.
func (c *control) propagate() {
	e, now := c.e, c.e.now()
	_, c.nextExpiry = c.catalog.Expire(now)
	returned, next := c.zonesOut.Expire(now)
	if next > 0 && (c.nextExpiry == 0 || next < c.nextExpiry) {
		c.nextExpiry = next
	}
	for _, z := range returned {
		e.log.event("zone returned").Str("Rule", "E5").Str("Zone", string(z)).Send()
	}
	list := c.catalog.Instances(now)
	c.near = dgroster.NearnessOf(list)
	c.updateRoster(now)
	c.sharers = dgroster.ConnectionSharers(c.onRoster, c.nominal)
	limits := map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{}
	if c.table != nil {
		limits = c.table.Config.Services
	}
	ids := make(map[dandeliongap.InstanceID]bool, len(list))
	for _, in := range list {
		ids[in.ID] = true
	}
	e.mu.Lock()
	e.balancer.Update(now, list, limits, c.zonesOut.Out(), c.sharers)
	share := dgroster.AllowanceShare(e.opt.Settings.VM, c.nominal, c.memberCount)
	e.budget.SetShare(now, share)
	e.updateRollouts(now, list, share)
	e.mu.Unlock()
	e.forward.Retain(ids)
	c.publish()
}

// publish replaces the view that requests use.
func (c *control) publish() {
	e, now := c.e, c.e.now()
	v := &view{table: c.table, accounts: c.accounts}
	v.ready = c.table != nil
	for _, kind := range e.kinds() {
		v.ready = v.ready && c.confirmed[kind]
	}
	v.stale = c.failingKinds[dandeliongap.KindRoutes] || c.readersFailing || now.Sub(c.lastStoreAnswer) > storeStaleAfter
	for _, vm := range c.onRoster {
		if vm == e.opt.Settings.VM {
			v.directory = append(v.directory, e.opt.Settings.EntryListen)
		} else if m, ok := c.members[vm]; ok {
			v.directory = append(v.directory, m.Entry)
		}
	}
	c.presentOthers.Store(int64(len(c.presence.Hubs(now))))
	slices.Sort(v.directory)
	if old := e.view.Load(); old.ready != v.ready || !slices.Equal(old.directory, v.directory) {
		e.log.event("directory changed").Bool("Ready", v.ready).Strs("Names", v.directory).Send()
	}
	e.view.Store(v)
}

// tick sends heartbeats and updates the state that changes with time.
func (c *control) tick() {
	now := c.e.now()
	c.updateRate(now)
	c.updateRole(now)
	c.expireMembers(now)
	c.sendHeartbeats()
	c.updateRoster(now)
	c.hintFollowers(now)
	c.tickRollouts(now)
	c.e.quotas.tick(now)
	if !slices.Equal(c.sharers, dgroster.ConnectionSharers(c.onRoster, c.nominal)) {
		c.propagate()
	} else {
		c.publish()
	}
	c.removeLostMembers(now)
	c.askRoutes(now)
	c.e.log.reportDropped()
	c.e.log.flush()
}
