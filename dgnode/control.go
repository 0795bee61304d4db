package dgnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgpeer"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
	"dandeliongap.example/dandeliongap/dgsettings"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
)

const (
	// callLimit bounds a call to a peer or to the platform for control.
	callLimit = 2 * time.Second
	// watchWait is how long a watch waits for a change.
	watchWait = 30 * time.Second
	// idleTick bounds the time between two looks at the clock, so that a pause
	// of the process is noticed.
	idleTick = 250 * time.Millisecond
	// healthEvery is the time between two reads of a replica's health endpoint.
	healthEvery = time.Second
	// eventQueue is the number of events that wait for the control goroutine.
	eventQueue = 1024
)

// control owns the control state of this VM. All fields below events belong to
// its goroutine; others post events and read the published view.
type control struct {
	clock    clock
	settings dgsettings.Daemon
	self     dandeliongap.Member
	store    dandeliongap.ObjectStore
	peers    *dgpeer.Sender
	gates    *gates
	backend  dandeliongap.BackendClient
	vms      dandeliongap.VMList // nil: none
	log      *log.Logger
	stats    *stats
	view     *atomic.Pointer[dandeliongap.View]
	wg       conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	calls    sync.Mutex    // guards closed
	closed   bool          // no call begins any more
	lost     chan struct{} // closed when the member was fenced
	lostOnce sync.Once
	events   chan func(now dandeliongap.Instant)
	// zoneOutAt is the Instant at which this VM's zone was taken out.
	zoneOutAt atomic.Int64
	// overloaded tells whether this VM is near its limit of requests, and
	// overloadedUntil holds the Instant until which each member that reported it
	// counts as overloaded.
	overloaded      func() bool
	overloadedUntil sync.Map
	// vmLeaving tells that the platform's VM list shows this VM as leaving.
	vmLeaving atomic.Bool

	rng      *rand.Rand
	member   *dgmember.State
	relay    *dgrelay.Relay
	set      dgrelay.Set
	holdings *dgplacement.Holdings
	moves    dgplacement.Moves

	memberActions  []dgmember.Action
	relayActions   []dgrelay.Action
	holdingActions []dgplacement.Action

	deployment *dandeliongap.Deployment
	list       dgrelay.MemberList
	table      dgrelay.PlacementTable
	zonesOut   map[dandeliongap.ZoneName]bool
	catalog    dandeliongap.Catalog
	dirty      bool // the view must be published again
	planning   bool // a write of the placement table is under way
	planDue    dandeliongap.Instant
	planSince  dandeliongap.Instant
	planUntil  dandeliongap.Instant // no change of the placement is possible later
	nextHealth dandeliongap.Instant
	nextVMs    dandeliongap.Instant
	lastWall   time.Time // at lastTick
	lastTick   dandeliongap.Instant
	pulling    bool // an exchange for newer objects is under way
	replies    map[releaseKey][]chan dgplacement.Action
	waiting    map[dandeliongap.ReplicaID]dgplacement.Action // grants that wait for the configuration
}

// releaseKey identifies a call of Release that waits for its answer.
type releaseKey struct {
	from    dandeliongap.MemberID
	replica dandeliongap.ReplicaID
	epoch   dandeliongap.Epoch
}

// start begins the control goroutine.
func (c *control) start() {
	now := c.clock.now()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.events = make(chan func(dandeliongap.Instant), eventQueue)
	c.lost = make(chan struct{})
	c.zonesOut = map[dandeliongap.ZoneName]bool{}
	c.replies = map[releaseKey][]chan dgplacement.Action{}
	c.waiting = map[dandeliongap.ReplicaID]dgplacement.Action{}
	c.member = dgmember.New(now, c.self, c.rng)
	c.relay = dgrelay.NewRelay(now, c.self.ID, func(id dandeliongap.MemberID) bool {
		return c.member.Alive(c.clock.now(), id)
	})
	c.holdings = dgplacement.NewHoldings(c.self.ID, c.rng)
	c.publish(now)
	c.wg.Go(c.run)
}

// close stops the control goroutine and waits for calls under way.
func (c *control) close() {
	c.cancel()
	c.calls.Lock()
	c.closed = true
	c.calls.Unlock()
	c.wg.Wait()
}

// post runs f on the control goroutine; it is dropped after close.
func (c *control) post(f func(now dandeliongap.Instant)) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// ask runs f on the control goroutine and waits for it. It returns false after
// close.
func (c *control) ask(f func(now dandeliongap.Instant)) bool {
	done := make(chan struct{})
	c.post(func(now dandeliongap.Instant) {
		f(now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *control) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-c.events:
			f(c.clock.now())
		case <-timer.C:
		case <-c.ctx.Done():
			return
		}
		now := c.clock.now()
		c.noticePause(now)
		c.tick(now)
		timer.Reset(min(max(c.next(now).Sub(now), time.Millisecond), idleTick))
	}
}

// pauseAfter is the difference between the progress of the wall clock and of the
// monotonic clock from which this VM was suspended. dgmember notices pauses in
// which both clocks go on.
const pauseAfter = time.Second

