package dgcapacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
)

const (
	// warmUp lets all VMs hear of each other and list the platform's state.
	warmUp = 30 * time.Second
	// settle is the time after a change whose cost is counted with it.
	settle = 10 * time.Second
	// failingShare is the share of exchanges that fail in the runs with loss.
	failingShare = 1.0 / 3
	// replacements is the number of replaced VMs that are averaged.
	replacements = 2
)

// unitCosts is the time of one run of each piece of work that is charged (S3).
type unitCosts struct {
	parse, decodeTable, decodeList       cost
	compressDeployment, expandDeployment cost
	compressTable, expandTable           cost
	compressList, expandList             cost
	publish, plan, planMoves             cost
	tableBytes, tableGzip                int
	listBytes, listGzip                  int
	deploymentBytes, deploymentGzip      int
}

// charge returns the time of the counted work without plans, for one VM.
func (u *unitCosts) charge(w work, vms int) time.Duration {
	sum := time.Duration(w.parse)*u.parse.time + time.Duration(w.decodeTable)*u.decodeTable.time +
		time.Duration(w.decodeList)*u.decodeList.time + time.Duration(w.compressDeployment)*u.compressDeployment.time +
		time.Duration(w.expandDeployment)*u.expandDeployment.time + time.Duration(w.compressTable)*u.compressTable.time +
		time.Duration(w.expandTable)*u.expandTable.time + time.Duration(w.compressList)*u.compressList.time +
		time.Duration(w.expandList)*u.expandList.time + time.Duration(w.publish)*u.publish.time
	return sum / time.Duration(vms)
}

// measureUnits times the shared work with the objects of a settled fleet.
func measureUnits(c *cluster, least time.Duration) (*unitCosts, error) {
	u := &unitCosts{}
	n := c.nodes[0]
	type unit struct {
		name             dandeliongap.ObjectName
		decode           func(body []byte) error
		cost, comp, exp  *cost
		size, compressed *int
	}
	for _, x := range []unit{
		{dgrelay.Deployment, func(b []byte) error { _, err := parseDeployment(b); return err }, &u.parse, &u.compressDeployment, &u.expandDeployment, &u.deploymentBytes, &u.deploymentGzip},
		{dgrelay.Placement, func(b []byte) error { _, err := dgrelay.DecodePlacementTable(b); return err }, &u.decodeTable, &u.compressTable, &u.expandTable, &u.tableBytes, &u.tableGzip},
		{dgrelay.Members, func(b []byte) error { _, err := dgrelay.DecodeMemberList(b); return err }, &u.decodeList, &u.compressList, &u.expandList, &u.listBytes, &u.listGzip},
	} {
		obj, _ := n.set.Get(x.name)
		gz, err := compress(obj.Body)
		if err != nil {
			return nil, err
		}
		if err := x.decode(obj.Body); err != nil {
			return nil, err
		}
		*x.size, *x.compressed = len(obj.Body), len(gz)
		*x.cost = timed(least, func() { _ = x.decode(obj.Body) })
		*x.comp = timed(least, func() { _, _ = compress(obj.Body) })
		*x.exp = timed(least, func() { _, _ = expand(gz) })
	}
	u.publish = timed(least, func() { publish(n) })
	in := n.planInput()
	u.plan = timed(least, func() { dgplacement.Plan(c.now, in) })
	in.Members = slices.Delete(slices.Clone(in.Members), 0, 1)
	in.MembersVersion++
	in.Moves = nil
	u.planMoves = timed(least, func() { dgplacement.Plan(c.now, in) })
	return u, nil
}

// publish builds the view that dgnode publishes and looks up the rows of this
// VM's gates, as its configureGates does.
func publish(n *node) *dandeliongap.View {
	v := &dandeliongap.View{
		Self:       n.self.ID,
		Deployment: n.state.deployment,
		Members:    make(map[dandeliongap.MemberID]dandeliongap.Member, len(n.state.list.Members)),
		Placement:  make(map[dandeliongap.ReplicaID]dandeliongap.Placement, len(n.state.table.Rows)),
		Serving:    true,
	}
	for _, m := range n.state.list.Members {
		v.Members[m.ID] = m
	}
	for _, p := range n.state.table.Rows {
		v.Placement[p.Replica] = p
	}
	gates := 0
	for _, s := range v.Deployment.Services {
		for i := range s.Replicas {
			if v.Placement[s.Replicas[i].ID].Owner == n.self.ID {
				gates++
			}
		}
	}
	return v
}

// snapshot is what was counted up to one instant.
type snapshot struct {
	at        dandeliongap.Instant
	processor time.Duration
	traffic   traffic
	calls     calls
	work      work
}

