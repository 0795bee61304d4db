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
	// callTimeout bounds one control call to a peer, to the platform or to a
	// health endpoint.
	callTimeout = 2 * time.Second
	// watchTimeout is how long the platform holds a watch open without a change.
	watchTimeout = 30 * time.Second
	// maxTickInterval bounds the time between two ticks, so that a pause of the
	// process is detected.
	maxTickInterval = 250 * time.Millisecond
	// healthInterval is the time between two reads of a replica's health endpoint.
	healthInterval = time.Second
	// eventQueueSize is the capacity of the control goroutine's event channel.
	eventQueueSize = 1024
)

// control owns the control state of this VM. The fields from rng on belong to its
// goroutine; other goroutines post events and read the published view.
type control struct {
	clock      clock
	settings   dgsettings.Daemon
	self       dandeliongap.Member
	store      dandeliongap.ObjectStore
	peers      *dgpeer.Sender
	gates      *gates
	backend    dandeliongap.BackendClient
	vms        dandeliongap.VMList // nil if the platform has none
	log        *log.Logger
	stats      *stats
	view       *atomic.Pointer[dandeliongap.View]
	wg         conc.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	callsMu    sync.Mutex    // guards closed
	closed     bool          // no new call is started
	fenced     chan struct{} // closed when another VM has fenced this member
	fencedOnce sync.Once
	events     chan func(now dandeliongap.Instant)
	// zoneOutAt is the Instant at which this VM's availability zone was taken out
	// of service.
	zoneOutAt atomic.Int64
	// overloaded reports whether this VM is near its limit of requests in flight.
	// overloadedUntil holds, for each member that reported an overload, the Instant
	// until which it counts as overloaded.
	overloaded      func() bool
	overloadedUntil sync.Map
	// vmLeaving is set once the platform's VM list shows this VM as leaving.
	vmLeaving atomic.Bool

	rng      *rand.Rand
	member   *dgmember.State
	relay    *dgrelay.Relay
	objects  dgrelay.Set
	holdings *dgplacement.Holdings
	moves    dgplacement.Moves

	memberActions  []dgmember.Action
	relayActions   []dgrelay.Action
	holdingActions []dgplacement.Action

	deployment       *dandeliongap.Deployment
	memberList       dgrelay.MemberList
	placementTable   dgrelay.PlacementTable
	zonesOut         map[dandeliongap.ZoneName]bool
	catalog          dandeliongap.Catalog
	dirty            bool // the view must be published on the next tick
	writingTable     bool // a write of the placement table is in progress
	nextPlan         dandeliongap.Instant
	planPendingSince dandeliongap.Instant
	planUntil        dandeliongap.Instant // planning stops at this time unless a change is pending
	nextHealth       dandeliongap.Instant
	nextVMList       dandeliongap.Instant
	lastTickWall     time.Time // wall-clock time at lastTick
	lastTick         dandeliongap.Instant
	pulling          bool // a pull of newer objects is in progress
	releaseReplies   map[releaseKey][]chan dgplacement.Action
	pendingGrants    map[dandeliongap.ReplicaID]dgplacement.Action // grants of replicas that the configuration does not have yet
}

// releaseKey identifies the release of a replica to a member under an epoch.
// Repeated Release calls for it wait for the same answer.
type releaseKey struct {
	from    dandeliongap.MemberID
	replica dandeliongap.ReplicaID
	epoch   dandeliongap.Epoch
}

// start initializes the control state and starts the control goroutine.
func (c *control) start() {
	now := c.clock.now()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.events = make(chan func(dandeliongap.Instant), eventQueueSize)
	c.fenced = make(chan struct{})
	c.zonesOut = map[dandeliongap.ZoneName]bool{}
	c.releaseReplies = map[releaseKey][]chan dgplacement.Action{}
	c.pendingGrants = map[dandeliongap.ReplicaID]dgplacement.Action{}
	c.member = dgmember.New(now, c.self, c.rng)
	c.relay = dgrelay.NewRelay(now, c.self.ID, func(id dandeliongap.MemberID) bool {
		return c.member.Alive(c.clock.now(), id)
	})
	c.holdings = dgplacement.NewHoldings(c.self.ID, c.rng)
	c.publish(now)
	c.wg.Go(c.run)
}

// close stops the control goroutine and waits for the calls in progress.
func (c *control) close() {
	c.cancel()
	c.callsMu.Lock()
	c.closed = true
	c.callsMu.Unlock()
	c.wg.Wait()
}

// post queues f for the control goroutine. After close, f may be dropped.
func (c *control) post(f func(now dandeliongap.Instant)) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// postAndWait runs f on the control goroutine and waits until it has returned.
// It returns false if control was closed first.
func (c *control) postAndWait(f func(now dandeliongap.Instant)) bool {
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
		c.detectSuspension(now)
		c.tick(now)
		timer.Reset(min(max(c.nextTick(now).Sub(now), time.Millisecond), maxTickInterval))
	}
}

// suspensionThreshold is how far the wall clock may advance beyond the monotonic
// clock between two ticks before the VM counts as suspended. dgmember detects
// pauses during which both clocks advance.
const suspensionThreshold = time.Second

