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

// simulation has the parameters of a run of a gate and a backend server on a virtual
// clock.
type simulation struct {
	slots   int
	rate    float64                  // of arrivals, in multiples of the capacity
	urgent  float64                  // share of urgent requests
	archive float64                  // share of archive requests
	service func(*rand.Rand) float64 // service time of a request; mean 1
	seed    int64
}

type job struct {
	dggate.Request
	submitted, sent, ends dandeliongap.Instant
	answered              bool
}

const (
	meanService  = 20 * ms
	requestCount = 40000
)

// run returns the goodput, which is the rate of answers within their deadline in
// multiples of the capacity, and the p99 latency of urgent requests. It fails if
// archive requests arrive and none is finished.
func (s simulation) run() (goodput, p99 float64) {
	rng := rand.New(rand.NewSource(s.seed))
	g := &scriptedGate{}
	g.Configure(dandeliongap.Replica{Slots: dandeliongap.Slots(s.slots), ColdLimit: 1})
	g.run("end9999999 grant1:9")
	jobs, running, latency := map[dandeliongap.SubID]*job{}, []*job{}, []dandeliongap.Instant{}
	var arrival dandeliongap.Instant
	answers, archived := 0, 0
	for n := 0; n < requestCount || len(jobs) > 0; {
		first, next := -1, g.Next()
		if n < requestCount {
			next = min(next, arrival)
		}
		for i, j := range running {
			if j.ends < next {
				first, next = i, j.ends
			}
		}
		g.now = max(g.now, next)
		var acts []dggate.Action
		switch {
		case first >= 0:
			j := running[first]
			running = slices.Delete(running, first, first+1)
			delete(jobs, j.ID)
			res := dggate.Result{Reason: dandeliongap.ReasonDeadline, Latency: g.now.Sub(j.sent)}
			if j.answered {
				res.Status, res.Reason = answered, 0
				answers++
			}
			if j.Class == archive {
				archived++
			}
			if j.Class == dandeliongap.ClassUrgent {
				latency = append(latency, g.now-j.submitted)
			}
			acts = g.Done(g.now, j.ID, res, nil)
		case n < requestCount && g.now == arrival:
			n++
			arrival += dandeliongap.Instant(rng.ExpFloat64() * float64(meanService) / float64(s.slots) / s.rate)
			r := dggate.Request{ID: id(n), Deadline: g.now + deadline}
			if x := rng.Float64(); x < s.urgent {
				r.Class = dandeliongap.ClassUrgent
			} else if x < s.urgent+s.archive {
				r.Class, r.Deadline = archive, g.now+20*deadline
			}
			jobs[r.ID] = &job{Request: r, submitted: g.now}
			acts = g.Submit(g.now, r, nil)
		default:
			acts = g.Tick(g.now, nil)
			Expect(g.Next()).To(BeNumerically(">", g.now), "Next does not advance: a driver would call Tick for ever")
		}
		for _, a := range acts {
			if a.Kind == dggate.Refuse {
				delete(jobs, a.ID)
				continue
			}
			j, ends := jobs[a.ID], g.now+dandeliongap.Instant(s.service(rng)*float64(meanService))
			j.sent, j.ends, j.answered = g.now, min(ends, a.Deadline), ends <= a.Deadline
			running = append(running, j)
		}
	}
	Expect(archived > 0).To(Equal(s.archive > 0))
	slices.Sort(latency)
	return float64(answers) * float64(meanService) / float64(s.slots) / float64(g.now), float64(latency[len(latency)*99/100])
}

// Checks that overload neither costs goodput nor delays urgent requests. The
// unloaded run has the same share of urgent requests at a twentieth of the
// capacity. Service times that hardly vary are the hardest case for urgent
// requests, because the wait for a slot is then long compared with their latency.
var _ = DescribeTable("overload preserves goodput and the latency of urgent requests",
	func(slots int, urgent float64, service func(*rand.Rand) float64) {
		for seed := range int64(3) {
			_, unloaded := simulation{slots, 0.05, urgent, 0, service, seed}.run()
			goodput, p99 := simulation{slots, 1.5, urgent, 0.1, service, seed}.run()
			GinkgoWriter.Printf("goodput %.3f, urgent p99 ratio %.2f\n", goodput, p99/unloaded)
			Expect(goodput).To(BeNumerically(">=", 0.9))
			Expect(p99 / unloaded).To(BeNumerically("<=", 1.5))
		}
	},
	Entry("3 slots, 10% urgent, constant", 3, 0.1, constant),
	Entry("3 slots, 30% urgent, varying", 3, 0.3, varying),
	Entry("3 slots, 20% urgent, exponential", 3, 0.2, (*rand.Rand).ExpFloat64),
	Entry("6 slots, 30% urgent, constant", 6, 0.3, constant),
	Entry("6 slots, 40% urgent, varying", 6, 0.4, varying),
)

func varying(rng *rand.Rand) float64  { return math.Exp(0.5*rng.NormFloat64() - 0.125) }
func constant(rng *rand.Rand) float64 { return 0.8 + 0.4*rng.Float64() }

// steadyLoad returns a function that submits a request and finishes the one that was
// submitted lag requests earlier, so that lag requests are queued or in flight.
func steadyLoad(lag int) func() {
	g, i := &scriptedGate{}, 0
	g.run(threeSlots)
	acts := make([]dggate.Action, 0, 8)
	return func() {
		g.now++
		i++
		acts = g.Submit(g.now, dggate.Request{ID: id(i), Deadline: g.now + deadline}, acts[:0])
		acts = g.Done(g.now, id(i-lag), dggate.Result{Status: answered, Latency: time.Microsecond}, acts[:0])
	}
}

func benchmark(b *testing.B, lag int) {
	b.ReportAllocs()
	for f := steadyLoad(lag); b.Loop(); {
		f()
	}
}

func BenchmarkSubmitDone(b *testing.B)       { benchmark(b, 0) }
func BenchmarkSubmitDoneQueued(b *testing.B) { benchmark(b, 50) }

var _ = It("requests cause no allocations in steady state", func() {
	f := steadyLoad(50)
	for range 100 {
		f()
	}
	Expect(testing.AllocsPerRun(1000, f)).To(BeZero())
})
