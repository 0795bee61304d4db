package dggate

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// inFlightRequest is a request for which Dispatch was emitted and Done was not called.
type inFlightRequest struct {
	id           dandeliongap.SubID
	limitVersion int // Gate.limitVersion when it was sent
	cancelled    bool
	trial        bool
}

// Gate is the admission control of one replica. The zero value holds no rights
// and refuses everything. It is not safe for concurrent use. Methods with a dst
// argument append their actions to dst and return it. After each event the
// driver reads Next again and calls Tick at the instant that it returns.
type Gate struct {
	replica     dandeliongap.Replica
	maxLimit    dandeliongap.Slots
	coldLimit   dandeliongap.Slots
	queuesDirty bool // a setter changed the state; the next event applies the change to the queues

	held         bool
	everHeld     bool // rights were granted at least once
	epoch        dandeliongap.Epoch
	awaitedEpoch dandeliongap.Epoch
	revokedEpoch dandeliongap.Epoch
	rightsEnd    dandeliongap.Instant

	limit         dandeliongap.Slots
	limitRule     Rule
	limitVersion  int     // number of changes of the limit
	goodAnswers   int     // good answers of requests sent under the current limit (G5)
	slowInRow     int     // slow answers in a row (G6)
	normalLatency average // of answers without a cold mark
	serviceTime   average // of cold and warm answers, and of unanswered requests that took longer than the mean
	indexVersion  dandeliongap.IndexVersion

	pausedUntil dandeliongap.Instant // nothing is dispatched before it (G7)

	lost          bool
	trialInFlight bool
	failures      int // connection failures in a row
	backoff       time.Duration
	trialAt       dandeliongap.Instant // earliest time of the next trial request

	lastDispatch dandeliongap.Instant
	lastUrgent   dandeliongap.Instant // arrival of the last urgent request
	lastOverload dandeliongap.Instant // last refusal by admit (G12, G13)

	zoneOut            bool
	healthDraining     bool // the health endpoint reports that the replica drains
	responseDraining   bool // a response reported that the replica drains
	responseDrainingAt dandeliongap.Instant
	seq                uint64 // of the last queued request
	inFlight           []inFlightRequest
	queues             [dandeliongap.ClassCount]queue
	sinceArchive       int // dispatches of other classes while archive requests waited (G11)
}

// Configure sets the replica's limits. The driver calls it first and after each
// change of the configuration. The next event applies the change to the queues;
// until then Next returns an instant in the past. A changed address means
// another backend server, which starts cold.
func (g *Gate) Configure(r dandeliongap.Replica) {
	wasLeaving := g.leaving()
	moved := g.replica.Address != r.Address
	g.replica = r
	g.maxLimit = max(r.Slots, 0)
	if r.Connections > 0 {
		g.maxLimit = min(g.maxLimit, dandeliongap.Slots(r.Connections))
	}
	g.coldLimit = min(max(r.ColdLimit, 1), g.maxLimit)
	g.setLimit(min(max(g.limit, g.coldLimit), g.maxLimit), RuleLimit)
	if moved {
		g.resetBackendState()
	}
	if moved || wasLeaving && !g.leaving() {
		g.turnCold(RuleRamp)
	}
	g.queuesDirty = true
}

// Await records that the placement row names this VM as the owner under epoch, and
// that former owners have not released the replica yet. Requests are queued until
// Grant. If the row names another VM before that, the driver calls Revoke.
// Rights held under an earlier epoch stay valid until they are revoked.
func (g *Gate) Await(_ dandeliongap.Instant, epoch dandeliongap.Epoch) {
	g.awaitedEpoch = max(g.awaitedEpoch, epoch)
}

func (g *Gate) awaiting() bool { return !g.held && g.awaitedEpoch > g.revokedEpoch }

// Grant gives this VM the rights under epoch. Requests are still refused with
// ReasonLease if SetRightsEnd was not called before. Grant ignores a revoked epoch and
// one before the current or the awaited epoch.
func (g *Gate) Grant(now dandeliongap.Instant, epoch dandeliongap.Epoch, h Handover, dst []Action) []Action {
	if epoch <= g.revokedEpoch || epoch < max(g.epoch, g.awaitedEpoch) {
		return dst
	}
	g.epoch = epoch
	if g.held {
		return dst
	}
	g.held, g.everHeld = true, true
	g.lost, g.failures, g.slowInRow = false, 0, 0
	g.turnCold(RuleRamp)
	if h.Known {
		g.setLimit(min(max(h.Limit, g.coldLimit), g.maxLimit), RuleRights)
		g.normalLatency.seed(h.NormalLatency)
		g.serviceTime.seed(h.NormalLatency)
	}
	if h.Draining {
		g.responseDraining, g.responseDrainingAt = true, now
	}
	return g.advance(now, dst)
}

// Revoke ends the rights under epoch and all earlier ones. Requests in flight
// are not cancelled.
func (g *Gate) Revoke(now dandeliongap.Instant, epoch dandeliongap.Epoch, dst []Action) []Action {
	g.revokedEpoch = max(g.revokedEpoch, epoch)
	if g.epoch <= g.revokedEpoch {
		g.held = false
	}
	return g.advance(now, dst)
}

// Drained reports whether the gate holds no rights and nothing is in flight.
func (g *Gate) Drained() bool { return !g.held && len(g.inFlight) == 0 }

// SetRightsEnd sets the instant at which the rights expire. The next event applies
// the change to the queues.
func (g *Gate) SetRightsEnd(end dandeliongap.Instant) {
	if end < g.rightsEnd {
		g.queuesDirty = true
	}
	g.rightsEnd = end
}

