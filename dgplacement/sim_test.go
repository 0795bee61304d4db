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

// cluster is a simulation of the platform, the network and the VMs in virtual time.
type cluster struct {
	now          time.Duration
	rng          *rand.Rand
	eventQueue   eventHeap
	lastSeq      int
	objects      map[dandeliongap.ObjectName]dandeliongap.Object // stored by the platform
	version      dandeliongap.Version                            // version of the latest write on the platform
	platformDown map[int]bool                                    // VMs that do not reach the platform
	blocked      map[[2]int]bool                                 // sender and receiver VMs between which messages are lost
	lossRate     float64                                         // share of calls whose request or reply is lost
	nodes        []*node
	deployment   *dandeliongap.Deployment
	violation    string // first violation of an invariant
	fencedCount  int    // number of leases deleted by another VM
}

type event struct {
	at  time.Duration
	seq int // orders events that are due at the same time
	run func()
}

type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventHeap) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventHeap) Pop() any     { o := *q; e := o[len(o)-1]; *q = o[:len(o)-1]; return e }

func (c *cluster) after(d time.Duration, run func()) {
	c.lastSeq++
	heap.Push(&c.eventQueue, event{c.now + d, c.lastSeq, run})
}

func (c *cluster) runFor(d time.Duration) {
	for end := c.now + d; c.violation == ""; {
		if len(c.eventQueue) == 0 || c.eventQueue[0].at > end {
			c.now = end
			return
		}
		e := heap.Pop(&c.eventQueue).(event)
		c.now = e.at
		e.run()
		c.checkInvariants()
	}
}

// checkInvariants records a violation if two VMs may send to the same replica, or if a
// VM may send under an epoch that it released. Paused VMs count too, because their
// traffic goroutines could resume at any moment.
func (c *cluster) checkInvariants() {
	for _, s := range c.deployment.Services {
		for _, r := range s.Replicas {
			var holder *node
			for _, n := range c.nodes {
				epoch, ok := n.holdings.Holds(r.ID)
				if _, rights := n.member.Rights(n.localNow()); n.stopped || !ok || !rights {
					continue
				}
				if holder != nil {
					c.violation = fmt.Sprintf("%v: replica %s is held by %s and %s", c.now, r.ID, holder.id, n.id)
				}
				if epoch <= n.releasedEpochs[r.ID] {
					c.violation = fmt.Sprintf("%v: %s may send to replica %s under epoch %d, which it released", c.now, n.id, r.ID, epoch)
				}
				holder = n
			}
		}
	}
}

// countHolders returns the number of grants of running VMs with rights, which is the
// number of replicas with a holder while checkInvariants finds no violation.
func (c *cluster) countHolders() (n int) {
	for _, s := range c.deployment.Services {
		for _, r := range s.Replicas {
			for _, v := range c.nodes {
				if _, rights := v.member.Rights(v.localNow()); !v.stopped && rights {
					if _, ok := v.holdings.Holds(r.ID); ok {
						n++
					}
				}
			}
		}
	}
	return n
}

// node is one process of a VM with a minimal driver.
type node struct {
	cluster        *cluster
	vm             int
	id             dandeliongap.MemberID
	clockStart     time.Duration // time in the simulation at which the clock of the VM reads 0
	clockRate      float64       // speed of the clock of the VM relative to simulated time
	pausedUntil    time.Duration
	stopped        bool
	member         *dgmember.State
	objects        dgrelay.Set
	relay          *dgrelay.Relay
	holdings       *dgplacement.Holdings
	moves          dgplacement.Moves
	memberList     dgrelay.MemberList
	table          dgrelay.PlacementTable
	releaseReplies map[string]func(dgplacement.Action)           // pending replies by caller, replica and epoch
	releasedEpochs map[dandeliongap.ReplicaID]dandeliongap.Epoch // highest epoch released
	nextPlan       time.Duration
	hasChanges     bool                 // the latest plan has changes to write
	changesSince   dandeliongap.Instant // time since which all plans have had changes
	leaving        bool
}

func newCluster(seed uint64, vms int, d *dandeliongap.Deployment) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), objects: map[dandeliongap.ObjectName]dandeliongap.Object{},
		platformDown: map[int]bool{}, blocked: map[[2]int]bool{}, deployment: d,
	}
	for i := range vms {
		c.boot(i)
	}
	return c
}

