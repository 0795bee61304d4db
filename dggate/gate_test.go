package dggate_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
	"dandeliongap.example/dandeliongap/dgproperty"
)

func init() { dgproperty.SetRapidDefaults(1, 500) }

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dggate")
}

const (
	oneSlot    = "slots1 end10000 grant1:1 "
	threeSlots = "slots3 end10000 grant1:3 "
)

// scriptedGate describes the scripts, and scriptedGate.run the results.
var _ = DescribeTable("Gate",
	func(script, want string) { Expect((&scriptedGate{}).run(script)).To(Equal(want)) },
	Entry("G1: refuses requests for a replica that another VM owns", "o1 state next", "R1 not owner G1, not held 0/0, next 9223372036854"),
	Entry("G1: keeps the state of the replica for the next owner after Revoke", oneSlot+"o1 d1 revoke2 handover", "D1@300 G10, {Limit:1 Known:true Draining:false NormalLatency:10ms}"),
	Entry("G1: sends nothing after Revoke and ignores revoked epochs", oneSlot+"o1 o2 revoke2 d1 grant2 await2 o3 grant3 revoke2 o4", "D1@300 G10, R2 not owner G1, R3 not owner G1, D4@300 G10"),
	Entry("G2: queues requests until Grant, or refuses them at their deadline", "slots2:2 end10000 await4 o1 at1 o2 next at300 t grant4",
		"next 300, R1 not owner G2, D2@301 G10"),
	Entry("G2: keeps queueing when only an epoch before the awaited one is revoked", oneSlot+"await3 revoke2 o1 grant3", "D1@300 G10"),
	Entry("G3: lets no request run after the end of the rights", oneSlot+"end100 o1 o2 end50 next at50 t o3", "D1@100 G10, next 0, R2 lease lapsed G3, R3 lease lapsed G3"),
	Entry("G4, G14: reuses a slot only after Done, even if its request was cancelled or is past its deadline", oneSlot+"o1 at200 o2 c1 c1 at400 t stopped1 o3 c3", "D1@300 G10, C1 G14, D2@500 G10, R3 cancelled G14"),
	Entry("G4: limits the requests in flight to the connections", "slots9 end10000 grant1:9 state", "warm 0/4"),
	Entry("G5: starts an unknown replica at its cold limit", "slots3 end10000 grant1 o1 o2 state", "D1@300 G10, cold 1/1"),
	Entry("G5: raises the limit with good answers until the replica is warm", "slots3 end10000 grant1 warm8 state warm8 state", "ramping 0/2, warm 0/3"),
	Entry("G5: does not count answers of requests sent under another limit", "slots3 end10000 grant1:2 o1 o2 cold1 d2 warm7 state warm1 state",
		"D1@300 G10, D2@300 G10, cold 0/1, ramping 0/2"),
	Entry("G5: does not count answers with the cold mark", "slots3 end10000 grant1 warm7 o1 cold1 warm7 state", "D1@300 G10, cold 0/1"),
	Entry("G6: lowers the limit after a cold mark and leaves requests in flight alone", threeSlots+"o1 o2 o3 o4 o5 cold1 state d2 d3 state",
		"D1@300 G10, D2@300 G10, D3@300 G10, cold 2/1, D4@300 G10, cold 1/1"),
	Entry("G6: takes several slow answers in a row as a cold start, but not single stragglers", threeSlots+"warm40 o1 d1:60 o2 d2:60 o3 d3 o4 d4:60 o5 d5:60 state o6 d6:60 state",
		"D1@300 G10, D2@300 G10, D3@300 G10, D4@300 G10, D5@300 G10, warm 0/3, D6@300 G10, cold 0/1"),
	Entry("G6: lowers the limit after a lost connection, but not after a time-out", threeSlots+"warm40 o1 timeout1:60 state o2 lost2 state",
		"D1@300 G10, warm 0/3, D2@300 G10, cold 0/1"),
	Entry("G6, G7: lowers the limit and pauses after a shed refusal", threeSlots+"o1 shed1 state o2 next at40 t", "D1@300 G10, cold 0/1, next 40, D2@300 G10"),
	Entry("G6: keeps the limit after a shed refusal that is due to requests above a lowered limit", threeSlots+"o1 o2 o3 slots2 shed1 state", "D1@300 G10, D2@300 G10, D3@300 G10, warm 2/2"),
	Entry("G8: refuses the queue of a lost replica, sends it one trial request at a time and starts it cold when it responds",
		"slots3:2 end10000 grant1:3 o1 o2 o3 o4 o5 lost1 lost2 lost3 stopped4 state o11 at50 o6 o7 lost6 at149 o8 at150 act9 o10 d10 state",
		"D1@300 G10, D2@300 G10, D3@300 G10, D4@300 G10, R5 connection lost G8 in 50, lost 0/2, R11 connection lost G8 in 50, D6@350 G8, R7 connection lost G8 in 50, R8 connection lost G8 in 50, R9 connection lost G8 in 100, D10@450 G8, cold 0/2"),
	Entry("G9: sends nothing to a zone that is taken out and starts its replica cold afterwards", "slots2 end10000 grant1:2 o1 o2 o3 out1 o4 state out0 state",
		"D1@300 G10, D2@300 G10, R3 zone taken out G9, R4 zone taken out G9, leaving 2/2, cold 2/1"),
	Entry("G9: sends nothing new to a leaving replica", "slots2 end10000 grant1:2 o1 leaving1 handover drain0 o2 drain1 drain0 state leave2 o3",
		"D1@300 G10, {Limit:2 Known:true Draining:true NormalLatency:10ms}, R2 draining G9, cold 0/1, R3 draining G9"),
	Entry("G9: learns from a handover that the replica is leaving", "slots2 end10000 take1 o1", "R1 draining G9"),
	Entry("G10: sends by class and then by deadline", oneSlot+"o0 o1:900 o2 a3 u4 d0 d4 d2 d1", "D0@300 G10, D4@300 G10, D2@300 G10, D1@900 G10, D3@300 G10"),
	Entry("G12: takes no service time from requests that did not run", oneSlot+"warm40 o9 gone9:200 o1 u2:25 next", "D9@300 G10, D1@300 G10, next 15"),
	Entry("G12: spends no slot on requests that would be late", oneSlot+"warm40 u1:5 u2:15 u3:25 next wait15 t u4:0",
		"D1@5 G10, R2 overload G12 in 10, next 15, R3 overload G12 in 10, R4 deadline G12"),
)

