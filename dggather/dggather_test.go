package dggather_test

import (
	"bytes"
	"cmp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggather"
	"dandeliongap.example/dandeliongap/dgproperty"
)

func init() { dgproperty.SetRapidDefaults(1, 500) }

func TestGather(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dggather")
}

func ms(n int) dandeliongap.Instant {
	return dandeliongap.Instant(n) * dandeliongap.Instant(time.Millisecond)
}

// newSearch returns a request to five shards with a latency objective of 200 ms.
// change, if not nil, adjusts the route.
func newSearch(change func(*dandeliongap.Route)) *dggather.Gather {
	r := &dandeliongap.Route{Idempotent: true, MaxAttempts: 2, LatencyObjective: 200 * time.Millisecond, MinCoverage: 0.6, TopK: 3}
	if change != nil {
		change(r)
	}
	shards := []dandeliongap.ServiceName{"a", "b", "c", "d", "e"}
	return dggather.New(dggather.Options{Route: r, Shards: shards, Deadline: ms(1200), TypicalLatency: 30 * time.Millisecond})
}

// newSingle returns a request to a single service.
func newSingle(idempotent bool) *dggather.Gather {
	r := &dandeliongap.Route{Idempotent: idempotent, MaxAttempts: 2, LatencyObjective: 800 * time.Millisecond}
	return dggather.New(dggather.Options{Route: r, Shards: []dandeliongap.ServiceName{"a"}, Deadline: ms(5000)})
}

// sendDue starts an attempt for every sub-request that is due, and returns those.
func sendDue(g *dggather.Gather, now dandeliongap.Instant) []dggather.Send {
	sends, _, _ := g.Step(now, nil)
	for _, s := range sends {
		g.AttemptStarted(now, s.Shard, "", false)
	}
	return sends
}

// verdictAt calls Step without sending what is due.
func verdictAt(g *dggather.Gather, now dandeliongap.Instant) dggather.Verdict {
	_, v, _ := g.Step(now, nil)
	return v
}