var zoneNames = [...]dandeliongap.ZoneName{"a", "b", "c"}

// boot starts a process on a VM, unless one is running.
func (c *cluster) boot(vm int) {
	for _, n := range c.nodes {
		if n.vm == vm && !n.stopped {
			return
		}
	}
	name := dandeliongap.VMName(fmt.Sprintf("vm%d", vm))
	n := &node{
		cluster: c, vm: vm, clockStart: c.now - time.Duration(c.rng.IntN(1000))*time.Second, clockRate: 0.995 + 0.01*c.rng.Float64(),
		id: dandeliongap.MemberID(fmt.Sprintf("%s-%x", name, c.rng.Uint32())), nextPlan: c.now,
		releaseReplies: map[string]func(dgplacement.Action){}, releasedEpochs: map[dandeliongap.ReplicaID]dandeliongap.Epoch{},
	}
	address := fmt.Sprintf("127.0.0.1:%d", 1000+vm)
	self := dandeliongap.Member{
		ID: n.id, VM: name, Zone: zoneNames[vm%len(zoneNames)], CallerAddress: address, PeerAddress: address, State: dandeliongap.MemberLive,
	}
	n.member = dgmember.New(n.localNow(), self, c.rng)
	n.relay = dgrelay.NewRelay(n.localNow(), n.id, func(id dandeliongap.MemberID) bool { return n.member.Alive(n.localNow(), id) })
	n.holdings = dgplacement.NewHoldings(n.id, c.rng)
	c.nodes = append(c.nodes, n)
	n.after(0, n.tick)
}

// localNow returns the time on the VM's own clock, which has an offset and a rate error.
func (n *node) localNow() dandeliongap.Instant {
	return dandeliongap.Instant(float64(n.cluster.now-n.clockStart) * n.clockRate)
}

// after runs an event of this process after d, or when a pause ends if that is later. If
// the process has stopped by then, the event is dropped.
func (n *node) after(d time.Duration, run func()) {
	n.cluster.after(d, func() {
		switch {
		case n.stopped:
		case n.cluster.now < n.pausedUntil:
			n.after(n.pausedUntil-n.cluster.now, run)
		default:
			run()
		}
	})
}

func (n *node) tick() {
	now := n.localNow()
	n.runMemberActions(n.member.Tick(now, nil))
	for _, a := range n.relay.Tick(now, n.cluster.rng, nil) {
		switch a.Kind {
		case dgrelay.KindExchange:
			n.exchange(n.nodeOf(a.Member))
		default:
			n.listObjects()
		}
	}
	n.runHoldingActions(n.holdings.Tick(now, nil))
	if n.cluster.now >= n.nextPlan {
		n.nextPlan = n.cluster.now + 500*time.Millisecond
		n.plan()
	}
	if n.leaving && n.holdings.Idle() && n.table.Rows != nil && !n.owns() {
		n.runMemberActions(n.member.Finish(n.localNow(), nil))
	}
	if n.member.Finished() {
		n.stopped = true
		n.cluster.after(time.Second, func() { n.cluster.boot(n.vm) })
	}
	next := min(n.member.Next(), n.relay.Next(), n.holdings.Next(n.localNow()))
	n.after(max(next.Sub(n.localNow()), 10*time.Millisecond), n.tick)
}

func (n *node) owns() bool {
	for _, r := range n.table.Rows {
		if r.Owner == n.id {
			return true
		}
	}
	return false
}

// nodeOf returns the process of a member, or nil if there is none. For "" it returns a
// random process.
func (n *node) nodeOf(id dandeliongap.MemberID) *node {
	if id == "" {
		return n.cluster.nodes[n.cluster.rng.IntN(len(n.cluster.nodes))]
	}
	for _, o := range n.cluster.nodes {
		if o.id == id {
			return o
		}
	}
	return nil
}

// messageDelay returns a random delay: mostly 1 ms to 11 ms, and for one message in 200 up
// to 15 s, which is longer than any time limit.
func (c *cluster) messageDelay() time.Duration {
	if c.rng.IntN(200) == 0 {
		return time.Duration(c.rng.Int64N(int64(15 * time.Second)))
	}
	return time.Millisecond + time.Duration(c.rng.Int64N(int64(10*time.Millisecond)))
}

