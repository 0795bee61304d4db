package dggate

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// flight is a dispatched request whose Done has not come.
type flight struct {
	id        dandeliongap.SubID
	change    int // number of the limit's change under which it was sent
	cancelled bool
	trial     bool
}

// Gate is the admission control of one replica. The zero value holds no rights
// and refuses everything. It is not safe for concurrent use. Methods with a dst
// argument append their actions to dst and return it. After each event the
// driver calls Tick at the instant that Next returns.
type Gate struct {
	replica dandeliongap.Replica
	top     dandeliongap.Slots // highest limit
	floor   dandeliongap.Slots // cold limit
	due     bool               // a setter changed what the next event must apply

	held    bool
	known   bool // rights were held at some time
	epoch   dandeliongap.Epoch
	awaited dandeliongap.Epoch
	revoked dandeliongap.Epoch
	end     dandeliongap.Instant

	limit     dandeliongap.Slots
	limitRule Rule
	change    int // counts changes of the limit
	good      int // good answers of requests sent at the present limit
	slow      int // slow answers in a row
	normal    average
	work      average // service time, cold or warm
	index     dandeliongap.IndexVersion

	pause dandeliongap.Instant // nothing is dispatched before

	lost    bool
	trial   bool // a trial request is in flight
	fails   int
	backoff time.Duration
	trialAt dandeliongap.Instant

	lastSent dandeliongap.Instant // last dispatch
	urgentAt dandeliongap.Instant // last urgent request
	overAt   dandeliongap.Instant // last refusal by prediction

	zoneOut      bool
	health       bool // the health endpoint reports draining
	marked       bool // a response reported draining
	markedAt     dandeliongap.Instant
	seq          uint64
	flights      []flight
	queues       [dandeliongap.ClassCount]queue
	sinceArchive int // dispatches of other classes while archive waited
}

// Configure sets the replica's limits, at first and after each change of the
// configuration. Its consequences for the queue follow at the next event; Next
// returns an instant in the past until then. Another address is another backend
// server, which starts cold.
func (g *Gate) Configure(r dandeliongap.Replica) {
	wasLeaving := g.leaving()
	moved := g.replica.Address != r.Address
	g.replica = r
	g.top = max(r.Slots, 0)
	if r.Connections > 0 {
		g.top = min(g.top, dandeliongap.Slots(r.Connections))
	}
	g.floor = min(max(r.ColdLimit, 1), g.top)
	g.setLimit(min(max(g.limit, g.floor), g.top), RuleLimit)
	if moved {
		g.forget()
	}
	if moved || wasLeaving && !g.leaving() {
		g.turnCold(RuleRamp)
	}
	g.due = true
}

// Await reports that the placement row names this VM under epoch while former
// owners have not released the replica. Requests are queued until Grant; if the
// row moves on before, the driver calls Revoke. Rights that are held under an
// earlier epoch stay in force until they are revoked.
func (g *Gate) Await(_ dandeliongap.Instant, epoch dandeliongap.Epoch) {
	g.awaited = max(g.awaited, epoch)
}

func (g *Gate) awaiting() bool { return !g.held && g.awaited > g.revoked }

// Grant begins the rights under epoch. SetRightsEnd must have been called, or
// requests stay refused with ReasonLease. An epoch that was revoked is ignored.
func (g *Gate) Grant(now dandeliongap.Instant, epoch dandeliongap.Epoch, h Handover, dst []Action) []Action {
	if epoch <= g.revoked || epoch < max(g.epoch, g.awaited) {
		return dst
	}
	g.epoch = epoch
	if g.held {
		return dst
	}
	g.held, g.known = true, true
	g.lost, g.fails, g.slow = false, 0, 0
	g.turnCold(RuleRamp)
	if h.Known {
		g.setLimit(min(max(h.Limit, g.floor), g.top), RuleRights)
		g.normal.seed(h.NormalLatency)
		g.work.seed(h.NormalLatency)
	}
	if h.Draining {
		g.marked, g.markedAt = true, now
	}
	return g.settle(now, dst)
}

// Revoke ends the rights under every epoch up to epoch. Requests in flight
// finish.
func (g *Gate) Revoke(now dandeliongap.Instant, epoch dandeliongap.Epoch, dst []Action) []Action {
	g.revoked = max(g.revoked, epoch)
	if g.epoch <= g.revoked {
		g.held = false
	}
	return g.settle(now, dst)
}

// Drained reports that the gate holds no rights and nothing is in flight.
func (g *Gate) Drained() bool { return !g.held && len(g.flights) == 0 }

// SetRightsEnd sets the end of the rights, from View.RightsEnd. Its consequences
// for the queue follow at the next event.
func (g *Gate) SetRightsEnd(end dandeliongap.Instant) {
	if end < g.end {
		g.due = true
	}
	g.end = end
}