// noticePause tells dgmember about a suspension during which the monotonic clock
// stood still (M6).
func (c *control) noticePause(now dandeliongap.Instant) {
	wall := time.Now().Round(0)
	if !c.lastWall.IsZero() && wall.Sub(c.lastWall)-now.Sub(c.lastTick) > pauseAfter {
		c.log.Warn("membership", "Rule", dgmember.M6, "Choice", "give up rights until renewed", "Gap", wall.Sub(c.lastWall))
		c.member.Paused(now)
	}
	c.lastWall, c.lastTick = wall, now
}

func (c *control) next(now dandeliongap.Instant) dandeliongap.Instant {
	return min(c.member.Next(), c.relay.Next(), c.holdings.Next(now))
}

// tick does what is due and publishes what changed.
func (c *control) tick(now dandeliongap.Instant) {
	c.memberActions = c.member.Tick(now, c.memberActions)
	c.relayActions = c.relay.Tick(now, c.rng, c.relayActions)
	c.holdingActions = c.holdings.Tick(now, c.holdingActions)
	c.perform()
	c.plan(now)
	c.askHealth(now)
	c.readVMList(now)
	c.updateRights(now)
	if c.dirty || c.servingChanged(now) {
		c.publish(now)
	}
}

// perform carries out the actions that decisions returned.
func (c *control) perform() {
	for len(c.memberActions)+len(c.relayActions)+len(c.holdingActions) > 0 {
		members, relays, holdings := c.memberActions, c.relayActions, c.holdingActions
		c.memberActions, c.relayActions, c.holdingActions = nil, nil, nil
		for _, a := range members {
			c.performMember(a)
		}
		for _, a := range relays {
			c.performRelay(a)
		}
		for _, a := range holdings {
			c.performHolding(a)
		}
	}
}

// updateRights passes the end of this VM's rights to its gates.
func (c *control) updateRights(now dandeliongap.Instant) {
	until, ok := c.member.Rights(now)
	if !ok {
		until = 0
	}
	c.gates.setRights(until)
}

func (c *control) servingChanged(now dandeliongap.Instant) bool {
	ok, why := c.serving(now)
	v := c.view.Load()
	return ok != v.Serving || why != v.NotServingReason
}

func (c *control) serving(now dandeliongap.Instant) (bool, dandeliongap.Reason) {
	ok, why := c.member.Serving(now)
	if ok && c.deployment == nil {
		return false, dandeliongap.ReasonNoConfig
	}
	if ok {
		why = dandeliongap.ReasonNone
	}
	return ok, why
}

// publish makes the present control state visible to traffic.
func (c *control) publish(now dandeliongap.Instant) {
	c.dirty = false
	v := &dandeliongap.View{
		Self:       c.self.ID,
		Config:     c.version(dgrelay.Deployment),
		Deployment: c.deployment,
		ZonesOut:   c.zonesOut,
		Catalog:    c.catalog,
		Members:    make(map[dandeliongap.MemberID]dandeliongap.Member, len(c.list.Members)),
		Placement:  make(map[dandeliongap.ReplicaID]dandeliongap.Placement, len(c.table.Rows)),
	}
	v.Serving, v.NotServingReason = c.serving(now)
	for _, m := range c.list.Members {
		v.Members[m.ID] = m
	}
	for _, p := range c.table.Rows {
		v.Placement[p.Replica] = p
	}
	c.view.Store(v)
	c.configureGates(v)
}

// configureGates gives each gate its limits and the state of its zone.
func (c *control) configureGates(v *dandeliongap.View) {
	if v.Deployment == nil {
		return
	}
	for _, s := range v.Deployment.Services {
		for i := range s.Replicas {
			r := &s.Replicas[i]
			row := v.Placement[r.ID]
			if row.Owner == c.self.ID {
				c.gates.configure(r, v.ZonesOut[r.Zone]).await(row.Epoch)
			} else if c.gates.get(r.ID) != nil {
				c.gates.configure(r, v.ZonesOut[r.Zone]).giveUp(row.Epoch)
			}
		}
	}
}

func (c *control) version(name dandeliongap.ObjectName) dandeliongap.Version {
	obj, ok := c.set.Get(name)
	if !ok || obj.Deleted {
		return 0
	}
	return obj.Version
}

// call runs one call of control outside of the control goroutine. After close it
// does nothing: a gate can be drained that late.
func (c *control) call(limit time.Duration, f func(ctx context.Context)) {
	c.calls.Lock()
	defer c.calls.Unlock()
	if c.closed {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		f(ctx)
	})
}

// askHealth reads the health endpoints of the replicas that this VM holds. Only
// the sign "draining" is used, since the endpoints lag and mislead.
func (c *control) askHealth(now dandeliongap.Instant) {
	if now < c.nextHealth {
		return
	}
	c.nextHealth = now.Add(healthEvery)
	for _, g := range c.gates.all() {
		if state, _ := g.state(); state == 0 {
			continue
		}
		c.call(callLimit, func(ctx context.Context) {
			replica := g.describe()
			if draining, err := c.backend.Health(ctx, &replica); err == nil {
				g.setDraining(draining)
			}
		})
	}
}
