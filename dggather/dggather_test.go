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

func init() { dgproperty.Fix(1, 500) }

func TestGather(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dggather")
}

func ms(n int) dandeliongap.Instant {
	return dandeliongap.Instant(n) * dandeliongap.Instant(time.Millisecond)
}

// search is a request to five shards with an objective of 200 ms.
func search(change func(*dandeliongap.Route)) *dggather.Gather {
	r := &dandeliongap.Route{Idempotent: true, MaxAttempts: 2, LatencyObjective: 200 * time.Millisecond, MinCoverage: 0.6, TopK: 3}
	if change != nil {
		change(r)
	}
	shards := []dandeliongap.ServiceName{"a", "b", "c", "d", "e"}
	return dggather.New(dggather.Options{Route: r, Shards: shards, Deadline: ms(1200), TypicalLatency: 30 * time.Millisecond})
}

// single is a request to one service.
func single(repeatable bool) *dggather.Gather {
	r := &dandeliongap.Route{Idempotent: repeatable, MaxAttempts: 2, LatencyObjective: 800 * time.Millisecond}
	return dggather.New(dggather.Options{Route: r, Shards: []dandeliongap.ServiceName{"a"}, Deadline: ms(5000)})
}

// sendAll sends everything that is due.
func sendAll(g *dggather.Gather, now dandeliongap.Instant) []dggather.Send {
	sends, _, _ := g.Step(now, nil)
	for _, s := range sends {
		g.AttemptStarted(now, s.Shard, "", false)
	}
	return sends
}

func verdict(g *dggather.Gather, now dandeliongap.Instant) dggather.Verdict {
	_, v, _ := g.Step(now, nil)
	return v
}

