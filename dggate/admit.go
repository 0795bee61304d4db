package dggate

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// Submit dispatches, queues or refuses a request. It ignores a request whose id is
// queued or in flight.
func (g *Gate) Submit(now dandeliongap.Instant, r Request, dst []Action) []Action {
	if r.Class >= dandeliongap.ClassCount {
		r.Class = dandeliongap.ClassOrdinary
	}
	if g.contains(r.ID) {
		return dst
	}
	dst = g.advance(now, dst)
	if reason, rule := g.blocked(now); rule != RuleNone {
		return append(dst, refuse(r.ID, reason, rule, 0))
	}
	if now >= r.Deadline {
		return append(dst, refuse(r.ID, dandeliongap.ReasonDeadline, RuleDeadline, 0))
	}
	if g.held && g.lost {
		return g.submitTrial(now, r, dst)
	}
	if r.Class == dandeliongap.ClassUrgent {
		g.lastUrgent = now
	}
	if rule, retry := g.admit(now, r); rule != RuleNone {
		g.lastOverload = now
		return append(dst, refuse(r.ID, dandeliongap.ReasonOverload, rule, retry))
	}
	g.seq++
	g.queues[r.Class].push(item{Request: r, seq: g.seq})
	return g.advance(now, dst)
}

func refuse(id dandeliongap.SubID, reason dandeliongap.Reason, rule Rule, retry time.Duration) Action {
	return Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: retry, Rule: rule}
}

func (g *Gate) contains(id dandeliongap.SubID) bool {
	if g.inFlightIndex(id) >= 0 {
		return true
	}
	for c := range g.queues {
		if g.queues[c].indexOf(id) >= 0 {
			return true
		}
	}
	return false
}

// blocked returns the reason why no request at all may be sent or queued (G1, G3,
// G9), or RuleNone.
func (g *Gate) blocked(now dandeliongap.Instant) (dandeliongap.Reason, Rule) {
	switch {
	case !g.held && !g.awaiting():
		return dandeliongap.ReasonNotOwner, RuleRights
	case g.zoneOut:
		return dandeliongap.ReasonZoneOut, RuleLeaving
	case g.leaving():
		return dandeliongap.ReasonDraining, RuleLeaving
	case g.held && now >= g.rightsEnd:
		return dandeliongap.ReasonLease, RuleRightsEnd
	default:
		return dandeliongap.ReasonNone, RuleNone
	}
}

// admit decides whether a request may be dispatched or queued, from the length of
// its queue and from its predicted wait (G12, G13). It returns RuleNone, or the rule
// that refuses the request and the time after which it may be submitted again.
func (g *Gate) admit(now dandeliongap.Instant, r Request) (Rule, time.Duration) {
	ahead := g.queuedBefore(r)
	wait := g.predictWait(now, ahead)
	if g.held && now >= g.pausedUntil && ahead < g.freeSlots() {
		return RuleNone, 0
	}
	if len(g.queues[r.Class]) >= QueuePerSlot*int(max(g.maxLimit, 1)) {
		return RuleBound, max(wait, g.serviceTime.mean)
	}
	spare := r.Deadline.Sub(now) - g.serviceTime.mean - deviationFactor*g.serviceTime.deviation
	if wait > spare {
		return RuleDeadline, max(wait-spare, g.serviceTime.mean)
	}
	if r.Class == dandeliongap.ClassUrgent {
		return RuleNone, 0
	}
	allowed := time.Duration(float64(spare) * waitShare)
	if wait > allowed {
		return RuleBound, max(wait-allowed, g.serviceTime.mean)
	}
	return RuleNone, 0
}

// queuedBefore predicts how many queued requests are dispatched before r (G10,
// G11).
func (g *Gate) queuedBefore(r Request) int {
	urgent := &g.queues[dandeliongap.ClassUrgent]
	ordinary := &g.queues[dandeliongap.ClassOrdinary]
	archive := &g.queues[dandeliongap.ClassArchive]
	switch r.Class {
	case dandeliongap.ClassUrgent:
		return urgent.countBefore(r.Deadline)
	case dandeliongap.ClassOrdinary:
		n := len(*urgent) + ordinary.countBefore(r.Deadline)
		return n + min(len(*archive), n/(ArchiveEvery-1))
	default:
		others := len(*urgent) + len(*ordinary)
		n := archive.countBefore(r.Deadline)
		if others == 0 {
			return n
		}
		return n*ArchiveEvery + min(others, ArchiveEvery-1)
	}
}

// predictWait predicts how long a request waits if ahead queued requests are
// dispatched before it.
func (g *Gate) predictWait(now dandeliongap.Instant, ahead int) time.Duration {
	wait := max(g.pausedUntil.Sub(now), 0)
	if completions := ahead - g.freeSlots() + 1; completions > 0 {
		wait += time.Duration(completions) * g.serviceTime.mean / time.Duration(max(g.limit, 1))
	}
	return wait
}

// submitTrial sends a request to a lost replica if a trial request is due, and
// refuses it otherwise (G8). A non-idempotent request is sent only if the trial has
// been due for one more back-off, because its outcome may remain unknown.
func (g *Gate) submitTrial(now dandeliongap.Instant, r Request, dst []Action) []Action {
	at := g.trialAt
	if r.NonIdempotent {
		at = at.Add(g.backoff)
	}
	if g.trialInFlight || now < at || g.freeSlots() <= 0 {
		retry := max(at.Sub(now), TrialBackoff)
		return append(dst, refuse(r.ID, dandeliongap.ReasonConnection, RuleLost, retry))
	}
	g.trialInFlight = true
	return g.send(r, true, RuleLost, dst)
}

