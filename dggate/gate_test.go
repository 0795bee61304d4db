package dggate_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dggate")
}

const (
	ms       = dandeliongap.Instant(time.Millisecond)
	deadline = 300 * ms
	answered = dandeliongap.SubAnswered
	urgent   = dandeliongap.ClassUrgent
	archive  = dandeliongap.ClassArchive
)

func id(n int) dandeliongap.SubID { return dandeliongap.SubID{Query: uint64(n)} }

func newGate(slots, limit dandeliongap.Slots) *dggate.Gate {
	g := &dggate.Gate{}
	g.Configure(dandeliongap.Replica{Slots: slots, ColdLimit: 1, Connections: 30})
	g.RightsUntil(time10s)
	g.Grant(0, 1, dggate.Handover{Known: true, Limit: limit}, nil)
	return g
}

const time10s = 10000 * ms

// offer returns the only action that a request with the usual deadline causes.
func offer(g *dggate.Gate, now dandeliongap.Instant, n int, c dandeliongap.Class) dggate.Action {
	acts := g.Offer(now, dggate.Request{ID: id(n), Class: c, Deadline: now + deadline}, nil)
	if len(acts) == 0 {
		return dggate.Action{}
	}
	Expect(acts).To(HaveLen(1))
	return acts[0]
}

func done(g *dggate.Gate, now dandeliongap.Instant, n int, latency dandeliongap.Instant) []dggate.Action {
	return g.Done(now, id(n), dggate.Result{Status: answered, Latency: time.Duration(latency)}, nil)
}

// fail ends request n with a status and reason.
func fail(g *dggate.Gate, now dandeliongap.Instant, n int, s dandeliongap.SubStatus, r dandeliongap.Reason) []dggate.Action {
	return g.Done(now, id(n), dggate.Result{Status: s, Reason: r, RetryAfter: 40 * time.Millisecond}, nil)
}

func dispatch(n int, now dandeliongap.Instant, rule dggate.Rule) dggate.Action {
	return dggate.Action{Kind: dggate.Dispatch, ID: id(n), Deadline: now + deadline, Rule: rule}
}

func refusal(n int, r dandeliongap.Reason, rule dggate.Rule) dggate.Action {
	return dggate.Action{Kind: dggate.Refuse, ID: id(n), Reason: r, Rule: rule}
}

// warm serves count requests of 10 ms each, one at a time, from instant 0.
func warm(g *dggate.Gate, count int) dandeliongap.Instant {
	var now dandeliongap.Instant
	for i := range count {
		Expect(offer(g, now, 1000+i, 0).Kind).To(Equal(dggate.Dispatch))
		now += 10 * ms
		done(g, now, 1000+i, 10*ms)
	}
	return now
}

