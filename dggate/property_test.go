package dggate_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
)

// model holds what a gate promised and checks each action against it.
type model struct {
	*rapid.T
	dggate.Gate
	now, end  dandeliongap.Instant
	epoch     dandeliongap.Epoch
	held, out bool
	offered   int
	open      map[dandeliongap.SubID]dandeliongap.Class // not ended
	sent      []dandeliongap.SubID
	others    int // dispatches of other classes while archive waited
}

func (m *model) check(what string, acts []dggate.Action) {
	for _, a := range acts {
		class, open := m.open[a.ID]
		switch {
		case !open:
			m.Fatalf("%s: %v after the end of its request", what, a)
		case a.Rule == dggate.RuleNone:
			m.Fatalf("%s: %v names no rule", what, a)
		case a.Kind == dggate.Refuse:
			delete(m.open, a.ID)
		case a.Kind == dggate.Dispatch:
			m.sent = append(m.sent, a.ID)
			if !m.held || m.out || a.Deadline > m.end || a.Deadline <= m.now {
				m.Fatalf("%s: %v dispatched at %v, held %v, zone out %v, end %v", what, a, m.now, m.held, m.out, m.end)
			}
			if len(m.sent) > int(m.Mark().Limit) {
				m.Fatalf("%s: %d in flight above the limit of %d", what, len(m.sent), m.Mark().Limit)
			}
			m.others++
			if class == archive || !m.archiveWaits() {
				m.others = 0
			}
			if m.others > 2*dggate.ArchiveEvery {
				m.Fatalf("%s: %d dispatches before archive", what, m.others)
			}
		}
	}
	if !m.held && m.Drained() != (len(m.sent) == 0) {
		m.Fatalf("%s: drained %v with %d in flight", what, m.Drained(), len(m.sent))
	}
	if mark := m.Mark(); int(mark.Busy) != len(m.sent) || mark.Queued != len(m.open)-len(m.sent) || mark.Limit > 4 {
		m.Fatalf("%s: mark %+v with %d open, %d in flight", what, mark, len(m.open), len(m.sent))
	}
}

func (m *model) archiveWaits() bool {
	n := 0
	for _, c := range m.open {
		if c == archive {
			n++
		}
	}
	for _, id := range m.sent {
		if m.open[id] == archive {
			n--
		}
	}
	return n > 0
}

func (m *model) step() {
	dur := func(n ...dandeliongap.Instant) dandeliongap.Instant { return rapid.SampledFrom(n).Draw(m.T, "ms") * ms }
	rarely := rapid.Map(rapid.IntRange(0, 39), func(n int) bool { return n == 20 })
	flip := rapid.Bool()
	what := rapid.SampledFrom([]string{"offer", "offer", "done", "done", "time", "tick"}).Draw(m.T, "event")
	if rarely.Draw(m.T, "control") {
		what = rapid.SampledFrom([]string{"cancel", "await", "grant", "grant", "revoke", "end", "zone", "drain", "configure"}).Draw(m.T, "event")
	}
	switch what {
	case "offer":
		m.offered++
		r := dggate.Request{ID: id(m.offered), Action: flip.Draw(m.T, "action"), Deadline: m.now + dur(0, 50, 300, 300, 5000)}
		r.Class = dandeliongap.Class(rapid.IntRange(0, 2).Draw(m.T, "class"))
		m.open[r.ID] = r.Class
		m.check(what, m.Offer(m.now, r, nil))
		if _, open := m.open[r.ID]; open && len(m.Offer(m.now, r, nil)) > 0 {
			m.Fatalf("an action for a duplicate of %v", r.ID)
		}
	case "done":
		if len(m.sent) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.sent)-1).Draw(m.T, "request")
		sub := m.sent[i]
		m.sent = append(m.sent[:i], m.sent[i+1:]...)
		delete(m.open, sub)
		m.check(what, m.Done(m.now, sub, dggate.Result{
			Status:   rapid.SampledFrom([]dandeliongap.SubStatus{answered, answered, answered, answered, 0, 2, 3}).Draw(m.T, "status"),
			Reason:   dandeliongap.Reason(rapid.SampledFrom([]int{0, 0, 0, 0, 2, 7, 8}).Draw(m.T, "reason")),
			Cold:     rarely.Draw(m.T, "cold"),
			Latency:  time.Duration(dur(1, 5, 10, 100)),
			Draining: rarely.Draw(m.T, "draining"),
		}, nil))
	case "cancel":
		m.check(what, m.Cancel(m.now, id(rapid.IntRange(0, m.offered).Draw(m.T, "id")), nil))
	case "time":
		m.now += dur(0, 1, 10, 50)
	case "tick":
		m.now = max(m.now, min(m.Next(), m.now+100*ms))
		m.check(what, m.Tick(m.now, nil))
		if m.Next() <= m.now {
			m.Fatalf("tick at %v leaves the next one at %v", m.now, m.Next())
		}
	case "await":
		m.Await(m.now, m.epoch+1)
	case "grant":
		m.epoch++
		m.held = true
		m.check(what, m.Grant(m.now, m.epoch, dggate.Handover{Known: flip.Draw(m.T, "known"), Limit: 9}, nil))
	case "revoke":
		m.held = m.held && flip.Draw(m.T, "stale")
		epoch := m.epoch
		if m.held {
			epoch--
		}
		m.check(what, m.Revoke(m.now, epoch, nil))
	case "end":
		m.end = m.now + dur(0, 100, 10000, 10000)
		m.RightsUntil(m.end)
	case "zone":
		m.out = !m.out && flip.Draw(m.T, "out")
		m.check(what, m.SetZoneOut(m.now, m.out, nil))
	case "drain":
		m.check(what, m.SetDraining(m.now, true, nil))
		m.check(what, m.SetDraining(m.now, flip.Draw(m.T, "draining"), nil))
	case "configure":
		m.Configure(dandeliongap.Replica{Slots: dandeliongap.Slots(rapid.IntRange(0, 4).Draw(m.T, "slots")), ColdLimit: 1, Connections: 4})
	}
}

// Guards the promises of the gate against any order of events: limit, rights,
// one end for each request, a bounded wait of archive requests.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, open: map[dandeliongap.SubID]dandeliongap.Class{}}
		m.Configure(dandeliongap.Replica{Slots: 3, ColdLimit: 1})
		m.end, m.epoch, m.held = time10s, 1, true
		m.RightsUntil(m.end)
		m.Grant(0, 1, dggate.Handover{}, nil)
		for range 300 {
			m.step()
		}
		m.check("revoke", m.Revoke(m.now, m.epoch+1, nil))
		if len(m.open) != len(m.sent) {
			t.Fatalf("%d requests without an end", len(m.open)-len(m.sent))
		}
	})
}
