package dgcapacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
)

const (
	// fanoutService is the group whose searches are measured.
	fanoutService = dandeliongap.ServiceName("all")
	// subLatency is the time in which a replica answers.
	subLatency = 10 * time.Millisecond
	// queryDeadline is the time limit of a query.
	queryDeadline = 300 * time.Millisecond
	// openQueries are the queries in flight whose memory is measured together.
	openQueries = 64
	// warmQueries lets the planner know every replica.
	warmQueries = 40
)

// fanoutView returns a view with one group over leaves of two replicas each.
func fanoutView(leaves int) *dandeliongap.View {
	v := &dandeliongap.View{
		Self:      "member-0",
		Serving:   true,
		Members:   map[dandeliongap.MemberID]dandeliongap.Member{},
		Placement: map[dandeliongap.ReplicaID]dandeliongap.Placement{},
	}
	for i, z := range zones {
		id := dandeliongap.MemberID(fmt.Sprintf("member-%d", i))
		v.Members[id] = dandeliongap.Member{ID: id, Zone: z}
	}
	group := &dandeliongap.Service{Name: fanoutService, Kind: dandeliongap.KindGroup, Partial: true}
	v.Deployment = &dandeliongap.Deployment{Services: map[dandeliongap.ServiceName]*dandeliongap.Service{fanoutService: group}}
	for i := range leaves {
		l := &dandeliongap.Service{Name: dandeliongap.ServiceName(fmt.Sprintf("shard-%03d", i))}
		l.Leaves = []dandeliongap.ServiceName{l.Name}
		for k := range 2 {
			z := (i + k) % len(zones)
			r := dandeliongap.Replica{ID: dandeliongap.ReplicaID(fmt.Sprintf("%s/%d", l.Name, k)), Zone: zones[z], Slots: 3, ColdLimit: 1}
			l.Replicas = append(l.Replicas, r)
			v.Placement[r.ID] = dandeliongap.Placement{Replica: r.ID, Owner: dandeliongap.MemberID(fmt.Sprintf("member-%d", z))}
		}
		v.Deployment.Services[l.Name] = l
		group.Leaves = append(group.Leaves, l.Name)
	}
	return v
}

// fanout drives one planner.
type fanout struct {
	planner dgfanout.Planner
	view    *dandeliongap.View
	now     dandeliongap.Instant
	rng     *rand.Rand
	number  uint64
	bodies  []dgfanout.Body
	actions []dgfanout.Action
	sent    int // attempts of the last query
}

func newFanout(shards int) *fanout {
	f := &fanout{view: fanoutView(shards), rng: rand.New(rand.NewPCG(1, uint64(shards)))}
	for i := range shards {
		f.bodies = append(f.bodies, dgfanout.Body{Parts: []dgfanout.Part{{Part: dandeliongap.PartID(i)}}})
	}
	for range warmQueries {
		f.query()
	}
	return f
}

func (f *fanout) start() *dgfanout.Query {
	f.number++
	var q *dgfanout.Query
	q, f.actions = f.planner.Start(f.now, f.view, dgfanout.Request{
		Number: f.number, Service: fanoutService, Deadline: f.now.Add(queryDeadline),
	}, f.rng, f.actions[:0])
	return q
}

// query runs one query whose sub-requests are all answered by the first attempt,
// and reports whether it is complete.
func (f *fanout) query() bool {
	q := f.start()
	f.now = f.now.Add(subLatency)
	f.sent = len(f.actions)
	for i := range f.sent {
		a := &f.actions[i]
		f.actions = f.planner.HandleAnswer(f.now, f.view, q, dgfanout.Answer{
			ID: a.ID, Replica: a.Replica, Status: dandeliongap.SubAnswered,
			Load: dandeliongap.ReplicaLoad{Limit: 3, Busy: 1}, Parsed: &f.bodies[a.ID.Shard],
		}, f.rng, f.actions)
	}
	return q.Result().Merged == len(f.bodies)
}

func measureFanout(r *Report, o Options) error {
	for _, shards := range o.Shards {
		f := newFanout(shards)
		if !f.query() || f.sent != shards {
			return fmt.Errorf("fan-out to %d shards: %d attempts and not all merged: %w", shards, f.sent, dandeliongap.ErrInvalid)
		}
		c := timed(o.Timing, func() { f.query() })
		add := func(quantity, unit string, v float64) *Row { return r.add(quantity, unit, drivenByShards, shards, v) }
		add("fan-out decisions of one query", "us", microseconds(c.time))
		add("fan-out decisions of one query, allocations", "count", c.allocations)
		add("fan-out decisions of one query, allocated", "KB", c.bytes/1e3)
		add("fan-out decisions per sub-request", "us", microseconds(c.time)/float64(shards)).Budget = BudgetSubRequest
		accepted := acceptedBodies(shards)
		c = timed(o.Timing, func() { dgfanout.Merge(accepted) })
		add("merge of one query", "us", microseconds(c.time))
		open := make([]*dgfanout.Query, openQueries)
		size, _ := heapOf(func() []*dgfanout.Query {
			for i := range open {
				open[i] = f.start()
			}
			return open
		})
		add("memory of one query in flight", "KB", size/openQueries/1e3)
		runtime.KeepAlive(open)
		view, planners := f.view, make([]*dgfanout.Planner, 8)
		perPlanner, _ := heapOf(func() []*dgfanout.Planner {
			for i := range planners {
				g := &fanout{view: view, rng: f.rng, bodies: f.bodies}
				for range warmQueries {
					g.query()
				}
				p := g.planner
				planners[i] = &p
			}
			return planners
		})
		r.add("memory of a planner", "KB", drivenByReplicas, 2*shards, perPlanner/float64(len(planners))/1e3)
		runtime.KeepAlive(planners)
		runtime.KeepAlive(f)
	}
	return measureBodies(r, o)
}

// acceptedBodies are the merged answers of one query.
func acceptedBodies(shards int) []dgfanout.Accepted {
	accepted := make([]dgfanout.Accepted, shards)
	for i := range accepted {
		part := dandeliongap.PartID(i)
		body := dgfanout.Body{Parts: []dgfanout.Part{{Part: part}}}
		for k := range hitCount {
			body.Parts[0].Hits = append(body.Parts[0].Hits, dgfanout.Hit{ID: fmt.Sprintf("order-%04d-%d", i, k), Score: float64((i*7919 + k) % 1000)})
		}
		accepted[i] = dgfanout.Accepted{Parts: []dandeliongap.PartID{part}, Body: body}
	}
	return accepted
}

// measureBodies times the parsing of the body of one sub-answer.
func measureBodies(r *Report, o Options) error {
	for _, hits := range []int{0, hitCount, 4 * hitCount} {
		body := answerBody(hits)
		if _, err := dgfanout.ParseBody(body); err != nil {
			return err
		}
		c := timed(o.Timing, func() { _, _ = dgfanout.ParseBody(body) })
		r.add("parse the body of one sub-answer", "us", drivenByHits, hits, microseconds(c.time))
		r.add("body of one sub-answer", "bytes", drivenByHits, hits, float64(len(body)))
	}
	return nil
}
