package dgfanout_test

import (
	"fmt"
	"testing"
	"time"

	dg "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
)

// queryLoop runs complete queries one after the other, with bodies that are parsed in
// advance.
type queryLoop struct {
	*runner
	bodies []dgfanout.Body
	acts   []dgfanout.Action
}

func newQueryLoop(shards int) *queryLoop {
	l := &queryLoop{runner: newRunner(newView(shards, 2)).warmUp(10 * time.Millisecond)}
	for i := range shards {
		l.bodies = append(l.bodies, dgfanout.Body{Parts: []dgfanout.Part{{Part: dg.PartID(i)}}})
	}
	return l
}

func (l *queryLoop) query() {
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
		panic("query did not merge every part")
	}
}

// TestAllocations guards against allocations for each sub-request: the number of
// allocations of a query does not depend on its number of shards.
func TestAllocations(t *testing.T) {
	for _, shards := range []int{20, 650} {
		l := newQueryLoop(shards)
		l.query()
		if n := testing.AllocsPerRun(20, l.query); n > 8 {
			t.Errorf("%d shards: %v allocations for each query", shards, n)
		}
	}
}

func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 100, 650} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			l := newQueryLoop(shards)
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
