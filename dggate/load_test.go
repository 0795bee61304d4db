package dggate_test

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
)

// load is one run of a gate and a backend server on a virtual clock.
type load struct {
	slots    dandeliongap.Slots
	rate     float64 // offered, in multiples of capacity
	urgent   float64 // share of urgent requests
	archive  float64
	deadline dandeliongap.Instant
	service  func(*rand.Rand) float64 // mean 1
	seed     int64
}

type served struct {
	goodput float64 // answers in time, in multiples of capacity
	urgent  []dandeliongap.Instant
	refused [dandeliongap.ClassCount]int
	late    int
	done    [dandeliongap.ClassCount]int
}

func (s *served) p99() float64 {
	slices.Sort(s.urgent)
	return float64(s.urgent[len(s.urgent)*99/100])
}

type job struct {
	dggate.Request
	offered, sent, ends dandeliongap.Instant
	answered            bool
}

func (l load) run() *served {
	const mean, count = 20 * float64(ms), 40000
	rng := rand.New(rand.NewSource(l.seed))
	g, out := &dggate.Gate{}, &served{}
	g.Configure(dandeliongap.Replica{Slots: l.slots, ColdLimit: 1})
	g.RightsUntil(dggate.Never)
	g.Grant(0, 1, dggate.Handover{Known: true, Limit: l.slots}, nil)
	jobs, running := map[dandeliongap.SubID]*job{}, []*job{}
	gap := mean / float64(l.slots) / l.rate
	var now, arrival dandeliongap.Instant
	var acts []dggate.Action
	for n := uint64(0); n < count || len(jobs) > 0; {
		first := -1
		next := g.Next()
		if n < count && arrival <= next {
			next = arrival
		}
		for i, j := range running {
			if j.ends < next {
				first, next = i, j.ends
			}
		}
		now = max(now, next)
		switch {
		case first >= 0:
			j := running[first]
			running = slices.Delete(running, first, first+1)
			res := dggate.Result{Status: dandeliongap.SubAnswered, Latency: now.Sub(j.sent)}
			if !j.answered {
				res.Status, res.Reason = dandeliongap.SubUnknown, dandeliongap.ReasonDeadline
				out.late++
			} else {
				out.goodput++
				out.done[j.Class]++
				if j.Class == dandeliongap.ClassUrgent {
					out.urgent = append(out.urgent, now-j.offered)
				}
			}
			delete(jobs, j.ID)
			acts = g.Done(now, j.ID, res, acts[:0])
		case n < count && now == arrival:
			n++
			arrival += dandeliongap.Instant(rng.ExpFloat64() * gap)
			r := dggate.Request{ID: dandeliongap.SubID{Query: n}, Deadline: now + l.deadline}
			if x := rng.Float64(); x < l.urgent {
				r.Class = dandeliongap.ClassUrgent
			} else if x < l.urgent+l.archive {
				r.Class, r.Deadline = dandeliongap.ClassArchive, now+20*l.deadline
			}
			jobs[r.ID] = &job{Request: r, offered: now}
			acts = g.Offer(now, r, acts[:0])
		default:
			acts = g.Tick(now, acts[:0])
			Expect(g.Next()).To(BeNumerically(">", now), "the driver would tick for ever")
		}
		for _, a := range acts {
			j := jobs[a.ID]
			if a.Kind == dggate.Refuse {
				out.refused[j.Class]++
				delete(jobs, a.ID)
				continue
			}
			took := dandeliongap.Instant(l.service(rng) * mean)
			j.sent, j.ends, j.answered = now, min(now+took, a.Deadline), now+took <= a.Deadline
			running = append(running, j)
		}
	}
	out.goodput *= mean / float64(l.slots) / float64(now)
	return out
}

// The unloaded run has the same urgent requests at a twentieth of the capacity.
// Service times that hardly vary are the hardest case for urgent requests, as
// nothing but the wait for a slot is above the normal latency.
var _ = DescribeTable("overload would cost goodput or delay urgent requests",
	func(slots dandeliongap.Slots, urgent float64, service func(*rand.Rand) float64) {
		for seed := range int64(3) {
			l := load{slots: slots, rate: 0.05, urgent: urgent, deadline: deadline, service: service, seed: seed}
			unloaded := l.run().p99()
			l.rate, l.archive = 1.5, 0.1
			over := l.run()
			GinkgoWriter.Printf("goodput %.3f, urgent p99 ratio %.2f, late %d\n", over.goodput, over.p99()/unloaded, over.late)
			Expect(over.goodput).To(BeNumerically(">=", 0.9))
			Expect(over.p99() / unloaded).To(BeNumerically("<=", 1.5))
			Expect(over.done[archive]).To(BeNumerically(">", 0))
		}
	},
	Entry("3 slots, 10% urgent, constant", dandeliongap.Slots(3), 0.1, uniform),
	Entry("3 slots, 30% urgent, varying", dandeliongap.Slots(3), 0.3, lognormal),
	Entry("3 slots, 20% urgent, exponential", dandeliongap.Slots(3), 0.2, (*rand.Rand).ExpFloat64),
	Entry("6 slots, 30% urgent, constant", dandeliongap.Slots(6), 0.3, uniform),
	Entry("6 slots, 40% urgent, varying", dandeliongap.Slots(6), 0.4, lognormal),
)

func lognormal(rng *rand.Rand) float64 { return math.Exp(0.5*rng.NormFloat64() - 0.125) }
func uniform(rng *rand.Rand) float64   { return 0.8 + 0.4*rng.Float64() }

func benchmark(b *testing.B, queued int) {
	g := &dggate.Gate{}
	g.Configure(dandeliongap.Replica{Slots: 3, ColdLimit: 1})
	g.RightsUntil(dggate.Never)
	g.Grant(0, 1, dggate.Handover{Known: true, Limit: 3}, nil)
	acts := make([]dggate.Action, 0, 8)
	step := func(i int) {
		now := dandeliongap.Instant(i) * 1000
		acts = g.Offer(now, dggate.Request{ID: id(i), Deadline: now + deadline}, acts[:0])
		if i >= queued {
			acts = g.Done(now, id(i-queued), dggate.Result{Status: answered, Latency: time.Microsecond}, acts[:0])
		}
	}
	for i := range 1000 {
		step(i)
	}
	b.ReportAllocs()
	for i := 1000; b.Loop(); i++ {
		step(i)
	}
}

func BenchmarkOfferDone(b *testing.B)       { benchmark(b, 0) }
func BenchmarkOfferDoneQueued(b *testing.B) { benchmark(b, 50) }
