package dgfanout_test

import (
	"fmt"
	"testing"
	"time"

	dg "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
)

// load runs whole queries; the driver has parsed the bodies.
type load struct {
	*rig
	bodies []dgfanout.Body
	acts   []dgfanout.Action
}

func newLoad(shards int) *load {
	l := &load{rig: newRig(newView(shards, 2)).warm(10 * time.Millisecond)}
	for i := range shards {
		l.bodies = append(l.bodies, dgfanout.Body{Parts: []dgfanout.Part{{Part: dg.PartID(i)}}})
	}
	return l
}

func (l *load) query() {
	l.number++
	l.q, l.acts = l.p.Start(l.now, l.v, dgfanout.Request{Number: l.number, Service: "all", Deadline: l.now + 300*ms}, l.rng, l.acts[:0])
	l.now += 10 * ms
	n := len(l.acts)
	for i := range n {
		a := &l.acts[i]
		ans := dgfanout.Answer{ID: a.ID, Replica: a.Replica, Status: dg.SubAnswered, Load: dg.ReplicaLoad{Limit: 3, Busy: 1}, Parsed: &l.bodies[a.ID.Shard]}
		l.acts = l.p.HandleAnswer(l.now, l.v, l.q, ans, l.rng, l.acts)
	}
	if l.q.Result().Merged != len(l.bodies) {
		panic("query not complete")
	}
}

// TestAllocations guards against memory per sub-request: a query allocates the
// same few times whatever its number of shards.
func TestAllocations(t *testing.T) {
	for _, shards := range []int{20, 650} {
		l := newLoad(shards)
		l.query()
		if n := testing.AllocsPerRun(20, l.query); n > 8 {
			t.Errorf("%d shards: %v allocations for each query", shards, n)
		}
	}
}

func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 100, 650} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			l := newLoad(shards)
			b.ReportAllocs()
			for b.Loop() {
				l.query()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
		})
	}
}

func BenchmarkParseBody(b *testing.B) {
	text := body(1, 2)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := dgfanout.ParseBody(text); err != nil {
			b.Fatal(err)
		}
	}
}