var _ = DescribeTable("G11: archive requests do not starve", func(others string, after int) {
	g := &scriptedGate{}
	g.run(oneSlot + "o0 a1")
	for i := range 60 {
		g.do(fmt.Sprint(others, 100+i))
	}
	n, last := 0, uint64(0)
	for ; last != 1; n++ {
		last = g.do(fmt.Sprintf("d%d:0", last))[0].ID.Query
	}
	Expect(n).To(Equal(after))
}, Entry("behind ordinary ones", "o", dggate.ArchiveEvery), Entry("behind urgent ones", "u", 2*dggate.ArchiveEvery))

var _ = It("G13: queues are bounded even before a service time is known", func() {
	g := &scriptedGate{}
	g.run(oneSlot)
	refused := 0
	for i := range dggate.QueuePerSlot + 5 {
		for _, a := range g.do(fmt.Sprint("a", i)) {
			if a.Rule == dggate.RuleBound {
				refused++
			}
		}
	}
	Expect(refused).To(Equal(4))
})

// model is the expected state of a gate, against which each action is checked.
type model struct {
	*rapid.T
	scriptedGate
	end    dandeliongap.Instant
	epoch  int
	held   bool
	out    bool
	open   map[dandeliongap.SubID]dandeliongap.Class // submitted, and neither refused nor done
	sent   []dandeliongap.SubID                      // in flight
	others int                                       // dispatches of other classes while archive requests waited
}

// step performs a step of a script and checks the actions that it causes.
func (m *model) step(format string, args ...any) {
	step := fmt.Sprintf(format, args...)
	for _, a := range m.do(step) {
		class, open := m.open[a.ID]
		switch {
		case !open:
			m.Fatalf("%s: %v for a request that is refused or done", step, a)
		case a.Rule == dggate.RuleNone:
			m.Fatalf("%s: %v names no rule", step, a)
		case a.Kind == dggate.Refuse:
			delete(m.open, a.ID)
		case a.Kind == dggate.Dispatch:
			m.sent = append(m.sent, a.ID)
			if !m.held || m.out || a.Deadline > m.end || a.Deadline <= m.now {
				m.Fatalf("%s: %v at %v, held %v, zone out %v, end %v", step, a, m.now, m.held, m.out, m.end)
			}
			if len(m.sent) > int(m.Load().Limit) {
				m.Fatalf("%s: %d in flight above the limit of %d", step, len(m.sent), m.Load().Limit)
			}
			if m.others++; class == archive || !m.archiveWaits() {
				m.others = 0
			}
			if m.others > 2*dggate.ArchiveEvery {
				m.Fatalf("%s: %d dispatches of other classes while an archive request waits", step, m.others)
			}
		}
	}
	if !m.held && m.Drained() != (len(m.sent) == 0) {
		m.Fatalf("%s: drained %v with %d in flight", step, m.Drained(), len(m.sent))
	}
	if load := m.Load(); int(load.Busy) != len(m.sent) || load.Queued != len(m.open)-len(m.sent) || load.Limit > 4 {
		m.Fatalf("%s: load %+v with %d open, %d in flight", step, load, len(m.open), len(m.sent))
	}
}