func (c *cluster) snapshot() snapshot {
	return snapshot{c.now, processorTime(), c.traffic, c.store.calls, c.work}
}

// since returns what was counted between two snapshots; at holds the time.
func (s snapshot) since(o snapshot) snapshot {
	return snapshot{dandeliongap.Instant(s.at.Sub(o.at)), s.processor - o.processor, s.traffic.minus(o.traffic), s.calls.minus(o.calls), s.work.minus(o.work)}
}

func (s snapshot) seconds() float64 { return time.Duration(s.at).Seconds() }

// controlRun measures one size of the fleet.
type controlRun struct {
	r     *Report
	c     *cluster
	o     Options
	n     int
	units *unitCosts
	idle  snapshot
	bytes float64 // sent and received per VM and second, all causes
	core  float64 // percent of a core without idle plans, all causes
}

func measureControl(ctx context.Context, r *Report, o Options, n int) error {
	c, err := newCluster(n, o.Seed)
	if err != nil {
		return err
	}
	run := &controlRun{r: r, c: c, o: o, n: n}
	c.run(warmUp, nil)
	if run.units, err = measureUnits(c, o.Timing); err != nil {
		return err
	}
	run.reportUnits()
	run.measureMemory()
	run.measureIdle()
	for _, step := range []func() error{run.measureChanges, run.measureReplacements, run.measureLoss, run.measureOutages} {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := step(); err != nil {
			return err
		}
	}
	run.reportTotals()
	return nil
}

func (m *controlRun) add(quantity, unit string, value float64) *Row {
	return m.r.add(quantity, unit, drivenByMembers, m.n, value)
}

func (m *controlRun) addReplicas(quantity, unit string, value float64) *Row {
	return m.r.add(quantity, unit, drivenByReplicas, Replicas(m.n), value)
}

func (m *controlRun) reportUnits() {
	u := m.units
	m.addReplicas("deployment text object", "bytes", float64(u.deploymentBytes))
	m.addReplicas("deployment text object, gzip", "bytes", float64(u.deploymentGzip))
	m.addReplicas("placement table object", "bytes", float64(u.tableBytes))
	m.addReplicas("placement table object, gzip", "bytes", float64(u.tableGzip))
	m.add("members object", "bytes", float64(u.listBytes))
	m.add("members object, gzip", "bytes", float64(u.listGzip))
	m.addReplicas("parse deployment text", "us", microseconds(u.parse.time))
	m.addReplicas("compress deployment text", "us", microseconds(u.compressDeployment.time))
	m.addReplicas("decompress deployment text", "us", microseconds(u.expandDeployment.time))
	m.addReplicas("decode placement table", "us", microseconds(u.decodeTable.time))
	m.addReplicas("compress placement table", "us", microseconds(u.compressTable.time))
	m.addReplicas("decompress placement table", "us", microseconds(u.expandTable.time))
	m.add("decode members", "us", microseconds(u.decodeList.time))
	m.add("compress members", "us", microseconds(u.compressList.time))
	m.add("decompress members", "us", microseconds(u.expandList.time))
	m.addReplicas("publish one view", "us", microseconds(u.publish.time))
	m.addReplicas("one placement plan without moves", "us", microseconds(u.plan.time))
	m.addReplicas("one placement plan after a member is gone", "us", microseconds(u.planMoves.time))
	m.addReplicas("one placement plan without moves, allocations", "count", u.plan.allocations)
}

// measureMemory builds the control state of one more VM of this size from its
// own copies of all objects.
func (m *controlRun) measureMemory() {
	var objs []dandeliongap.Object
	for _, name := range []dandeliongap.ObjectName{dgrelay.Members, dgrelay.Deployment, dgrelay.Placement, dgrelay.Zones} {
		if obj, ok := m.c.nodes[0].set.Get(name); ok {
			objs = append(objs, obj)
		}
	}
	self := m.c.nodes[0].self
	type held struct {
		n *node
		v *dandeliongap.View
	}
	size, kept := heapOf(func() held {
		alone := &cluster{store: newStore(), shared: newShared(), adopted: map[dandeliongap.Version]int{}, rng: rand.New(rand.NewPCG(1, 1))}
		n := &node{c: alone, self: self, rng: alone.rng}
		n.member = dgmember.New(0, self, n.rng)
		n.relay = dgrelay.NewRelay(0, self.ID, func(dandeliongap.MemberID) bool { return true })
		n.holdings = dgplacement.NewHoldings(self.ID, n.rng)
		for _, obj := range objs {
			obj.Body = slices.Clone(obj.Body)
			n.adopt(obj)
		}
		return held{n, publish(n)}
	})
	runtime.KeepAlive(kept)
	m.addReplicas("control state of one VM", "MB", size/1e6).Budget = BudgetMemory
}

