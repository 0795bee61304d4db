package dgplacement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// world is a model of the platform, the network and the VMs on virtual time.
type world struct {
	now     time.Duration
	rnd     *rand.Rand
	queue   events
	seq     int
	objects map[dandeliongap.ObjectName]dandeliongap.Object
	version dandeliongap.Version
	down    map[int]bool // VMs that do not reach the platform
	cut     map[[2]int]bool
	lossy   float64 // share of calls without an answer
	nodes   []*node
	config  *dandeliongap.Deployment
	fault   string // first violation of an invariant
	fenced  int    // leases deleted by others
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any     { o := *q; e := o[len(o)-1]; *q = o[:len(o)-1]; return e }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *world) runFor(d time.Duration) {
	for end := w.now + d; w.fault == ""; {
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.now = end
			return
		}
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.check()
	}
}

// check finds two holders of a replica. Paused VMs count: their traffic
// goroutines could go on at any moment.
func (w *world) check() {
	for _, s := range w.config.Services {
		for _, r := range s.Replicas {
			var holder *node
			for _, n := range w.nodes {
				epoch, ok := n.hold.Holds(r.ID)
				if _, rights := n.state.Rights(n.local()); n.dead || !ok || !rights {
					continue
				}
				if holder != nil {
					w.fault = fmt.Sprintf("%v: %s held by %s and %s", w.now, r.ID, holder.id, n.id)
				}
				if epoch <= n.answered[r.ID] {
					w.fault = fmt.Sprintf("%v: %s dispatches %s under epoch %d that it released", w.now, n.id, r.ID, epoch)
				}
				holder = n
			}
		}
	}
}

func (w *world) holders() (n int) {
	for _, s := range w.config.Services {
		for _, r := range s.Replicas {
			for _, v := range w.nodes {
				if _, rights := v.state.Rights(v.local()); !v.dead && rights {
					if _, ok := v.hold.Holds(r.ID); ok {
						n++
					}
				}
			}
		}
	}
	return n
}

// node is one VM with a minimal driver.
type node struct {
	w        *world
	vm       int
	id       dandeliongap.MemberID
	start    time.Duration // its clock starts here
	rate     float64
	paused   time.Duration // until
	dead     bool
	state    *dgmember.State
	set      dgrelay.Set
	relay    *dgrelay.Relay
	hold     *dgplacement.Holdings
	moves    dgplacement.Moves
	list     dgrelay.MemberList
	table    dgrelay.PlacementTable
	asks     map[string]func(dgplacement.Action)
	answered map[dandeliongap.ReplicaID]dandeliongap.Epoch
	planAt   time.Duration
	planned  bool // there is something to write since wanted
	wanted   dandeliongap.Instant
	leaving  bool
}

func newWorld(seed uint64, vms int, config *dandeliongap.Deployment) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), objects: map[dandeliongap.ObjectName]dandeliongap.Object{},
		down: map[int]bool{}, cut: map[[2]int]bool{}, config: config,
	}
	for i := range vms {
		w.boot(i)
	}
	return w
}

var zoneNames = [...]dandeliongap.ZoneName{"a", "b", "c"}

// boot starts a process on a VM that runs none.
func (w *world) boot(vm int) {
	for _, n := range w.nodes {
		if n.vm == vm && !n.dead {
			return
		}
	}
	name := dandeliongap.VMName(fmt.Sprintf("vm%d", vm))
	n := &node{
		w: w, vm: vm, start: w.now - time.Duration(w.rnd.IntN(1000))*time.Second, rate: 0.995 + 0.01*w.rnd.Float64(),
		id: dandeliongap.MemberID(fmt.Sprintf("%s-%x", name, w.rnd.Uint32())), planAt: w.now,
		asks: map[string]func(dgplacement.Action){}, answered: map[dandeliongap.ReplicaID]dandeliongap.Epoch{},
	}
	address := fmt.Sprintf("127.0.0.1:%d", 1000+vm)
	self := dandeliongap.Member{
		ID: n.id, VM: name, Zone: zoneNames[vm%len(zoneNames)], CallerAddress: address, PeerAddress: address, State: dandeliongap.MemberLive,
	}
	n.state = dgmember.New(n.local(), self, w.rnd)
	n.relay = dgrelay.NewRelay(n.local(), n.id, func(id dandeliongap.MemberID) bool { return n.state.Alive(n.local(), id) })
	n.hold = dgplacement.NewHoldings(n.id, w.rnd)
	w.nodes = append(w.nodes, n)
	n.later(0, n.tick)
}

