package dgpresence_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
)

var _ = Describe("heartbeats in their short form", func() {
	const interval = dgpresence.HeartbeatInterval
	var a, b *dgpresence.View
	tick := func(now time.Duration, views ...*dgpresence.View) {
		for _, v := range views {
			v.Tick(at(now), dgpresence.LocalStatus{Serving: true})
		}
	}
	// deliver passes a message to a view and the replies back to the sender, until there
	// are none.
	var deliver func(now time.Duration, from, to *dgpresence.View, m dgpresence.Message)
	deliver = func(now time.Duration, from, to *dgpresence.View, m dgpresence.Message) {
		replies, long := to.Receive(at(now), m)
		for _, r := range replies {
			deliver(now, to, from, r)
		}
		from.Merge(at(now), long)
	}
	present := func(v *dgpresence.View, now time.Duration, vm dandeliongap.VMName) bool {
		alive, _ := v.Present(at(now), vm)
		return alive
	}
	BeforeEach(func() {
		a, b = dgpresence.New("a", 1), dgpresence.New("b", 1)
	})

	It("V6: of a process that is not registered are asked for in their long form (guards against VMs that do not see each other after a restart while the store is down)", func() {
		restarted := dgpresence.New("a", 2) // the registration still has the earlier process
		b.SetRegistered(map[dandeliongap.VMName]int64{"a": 1})
		tick(interval, restarted, b)
		deliver(interval, restarted, b, restarted.Beat(at(interval)))
		Expect(present(b, interval, "a")).To(BeTrue())
	})
	It("V6: ask once per heartbeat interval about a process whose name nobody knows (guards against a storm of questions)", func() {
		m := dgpresence.Message{Kind: dgpresence.Beat, Process: dgpresence.ProcessID{1, 2, 3}, Count: 5, Hubs: []dgpresence.Brief{{Process: dgpresence.ProcessID{4, 5, 6}}, {Process: dgpresence.ProcessID{4, 5, 6}}}}
		tick(interval, b)
		replies, _ := b.Receive(at(interval), m)
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Kind).To(Equal(dgpresence.NameRequest))
		Expect(replies[0].Processes).To(ConsistOf(dgpresence.ProcessID{1, 2, 3}, dgpresence.ProcessID{4, 5, 6}))
		replies, _ = b.Receive(at(interval), m)
		Expect(replies).To(BeEmpty())
		tick(2*interval, b)
		replies, _ = b.Receive(at(2*interval), m)
		Expect(replies).To(HaveLen(1))
	})
	It("V2: of an earlier process are ignored", func() {
		restarted := dgpresence.New("a", 2)
		b.SetRegistered(map[dandeliongap.VMName]int64{"a": 1})
		tick(interval, a, restarted, b)
		deliver(interval, restarted, b, restarted.Beat(at(interval)))
		for now := interval; now < 3*time.Second; now += interval {
			tick(now, a)
			deliver(now, a, b, a.Beat(at(now)))
		}
		Expect(present(b, 3*time.Second, "a")).To(BeFalse())
	})
	It("V1: keep a VM present while its count passes the range of the short form, and do not bring a lost one back", func() {
		c := dgpresence.New("c", 1)
		registered := map[dandeliongap.VMName]int64{"a": 1, "b": 1, "c": 1}
		for _, v := range []*dgpresence.View{a, b, c} {
			v.SetRegistered(registered)
		}
		const rounds, stopRound = 700, 600
		for round := 1; round <= rounds; round++ {
			now := time.Duration(round) * interval
			tick(now, b, c)
			if round <= stopRound {
				tick(now, a)
				deliver(now, a, b, a.Beat(at(now))) // c hears of a only through b
			}
			deliver(now, b, c, b.Beat(at(now)))
			deliver(now, c, b, c.Beat(at(now)))
			if round < stopRound {
				Expect(present(c, now, "a")).To(BeTrue(), "round %d", round)
			}
			if time.Duration(round-stopRound)*interval > 3*time.Second {
				Expect(present(b, now, "a") || present(c, now, "a")).To(BeFalse(), "round %d", round)
			}
		}
	})
	It("V1: bring a VM back at once that was away for longer than the count in the short form tells", func() {
		registered := map[dandeliongap.VMName]int64{"a": 1, "b": 1}
		for away := 100; away <= 300; away += 10 { // heartbeat intervals; the short form has 256 counts
			a, b, c := dgpresence.New("a", 1), dgpresence.New("b", 1), dgpresence.New("c", 1)
			for _, v := range []*dgpresence.View{a, b, c} {
				v.SetRegistered(registered)
			}
			tick(interval, a, b, c)
			deliver(interval, a, b, a.Beat(at(interval)))
			deliver(interval, b, c, b.Beat(at(interval)))
			Expect(present(c, interval, "a")).To(BeTrue())
			for round := 2; round < away; round++ {
				tick(time.Duration(round)*interval, a, b, c)
				deliver(time.Duration(round)*interval, a, b, a.Beat(at(time.Duration(round)*interval)))
			}
			if away%256 == 0 {
				continue // the same bits: taken as the old heartbeat until the next one
			}
			now := time.Duration(away) * interval
			tick(now, b, c)
			a.Tick(at(now), dgpresence.LocalStatus{Serving: true})
			deliver(now, a, b, a.Beat(at(now)))
			deliver(now, b, c, b.Beat(at(now)))
			Expect(present(c, now, "a")).To(BeTrue(), "away for %d intervals", away)
		}
	})
	It("carry the flags, and the load to within a fifth", func() {
		b.SetRegistered(map[dandeliongap.VMName]int64{"a": 1})
		count := 0
		for _, attempts := range []uint32{0, 1, 2, 3, 17, 250, 999, 30_000} {
			count++
			now := at(time.Duration(count) * interval)
			a.Tick(now, dgpresence.LocalStatus{Serving: count%2 == 0, StoreFailing: count%3 == 0, Attempts: attempts, Seen: map[string]dandeliongap.Version{"k": 7}})
			b.Receive(now, a.Beat(now))
			h := b.Hubs(now)[0]
			Expect([]bool{h.Serving, h.StoreFailing}).To(Equal([]bool{count%2 == 0, count%3 == 0}))
			Expect(float64(h.Attempts)).To(BeNumerically("~", float64(attempts), float64(attempts)/5+0.5))
			Expect(h.Seen).To(HaveKeyWithValue("k", dandeliongap.Version(7)))
		}
		Expect(b.Newest("k")).To(BeEquivalentTo(7))
	})
	It("V5: a hub that has not sent its first heartbeat answers no question", func() {
		a.Tick(at(interval), dgpresence.LocalStatus{Standby: true})
		b.SetRegistered(map[dandeliongap.VMName]int64{"a": 1})
		replies, _ := b.Receive(at(interval), a.Question(at(interval)))
		Expect(replies).To(BeEmpty())
		tick(interval, b)
		replies, _ = b.Receive(at(interval), a.Question(at(interval)))
		Expect(replies).To(HaveLen(1))
	})
	It("V5: a question is answered in full when the hub knows of a newer change", func() {
		registered := map[dandeliongap.VMName]int64{"a": 1, "b": 1}
		a.SetRegistered(registered)
		b.SetRegistered(registered)
		ask := func(now time.Duration) dgpresence.MessageKind {
			replies, _ := b.Receive(at(now), a.Question(at(now)))
			Expect(replies).To(HaveLen(1))
			a.Receive(at(now), replies[0])
			return replies[0].Kind
		}
		for round, version := range []dandeliongap.Version{5, 5, 6, 6} {
			now := time.Duration(round+1) * interval
			a.Tick(at(now), dgpresence.LocalStatus{Standby: true})
			b.Tick(at(now), dgpresence.LocalStatus{Serving: true, Seen: map[string]dandeliongap.Version{"k": version}})
			want := dgpresence.Answer
			if round%2 == 1 {
				want = dgpresence.Confirmation
			}
			Expect(ask(now)).To(Equal(want), "round %d", round)
			Expect(a.Newest("k")).To(Equal(version))
		}
	})
})