func (m *controlRun) measureIdle() {
	c, n := m.c, float64(m.n)
	runtime.GC()
	before := c.snapshot()
	c.run(m.o.Idle, nil)
	m.idle = c.snapshot().since(before)
	s, t := m.idle.seconds(), m.idle.traffic
	perVM := func(count int) float64 { return float64(count) / s / n }
	m.bytes = perVM(t.sent + t.received)
	m.add("idle: control bytes sent", "B/s per VM", perVM(t.sent))
	m.add("idle: control bytes received", "B/s per VM", perVM(t.received))
	m.add("idle: control bytes sent and received", "B/s per VM", m.bytes).Budget = BudgetBytes
	m.add("idle: of sent: contact vectors", "B/s per VM", perVM(t.contacts))
	m.add("idle: of sent: digests", "B/s per VM", perVM(t.digest))
	m.add("idle: of sent: HTTP headers", "B/s per VM", perVM(t.headers))
	m.add("idle: of sent: other fields", "B/s per VM", perVM(t.other))
	m.add("idle: messages sent", "1/s per VM", perVM(t.messages))
	live := percent(m.idle.processor, s*n)
	m.core = live + percent(m.units.charge(m.idle.work, m.n), s)
	m.add("idle: processor time without plans", "% of a core per VM", m.core)
	m.add("idle: placement plans", "1/s per VM", perVM(m.idle.work.plan))
	m.add("idle: processor time of placement plans", "% of a core per VM", m.plans()).Budget = BudgetCore
	for k, count := range m.idle.calls {
		m.add("idle: "+callNames[k], "1/s in all", float64(count)/s)
	}
	m.add("idle: platform calls", "1/s in all", float64(m.idle.calls.total())/s)
	m.add("idle: platform calls per VM", "1/s per VM", perVM(m.idle.calls.total())).Budget = BudgetPlatform
}

// plans returns the share of a core that one idle VM spends on plans.
func (m *controlRun) plans() float64 {
	each := float64(m.idle.work.plan) / m.idle.seconds() / float64(m.n)
	return each * m.units.plan.time.Seconds() * 100
}

func percent(d time.Duration, seconds float64) float64 { return d.Seconds() / seconds * 100 }

// excess is what one change costs beyond idle time (S5).
type excess struct {
	bytes, sent float64 // per VM
	messages    float64 // per VM
	processor   time.Duration
	plans       float64 // per VM
	calls       calls
	delta       snapshot
}

func (m *controlRun) excess(before snapshot, count int) excess {
	d := m.c.snapshot().since(before)
	idle := d.seconds() / m.idle.seconds()
	n, k := float64(m.n), float64(count)
	over := func(all, base int) float64 { return (float64(all) - float64(base)*idle) / n / k }
	e := excess{
		sent:     over(d.traffic.sent, m.idle.traffic.sent),
		bytes:    over(d.traffic.sent+d.traffic.received, m.idle.traffic.sent+m.idle.traffic.received),
		messages: over(d.traffic.messages, m.idle.traffic.messages),
		plans:    over(d.work.plan, m.idle.work.plan),
		delta:    d,
	}
	live := d.processor.Seconds() - m.idle.processor.Seconds()*idle
	work := d.work
	work.plan = 0
	e.processor = time.Duration(live/n/k*1e9) + m.units.charge(work, m.n)/time.Duration(count)
	for i := range e.calls {
		e.calls[i] = int(float64(d.calls[i])/k - float64(m.idle.calls[i])*idle/k + 0.5)
	}
	return e
}

// changes is the number of changes that are measured; more where they are cheap,
// because the longest time counts.
func (m *controlRun) changes() int {
	if m.n <= 50 {
		return 10 * m.o.Changes
	}
	return m.o.Changes
}

func (m *controlRun) measureChanges() error {
	before := m.c.snapshot()
	var took []time.Duration
	for i := range m.changes() {
		d, ok, err := m.c.change(strconv.Itoa(i + 1))
		if err != nil {
			return err
		}
		if !ok {
			return fmt.Errorf("%d members: a change was not in force after a minute: %w", m.n, dandeliongap.ErrUnreachable)
		}
		took = append(took, d)
		m.c.run(settle, nil)
	}
	e := m.excess(before, m.changes())
	m.inForce("in force on all after", took, BudgetInForce)
	m.reportExcess("a change", e, TargetChanges)
	return nil
}

