package dgtrial_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	dg "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dggate"
	"dandeliongap.example/dandeliongap/dgtrial"
)

// TestSession guards against unnoticed changes of the decisions of a search that
// meets a straggler and a lost replica.
func TestSession(t *testing.T) {
	target := dgtrial.Target{Deployment: deployment("session", 3, 3), ZoneDelay: 1500 * time.Microsecond}
	var out bytes.Buffer
	if err := dgtrial.Session(&out, target, "shard-00", "shard-02/1", seed); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "session", out.Bytes())
}

// requestPath runs searches through one planner and the gates of all replicas.
type requestPath struct {
	planner    dgfanout.Planner
	view       *dg.View
	gates      map[dg.ReplicaID]*dggate.Gate
	bodies     []dgfanout.Body
	rng        *rand.Rand
	now        dg.Instant
	lastNumber uint64
	acts       []dgfanout.Action
	gateActs   []dggate.Action
}

func newRequestPath(shards int) *requestPath {
	d := deployment("path", 3, shards)
	p := &requestPath{gates: map[dg.ReplicaID]*dggate.Gate{}, rng: rand.New(rand.NewPCG(seed, 0))}
	p.view = &dg.View{
		Self: "vm", Serving: true, Deployment: d,
		Members: map[dg.MemberID]dg.Member{"vm": {Zone: "zone-a"}}, Placement: map[dg.ReplicaID]dg.Placement{},
	}
	for i, name := range d.Services["search"].Leaves {
		p.bodies = append(p.bodies, dgfanout.Body{Parts: []dgfanout.Part{{Part: dg.PartID(i)}}})
		for _, r := range d.Services[name].Replicas {
			g := &dggate.Gate{}
			g.Configure(r)
			g.SetRightsEnd(dggate.Never)
			g.Grant(0, 1, dggate.Handover{Known: true, Limit: r.Slots}, nil)
			p.gates[r.ID] = g
			p.view.Placement[r.ID] = dg.Placement{Replica: r.ID, Owner: "vm", Epoch: 1}
		}
	}
	return p
}

// search runs one search in which every sub-request takes 5 ms.
func (p *requestPath) search() {
	p.lastNumber++
	req := dgfanout.Request{Number: p.lastNumber, Service: "search", Deadline: p.now.Add(300 * time.Millisecond)}
	var q *dgfanout.Query
	q, p.acts = p.planner.Start(p.now, p.view, req, p.rng, p.acts[:0])
	for _, a := range p.acts {
		p.gateActs = p.gates[a.Replica].Submit(p.now, dggate.Request{ID: a.ID, Deadline: a.Deadline}, p.gateActs[:0])
	}
	p.now = p.now.Add(5 * time.Millisecond)
	for i := range len(p.acts) {
		a := p.acts[i]
		g := p.gates[a.Replica]
		p.gateActs = g.Done(p.now, a.ID, dggate.Result{Status: dg.SubAnswered, Latency: 5 * time.Millisecond}, p.gateActs[:0])
		ans := dgfanout.Answer{ID: a.ID, Replica: a.Replica, Status: dg.SubAnswered, Load: g.Load(), Parsed: &p.bodies[a.ID.Shard]}
		p.acts = p.planner.HandleAnswer(p.now, p.view, q, ans, p.rng, p.acts)
	}
	if q.Result().Merged != len(p.bodies) {
		panic("search not answered in full")
	}
}

// TestAllocationsPerSearch guards against allocations per sub-request: the bound
// of 10 allocations per search is the same for 20 and for 650 shards.
func TestAllocationsPerSearch(t *testing.T) {
	for _, shards := range []int{20, 650} {
		p := newRequestPath(shards)
		for range 10 {
			p.search()
		}
		if n := testing.AllocsPerRun(20, p.search); n > 10 {
			t.Errorf("%d shards: %v allocations for each search, want at most 10", shards, n)
		}
	}
}

// BenchmarkSearch measures the CPU time of the decisions of an entry VM
// and of the owners per sub-request.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{20, 80, 325, 650} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			p := newRequestPath(shards)
			b.ReportAllocs()
			for b.Loop() {
				p.search()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
		})
	}
}