var _ = Describe("rights", func() {
	It("G1: a gate without rights would send to another owner's replica", func() {
		g := &dggate.Gate{}
		Expect(offer(g, 0, 1, 0)).To(Equal(refusal(1, dandeliongap.ReasonNotOwner, dggate.RuleRights)))
		Expect(g.State()).To(Equal(dggate.NotHeld))
		Expect(g.Drained()).To(BeTrue())
		Expect(g.Next()).To(Equal(dggate.Never))
	})
	It("G1: a former owner would go on sending after its release, or again by a late grant", func() {
		g := newGate(1, 1)
		offer(g, 0, 1, 0)
		offer(g, 0, 2, 0)
		Expect(g.Revoke(ms, 2, nil)).To(Equal([]dggate.Action{refusal(2, dandeliongap.ReasonNotOwner, dggate.RuleRights)}))
		Expect(g.Drained()).To(BeFalse())
		done(g, 5*ms, 1, 5*ms)
		Expect(g.Drained()).To(BeTrue())
		Expect(g.Handover()).To(Equal(dggate.Handover{Known: true, Limit: 1, Normal: 5 * time.Millisecond}))
		g.Grant(6*ms, 2, dggate.Handover{}, nil)
		g.Await(6*ms, 2)
		Expect(offer(g, 6*ms, 3, 0).Reason).To(Equal(dandeliongap.ReasonNotOwner))
		g.Grant(7*ms, 3, dggate.Handover{}, nil)
		g.Revoke(7*ms, 2, nil)
		Expect(offer(g, 7*ms, 4, 0).Kind).To(Equal(dggate.Dispatch))
	})
	It("G2: requests would be lost or sent early while a former owner still sends", func() {
		g := &dggate.Gate{}
		g.Configure(dandeliongap.Replica{Slots: 2, ColdLimit: 2})
		g.RightsUntil(time10s)
		g.Await(0, 4)
		Expect(offer(g, 0, 1, 0)).To(BeZero())
		Expect(offer(g, ms, 2, 0)).To(BeZero())
		Expect(g.Next()).To(Equal(deadline))
		Expect(g.Tick(deadline, nil)).To(Equal([]dggate.Action{refusal(1, dandeliongap.ReasonNotOwner, dggate.RuleAwait)}))
		Expect(g.Grant(deadline, 4, dggate.Handover{}, nil)).To(Equal([]dggate.Action{dispatch(2, ms, dggate.RuleOrder)}))
	})
	It("G3: a request would run after this VM's lease", func() {
		g := newGate(1, 1)
		g.RightsUntil(100 * ms)
		Expect(offer(g, 0, 1, 0).Deadline).To(Equal(100 * ms))
		offer(g, 0, 2, 0)
		g.RightsUntil(50 * ms)
		Expect(g.Tick(50*ms, nil)).To(Equal([]dggate.Action{refusal(2, dandeliongap.ReasonLease, dggate.RuleRightsEnd)}))
	})
})

