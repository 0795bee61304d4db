package dgcapacity

import (
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
)

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
	gate    dggate.Gate
	now     dandeliongap.Instant
	next    uint32
	running []dandeliongap.SubID
	actions []dggate.Action
	refused int
}

// newGateLoad fails if the gate does not fill its slots and queue the rest.
func newGateLoad(waiting int) (*gateLoad, error) {
	l := &gateLoad{}
	g := &l.gate
	g.Configure(dandeliongap.Replica{ID: "shard-000/1", Slots: gateSlots, Connections: 10 * gateSlots, ColdLimit: 1})
	g.SetRightsEnd(1 << 62)
	l.take(g.Grant(0, 1, dggate.Handover{Known: true, Limit: gateSlots, NormalLatency: gateLatency}, nil))
	for range gateSlots + waiting {
		l.offer()
	}
	if m := g.Load(); len(l.running) != gateSlots || m.Queued != waiting {
		return nil, fmt.Errorf("gate with %d waiting: %d running, %d queued, %d refused: %w",
			waiting, len(l.running), m.Queued, l.refused, dandeliongap.ErrInvalid)
	}
	return l, nil
}

func (l *gateLoad) offer() {
	l.next++
	l.take(l.gate.Submit(l.now, dggate.Request{ID: dandeliongap.SubID{Shard: l.next}, Deadline: l.now.Add(gateDeadline)}, l.actions[:0]))
}

// take does what the driver of dgnode does after each event: it reads the mark
// for each action and asks for the next instant.
func (l *gateLoad) take(actions []dggate.Action) {
	for _, a := range actions {
		l.gate.Load()
		switch a.Kind {
		case dggate.Dispatch:
			l.running = append(l.running, a.ID)
		case dggate.Refuse:
			l.refused++
		}
	}
	l.actions = actions
	l.gate.Next()
}

// step ends the oldest running request and offers a new one.
func (l *gateLoad) step() {
	l.now = l.now.Add(gateLatency / gateSlots)
	if len(l.running) > 0 {
		id := l.running[0]
		l.running = append(l.running[:0], l.running[1:]...)
		actions := l.gate.Done(l.now, id, dggate.Result{Status: dandeliongap.SubAnswered, Latency: gateLatency}, l.actions[:0])
		l.gate.Load() // goes with the answer
		l.take(actions)
	}
	l.offer()
}

// gateQuantity is the row of the gate's time.
const gateQuantity = "gate decisions per sub-request"

func measureGate(r *Report, o Options) error {
	for _, waiting := range queueLengths {
		l, err := newGateLoad(waiting)
		if err != nil {
			return err
		}
		c := timed(o.Timing, l.step)
		if l.refused > 0 {
			return fmt.Errorf("gate with %d waiting: %d refused: %w", waiting, l.refused, dandeliongap.ErrInvalid)
		}
		r.add(gateQuantity, "us", drivenByQueue, waiting, microseconds(c.time))
		r.add(gateQuantity+", allocations", "count", drivenByQueue, waiting, c.allocations)
	}
	return nil
}
