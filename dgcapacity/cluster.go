package dgcapacity

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

// event is something that happens at one instant of the virtual clock.
type event struct {
	at  dandeliongap.Instant
	seq uint64 // order of events at the same instant
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// traffic counts the messages of all VMs and their bytes by field.
type traffic struct {
	messages         int
	headers          int
	contacts         int // contact vectors
	digest           int
	members          int // relayed objects
	placement        int
	deployment       int
	other            int
	sent, received   int
	transferred      int // relayed objects in messages
	exchanges        int
	largest          int // bytes of the largest message
	releases         int
	repeatedTransfer int // relayed objects that the receiver held already
}

func (t traffic) minus(o traffic) traffic {
	t.messages -= o.messages
	t.headers -= o.headers
	t.contacts -= o.contacts
	t.digest -= o.digest
	t.members -= o.members
	t.placement -= o.placement
	t.deployment -= o.deployment
	t.other -= o.other
	t.sent -= o.sent
	t.received -= o.received
	t.transferred -= o.transferred
	t.exchanges -= o.exchanges
	t.releases -= o.releases
	t.repeatedTransfer -= o.repeatedTransfer
	return t
}

// cluster is a fleet of VMs on a virtual clock.
type cluster struct {
	now     dandeliongap.Instant
	queue   eventQueue
	seq     uint64
	rng     *rand.Rand
	store   *store
	nodes   []*node
	byID    map[dandeliongap.MemberID]*node
	shared  *shared
	traffic traffic
	work    work
	loss    float64 // share of exchanges that fail
	started int     // VMs ever started
	adopted map[dandeliongap.Version]int
	stopped []string // VMs that were fenced or dropped
	// lastAdopted is when a VM last adopted an object.
	lastAdopted dandeliongap.Instant
}

// newCluster starts n VMs with an accepted deployment, a list of members and a
// placement table, as after a long time without changes.
func newCluster(n int, seed uint64) (*cluster, error) {
	c := &cluster{
		rng:     rand.New(rand.NewPCG(seed, uint64(n))),
		store:   newStore(),
		byID:    map[dandeliongap.MemberID]*node{},
		shared:  newShared(),
		adopted: map[dandeliongap.Version]int{},
	}
	for range n {
		c.nodes = append(c.nodes, c.newNode(c.started))
		c.started++
	}
	if err := c.writeState(Replicas(n)); err != nil {
		return nil, err
	}
	objs, _ := c.store.list()
	c.store.calls = calls{}
	for _, nd := range c.nodes {
		// Renewals keep the phase of the start, so that VMs that start together
		// renew together. These start as after a long time of replacements.
		c.after(time.Duration(c.rng.Int64N(int64(dgmember.RenewInterval(n)))), func() { nd.start(objs) })
	}
	return c, nil
}

// writeState puts the objects of a settled fleet into the store.
func (c *cluster) writeState(replicas int) error {
	body, err := deploymentBody(replicas, "0")
	if err != nil {
		return err
	}
	d, err := parseDeployment(body)
	if err != nil {
		return err
	}
	c.store.set(dandeliongap.Object{Name: dgrelay.Deployment, Body: body})
	in := dgplacement.Input{Deployment: d, ConfigVersion: c.store.version}
	for _, nd := range c.nodes {
		in.Members = append(in.Members, nd.self)
	}
	dgrelay.SortByRank(in.Members)
	if body, err = dgrelay.EncodeMemberList(dgrelay.MemberList{Members: in.Members, WriteID: "0"}); err != nil {
		return err
	}
	c.store.set(dandeliongap.Object{Name: dgrelay.Members, Body: body})
	in.MembersVersion = c.store.version
	rows, _ := dgplacement.Plan(0, in)
	body, err = dgrelay.EncodePlacementTable(dgrelay.PlacementTable{Rows: rows, MembersVersion: in.MembersVersion, ConfigVersion: in.ConfigVersion, WriteID: "0"})
	if err != nil {
		return err
	}
	c.store.set(dandeliongap.Object{Name: dgrelay.Placement, Body: body})
	if body, err = dgrelay.EncodeZones(dgrelay.ZonesOut{WriteID: "0"}); err != nil {
		return err
	}
	c.store.set(dandeliongap.Object{Name: dgrelay.Zones, Body: body})
	return nil
}

// newNode returns the VM with the given number and a random incarnation.
func (c *cluster) newNode(number int) *node {
	vm := fmt.Sprintf("entry-%03d", number)
	address := fmt.Sprintf("10.%d.%d.%d", number%len(zones)+1, number/200, number%200+1)
	self := dandeliongap.Member{
		ID:            dandeliongap.MemberID(fmt.Sprintf("%s-%016x", vm, c.rng.Uint64())),
		VM:            dandeliongap.VMName(vm),
		Zone:          zones[number%len(zones)],
		CallerAddress: address + ":8080",
		PeerAddress:   address + ":8081",
		State:         dandeliongap.MemberLive,
	}
	n := &node{c: c, self: self, rng: rand.New(rand.NewPCG(c.rng.Uint64(), c.rng.Uint64()))}
	c.byID[self.ID] = n
	return n
}

// after runs f at the given time from now.
func (c *cluster) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(d), seq: c.seq, run: f})
}

// run advances the clock until the given time has passed or done holds.
func (c *cluster) run(d time.Duration, done func() bool) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
		if done != nil && done() {
			return
		}
	}
	c.now = end
}

// running returns the VMs that run.
func (c *cluster) running() []*node {
	var up []*node
	for _, n := range c.nodes {
		if !n.down {
			up = append(up, n)
		}
	}
	return up
}

// change writes a new deployment text at one VM and returns the time from its
// acceptance until it is in force on all, and false if that took over a minute.
func (c *cluster) change(mark string) (time.Duration, bool, error) {
	up := c.running()
	at := up[c.rng.IntN(len(up))]
	held, _ := at.set.Get(dgrelay.Deployment)
	body, err := deploymentBody(len(at.state.table.Rows), mark)
	if err != nil {
		return 0, false, err
	}
	var accepted dandeliongap.Instant
	var version dandeliongap.Version
	at.put(dgrelay.Deployment, body, held.Version, func(v dandeliongap.Version, ok bool) {
		if !ok {
			err = fmt.Errorf("change %s: %w", mark, dandeliongap.ErrConflict)
			return
		}
		accepted, version = c.now, v
		at.adopt(dandeliongap.Object{Name: dgrelay.Deployment, Version: v, Body: body})
	})
	all := func() bool { return err != nil || (version != 0 && c.adopted[version] == len(up)) }
	c.run(time.Minute, all)
	return c.now.Sub(accepted), all() && err == nil, err
}

// replace stops one VM gracefully and starts another process in its place. It
// returns the time that both took together, and false after two minutes.
func (c *cluster) replace() (time.Duration, bool) {
	began := c.now
	up := c.running()
	old := up[c.rng.IntN(len(up))]
	old.post(old.leave)
	c.run(time.Minute, func() bool { return old.down })
	number := 0
	for i, n := range c.nodes {
		if n == old {
			number = i
		}
	}
	next := c.newNode(number)
	c.nodes[number] = next
	delete(c.byID, old.self.ID)
	next.start(nil)
	holds := func() bool { return next.member.Listed() && next.holdings != nil && !next.holdings.Idle() }
	c.run(time.Minute, holds)
	return c.now.Sub(began), old.down && holds()
}