var _ = Describe("limit", func() {
	It("G4, G14: a cancelled or late request would free its slot while it still runs", func() {
		g := newGate(1, 1)
		offer(g, 0, 1, 0)
		Expect(offer(g, 200*ms, 2, 0)).To(BeZero())
		Expect(g.Cancel(201*ms, id(1), nil)).To(Equal([]dggate.Action{{Kind: dggate.CancelSent, ID: id(1), Rule: dggate.RuleCancel}}))
		Expect(g.Cancel(201*ms, id(1), nil)).To(BeEmpty())
		Expect(g.Tick(400*ms, nil)).To(BeEmpty())
		Expect(fail(g, 401*ms, 1, dandeliongap.SubCancelled, dandeliongap.ReasonCancelled)).To(Equal([]dggate.Action{dispatch(2, 200*ms, dggate.RuleOrder)}))
		offer(g, 402*ms, 3, 0)
		Expect(g.Cancel(402*ms, id(3), nil)).To(Equal([]dggate.Action{refusal(3, dandeliongap.ReasonCancelled, dggate.RuleCancel)}))
	})
	It("G5: an unknown replica would get all its slots, or ramp up on cold answers", func() {
		g := newGate(3, 0)
		Expect(g.State()).To(Equal(dggate.Cold))
		warm(g, dggate.RampAnswers)
		Expect(g.State()).To(Equal(dggate.Ramping))
		Expect(g.LimitRule()).To(Equal(dggate.RuleRamp))
		warm(g, dggate.RampAnswers)
		Expect(g.State()).To(Equal(dggate.Warm))
		g = newGate(3, 0)
		for i := range 3 * dggate.RampAnswers {
			offer(g, 0, i, 0)
			g.Done(0, id(i), dggate.Result{Status: answered, Cold: true, Latency: time.Millisecond}, nil)
		}
		Expect(g.Mark()).To(Equal(dandeliongap.Mark{Limit: 1, Cold: true}))
	})
	DescribeTable("G6: a replica that turned cold would get its warm load",
		func(turn func(g *dggate.Gate), rule dggate.Rule) {
			g := newGate(3, 3)
			now := warm(g, 40)
			for i := range 6 {
				offer(g, now, i, 0)
			}
			turn(g)
			Expect(g.Mark().Limit).To(Equal(dandeliongap.Slots(1)))
			Expect(g.LimitRule()).To(Equal(rule))
			for i := range 2 {
				Expect(g.Mark().Busy).To(BeNumerically(">=", 2-i))
				Expect(done(g, now+ms, i+1, 10*ms)).To(HaveLen(i))
			}
		},
		Entry("cold mark", func(g *dggate.Gate) {
			g.Done(401*ms, id(0), dggate.Result{Status: answered, Cold: true, Latency: 10 * time.Millisecond}, nil)
		}, dggate.RuleCold),
		Entry("lost connection", func(g *dggate.Gate) {
			fail(g, 401*ms, 0, dandeliongap.SubUnknown, dandeliongap.ReasonConnection)
		}, dggate.RuleLost),
	)
	It("G6: unmarked slowness would go unnoticed, or one straggler cost the capacity", func() {
		g := newGate(1, 1)
		g.Configure(dandeliongap.Replica{Slots: 2, ColdLimit: 1})
		now := warm(g, 40)
		for i := range dggate.SlowAnswers {
			Expect(g.State()).To(Equal(dggate.Warm))
			offer(g, now, i, 0)
			done(g, now+60*ms, i, 60*ms)
		}
		Expect(g.State()).To(Equal(dggate.Cold))
	})
	It("G6, G7: a shed refusal would be answered with more load", func() {
		g := newGate(3, 3)
		offer(g, 0, 1, 0)
		Expect(fail(g, ms, 1, dandeliongap.SubNotRun, dandeliongap.ReasonShed)).To(BeEmpty())
		Expect(g.State()).To(Equal(dggate.Cold))
		Expect(offer(g, 2*ms, 2, 0)).To(BeZero())
		Expect(g.Next()).To(Equal(41 * ms))
		Expect(g.Tick(41*ms, nil)).To(Equal([]dggate.Action{dispatch(2, 2*ms, dggate.RuleOrder)}))
	})
	It("G8: a lost replica would hold requests, get bursts of trials or return at full load", func() {
		g := newGate(3, 3)
		for i := range 5 {
			offer(g, 0, i, 0)
		}
		for i := range 2 {
			Expect(fail(g, ms, i, dandeliongap.SubUnknown, dandeliongap.ReasonConnection)).To(BeEmpty())
		}
		Expect(fail(g, ms, 2, dandeliongap.SubUnknown, dandeliongap.ReasonConnection)).To(HaveLen(2))
		Expect(g.State()).To(Equal(dggate.Lost))
		Expect(offer(g, 2*ms, 5, 0).RetryAfter).To(BeNumerically(">", 0))
		at, wait := 51*ms, 50*ms
		for i := 10; i < 14; i++ {
			Expect(offer(g, at-1, i+100, 0).Reason).To(Equal(dandeliongap.ReasonConnection))
			Expect(offer(g, at, i, 0)).To(Equal(dispatch(i, at, dggate.RuleLost)))
			Expect(offer(g, at, i+100, 0).Reason).To(Equal(dandeliongap.ReasonConnection))
			fail(g, at, i, dandeliongap.SubNotRun, dandeliongap.ReasonConnection)
			wait *= 2
			at += wait
		}
		acts := g.Offer(at, dggate.Request{ID: id(20), Action: true, Deadline: at + deadline}, nil)
		Expect(acts[0].Reason).To(Equal(dandeliongap.ReasonConnection))
		offer(g, at, 21, 0)
		done(g, at, 21, ms)
		Expect(g.State()).To(Equal(dggate.Cold))
	})
	It("G9: a leaving replica or zone would get new work, or return at full load", func() {
		g := newGate(1, 1)
		g.Configure(dandeliongap.Replica{Slots: 2, ColdLimit: 1})
		warm(g, dggate.RampAnswers)
		for i := range 3 {
			offer(g, 100*ms, i, 0)
		}
		Expect(g.SetZoneOut(100*ms, true, nil)).To(Equal([]dggate.Action{refusal(2, dandeliongap.ReasonZoneOut, dggate.RuleLeaving)}))
		Expect(g.State()).To(Equal(dggate.Leaving))
		g.SetZoneOut(101*ms, false, nil)
		Expect(g.State()).To(Equal(dggate.Cold))
		g.Done(110*ms, id(0), dggate.Result{Status: answered, Draining: true, Latency: time.Millisecond}, nil)
		g.SetDraining(111*ms, false, nil)
		Expect(offer(g, 112*ms, 4, 0)).To(Equal(refusal(4, dandeliongap.ReasonDraining, dggate.RuleLeaving)))
		g.SetDraining(120*ms, true, nil)
		g.SetDraining(130*ms, false, nil)
		Expect(g.State()).To(Equal(dggate.Cold))
		g.Configure(dandeliongap.Replica{Slots: 2, ColdLimit: 1, Leaving: true})
		Expect(offer(g, 131*ms, 5, 0).Reason).To(Equal(dandeliongap.ReasonDraining))
	})
})