var _ = Describe("Gather", func() {
	It("G1 and G4 send one sub-request to each shard and answer with all parts", func() {
		g := search(nil)
		Expect(sendAll(g, 0)).To(HaveLen(5))
		Expect(sendAll(g, ms(1))).To(BeEmpty())
		for i := range 5 {
			Expect(verdict(g, ms(10))).To(Equal(dggather.InProgress))
			Expect(g.PartReceived(i)).To(BeTrue())
		}
		Expect(verdict(g, ms(11))).To(Equal(dggather.Complete))
	})
	It("G2 sends a late sub-request once more, only within the attempts (guards against a paused replica that delays the answer)", func() {
		g := search(nil)
		sendAll(g, 0)
		for i := range 4 {
			g.PartReceived(i)
		}
		_, _, wake := g.Step(ms(30), nil)
		Expect(wake).To(Equal(ms(66)))
		Expect(sendAll(g, ms(66))).To(Equal([]dggather.Send{{Shard: 4, Extra: true}}))
		Expect(sendAll(g, ms(150))).To(BeEmpty())
	})
	It("G2 counts a part once when both attempts bring it (guards against more coverage than there is)", func() {
		g := search(nil)
		sendAll(g, 0)
		sendAll(g, ms(90))
		Expect(g.PartReceived(0)).To(BeTrue())
		Expect(g.PartReceived(0)).To(BeFalse())
		in, total := g.Coverage()
		Expect([]int{in, total}).To(Equal([]int{1, 5}))
	})
	It("G3 sends what reached no replica again without counting it (guards against a restart that uses the attempts up)", func() {
		g := search(nil)
		sendAll(g, 0)
		for range 4 {
			g.AttemptFailed(ms(5), 0, "", false, false)
			Expect(sendAll(g, ms(5))).To(Equal([]dggather.Send{{Shard: 0, Extra: false}}))
		}
	})
	It("G3 never repeats a request that may have run and may not be repeated (guards against running an order twice)", func() {
		g := single(false)
		sendAll(g, 0)
		Expect(sendAll(g, ms(700))).To(BeEmpty())
		g.AttemptFailed(ms(701), 0, "", true, true)
		Expect(verdict(g, ms(701))).To(Equal(dggather.Failed))
	})
	It("G3 repeats such a request when the replica said that it did not run (guards against refusing what another replica can serve)", func() {
		g := single(false)
		sendAll(g, 0)
		g.AttemptFailed(ms(2), 0, "", true, false)
		Expect(sendAll(g, ms(2))).To(Equal([]dggather.Send{{Shard: 0, Extra: true}}))
		g.AttemptFailed(ms(4), 0, "", true, false)
		Expect(verdict(g, ms(4))).To(Equal(dggather.NotRun))
	})
	It("G3 sends what was lost to the same replica again, but nothing that it still has or refused (guards against a shard that stays missing since its only replica lost one answer)", func() {
		g := single(true)
		_, _, _ = g.Step(0, nil)
		g.AttemptStarted(0, 0, "r1", false)
		Expect(g.ExcludedReplicas(0)).To(ConsistOf(dandeliongap.InstanceID("r1")))
		g.AttemptFailed(ms(5), 0, "r1", true, true)
		Expect(sendAll(g, ms(5))).To(Equal([]dggather.Send{{Shard: 0, Extra: true}}))
		Expect(g.ExcludedReplicas(0)).NotTo(ContainElement(dandeliongap.InstanceID("r1")))
		Expect(g.FailedReplicas(0)).To(ConsistOf(dandeliongap.InstanceID("r1")))

		h := single(true)
		_, _, _ = h.Step(0, nil)
		h.AttemptStarted(0, 0, "r1", false)
		h.AttemptFailed(ms(5), 0, "r1", true, false)
		Expect(h.ExcludedReplicas(0)).To(ConsistOf(dandeliongap.InstanceID("r1")))
	})
	It("G5 answers in part before the objective passes (guards against a late answer for the sake of one shard)", func() {
		g := search(nil)
		sendAll(g, 0)
		for i := range 3 {
			g.PartReceived(i)
		}
		Expect(verdict(g, ms(183))).To(Equal(dggather.InProgress))
		Expect(verdict(g, ms(184))).To(Equal(dggather.Partial))
	})
	It("G5 waits past the objective for enough coverage (guards against answers below what the route allows)", func() {
		g := search(nil)
		sendAll(g, 0)
		g.PartReceived(0)
		g.PartReceived(1)
		Expect(verdict(g, ms(300))).To(Equal(dggather.InProgress))
		g.PartReceived(2)
		Expect(verdict(g, ms(301))).To(Equal(dggather.Partial))
	})
	It("G6 does not wait for shards without a usable replica (guards against holding an answer for a shard that is down)", func() {
		g := search(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends[:4] {
			g.AttemptStarted(0, s.Shard, "", false)
		}
		g.AttemptNotStarted(4, ms(250))
		for i := range 4 {
			Expect(verdict(g, ms(20))).To(Equal(dggather.InProgress))
			g.PartReceived(i)
		}
		Expect(verdict(g, ms(20))).To(Equal(dggather.Partial))
	})
	It("G6 waits shortly for a connection (guards against leaving out a shard that is only busy)", func() {
		g := search(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends[:4] {
			g.AttemptStarted(0, s.Shard, "", false)
			g.PartReceived(s.Shard)
		}
		g.AttemptNotStarted(4, ms(5))
		Expect(verdict(g, ms(1))).To(Equal(dggather.InProgress))
		Expect(sendAll(g, ms(5))).To(HaveLen(1))
	})
	It("G6 does not wait for a replica that is only tried (guards against callers that wait until the objective for a shard that is dark; inc-83ae)", func() {
		g := search(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends {
			g.AttemptStarted(0, s.Shard, "", s.Shard == 4)
		}
		for i := range 4 {
			Expect(verdict(g, ms(20))).To(Equal(dggather.InProgress))
			g.PartReceived(i)
		}
		Expect(verdict(g, ms(21))).To(Equal(dggather.Partial))
	})
	It("G6 ends a search that can only reach its coverage after the objective (guards against callers that wait until their deadline in vain)", func() {
		g := search(nil)
		sends, _, _ := g.Step(0, nil)
		for _, s := range sends[:2] {
			g.AttemptStarted(0, s.Shard, "", false)
		}
		for _, s := range sends[2:] {
			g.AttemptNotStarted(s.Shard, ms(100))
		}
		Expect(verdict(g, ms(1))).To(Equal(dggather.InProgress))
		for _, s := range sends[2:] {
			g.AttemptNotStarted(s.Shard, ms(350))
		}
		Expect(verdict(g, ms(100))).To(Equal(dggather.Failed))
	})
	It("G7 ends before the deadline (guards against callers that wait in vain)", func() {
		g := search(nil)
		sendAll(g, 0)
		g.PartReceived(0)
		Expect(verdict(g, ms(1184))).To(Equal(dggather.InProgress))
		Expect(verdict(g, ms(1185))).To(Equal(dggather.DeadlineExceeded))
	})
	It("G8 does not say not run while something may run (guards against false refusals)", func() {
		g := single(true)
		sendAll(g, 0)
		Expect(verdict(g, ms(4990))).To(Equal(dggather.DeadlineExceeded))
		h := single(true)
		h.AttemptNotStarted(0, ms(6000))
		Expect(verdict(h, ms(4990))).To(Equal(dggather.NotRun))
	})
})

// TestCourse guards against requests that never end, that send more attempts than
// the route allows, or that say "not run" after a run.
func TestCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		g := search(func(r *dandeliongap.Route) { r.Idempotent = repeatable })
		reached, ran, sent := make([]int, 5), make([]bool, 5), make([]int, 5)
		now := dandeliongap.Instant(0)
		for steps := 0; ; steps++ {
			if steps > 5000 {
				t.Fatal("no end")
			}
			sends, v, wake := g.Step(now, nil)
			if v != dggather.InProgress {
				if v == dggather.NotRun && slices.Contains(ran, true) {
					t.Fatal("said not run after a run")
				}
				return
			}
			for _, s := range sends {
				if rapid.IntRange(0, 3).Draw(t, "none") == 0 {
					g.AttemptNotStarted(s.Shard, now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "retry"))*time.Millisecond))
					continue
				}
				if ran[s.Shard] && !repeatable {
					t.Fatal("sent again what may not be repeated")
				}
				g.AttemptStarted(now, s.Shard, "", false)
				sent[s.Shard]++
				reached[s.Shard]++
				if reached[s.Shard] > 2 {
					t.Fatal("more attempts than the route allows")
				}
			}
			i := rapid.IntRange(0, 4).Draw(t, "shard")
			if sent[i] > 0 && rapid.Bool().Draw(t, "event") {
				sent[i]--
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

// FuzzMerge guards against a merged answer that is not the greatest records of its
// parts in falling order.
func FuzzMerge(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdefX"), []byte("zzzzzzzzzzzzzzzz"), 2)
	f.Add([]byte{}, bytes.Repeat([]byte{7}, 64), 10)
	f.Fuzz(func(t *testing.T, a, b []byte, top int) {
		if top < 0 || top > 1000 {
			return
		}
		var want [][]byte
		for _, p := range [][]byte{a, b} {
			for i := 0; i+dggather.RecordBytes <= len(p); i += dggather.RecordBytes {
				want = append(want, p[i:i+dggather.RecordBytes])
			}
		}
		slices.SortStableFunc(want, func(x, y []byte) int { return cmp.Compare(string(y), string(x)) })
		got := dggather.Merge([][]byte{a, b}, top)
		if !bytes.Equal(got, bytes.Join(want[:min(top, len(want))], nil)) {
			t.Fatalf("got %q", got)
		}
	})
}