// SetZoneOut tells whether the replica's availability zone is taken out.
func (g *Gate) SetZoneOut(now dandeliongap.Instant, out bool, dst []Action) []Action {
	wasLeaving := g.leaving()
	g.zoneOut = out
	return g.returned(now, wasLeaving, dst)
}

// SetDraining reports the sign of the replica's health endpoint; the driver
// repeats it. A draining sign of a response stays in force until the endpoint
// has reported draining and its end, or for DrainHold.
func (g *Gate) SetDraining(now dandeliongap.Instant, draining bool, dst []Action) []Action {
	wasLeaving := g.leaving()
	if !draining && (g.health || now.Sub(g.markedAt) >= DrainHold) {
		g.marked = false
	}
	g.health = draining
	return g.returned(now, wasLeaving, dst)
}

func (g *Gate) leaving() bool {
	return g.zoneOut || g.health || g.marked || g.replica.Leaving
}

// returned applies the end of leaving (G9).
func (g *Gate) returned(now dandeliongap.Instant, wasLeaving bool, dst []Action) []Action {
	if wasLeaving && !g.leaving() {
		g.turnCold(RuleLeaving)
	}
	return g.settle(now, dst)
}

// Cancel ends a queued request or asks for the cancellation of one in flight.
// Other ids are ignored.
func (g *Gate) Cancel(now dandeliongap.Instant, id dandeliongap.SubID, dst []Action) []Action {
	if i := g.flight(id); i >= 0 {
		if !g.flights[i].cancelled {
			g.flights[i].cancelled = true
			dst = append(dst, Action{Kind: CancelInFlight, ID: id, Rule: RuleCancel})
		}
		return g.settle(now, dst)
	}
	for c := range g.queues {
		if i := g.queues[c].index(id); i >= 0 {
			g.queues[c].remove(i)
			dst = append(dst, Action{Kind: Refuse, ID: id, Reason: dandeliongap.ReasonCancelled, Rule: RuleCancel})
			break
		}
	}
	return g.settle(now, dst)
}

// Tick acts on the time that passed.
func (g *Gate) Tick(now dandeliongap.Instant, dst []Action) []Action { return g.settle(now, dst) }

// Next returns the instant at which Tick must be called unless an event comes
// first; Never if there is none.
func (g *Gate) Next() dandeliongap.Instant {
	if g.due {
		return 0
	}
	next := Never
	for c := range g.queues {
		if q := g.queues[c]; len(q) > 0 {
			next = min(next, q[0].Deadline.Add(-g.work.mean))
		}
	}
	if next == Never || !g.held {
		return next
	}
	if g.free() > 0 {
		next = min(next, max(g.pause, g.paced(g.lastSent)))
	}
	return min(next, g.end)
}

// Mark returns what sub-answers tell the entry VM about the replica.
func (g *Gate) Mark() dandeliongap.ReplicaLoad {
	m := dandeliongap.ReplicaLoad{
		Busy:     dandeliongap.Slots(len(g.flights)),
		Queued:   g.queued(),
		Cold:     g.limit < g.top,
		Draining: g.leaving(),
		Index:    g.index,
	}
	if g.held {
		m.Limit = g.limit
	}
	return m
}

// State returns the state of the replica.
func (g *Gate) State() State {
	switch {
	case !g.held:
		return NotHeld
	case g.leaving():
		return Leaving
	case g.lost:
		return Lost
	case g.limit >= g.top:
		return Warm
	case g.limit > g.floor:
		return Ramping
	default:
		return Cold
	}
}

// Handover returns the state for the next owner, also after Revoke.
func (g *Gate) Handover() Handover {
	return Handover{
		Limit:         g.limit,
		Known:         g.known && !g.lost,
		Draining:      g.health || g.marked,
		NormalLatency: g.normal.mean,
	}
}

// LimitRule returns the rule that set the present limit, for log lines.
func (g *Gate) LimitRule() Rule { return g.limitRule }

// setLimit changes the limit and starts counting good answers again.
func (g *Gate) setLimit(limit dandeliongap.Slots, rule Rule) {
	g.good = 0
	if limit != g.limit {
		g.limit, g.limitRule = limit, rule
		g.change++
	}
}

// forget drops what was learned of a backend server that was replaced.
func (g *Gate) forget() {
	g.lost, g.fails, g.slow, g.pause = false, 0, 0, 0
	g.marked, g.health = false, false
	g.normal, g.work = average{}, average{}
}

func (g *Gate) turnCold(rule Rule) { g.setLimit(g.floor, rule) }

// free returns the number of free slots; negative after the limit fell.
func (g *Gate) free() int { return int(g.limit) - len(g.flights) }

func (g *Gate) queued() int {
	n := 0
	for c := range g.queues {
		n += len(g.queues[c])
	}
	return n
}

func (g *Gate) flight(id dandeliongap.SubID) int {
	for i := range g.flights {
		if g.flights[i].id == id {
			return i
		}
	}
	return -1
}