// call sends a request to another VM or to the platform, where serve handles it. serve
// replies by calling reply with a function, which runs on this VM when the reply
// arrives. If no reply arrives within 1 s, failed runs instead. The request or the reply
// may be lost or late. delivers reports whether the network delivers the request or, if
// isReply is set, the reply.
func (n *node) call(delivers func(isReply bool) bool, serve func(reply func(func())), failed func()) {
	finished := false
	n.after(time.Second, func() {
		if !finished {
			finished = true
			failed()
		}
	})
	if !delivers(false) || n.cluster.rng.Float64() < n.cluster.lossRate/2 {
		return
	}
	n.cluster.after(n.cluster.messageDelay(), func() {
		serve(func(done func()) {
			if !delivers(true) || n.cluster.rng.Float64() < n.cluster.lossRate/2 {
				return
			}
			n.after(n.cluster.messageDelay(), func() {
				if !finished {
					finished = true
					done()
				}
			})
		})
	})
}

// callPeer calls another VM. Calls to this VM itself, or to none, fail at once.
func (n *node) callPeer(to *node, serve func(reply func(func())), failed func()) {
	if to == nil || to == n {
		n.after(0, failed)
		return
	}
	delivers := func(isReply bool) bool {
		if isReply {
			return !n.cluster.blocked[[2]int{to.vm, n.vm}]
		}
		return !n.cluster.blocked[[2]int{n.vm, to.vm}]
	}
	n.call(delivers, func(reply func(func())) { to.after(0, func() { serve(reply) }) }, failed)
}

// callPlatform makes a conditional write (a deletion if body is nil) or, if write is
// false, a read. done receives the object and whether the write succeeded or, for a
// read, whether the object exists.
func (n *node) callPlatform(name dandeliongap.ObjectName, write bool, body []byte, ifVersion dandeliongap.Version, done func(obj dandeliongap.Object, ok bool), failed func()) {
	delivers := func(bool) bool { return !n.cluster.platformDown[n.vm] }
	n.call(delivers, func(reply func(func())) {
		current, exists := n.cluster.objects[name]
		if !write {
			reply(func() { done(current, exists) })
			return
		}
		if current.Version != ifVersion {
			reply(func() { done(current, false) })
			return
		}
		n.cluster.version++
		obj := dandeliongap.Object{Name: name, Version: n.cluster.version, Body: body}
		if n.cluster.objects[name] = obj; body == nil {
			delete(n.cluster.objects, name)
		}
		reply(func() { done(obj, true) })
	}, failed)
}

// listObjects lists the relayed objects on the platform and adopts them.
func (n *node) listObjects() {
	delivers := func(bool) bool { return !n.cluster.platformDown[n.vm] }
	n.call(delivers, func(reply func(func())) {
		var objs []dandeliongap.Object
		for _, name := range [...]dandeliongap.ObjectName{dgrelay.Members, dgrelay.Placement} {
			if o, ok := n.cluster.objects[name]; ok {
				objs = append(objs, o)
			}
		}
		version := n.cluster.version
		reply(func() {
			n.runMemberActions(n.member.PlatformOK(n.localNow(), nil))
			for _, name := range n.objects.AdoptListing(n.localNow(), objs, version) {
				n.adopted(name)
			}
			if _, ok := n.objects.Get(dgrelay.Members); !ok {
				n.runMemberActions(n.member.MembersAdopted(n.localNow(), 0, false, dgrelay.MemberList{}, nil))
			}
			// The simulation has no watches; it lists the objects once a second instead.
			n.after(time.Second, func() { n.relay.PlatformAnswered(n.localNow(), version) })
		})
	}, func() {
		n.runMemberActions(n.member.PlatformFailed(n.localNow(), nil))
		n.relay.PlatformFailed(n.localNow(), n.cluster.rng)
	})
}

func (n *node) adopt(o dandeliongap.Object) {
	before, _ := n.objects.Get(o.Name)
	if n.objects.Adopt(n.localNow(), o) {
		n.adopted(o.Name)
	}
	if o, _ := n.objects.Get(o.Name); o.Version < before.Version {
		n.cluster.violation = fmt.Sprintf("%v: %s replaced %s by an older version", n.cluster.now, n.id, o.Name)
	}
}