// detectSuspension reports to dgmember a suspension during which the monotonic clock
// stood still (M6).
func (c *control) detectSuspension(now dandeliongap.Instant) {
	wall := time.Now().Round(0)
	if !c.lastTickWall.IsZero() && wall.Sub(c.lastTickWall)-now.Sub(c.lastTick) > suspensionThreshold {
		c.log.Warn("membership", "Rule", dgmember.M6, "Choice", "give up rights until renewed", "Gap", wall.Sub(c.lastTickWall))
		c.member.Paused(now)
	}
	c.lastTickWall, c.lastTick = wall, now
}

func (c *control) nextTick(now dandeliongap.Instant) dandeliongap.Instant {
	return min(c.member.Next(), c.relay.Next(), c.holdings.Next(now))
}

// tick runs everything that is due and publishes the view if it changed.
func (c *control) tick(now dandeliongap.Instant) {
	c.memberActions = c.member.Tick(now, c.memberActions)
	c.relayActions = c.relay.Tick(now, c.rng, c.relayActions)
	c.holdingActions = c.holdings.Tick(now, c.holdingActions)
	c.perform()
	c.plan(now)
	c.readHealth(now)
	c.readVMList(now)
	c.updateRights(now)
	if c.dirty || c.servingChanged(now) {
		c.publish(now)
	}
}

// perform carries out the actions returned by dgmember, dgrelay and dgplacement.
// Carrying out an action can add further ones, so it repeats until there are none.
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

// updateRights passes the time at which this VM's rights expire to its gates.
func (c *control) updateRights(now dandeliongap.Instant) {
	until, ok := c.member.Rights(now)
	if !ok {
		until = 0
	}
	c.gates.setRightsEnd(until)
}

func (c *control) servingChanged(now dandeliongap.Instant) bool {
	ok, reason := c.serving(now)
	v := c.view.Load()
	return ok != v.Serving || reason != v.NotServingReason
}

func (c *control) serving(now dandeliongap.Instant) (bool, dandeliongap.Reason) {
	ok, reason := c.member.Serving(now)
	if ok && c.deployment == nil {
		return false, dandeliongap.ReasonNoConfig
	}
	if ok {
		reason = dandeliongap.ReasonNone
	}
	return ok, reason
}

// publish stores a new view for the goroutines that serve requests, and configures
// the gates according to it.
func (c *control) publish(now dandeliongap.Instant) {
	c.dirty = false
	v := &dandeliongap.View{
		Self:       c.self.ID,
		Config:     c.version(dgrelay.Deployment),
		Deployment: c.deployment,
		ZonesOut:   c.zonesOut,
		Catalog:    c.catalog,
		Members:    make(map[dandeliongap.MemberID]dandeliongap.Member, len(c.memberList.Members)),
		Placement:  make(map[dandeliongap.ReplicaID]dandeliongap.Placement, len(c.placementTable.Rows)),
	}
	v.Serving, v.NotServingReason = c.serving(now)
	for _, m := range c.memberList.Members {
		v.Members[m.ID] = m
	}
	for _, p := range c.placementTable.Rows {
		v.Placement[p.Replica] = p
	}
	c.view.Store(v)
	c.configureGates(v)
}

// configureGates passes to each gate the settings of its replica and whether the
// replica's zone is out of service. A gate waits for its grant if the placement
// table names this VM as the owner; otherwise it refuses the requests that wait
// for a grant.
func (c *control) configureGates(v *dandeliongap.View) {
	if v.Deployment == nil {
		return
	}
	for _, s := range v.Deployment.Services {
		for i := range s.Replicas {
			r := &s.Replicas[i]
			row := v.Placement[r.ID]
			if row.Owner == c.self.ID {
				c.gates.configure(r, v.ZonesOut[r.Zone]).awaitGrant(row.Epoch)
			} else if c.gates.get(r.ID) != nil {
				c.gates.configure(r, v.ZonesOut[r.Zone]).refuseWaiting(row.Epoch)
			}
		}
	}
}

func (c *control) version(name dandeliongap.ObjectName) dandeliongap.Version {
	obj, ok := c.objects.Get(name)
	if !ok || obj.Deleted {
		return 0
	}
	return obj.Version
}

// call runs f in a new goroutine, with a context that ends after limit. After close
// it does nothing. Such late calls occur when a gate finishes draining after close.
func (c *control) call(limit time.Duration, f func(ctx context.Context)) {
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	if c.closed {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		f(ctx)
	})
}

// readHealth reads the health endpoints of the replicas that this VM has rights
// for. Only the state "draining" is used, because the endpoints lag behind and
// their other states are unreliable.
func (c *control) readHealth(now dandeliongap.Instant) {
	if now < c.nextHealth {
		return
	}
	c.nextHealth = now.Add(healthInterval)
	for _, g := range c.gates.all() {
		if state, _ := g.state(); state == 0 {
			continue
		}
		c.call(callTimeout, func(ctx context.Context) {
			replica := g.configuredReplica()
			if draining, err := c.backend.Health(ctx, &replica); err == nil {
				g.setDraining(draining)
			}
		})
	}
}