var _ = Describe("Gather", func() {
	It("G1 and G4 send one sub-request to each shard and complete when all parts are received", func() {
		g := newSearch(nil)
		Expect(sendDue(g, 0)).To(HaveLen(5))
		Expect(sendDue(g, ms(1))).To(BeEmpty())
		for i := range 5 {
			Expect(verdictAt(g, ms(10))).To(Equal(dggather.InProgress))
			Expect(g.PartReceived(i)).To(BeTrue())
		}
		Expect(verdictAt(g, ms(11))).To(Equal(dggather.Complete))
	})
	It("G2 hedges a late sub-request, within the maximum number of attempts (guards against a paused replica that delays the response)", func() {
		g := newSearch(nil)
		sendDue(g, 0)
		for i := range 4 {
			g.PartReceived(i)
		}
		_, _, wake := g.Step(ms(30), nil)
		Expect(wake).To(Equal(ms(66)))
		Expect(sendDue(g, ms(66))).To(Equal([]dggather.Send{{Shard: 4, Extra: true}}))
		Expect(sendDue(g, ms(150))).To(BeEmpty())
	})
	It("G2 counts a part once if both attempts return it (guards against reporting too much coverage)", func() {
		g := newSearch(nil)
		sendDue(g, 0)
		sendDue(g, ms(90))
		Expect(g.PartReceived(0)).To(BeTrue())
		Expect(g.PartReceived(0)).To(BeFalse())
		parts, shards := g.Coverage()
		Expect([]int{parts, shards}).To(Equal([]int{1, 5}))
	})
	It("G3 does not count attempts that reached no replica (guards against a restarting replica that uses up the attempts)", func() {
		g := newSearch(nil)
		sendDue(g, 0)
		for range 4 {
			g.AttemptFailed(ms(5), 0, "", false, false)
			Expect(sendDue(g, ms(5))).To(Equal([]dggather.Send{{Shard: 0, Extra: false}}))
		}
	})
	It("G3 never retries a request that is not idempotent and may have run (guards against running an order twice)", func() {
		g := newSingle(false)
		sendDue(g, 0)
		Expect(sendDue(g, ms(700))).To(BeEmpty())
		g.AttemptFailed(ms(701), 0, "", true, true)
		Expect(verdictAt(g, ms(701))).To(Equal(dggather.Failed))
	})
	It("G3 retries a request that is not idempotent if the replica reported that it did not run (guards against rejecting what another replica can serve)", func() {
		g := newSingle(false)
		sendDue(g, 0)
		g.AttemptFailed(ms(2), 0, "", true, false)
		Expect(sendDue(g, ms(2))).To(Equal([]dggather.Send{{Shard: 0, Extra: true}}))
		g.AttemptFailed(ms(4), 0, "", true, false)
		Expect(verdictAt(g, ms(4))).To(Equal(dggather.NotRun))
	})
	It("G3 retries at a replica that failed the sub-request, but not at one that still has it or refused it (guards against a shard that stays missing because its only replica lost one response)", func() {
		g := newSingle(true)
		_, _, _ = g.Step(0, nil)
		g.AttemptStarted(0, 0, "r1", false)
		Expect(g.ExcludedReplicas(0)).To(ConsistOf(dandeliongap.InstanceID("r1")))
		g.AttemptFailed(ms(5), 0, "r1", true, true)
		Expect(sendDue(g, ms(5))).To(Equal([]dggather.Send{{Shard: 0, Extra: true}}))
		Expect(g.ExcludedReplicas(0)).NotTo(ContainElement(dandeliongap.InstanceID("r1")))
		Expect(g.FailedReplicas(0)).To(ConsistOf(dandeliongap.InstanceID("r1")))

		h := newSingle(true)
		_, _, _ = h.Step(0, nil)
		h.AttemptStarted(0, 0, "r1", false)
		h.AttemptFailed(ms(5), 0, "r1", true, false)
		Expect(h.ExcludedReplicas(0)).To(ConsistOf(dandeliongap.InstanceID("r1")))
	})
	It("G5 ends with a partial response before the latency objective (guards against missing the objective because of one shard)", func() {
		g := newSearch(nil)
		sendDue(g, 0)
		for i := range 3 {
			g.PartReceived(i)
		}
		Expect(verdictAt(g, ms(183))).To(Equal(dggather.InProgress))
		Expect(verdictAt(g, ms(184))).To(Equal(dggather.Partial))
	})
	It("G5 waits past the latency objective for sufficient coverage (guards against responses with less coverage than the route requires)", func() {
		g := newSearch(nil)
		sendDue(g, 0)
		g.PartReceived(0)
		g.PartReceived(1)
		Expect(verdictAt(g, ms(300))).To(Equal(dggather.InProgress))
		g.PartReceived(2)
		Expect(verdictAt(g, ms(301))).To(Equal(dggather.Partial))
	})
	It("G6 does not wait for shards without a usable replica (guards against delaying a response for a shard that is down)", func() {
		g := newSearch(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends[:4] {
			g.AttemptStarted(0, s.Shard, "", false)
		}
		g.AttemptNotStarted(4, ms(250))
		for i := range 4 {
			Expect(verdictAt(g, ms(20))).To(Equal(dggather.InProgress))
			g.PartReceived(i)
		}
		Expect(verdictAt(g, ms(20))).To(Equal(dggather.Partial))
	})
	It("G6 waits a short time for a free connection (guards against omitting a shard that is merely busy)", func() {
		g := newSearch(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends[:4] {
			g.AttemptStarted(0, s.Shard, "", false)
			g.PartReceived(s.Shard)
		}
		g.AttemptNotStarted(4, ms(5))
		Expect(verdictAt(g, ms(1))).To(Equal(dggather.InProgress))
		Expect(sendDue(g, ms(5))).To(HaveLen(1))
	})
	It("G6 does not wait for a replica that is only probed (guards against callers that wait until the latency objective for an unresponsive shard; inc-83ae)", func() {
		g := newSearch(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends {
			g.AttemptStarted(0, s.Shard, "", s.Shard == 4)
		}
		for i := range 4 {
			Expect(verdictAt(g, ms(20))).To(Equal(dggather.InProgress))
			g.PartReceived(i)
		}
		Expect(verdictAt(g, ms(21))).To(Equal(dggather.Partial))
	})
	It("G6 ends a search that can reach its coverage only after the latency objective (guards against callers that wait in vain until their deadline)", func() {
		g := newSearch(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends[:2] {
			g.AttemptStarted(0, s.Shard, "", false)
		}
		for _, s := range sends[2:] {
			g.AttemptNotStarted(s.Shard, ms(100))
		}
		Expect(verdictAt(g, ms(1))).To(Equal(dggather.InProgress))
		for _, s := range sends[2:] {
			g.AttemptNotStarted(s.Shard, ms(350))
		}
		Expect(verdictAt(g, ms(100))).To(Equal(dggather.Failed))
	})
	It("G7 ends before the deadline (guards against callers that time out without a response)", func() {
		g := newSearch(nil)
		sendDue(g, 0)
		g.PartReceived(0)
		Expect(verdictAt(g, ms(1184))).To(Equal(dggather.InProgress))
		Expect(verdictAt(g, ms(1185))).To(Equal(dggather.DeadlineExceeded))
	})
	It("G9 ends a request early with what it has, and reports it as not run only if nothing was sent (guards against requests without a response when their VM ends)", func() {
		g := newSearch(nil)
		Expect(g.Interrupt()).To(Equal(dggather.NotRun))
		g = newSingle(false)
		Expect(sendDue(g, ms(0))).To(HaveLen(1))
		Expect(g.Interrupt()).To(Equal(dggather.DeadlineExceeded))
		g = newSingle(false)
		Expect(sendDue(g, ms(0))).To(HaveLen(1))
		g.PartReceived(0)
		Expect(g.Interrupt()).To(Equal(dggather.Complete))
	})
	It("G8 does not report \"not run\" while an attempt may run (guards against callers that repeat a request that ran)", func() {
		g := newSingle(true)
		sendDue(g, 0)
		Expect(verdictAt(g, ms(4990))).To(Equal(dggather.DeadlineExceeded))
		h := newSingle(true)
		h.AttemptNotStarted(0, ms(6000))
		Expect(verdictAt(h, ms(4990))).To(Equal(dggather.NotRun))
	})
})

// TestRandomResults feeds random results of attempts to a Gather. It guards against
// requests that never end, that make more attempts than the route allows, that run
// twice although they are not idempotent, or that report "not run" after they ran.
func TestRandomResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		g := newSearch(func(r *dandeliongap.Route) { r.Idempotent = idempotent })
		reached, ran, inFlight := make([]int, 5), make([]bool, 5), make([]int, 5)
		now := dandeliongap.Instant(0)
		for steps := 0; ; steps++ {
			if steps > 5000 {
				t.Fatal("the request has not ended after 5000 steps")
			}
			sends, v, wake := g.Step(now, nil)
			if v != dggather.InProgress {
				if v == dggather.NotRun && slices.Contains(ran, true) {
					t.Fatal("verdict \"not run\" although a sub-request ran")
				}
				return
			}
			for _, s := range sends {
				if rapid.IntRange(0, 3).Draw(t, "no replica") == 0 {
					g.AttemptNotStarted(s.Shard, now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "retry"))*time.Millisecond))
					continue
				}
				if ran[s.Shard] && !idempotent {
					t.Fatal("retried a request that ran and is not idempotent")
				}
				g.AttemptStarted(now, s.Shard, "", false)
				inFlight[s.Shard]++
				reached[s.Shard]++
				if reached[s.Shard] > 2 {
					t.Fatal("more attempts than the route allows")
				}
			}
			i := rapid.IntRange(0, 4).Draw(t, "shard")
			if inFlight[i] > 0 && rapid.Bool().Draw(t, "event") {
				inFlight[i]--
				switch rapid.IntRange(0, 3).Draw(t, "result") {
				case 0:
					ran[i] = true
					g.PartReceived(i)
				case 1:
					g.AttemptFailed(now, i, "", false, false)
					reached[i]--
				case 2:
					g.AttemptFailed(now, i, "", true, false)
				default:
					ran[i] = true
					g.AttemptFailed(now, i, "", true, true)
				}
				continue
			}
			now = max(now+1, min(wake, now.Add(20*time.Millisecond)))
		}
	})
}

// FuzzMerge guards against a merged response that does not hold the greatest records
// of its parts in descending order.
func FuzzMerge(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdefX"), []byte("zzzzzzzzzzzzzzzz"), 2)
	f.Add([]byte{}, bytes.Repeat([]byte{7}, 64), 10)
	f.Fuzz(func(t *testing.T, a, b []byte, topK int) {
		if topK < 0 || topK > 1000 {
			return
		}
		var want [][]byte
		for _, p := range [][]byte{a, b} {
			for i := 0; i+dggather.RecordBytes <= len(p); i += dggather.RecordBytes {
				want = append(want, p[i:i+dggather.RecordBytes])
			}
		}
		slices.SortStableFunc(want, func(x, y []byte) int { return cmp.Compare(string(y), string(x)) })
		got := dggather.Merge([][]byte{a, b}, topK)
		if !bytes.Equal(got, bytes.Join(want[:min(topK, len(want))], nil)) {
			t.Fatalf("merged records %q are not the greatest ones in descending order", got)
		}
	})
}