// local is the VM's own clock.
func (n *node) local() dandeliongap.Instant {
	return dandeliongap.Instant(float64(n.w.now-n.start) * n.rate)
}

// later runs an event of this VM, not before a pause ends.
func (n *node) later(d time.Duration, run func()) {
	n.w.after(d, func() {
		switch {
		case n.dead:
		case n.w.now < n.paused:
			n.later(n.paused-n.w.now, run)
		default:
			run()
		}
	})
}

func (n *node) tick() {
	now := n.local()
	n.member(n.state.Tick(now, nil))
	for _, a := range n.relay.Tick(now, n.w.rnd, nil) {
		switch a.Kind {
		case dgrelay.KindExchange:
			n.exchange(n.find(a.Member))
		default:
			n.read()
		}
	}
	n.act(n.hold.Tick(now, nil))
	if n.w.now >= n.planAt {
		n.planAt = n.w.now + 500*time.Millisecond
		n.plan()
	}
	if n.leaving && n.hold.Idle() && n.table.Rows != nil && !n.owns() {
		n.member(n.state.Finish(n.local(), nil))
	}
	if n.state.Finished() {
		n.dead = true
		n.w.after(time.Second, func() { n.w.boot(n.vm) })
	}
	next := min(n.state.Next(), n.relay.Next(), n.hold.Next(n.local()))
	n.later(max(next.Sub(n.local()), 10*time.Millisecond), n.tick)
}

func (n *node) owns() bool {
	for _, r := range n.table.Rows {
		if r.Owner == n.id {
			return true
		}
	}
	return false
}

// find returns a member's process, or for "" a random one.
func (n *node) find(id dandeliongap.MemberID) *node {
	if id == "" {
		return n.w.nodes[n.w.rnd.IntN(len(n.w.nodes))]
	}
	for _, o := range n.w.nodes {
		if o.id == id {
			return o
		}
	}
	return nil
}

// delay is mostly short and sometimes longer than any time limit.
func (w *world) delay() time.Duration {
	if w.rnd.IntN(200) == 0 {
		return time.Duration(w.rnd.Int64N(int64(15 * time.Second)))
	}
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(10*time.Millisecond)))
}

// call runs serve at another place and then done here, or failed after 1 s. A
// request or answer may be lost or arrive after that. reach tells whether a
// message gets through in a direction.
func (n *node) call(reach func(back bool) bool, serve func(reply func(func())), failed func()) {
	over := false
	n.later(time.Second, func() {
		if !over {
			over = true
			failed()
		}
	})
	if !reach(false) || n.w.rnd.Float64() < n.w.lossy/2 {
		return
	}
	n.w.after(n.w.delay(), func() {
		serve(func(done func()) {
			if !reach(true) || n.w.rnd.Float64() < n.w.lossy/2 {
				return
			}
			n.later(n.w.delay(), func() {
				if !over {
					over = true
					done()
				}
			})
		})
	})
}

func (n *node) rpc(to *node, serve func(reply func(func())), failed func()) {
	if to == nil || to == n {
		n.later(0, failed)
		return
	}
	reach := func(back bool) bool {
		if back {
			return !n.w.cut[[2]int{to.vm, n.vm}]
		}
		return !n.w.cut[[2]int{n.vm, to.vm}]
	}
	n.call(reach, func(reply func(func())) { to.later(0, func() { serve(reply) }) }, failed)
}

// platform runs a conditional write (body nil: deletion) or, if write is false,
// a read.
func (n *node) platform(name dandeliongap.ObjectName, write bool, body []byte, ifVersion dandeliongap.Version, done func(obj dandeliongap.Object, ok bool), failed func()) {
	reach := func(bool) bool { return !n.w.down[n.vm] }
	n.call(reach, func(reply func(func())) {
		old, exists := n.w.objects[name]
		if !write {
			reply(func() { done(old, exists) })
			return
		}
		if old.Version != ifVersion {
			reply(func() { done(old, false) })
			return
		}
		n.w.version++
		obj := dandeliongap.Object{Name: name, Version: n.w.version, Body: body}
		if n.w.objects[name] = obj; body == nil {
			delete(n.w.objects, name)
		}
		reply(func() { done(obj, true) })
	}, failed)
}