// send dispatches a request. Its deadline is at most the end of the rights (G3).
func (g *Gate) send(r Request, trial bool, rule Rule, dst []Action) []Action {
	g.inFlight = append(g.inFlight, inFlightRequest{id: r.ID, limitVersion: g.limitVersion, trial: trial})
	return append(dst, Action{Kind: Dispatch, ID: r.ID, Deadline: min(r.Deadline, g.rightsEnd), Rule: rule})
}

// advance applies the current state to the queues: it refuses queued requests that
// can no longer be sent and dispatches those that can.
func (g *Gate) advance(now dandeliongap.Instant, dst []Action) []Action {
	g.queuesDirty = false
	if reason, rule := g.blocked(now); rule != RuleNone {
		return g.refuseQueued(reason, rule, 0, dst)
	}
	if !g.held {
		return g.expire(now, dandeliongap.ReasonNotOwner, RuleAwait, dst)
	}
	if g.lost {
		return g.refuseQueued(dandeliongap.ReasonConnection, RuleLost, max(g.trialAt.Sub(now), TrialBackoff), dst)
	}
	dst = g.dispatch(now, dst)
	return g.expire(now, dandeliongap.ReasonOverload, RuleDeadline, dst)
}

// dispatch sends queued requests while slots are free (G3, G4, G7, G10 to G12,
// G15).
func (g *Gate) dispatch(now dandeliongap.Instant, dst []Action) []Action {
	for now >= g.pausedUntil && g.freeSlots() > 0 {
		class, rule := g.nextClass()
		if class == dandeliongap.ClassCount {
			break
		}
		if now < g.pacedUntil(now) {
			break
		}
		r := g.queues[class].remove(0).Request
		if reason, lateRule := g.tooLate(now, r); lateRule != RuleNone {
			dst = append(dst, refuse(r.ID, reason, lateRule, g.serviceTime.mean))
			continue
		}
		g.countDispatch(class)
		g.lastDispatch = now
		dst = g.send(r, false, rule, dst)
	}
	return dst
}

// pacedUntil returns the instant before which no ordinary or archive request is
// dispatched (G15), or 0 if dispatches are not paced. While an urgent request is
// queued they are not paced.
func (g *Gate) pacedUntil(now dandeliongap.Instant) dandeliongap.Instant {
	overloaded := g.lastOverload > 0 && now.Sub(g.lastOverload) <= overloadWindow*g.serviceTime.mean
	urgent := g.lastUrgent > 0 && now.Sub(g.lastUrgent) <= urgentWindow*g.serviceTime.mean
	if !overloaded || !urgent || g.limit < 2 || len(g.queues[dandeliongap.ClassUrgent]) > 0 {
		return 0
	}
	return g.lastDispatch.Add(time.Duration(paceShare * float64(g.serviceTime.mean) / float64(g.limit)))
}

// tooLate returns the reason why a request that is about to be sent would not
// finish in time, or RuleNone.
func (g *Gate) tooLate(now dandeliongap.Instant, r Request) (dandeliongap.Reason, Rule) {
	if now.Add(g.serviceTime.mean) >= r.Deadline && (now >= r.Deadline || len(g.inFlight) > 0) {
		return dandeliongap.ReasonOverload, RuleDeadline
	}
	if r.Deadline > g.rightsEnd && now.Add(g.serviceTime.mean) >= g.rightsEnd && (now >= g.rightsEnd || len(g.inFlight) > 0) {
		return dandeliongap.ReasonLease, RuleRightsEnd
	}
	return dandeliongap.ReasonNone, RuleNone
}

// nextClass returns the class of the next dispatch and the rule that selects it
// (G10, G11), or ClassCount if all queues are empty.
func (g *Gate) nextClass() (dandeliongap.Class, Rule) {
	urgent := len(g.queues[dandeliongap.ClassUrgent]) > 0
	ordinary := len(g.queues[dandeliongap.ClassOrdinary]) > 0
	archive := len(g.queues[dandeliongap.ClassArchive]) > 0
	switch {
	case archive && g.sinceArchive >= 2*ArchiveEvery-1:
		return dandeliongap.ClassArchive, RuleArchive
	case urgent:
		return dandeliongap.ClassUrgent, RuleOrder
	case archive && g.sinceArchive >= ArchiveEvery-1:
		return dandeliongap.ClassArchive, RuleArchive
	case ordinary:
		return dandeliongap.ClassOrdinary, RuleOrder
	case archive:
		return dandeliongap.ClassArchive, RuleOrder
	default:
		return dandeliongap.ClassCount, RuleNone
	}
}

// countDispatch updates sinceArchive for a dispatch of the given class.
func (g *Gate) countDispatch(class dandeliongap.Class) {
	if class == dandeliongap.ClassArchive || len(g.queues[dandeliongap.ClassArchive]) == 0 {
		g.sinceArchive = 0
		return
	}
	g.sinceArchive++
}

// expire refuses queued requests that can no longer meet their deadline (G2, G12).
func (g *Gate) expire(now dandeliongap.Instant, reason dandeliongap.Reason, rule Rule, dst []Action) []Action {
	for c := range g.queues {
		q := &g.queues[c]
		for len(*q) > 0 && now.Add(g.serviceTime.mean) >= (*q)[0].Deadline {
			it := q.remove(0)
			dst = append(dst, refuse(it.ID, reason, rule, g.serviceTime.mean))
		}
	}
	return dst
}

func (g *Gate) refuseQueued(reason dandeliongap.Reason, rule Rule, retry time.Duration, dst []Action) []Action {
	for c := range g.queues {
		for i := range g.queues[c] {
			dst = append(dst, refuse(g.queues[c][i].ID, reason, rule, retry))
		}
		g.queues[c] = g.queues[c][:0]
	}
	return dst
}