func (m *model) archiveWaits() bool {
	for id, c := range m.open {
		if c == archive && !slices.Contains(m.sent, id) {
			return true
		}
	}
	return false
}

func pick[V any](m *model, from ...V) V { return rapid.SampledFrom(from).Draw(m.T, "choice") }

// random performs a random step. If it submits a request, the request gets the id i.
func (m *model) random(i int) {
	what := pick(m, "offer", "offer", "offer", "done", "done", "done", "wait%d", "tick")
	if rapid.IntRange(0, 29).Draw(m.T, "rare") == 15 {
		what = pick(m, "c%d", "await%d", "grant%d", "grant%d:9", "revoke%d", "end%d", "out%d", "drain%d", "slots%d")
	}
	n := 0
	switch what {
	case "offer":
		class := pick(m, "o", "u", "a", "act")
		m.open[id(i)] = map[string]dandeliongap.Class{"u": dandeliongap.ClassUrgent, "a": archive}[class]
		text := fmt.Sprintf("%s%d:%d", class, i, pick(m, 0, 50, 300, 300, 5000))
		m.step("%s", text)
		if _, open := m.open[id(i)]; open && len(m.do(text)) > 0 {
			m.Fatalf("actions for a duplicate of request %d", i)
		}
		return
	case "done":
		if len(m.sent) == 0 {
			return
		}
		k := rapid.IntRange(0, len(m.sent)-1).Draw(m.T, "request")
		sub := m.sent[k]
		m.sent = append(m.sent[:k], m.sent[k+1:]...)
		delete(m.open, sub)
		kind := pick(m, "d", "d", "d", pick(m, "d", "cold", "shed", "lost", "timeout", "stopped", "leaving"))
		m.step("%s%d:%d", kind, sub.Query, pick(m, 1, 5, 10, 100))
		return
	case "tick":
		m.now = max(m.now, min(m.Next(), m.now+100*ms))
		m.step("t")
		if m.Next() <= m.now {
			m.Fatalf("after a tick at %v Next returns %v", m.now, m.Next())
		}
		return
	case "wait%d":
		n = pick(m, 0, 1, 10, 50)
	case "c%d":
		n = rapid.IntRange(0, i).Draw(m.T, "id")
	case "await%d":
		n = m.epoch + 1
	case "grant%d", "grant%d:9":
		m.epoch++
		m.held, n = true, m.epoch
	case "revoke%d":
		n = m.epoch - pick(m, 0, 1) // or of an earlier epoch
		m.held = m.held && n < m.epoch
	case "end%d":
		m.end = m.now/ms*ms + pick(m, 0, 100*ms, 10000*ms, 10000*ms)
		n = int(m.end / ms)
	case "out%d":
		m.out = !m.out
		n = map[bool]int{true: 1}[m.out]
	case "drain%d":
		m.step("drain1")
		n = pick(m, 0, 0, 1)
	case "slots%d":
		n = pick(m, 0, 2, 3, 9)
	}
	m.step(what, n)
}

// Checks in any order of events that the gate keeps to its limit and rights, ends
// each request exactly once and does not starve archive requests.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, end: 10000 * ms, epoch: 1, held: true, open: map[dandeliongap.SubID]dandeliongap.Class{}}
		m.run(threeSlots)
		for i := range 300 {
			m.random(i)
		}
		m.held = false
		m.step("revoke%d", m.epoch+1)
		if len(m.open) != len(m.sent) {
			t.Fatalf("%d requests were neither refused nor dispatched", len(m.open)-len(m.sent))
		}
	})
}