// read lists the relayed objects.
func (n *node) read() {
	reach := func(bool) bool { return !n.w.down[n.vm] }
	n.call(reach, func(reply func(func())) {
		var objs []dandeliongap.Object
		for _, name := range [...]dandeliongap.ObjectName{dgrelay.Members, dgrelay.Placement} {
			if o, ok := n.w.objects[name]; ok {
				objs = append(objs, o)
			}
		}
		at := n.w.version
		reply(func() {
			n.member(n.state.PlatformOK(n.local(), nil))
			for _, name := range n.set.AdoptListing(n.local(), objs, at) {
				n.adopted(name)
			}
			if _, ok := n.set.Get(dgrelay.Members); !ok {
				n.member(n.state.MembersAdopted(n.local(), 0, false, dgrelay.MemberList{}, nil))
			}
			// The model has no watches: a watch is a list once a second.
			n.later(time.Second, func() { n.relay.PlatformAnswered(n.local(), at) })
		})
	}, func() {
		n.member(n.state.PlatformFailed(n.local(), nil))
		n.relay.PlatformFailed(n.local(), n.w.rnd)
	})
}

func (n *node) adopt(o dandeliongap.Object) {
	before, _ := n.set.Get(o.Name)
	if n.set.Adopt(n.local(), o) {
		n.adopted(o.Name)
	}
	if o, _ := n.set.Get(o.Name); o.Version < before.Version {
		n.w.fault = fmt.Sprintf("%v: %s reverted %s", n.w.now, n.id, o.Name)
	}
}