// inForce adds the longest and the median of times.
func (m *controlRun) inForce(quantity string, took []time.Duration, small float64) {
	slices.Sort(took)
	m.add(quantity+", median", "s", took[len(took)/2].Seconds())
	row := m.add(quantity+", longest", "s", took[len(took)-1].Seconds())
	row.Budget = BudgetLarge
	row.Note = fmt.Sprintf("the limit is %v s at 6 members and %v s at %d", small, BudgetLarge, TargetMembers)
}

func (m *controlRun) reportExcess(what string, e excess, perDay float64) {
	t, n := e.delta.traffic, float64(m.n)
	m.add(what+": bytes sent", "B per VM", e.sent)
	m.add(what+": bytes sent and received", "B per VM", e.bytes)
	m.add(what+": messages sent", "count per VM", e.messages)
	m.add(what+": processor time without plans", "ms per VM", e.processor.Seconds()*1e3)
	plans := time.Duration(e.plans * float64(m.units.plan.time))
	m.add(what+": placement plans", "count per VM", e.plans)
	m.add(what+": processor time of placement plans", "ms per VM", plans.Seconds()*1e3)
	m.add(what+": platform calls other than periodic ones", "count in all", float64(e.calls.total()-e.calls[callWriteLease]-e.calls[callReadVMs]))
	m.add(what+": state writes", "count in all", float64(e.calls[callWriteState]))
	each := n * float64(m.count(what))
	m.add(what+": of sent: deployment texts", "B per VM", float64(t.deployment)/each)
	m.add(what+": of sent: members", "B per VM", float64(t.members)/each)
	m.add(what+": of sent: placement tables", "B per VM", float64(t.placement)/each)
	m.add(what+": repeated transfers of an object", "share", float64(t.repeatedTransfer)/float64(max(1, t.transferred)))
	m.add(what+": objects received", "count per VM", float64(t.transferred)/each)
	rate := e.bytes * perDay / secondsPerDay
	core := percent(e.processor+plans, secondsPerDay) * perDay
	m.add(what+": processor time of placement plans at the target's rate", "% of a core per VM", percent(plans, secondsPerDay)*perDay)
	m.add(what+": bytes sent and received at the target's rate", "B/s per VM", rate)
	m.add(what+": processor time at the target's rate", "% of a core per VM", core)
	m.bytes += rate
	m.core += core
}

func (m *controlRun) count(what string) int {
	if what == "a change" {
		return m.changes()
	}
	return replacements
}

func (m *controlRun) measureReplacements() error {
	before, written := m.c.snapshot(), len(m.c.store.replaced)
	var longest time.Duration
	for range replacements {
		d, ok := m.c.replace()
		if !ok {
			return fmt.Errorf("%d members: a VM was not replaced after two minutes: %w", m.n, dandeliongap.ErrUnreachable)
		}
		longest = max(longest, d)
		m.c.run(settle, nil)
	}
	m.add("a replaced VM: time from leaving until the next one holds a replica", "s", longest.Seconds())
	m.reportExcess("a replaced VM", m.excess(before, replacements), TargetMemberChanges)
	size, err := differences(m.c.store.replaced[written:])
	if err != nil {
		return err
	}
	m.add("a replaced VM: differences of tables and lists, gzip", "bytes", float64(size)/replacements)
	return nil
}

// measureLoss measures changes while a third of the exchanges fail.
func (m *controlRun) measureLoss() error {
	m.c.loss = failingShare
	defer func() { m.c.loss = 0 }()
	m.c.run(settle, nil)
	before := m.c.snapshot()
	var took []time.Duration
	for i := range m.changes() {
		d, ok, err := m.c.change("loss-" + strconv.Itoa(i+1))
		if err != nil {
			return err
		}
		if !ok {
			return fmt.Errorf("%d members, a third of the exchanges failing: a change was not in force after a minute: %w", m.n, dandeliongap.ErrUnreachable)
		}
		took = append(took, d)
		m.c.run(settle, nil)
	}
	d := m.c.snapshot().since(before)
	m.inForce("in force on all after, a third of exchanges failing", took, BudgetInForceLoss)
	m.add("a third of exchanges failing: platform calls", "1/s in all", float64(d.calls.total())/d.seconds())
	m.add("VMs fenced or dropped without a crash", "count", float64(len(m.c.stopped)))
	return nil
}

func (m *controlRun) reportTotals() {
	m.add("all control: bytes sent and received", "B/s per VM", m.bytes).Budget = BudgetBytes
	m.add("all control: bytes sent", "B/s per VM", m.bytes/2).Budget = BudgetBytes
	m.add("all control: processor time without idle plans", "% of a core per VM", m.core).Budget = BudgetCore
	m.add("all control: processor time", "% of a core per VM", m.core+m.plans()).Budget = BudgetCore
}
