package dgcapacity

import (
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
)

// Gate is what is measured of dggate.Gate.
type Gate interface {
	Configure(r dandeliongap.Replica)
	RightsUntil(end dandeliongap.Instant)
	Grant(now dandeliongap.Instant, epoch dandeliongap.Epoch, h dggate.Handover, dst []dggate.Action) []dggate.Action
	Offer(now dandeliongap.Instant, r dggate.Request, dst []dggate.Action) []dggate.Action
	Done(now dandeliongap.Instant, id dandeliongap.SubID, res dggate.Result, dst []dggate.Action) []dggate.Action
}

const (
	gateSlots    = 3
	gateLatency  = time.Millisecond
	gateDeadline = 300 * time.Millisecond
)

// queueLengths are the numbers of requests that wait at the gate.
var queueLengths = []int{0, 4, 16, 64}

// gateLoad keeps a gate at a given number of waiting requests: each one that
// ends lets another one start, and a new one arrives.
type gateLoad struct {
	gate    Gate
	now     dandeliongap.Instant
	next    uint32
	running []dandeliongap.SubID
	actions []dggate.Action
	refused int
}

// newGateLoad returns false if the gate does not dispatch.
func newGateLoad(g Gate, waiting int) (*gateLoad, bool) {
	l := &gateLoad{gate: g}
	g.Configure(dandeliongap.Replica{ID: "shard-000/1", Slots: gateSlots, Connections: 10 * gateSlots, ColdLimit: 1})
	g.RightsUntil(1 << 62)
	l.take(g.Grant(0, 1, dggate.Handover{Known: true, Limit: gateSlots, Normal: gateLatency}, nil))
	for range gateSlots + waiting {
		l.offer()
	}
	return l, len(l.running) == gateSlots && l.refused == 0
}

func (l *gateLoad) offer() {
	l.next++
	l.take(l.gate.Offer(l.now, dggate.Request{ID: dandeliongap.SubID{Shard: l.next}, Deadline: l.now.Add(gateDeadline)}, l.actions[:0]))
}

func (l *gateLoad) take(actions []dggate.Action) {
	for _, a := range actions {
		switch a.Kind {
		case dggate.Dispatch:
			l.running = append(l.running, a.ID)
		case dggate.Refuse:
			l.refused++
		}
	}
	l.actions = actions
}

// step ends the oldest running request and offers a new one.
func (l *gateLoad) step() {
	l.now = l.now.Add(gateLatency / gateSlots)
	if len(l.running) > 0 {
		id := l.running[0]
		l.running = append(l.running[:0], l.running[1:]...)
		l.take(l.gate.Done(l.now, id, dggate.Result{Status: dandeliongap.SubAnswered, Latency: gateLatency}, l.actions[:0]))
	}
	l.offer()
}

// gateQuantity is the row of the gate's time.
const gateQuantity = "gate decisions per sub-request"

func measureGate(r *Report, o Options) error {
	for _, waiting := range queueLengths {
		l, ok := newGateLoad(o.NewGate(), waiting)
		if !ok {
			r.Rows = append(r.Rows, Row{
				Quantity: gateQuantity, Unit: "us", Driver: drivenByQueue,
				Note: "not measured: the gate dispatches nothing, its implementation is not in this tree",
			})
			return nil
		}
		c := timed(o.Timing, l.step)
		row := r.add(gateQuantity, "us", drivenByQueue, waiting, microseconds(c.time))
		if l.refused > 0 {
			row.Note = "some requests were refused, so that the queue was shorter"
		}
		r.add(gateQuantity+", allocations", "count", drivenByQueue, waiting, c.allocations)
	}
	return nil
}