func (n *node) adopted(name dandeliongap.ObjectName) {
	o, _ := n.set.Get(name)
	switch name {
	case dgrelay.Members:
		n.list = must(dgrelay.DecodeMemberList(o.Body))
		n.relay.SetMembers(n.list.Members)
		n.member(n.state.MembersAdopted(n.local(), o.Version, true, n.list, nil))
		n.act(n.hold.MembersAdopted(n.local(), o.Version, n.list.Members, nil))
	case dgrelay.Placement:
		n.table = must(dgrelay.DecodePlacementTable(o.Body))
		n.moves.Observe(n.local(), n.table.Rows)
		n.act(n.hold.TableAdopted(n.local(), o.Version, n.table, nil))
	}
	for _, a := range n.relay.Adopted(n.w.rnd, nil) {
		n.exchange(n.find(a.Member))
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (n *node) exchange(to *node) {
	sent, digest, self := n.local(), n.set.Digest(), n.state.Self()
	n.rpc(to, func(reply func(func())) {
		to.member(to.state.JoinRequested(to.local(), self, nil))
		a := dgmember.ExchangeAnswer{From: to.id, Sent: sent, ReachesPlatform: to.state.ReachesPlatform(to.local())}
		a.Contacts = to.state.ContactVector(to.local(), nil)
		newer := to.set.NewerThan(digest, dgrelay.MessageBodyLimit)
		if to.set.Behind(digest) {
			to.exchange(n)
		}
		reply(func() {
			n.relay.PeerAnswered(n.local())
			for _, o := range newer {
				n.adopt(o)
			}
			n.member(n.state.ExchangeSucceeded(n.local(), a, nil))
		})
	}, func() { n.member(n.state.ExchangeFailed(n.local(), "", nil)) })
}

func leaseName(id dandeliongap.MemberID) dandeliongap.ObjectName {
	return dandeliongap.ObjectName("leases/" + string(id))
}

// member carries out the actions of dgmember.
func (n *node) member(as []dgmember.Action) {
	for _, a := range as {
		n.memberAction(a)
	}
}

func (n *node) memberAction(a dgmember.Action) {
	lease := func(o dandeliongap.Object) (l dgmember.Lease) {
		if o.Body != nil {
			return must(dgmember.DecodeLease(o.Body))
		}
		return l
	}
	unreachable := func() { n.member(n.state.RenewUnreachable(n.local(), a.Lease.Attempt, nil)) }
	suspect := func() { n.member(n.state.SuspectCallFailed(n.local(), a.Member, nil)) }
	switch a.Kind {
	case dgmember.KindRenew:
		n.renew(a, unreachable)
	case dgmember.KindReadBack:
		n.platform(leaseName(n.id), false, nil, 0, func(o dandeliongap.Object, ok bool) {
			n.member(n.state.LeaseReadBack(n.local(), ok, o.Version, lease(o), nil))
		}, unreachable)
	case dgmember.KindExchange:
		n.exchange(n.find(a.Member))
	case dgmember.KindReadLease:
		n.platform(leaseName(a.Member), false, nil, 0, func(o dandeliongap.Object, ok bool) {
			n.member(n.state.SuspectLeaseRead(n.local(), a.Member, ok, o.Version, lease(o), nil))
		}, suspect)
	case dgmember.KindDeleteLease:
		n.platform(leaseName(a.Member), true, nil, a.Version, func(_ dandeliongap.Object, ok bool) {
			if ok {
				if a.Member != n.id {
					n.w.fenced++
				}
				n.member(n.state.LeaseDeleted(n.local(), a.Member, nil))
				return
			}
			n.member(n.state.LeaseConflict(n.local(), a.Member, nil))
		}, suspect)
	case dgmember.KindWriteMembers:
		notWritten := func() { n.member(n.state.MembersNotWritten(n.local(), nil)) }
		n.platform(dgrelay.Members, true, must(dgrelay.EncodeMemberList(a.List)), a.Version, func(o dandeliongap.Object, ok bool) {
			if ok {
				n.adopt(o)
				return
			}
			notWritten()
		}, notWritten)
	case dgmember.KindStopLost:
		n.dead = true
		n.w.after(time.Second, func() { n.w.boot(n.vm) })
	}
}

func (n *node) renew(a dgmember.Action, unreachable func()) {
	body := dgmember.EncodeLease(a.Lease)
	done := func(o dandeliongap.Object, ok bool) {
		if ok {
			n.member(n.state.RenewOK(n.local(), a.Lease.Attempt, o.Version, nil))
			return
		}
		n.member(n.state.RenewConflict(n.local(), a.Lease.Attempt, nil))
	}
	if a.Via == "" {
		n.platform(leaseName(n.id), true, body, a.Version, done, unreachable)
		return
	}
	via := n.find(a.Via)
	n.rpc(via, func(reply func(func())) {
		via.platform(leaseName(n.id), true, body, a.Version, func(o dandeliongap.Object, ok bool) {
			reply(func() { done(o, ok) })
		}, func() {})
	}, unreachable)
}

// act carries out the actions of Holdings.
func (n *node) act(as []dgplacement.Action) {
	for _, a := range as {
		key := fmt.Sprint(a.Member, a.Replica, a.Epoch)
		switch a.Kind {
		case dgplacement.KindAskRelease:
			n.askRelease(a)
		case dgplacement.KindRevoke:
			n.later(time.Duration(n.w.rnd.IntN(200))*time.Millisecond, func() {
				n.act(n.hold.Drained(n.local(), a.Replica, dgplacement.GateState{Limit: 3}, nil))
			})
		case dgplacement.KindAnswerRelease:
			if a.Released {
				n.answered[a.Replica] = max(n.answered[a.Replica], a.Epoch)
			}
			if reply := n.asks[key]; reply != nil {
				delete(n.asks, key)
				reply(a)
			}
		}
	}
}

func (n *node) askRelease(a dgplacement.Action) {
	to := n.find(a.Member)
	n.rpc(to, func(reply func(func())) {
		to.asks[fmt.Sprint(n.id, a.Replica, a.Epoch)] = func(b dgplacement.Action) {
			reply(func() {
				n.act(n.hold.ReleaseAnswered(n.local(), a.Member, a.Replica, a.Epoch, b.Released, b.State, nil))
			})
		}
		to.act(to.hold.ReleaseRequested(to.local(), n.id, a.Member, a.Replica, a.Epoch, nil))
	}, func() { n.act(n.hold.ReleaseFailed(n.local(), a.Member, a.Replica, a.Epoch, nil)) })
}

// plan writes the table when there is something to change. Some VMs do so out of
// turn, because the rank order of L1 only saves calls.
func (n *node) plan() {
	members, ok := n.set.Get(dgrelay.Members)
	if !ok || !n.state.Listed() {
		return
	}
	old, _ := n.set.Get(dgrelay.Placement)
	rows, ds := dgplacement.Plan(n.local(), dgplacement.Input{
		Deployment: n.w.config, ConfigVersion: 1, Members: n.list.Members, MembersVersion: members.Version,
		Table: n.table, TableVersion: old.Version, Moves: &n.moves,
	})
	if len(ds) > 0 && !n.planned {
		n.wanted = n.local()
	}
	n.planned = len(ds) > 0
	if !n.planned || (!n.state.MayWritePlacement(n.local(), n.wanted) && n.vm != 1) {
		return
	}
	body := must(dgrelay.EncodePlacementTable(dgrelay.PlacementTable{Rows: rows, MembersVersion: members.Version, ConfigVersion: 1}))
	n.platform(dgrelay.Placement, true, body, old.Version, func(o dandeliongap.Object, ok bool) {
		if ok {
			n.adopt(o)
		}
	}, func() {})
}