var _ = Describe("queue", func() {
	It("G10, G11: urgent requests would wait for others, or archive ones for ever", func() {
		g := newGate(1, 1)
		offer(g, 0, 0, 0)
		g.Offer(0, dggate.Request{ID: id(1), Deadline: time10s - ms}, nil)
		offer(g, ms, 2, archive)
		for i := 3; i < 45; i++ {
			offer(g, ms, i, urgent)
		}
		offer(g, ms, 45, 0)
		var order []int
		for last := 0; len(order) < 45; last = order[len(order)-1] {
			acts := done(g, 2*ms, last, 1)
			Expect(acts).To(HaveLen(1))
			order = append(order, int(acts[0].ID.Query))
		}
		Expect(order[:3]).To(Equal([]int{3, 4, 5}))
		Expect(order).To(HaveExactElements(append(order[:43:43], 45, 1)))
		Expect(order[2*dggate.ArchiveEvery-1]).To(Equal(2))
	})
	It("G12: requests that cannot meet their deadline would use slots or wait in vain", func() {
		g := newGate(1, 1)
		now := warm(g, 40)
		late := func(n int, d dandeliongap.Instant) []dggate.Action {
			return g.Offer(now, dggate.Request{ID: id(n), Class: urgent, Deadline: now + d}, nil)
		}
		Expect(late(1, 5*ms)).To(HaveExactElements(HaveField("Kind", dggate.Dispatch)))
		Expect(late(2, 15*ms)).To(HaveExactElements(And(HaveField("Reason", dandeliongap.ReasonOverload), HaveField("RetryAfter", Not(BeZero())))))
		Expect(late(3, 25*ms)).To(BeEmpty())
		Expect(g.Next()).To(BeNumerically("~", now+15*ms, ms))
		Expect(g.Tick(g.Next(), nil)).To(HaveExactElements(HaveField("Rule", dggate.RuleDeadline)))
		Expect(late(4, -ms)).To(HaveExactElements(HaveField("Reason", dandeliongap.ReasonDeadline)))
	})
	It("G13: a queue would grow without bound before a service time is known", func() {
		g := newGate(1, 1)
		for i := range dggate.QueuePerSlot + 1 {
			Expect(offer(g, 0, i, archive).Kind).NotTo(Equal(dggate.Refuse))
		}
		Expect(offer(g, 0, 100, archive)).To(HaveField("Rule", dggate.RuleBound))
		Expect(g.Offer(0, dggate.Request{ID: id(1), Deadline: deadline}, nil)).To(BeEmpty(), "a duplicate of a queued request")
	})
})
