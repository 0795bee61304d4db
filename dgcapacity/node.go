package dgcapacity

import (
	"math/rand/v2"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// Times of the control goroutine of dgnode.
const (
	idleTick    = 250 * time.Millisecond
	planEvery   = 250 * time.Millisecond
	planFor     = dgplacement.MinMoveInterval + time.Second
	vmListEvery = 30 * time.Second
)

// state is what the relayed objects say, as one VM has put it in force.
type state struct {
	deployment *dandeliongap.Deployment
	list       dgrelay.MemberList
	table      dgrelay.PlacementTable
}

// node drives the decisions of one VM (S1).
type node struct {
	c        *cluster
	self     dandeliongap.Member
	rng      *rand.Rand
	member   *dgmember.State
	relay    *dgrelay.Relay
	set      dgrelay.Set
	holdings *dgplacement.Holdings
	moves    dgplacement.Moves
	state    state
	listed   map[dandeliongap.MemberID]bool

	memberActions  []dgmember.Action
	relayActions   []dgrelay.Action
	holdingActions []dgplacement.Action

	dirty     bool
	pulling   bool
	planning  bool
	planDue   dandeliongap.Instant
	planUntil dandeliongap.Instant // no change of the placement is possible later
	planSince dandeliongap.Instant
	nextVMs   dandeliongap.Instant
	wake      dandeliongap.Instant // of the newest timer
	leaving   bool
	down      bool
	crashed   bool // ended without closing its connections
}

// start begins the decisions. objs are objects that the VM holds already.
func (n *node) start(objs []dandeliongap.Object) {
	now := n.c.now
	n.member = dgmember.New(now, n.self, n.rng)
	n.relay = dgrelay.NewRelay(now, n.self.ID, func(id dandeliongap.MemberID) bool { return n.member.Alive(n.c.now, id) })
	n.holdings = dgplacement.NewHoldings(n.self.ID, n.rng)
	for _, obj := range objs {
		n.adopt(obj)
	}
	n.relayActions = nil // what it held before it passes on to nobody
	n.tick()
}

// post runs f as an event of this VM.
func (n *node) post(f func()) {
	if n.down {
		return
	}
	f()
	n.tick()
}

// tick does what is due and sets the timer.
func (n *node) tick() {
	now := n.c.now
	n.memberActions = n.member.Tick(now, n.memberActions)
	n.relayActions = n.relay.Tick(now, n.rng, n.relayActions)
	n.holdingActions = n.holdings.Tick(now, n.holdingActions)
	n.perform()
	n.plan()
	n.readVMList()
	n.member.Rights(now)
	if n.dirty {
		n.dirty = false
		n.c.work.publish++
	}
	n.stop()
	if n.down {
		return
	}
	next := min(n.member.Next(), n.relay.Next(), n.holdings.Next(now))
	n.wake = now.Add(min(max(next.Sub(now), time.Millisecond), idleTick))
	at := n.wake
	n.c.after(at.Sub(now), func() {
		if n.wake == at && !n.down {
			n.wake = 0
			n.tick()
		}
	})
}

func (n *node) perform() {
	for len(n.memberActions)+len(n.relayActions)+len(n.holdingActions) > 0 {
		members, relays, holdings := n.memberActions, n.relayActions, n.holdingActions
		n.memberActions, n.relayActions, n.holdingActions = nil, nil, nil
		for _, a := range members {
			n.performMember(a)
		}
		for _, a := range relays {
			n.performRelay(a)
		}
		for _, a := range holdings {
			n.performHolding(a)
		}
	}
}

func (n *node) performRelay(a dgrelay.Action) {
	switch a.Kind {
	case dgrelay.KindPush, dgrelay.KindExchange:
		n.exchange(a.Member)
	case dgrelay.KindWatch:
		n.watch(a.Version)
	case dgrelay.KindRead:
		n.readState()
	}
}

// platform runs a call to the platform and then done as an event of this VM.
func (n *node) platform(call func(), done func()) {
	n.c.after(platformTime/2, func() {
		call()
		n.c.after(platformTime/2, func() { n.answered(done) })
	})
}

func (n *node) answered(done func()) {
	n.post(func() {
		n.memberActions = n.member.PlatformOK(n.c.now, n.memberActions)
	})
	n.post(done)
}

// put writes an object conditionally.
func (n *node) put(name dandeliongap.ObjectName, body []byte, ifVersion dandeliongap.Version, done func(dandeliongap.Version, bool)) {
	var version dandeliongap.Version
	var ok bool
	n.platform(func() { version, ok = n.c.store.put(name, body, ifVersion) }, func() { done(version, ok) })
}

func (n *node) watch(since dandeliongap.Version) {
	n.c.after(platformTime/2, func() {
		w := &watcher{since: since}
		w.reply = func(objs []dandeliongap.Object, version dandeliongap.Version) {
			n.c.after(platformTime/2, func() {
				n.answered(func() {
					for _, obj := range objs {
						n.adopt(obj)
					}
					n.relay.PlatformAnswered(n.c.now, version)
				})
			})
		}
		n.c.store.watch(w)
		n.c.after(dgrelay.WatchWait, func() { n.c.store.expire(w) })
	})
}

func (n *node) readState() {
	var objs []dandeliongap.Object
	var version dandeliongap.Version
	n.platform(func() { objs, version = n.c.store.list() }, func() {
		for _, name := range n.set.AdoptListing(n.c.now, objs, version) {
			n.applied(name)
		}
		n.relay.PlatformAnswered(n.c.now, version)
	})
}

// adopt takes a relayed object if it is newer than the one held.
func (n *node) adopt(obj dandeliongap.Object) bool {
	if !n.set.Adopt(n.c.now, obj) {
		return false
	}
	n.applied(obj.Name)
	return true
}

// applied puts an adopted object in force and passes it on.
func (n *node) applied(name dandeliongap.ObjectName) {
	obj, _ := n.set.Get(name)
	n.apply(obj)
	n.c.adopted[obj.Version]++
	n.c.lastAdopted = n.c.now
	n.relayActions = n.relay.Adopted(n.rng, n.relayActions)
	n.planDue, n.planUntil = n.c.now, n.c.now.Add(planFor)
	n.dirty = true
}

func (n *node) apply(obj dandeliongap.Object) {
	now := n.c.now
	content, err := n.c.decode(obj)
	if err != nil {
		return
	}
	switch v := content.(type) {
	case *dandeliongap.Deployment:
		n.state.deployment = v
	case dgrelay.PlacementTable:
		n.state.table = v
		n.moves.Observe(now, v.Rows)
		n.holdingActions = n.holdings.TableAdopted(now, obj.Version, v, n.holdingActions)
	case dgrelay.MemberList:
		n.state.list = v
		n.memberActions = n.member.MembersAdopted(now, obj.Version, true, v, n.memberActions)
		n.relay.SetMembers(v.Members)
		n.holdingActions = n.holdings.MembersAdopted(now, obj.Version, v.Members, n.holdingActions)
		n.listed = make(map[dandeliongap.MemberID]bool, len(v.Members))
		for _, m := range v.Members {
			n.listed[m.ID] = true
		}
	}
}

func (n *node) version(name dandeliongap.ObjectName) dandeliongap.Version {
	obj, ok := n.set.Get(name)
	if !ok || obj.Deleted {
		return 0
	}
	return obj.Version
}

// readVMList reads the platform's VM list when it is due. No VM of this package
// is listed as leaving.
func (n *node) readVMList() {
	if n.c.now < n.nextVMs {
		return
	}
	n.nextVMs = n.c.now.Add(vmListEvery/2 + time.Duration(n.rng.Int64N(int64(vmListEvery))))
	n.platform(func() { n.c.store.calls[callReadVMs]++ }, func() {})
}

// plan writes the placement table when it has to change and it is this VM's
// turn.
func (n *node) plan() {
	now := n.c.now
	if n.state.deployment == nil || !n.member.Listed() || !n.member.ReachesPlatform(now) {
		n.planUntil = now.Add(planFor)
		return
	}
	if n.planning || now < n.planDue || now > n.planUntil && n.planSince == 0 {
		return
	}
	n.planDue = now.Add(planEvery)
	in := n.planInput()
	p := n.c.plan(n, in)
	if p.decisions == 0 {
		n.planSince = 0
		return
	}
	if n.planSince == 0 {
		n.planSince = now
	}
	if !n.member.MayWritePlacement(now, n.planSince) {
		return
	}
	n.writeTable(in, p.rows)
}

func (n *node) planInput() dgplacement.Input {
	return dgplacement.Input{
		Deployment:     n.state.deployment,
		ConfigVersion:  n.version(dgrelay.Deployment),
		Members:        n.state.list.Members,
		MembersVersion: n.version(dgrelay.Members),
		Table:          n.state.table,
		TableVersion:   n.version(dgrelay.Placement),
		Moves:          &n.moves,
	}
}

func (n *node) writeTable(in dgplacement.Input, rows []dandeliongap.Placement) {
	body, err := dgrelay.EncodePlacementTable(dgrelay.PlacementTable{Rows: rows, MembersVersion: in.MembersVersion, ConfigVersion: in.ConfigVersion, WriteID: n.writeID()})
	if err != nil {
		return
	}
	n.planning = true
	n.put(dgrelay.Placement, body, in.TableVersion, func(version dandeliongap.Version, ok bool) {
		n.planning = false
		if !ok {
			n.planDue = n.c.now.Add(time.Second)
			n.readState()
			return
		}
		n.adopt(dandeliongap.Object{Name: dgrelay.Placement, Version: version, Body: body})
	})
}

func (n *node) writeID() string { return strconv.FormatUint(n.rng.Uint64(), 16) }

// leave begins the graceful end of this VM.
func (n *node) leave() {
	n.leaving = true
	n.memberActions = n.member.Leave(n.c.now, n.memberActions)
}

// stop ends a leaving VM step by step once it holds no replica.
func (n *node) stop() {
	if !n.leaving {
		return
	}
	for i := range n.state.table.Rows {
		if n.state.table.Rows[i].Owner == n.self.ID {
			return
		}
	}
	if !n.holdings.Idle() {
		return
	}
	if n.member.Finished() {
		n.down = true
		return
	}
	n.memberActions = n.member.Finish(n.c.now, n.memberActions)
	n.perform()
}