func (n *node) adopted(name dandeliongap.ObjectName) {
	o, _ := n.objects.Get(name)
	switch name {
	case dgrelay.Members:
		n.memberList = must(dgrelay.DecodeMemberList(o.Body))
		n.relay.SetMembers(n.memberList.Members)
		n.runMemberActions(n.member.MembersAdopted(n.localNow(), o.Version, true, n.memberList, nil))
		n.runHoldingActions(n.holdings.MembersAdopted(n.localNow(), o.Version, n.memberList.Members, nil))
	case dgrelay.Placement:
		n.table = must(dgrelay.DecodePlacementTable(o.Body))
		n.moves.Observe(n.localNow(), n.table.Rows)
		n.runHoldingActions(n.holdings.TableAdopted(n.localNow(), o.Version, n.table, nil))
	}
	for _, a := range n.relay.Adopted(n.cluster.rng, nil) {
		n.exchange(n.nodeOf(a.Member))
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// exchange asks a peer for relayed objects that are newer than those of this VM. A peer
// that has an older object starts an exchange in return.
func (n *node) exchange(to *node) {
	sent, digest, self := n.localNow(), n.objects.Digest(), n.member.Self()
	n.callPeer(to, func(reply func(func())) {
		to.runMemberActions(to.member.JoinRequested(to.localNow(), self, nil))
		a := dgmember.ExchangeAnswer{From: to.id, Sent: sent, ReachesPlatform: to.member.ReachesPlatform(to.localNow())}
		a.Contacts = to.member.ContactVector(to.localNow(), nil)
		newer := to.objects.NewerThan(digest, dgrelay.MessageBodyLimit)
		if to.objects.Behind(digest) {
			to.exchange(n)
		}
		reply(func() {
			n.relay.PeerAnswered(n.localNow())
			for _, o := range newer {
				n.adopt(o)
			}
			n.runMemberActions(n.member.ExchangeSucceeded(n.localNow(), a, nil))
		})
	}, func() { n.runMemberActions(n.member.ExchangeFailed(n.localNow(), "", nil)) })
}

func leaseName(id dandeliongap.MemberID) dandeliongap.ObjectName {
	return dandeliongap.ObjectName("leases/" + string(id))
}

// runMemberActions carries out actions of dgmember.
func (n *node) runMemberActions(as []dgmember.Action) {
	for _, a := range as {
		n.runMemberAction(a)
	}
}

func (n *node) runMemberAction(a dgmember.Action) {
	decodeLease := func(o dandeliongap.Object) (l dgmember.Lease) {
		if o.Body != nil {
			return must(dgmember.DecodeLease(o.Body))
		}
		return l
	}
	unreachable := func() { n.runMemberActions(n.member.RenewUnreachable(n.localNow(), a.Lease.Attempt, nil)) }
	callFailed := func() { n.runMemberActions(n.member.SuspectCallFailed(n.localNow(), a.Member, nil)) }
	switch a.Kind {
	case dgmember.KindRenew:
		n.renew(a, unreachable)
	case dgmember.KindReadBack:
		n.callPlatform(leaseName(n.id), false, nil, 0, func(o dandeliongap.Object, ok bool) {
			n.runMemberActions(n.member.LeaseReadBack(n.localNow(), ok, o.Version, decodeLease(o), nil))
		}, unreachable)
	case dgmember.KindExchange:
		n.exchange(n.nodeOf(a.Member))
	case dgmember.KindReadLease:
		n.callPlatform(leaseName(a.Member), false, nil, 0, func(o dandeliongap.Object, ok bool) {
			n.runMemberActions(n.member.SuspectLeaseRead(n.localNow(), a.Member, ok, o.Version, decodeLease(o), nil))
		}, callFailed)
	case dgmember.KindDeleteLease:
		n.callPlatform(leaseName(a.Member), true, nil, a.Version, func(_ dandeliongap.Object, ok bool) {
			if ok {
				if a.Member != n.id {
					n.cluster.fencedCount++
				}
				n.runMemberActions(n.member.LeaseDeleted(n.localNow(), a.Member, nil))
				return
			}
			n.runMemberActions(n.member.LeaseConflict(n.localNow(), a.Member, nil))
		}, callFailed)
	case dgmember.KindWriteMembers:
		notWritten := func() { n.runMemberActions(n.member.MembersNotWritten(n.localNow(), nil)) }
		n.callPlatform(dgrelay.Members, true, must(dgrelay.EncodeMemberList(a.List)), a.Version, func(o dandeliongap.Object, ok bool) {
			if ok {
				n.adopt(o)
				return
			}
			notWritten()
		}, notWritten)
	case dgmember.KindStopLost:
		n.stopped = true
		n.cluster.after(time.Second, func() { n.cluster.boot(n.vm) })
	}
}

// renew renews the lease of this VM on the platform, through the member a.Via if it is
// set.
func (n *node) renew(a dgmember.Action, unreachable func()) {
	body := dgmember.EncodeLease(a.Lease)
	done := func(o dandeliongap.Object, ok bool) {
		if ok {
			n.runMemberActions(n.member.RenewOK(n.localNow(), a.Lease.Attempt, o.Version, nil))
			return
		}
		n.runMemberActions(n.member.RenewConflict(n.localNow(), a.Lease.Attempt, nil))
	}
	if a.Via == "" {
		n.callPlatform(leaseName(n.id), true, body, a.Version, done, unreachable)
		return
	}
	via := n.nodeOf(a.Via)
	n.callPeer(via, func(reply func(func())) {
		via.callPlatform(leaseName(n.id), true, body, a.Version, func(o dandeliongap.Object, ok bool) {
			reply(func() { done(o, ok) })
		}, func() {})
	}, unreachable)
}

// runHoldingActions carries out actions of Holdings.
func (n *node) runHoldingActions(as []dgplacement.Action) {
	for _, a := range as {
		key := fmt.Sprint(a.Member, a.Replica, a.Epoch)
		switch a.Kind {
		case dgplacement.KindAskRelease:
			n.askRelease(a)
		case dgplacement.KindRevoke:
			n.after(time.Duration(n.cluster.rng.IntN(200))*time.Millisecond, func() {
				n.runHoldingActions(n.holdings.Drained(n.localNow(), a.Replica, dgplacement.GateState{Limit: 3}, nil))
			})
		case dgplacement.KindAnswerRelease:
			if a.Released {
				n.releasedEpochs[a.Replica] = max(n.releasedEpochs[a.Replica], a.Epoch)
			}
			if reply := n.releaseReplies[key]; reply != nil {
				delete(n.releaseReplies, key)
				reply(a)
			}
		}
	}
}

func (n *node) askRelease(a dgplacement.Action) {
	to := n.nodeOf(a.Member)
	n.callPeer(to, func(reply func(func())) {
		to.releaseReplies[fmt.Sprint(n.id, a.Replica, a.Epoch)] = func(b dgplacement.Action) {
			reply(func() {
				n.runHoldingActions(n.holdings.ReleaseAnswered(n.localNow(), a.Member, a.Replica, a.Epoch, b.Released, b.State, nil))
			})
		}
		to.runHoldingActions(to.holdings.ReleaseRequested(to.localNow(), n.id, a.Member, a.Replica, a.Epoch, nil))
	}, func() { n.runHoldingActions(n.holdings.ReleaseFailed(n.localNow(), a.Member, a.Replica, a.Epoch, nil)) })
}

// plan writes the table if the plan has changes. VM 1 does not wait for its turn,
// because the rank order of L1 only saves calls and must not be needed for safety.
func (n *node) plan() {
	members, ok := n.objects.Get(dgrelay.Members)
	if !ok || !n.member.Listed() {
		return
	}
	old, _ := n.objects.Get(dgrelay.Placement)
	rows, ds := dgplacement.Plan(n.localNow(), dgplacement.Input{
		Deployment: n.cluster.deployment, ConfigVersion: 1, Members: n.memberList.Members, MembersVersion: members.Version,
		Table: n.table, TableVersion: old.Version, Moves: &n.moves,
	})
	if len(ds) > 0 && !n.hasChanges {
		n.changesSince = n.localNow()
	}
	n.hasChanges = len(ds) > 0
	if !n.hasChanges || (!n.member.MayWritePlacement(n.localNow(), n.changesSince) && n.vm != 1) {
		return
	}
	body := must(dgrelay.EncodePlacementTable(dgrelay.PlacementTable{Rows: rows, MembersVersion: members.Version, ConfigVersion: 1}))
	n.callPlatform(dgrelay.Placement, true, body, old.Version, func(o dandeliongap.Object, ok bool) {
		if ok {
			n.adopt(o)
		}
	}, func() {})
}