// SetZoneOut sets whether the replica's availability zone is taken out of service.
func (g *Gate) SetZoneOut(now dandeliongap.Instant, out bool, dst []Action) []Action {
	wasLeaving := g.leaving()
	g.zoneOut = out
	return g.leavingChanged(now, wasLeaving, dst)
}

// SetDraining sets whether the replica's health endpoint reports draining. The driver
// calls it after each successful check of the endpoint. A response that reported
// draining stays in force until the endpoint has reported draining and then no longer
// does, or for DrainHold.
func (g *Gate) SetDraining(now dandeliongap.Instant, draining bool, dst []Action) []Action {
	wasLeaving := g.leaving()
	if !draining && (g.healthDraining || now.Sub(g.responseDrainingAt) >= DrainHold) {
		g.responseDraining = false
	}
	g.healthDraining = draining
	return g.leavingChanged(now, wasLeaving, dst)
}

func (g *Gate) leaving() bool {
	return g.zoneOut || g.healthDraining || g.responseDraining || g.replica.Leaving
}

// leavingChanged starts the replica cold if it was leaving and no longer is (G9).
func (g *Gate) leavingChanged(now dandeliongap.Instant, wasLeaving bool, dst []Action) []Action {
	if wasLeaving && !g.leaving() {
		g.turnCold(RuleLeaving)
	}
	return g.advance(now, dst)
}

// Cancel refuses a queued request or asks the driver to cancel one in flight
// (G14). Other ids are ignored.
func (g *Gate) Cancel(now dandeliongap.Instant, id dandeliongap.SubID, dst []Action) []Action {
	if i := g.inFlightIndex(id); i >= 0 {
		if !g.inFlight[i].cancelled {
			g.inFlight[i].cancelled = true
			dst = append(dst, Action{Kind: CancelInFlight, ID: id, Rule: RuleCancel})
		}
		return g.advance(now, dst)
	}
	for c := range g.queues {
		if i := g.queues[c].indexOf(id); i >= 0 {
			g.queues[c].remove(i)
			dst = append(dst, Action{Kind: Refuse, ID: id, Reason: dandeliongap.ReasonCancelled, Rule: RuleCancel})
			break
		}
	}
	return g.advance(now, dst)
}

// Tick refuses or dispatches the queued requests that are due at now.
func (g *Gate) Tick(now dandeliongap.Instant, dst []Action) []Action { return g.advance(now, dst) }

// Next returns the instant at which Tick must be called unless another event
// comes first, or Never if Tick is not needed.
func (g *Gate) Next() dandeliongap.Instant {
	if g.queuesDirty {
		return 0
	}
	next := Never
	for c := range g.queues {
		if q := g.queues[c]; len(q) > 0 {
			next = min(next, q[0].Deadline.Add(-g.serviceTime.mean))
		}
	}
	if next == Never || !g.held {
		return next
	}
	if g.freeSlots() > 0 {
		// The current time is not known here, so pacing is evaluated at the last dispatch.
		next = min(next, max(g.pausedUntil, g.pacedUntil(g.lastDispatch)))
	}
	return min(next, g.rightsEnd)
}

// Load returns the current load of the replica. Its limit is 0 without rights.
func (g *Gate) Load() dandeliongap.ReplicaLoad {
	load := dandeliongap.ReplicaLoad{
		Busy:     dandeliongap.Slots(len(g.inFlight)),
		Queued:   g.queued(),
		Cold:     g.limit < g.maxLimit,
		Draining: g.leaving(),
		Index:    g.indexVersion,
	}
	if g.held {
		load.Limit = g.limit
	}
	return load
}

// State returns NotHeld, Leaving or Lost, in this order of precedence, or otherwise the
// state that follows from the limit.
func (g *Gate) State() State {
	switch {
	case !g.held:
		return NotHeld
	case g.leaving():
		return Leaving
	case g.lost:
		return Lost
	case g.limit >= g.maxLimit:
		return Warm
	case g.limit > g.coldLimit:
		return Ramping
	default:
		return Cold
	}
}

// Handover returns the state to pass to the next owner. It may also be called after
// Revoke.
func (g *Gate) Handover() Handover {
	return Handover{
		Limit:         g.limit,
		Known:         g.everHeld && !g.lost,
		Draining:      g.healthDraining || g.responseDraining,
		NormalLatency: g.normalLatency.mean,
	}
}

// LimitRule returns the rule that changed the limit last.
func (g *Gate) LimitRule() Rule { return g.limitRule }

// setLimit sets the limit and resets the count of good answers.
func (g *Gate) setLimit(limit dandeliongap.Slots, rule Rule) {
	g.goodAnswers = 0
	if limit != g.limit {
		g.limit, g.limitRule = limit, rule
		g.limitVersion++
	}
}

// resetBackendState discards everything observed of the backend server, because
// another one has replaced it.
func (g *Gate) resetBackendState() {
	g.lost, g.failures, g.slowInRow, g.pausedUntil = false, 0, 0, 0
	g.responseDraining, g.healthDraining = false, false
	g.normalLatency, g.serviceTime = average{}, average{}
}

func (g *Gate) turnCold(rule Rule) { g.setLimit(g.coldLimit, rule) }

// freeSlots returns the number of free slots. It is negative while more requests
// are in flight than a lowered limit allows.
func (g *Gate) freeSlots() int { return int(g.limit) - len(g.inFlight) }

func (g *Gate) queued() int {
	n := 0
	for c := range g.queues {
		n += len(g.queues[c])
	}
	return n
}

func (g *Gate) inFlightIndex(id dandeliongap.SubID) int {
	for i := range g.inFlight {
		if g.inFlight[i].id == id {
			return i
		}
	}
	return -1
}
