package dggate

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// Submit submits a request. An id that is queued or in flight is ignored.
func (g *Gate) Submit(now dandeliongap.Instant, r Request, dst []Action) []Action {
	if r.Class >= dandeliongap.ClassCount {
		r.Class = dandeliongap.ClassOrdinary
	}
	if g.holds(r.ID) {
		return dst
	}
	dst = g.settle(now, dst)
	if reason, rule := g.blocked(now); rule != RuleNone {
		return append(dst, refuse(r.ID, reason, rule, 0))
	}
	if now >= r.Deadline {
		return append(dst, refuse(r.ID, dandeliongap.ReasonDeadline, RuleDeadline, 0))
	}
	if g.held && g.lost {
		return g.try(now, r, dst)
	}
	if r.Class == dandeliongap.ClassUrgent {
		g.urgentAt = now
	}
	if rule, retry := g.admit(now, r); rule != RuleNone {
		g.overAt = now
		return append(dst, refuse(r.ID, dandeliongap.ReasonOverload, rule, retry))
	}
	g.seq++
	g.queues[r.Class].push(item{Request: r, seq: g.seq})
	return g.settle(now, dst)
}

func refuse(id dandeliongap.SubID, reason dandeliongap.Reason, rule Rule, retry time.Duration) Action {
	return Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: retry, Rule: rule}
}

func (g *Gate) holds(id dandeliongap.SubID) bool {
	if g.flight(id) >= 0 {
		return true
	}
	for c := range g.queues {
		if g.queues[c].index(id) >= 0 {
			return true
		}
	}
	return false
}

// blocked tells why no request at all may be sent or queued (G1, G3, G9).
func (g *Gate) blocked(now dandeliongap.Instant) (dandeliongap.Reason, Rule) {
	switch {
	case !g.held && !g.awaiting():
		return dandeliongap.ReasonNotOwner, RuleRights
	case g.zoneOut:
		return dandeliongap.ReasonZoneOut, RuleLeaving
	case g.leaving():
		return dandeliongap.ReasonDraining, RuleLeaving
	case g.held && now >= g.end:
		return dandeliongap.ReasonLease, RuleRightsEnd
	default:
		return dandeliongap.ReasonNone, RuleNone
	}
}

// admit decides by prediction whether a request may wait (G12, G13). It returns
// the rule that refuses it and the time after which it may be offered again.
func (g *Gate) admit(now dandeliongap.Instant, r Request) (Rule, time.Duration) {
	ahead := g.ahead(r)
	wait := g.wait(now, ahead)
	if g.held && now >= g.pause && ahead < g.free() {
		return RuleNone, 0
	}
	if len(g.queues[r.Class]) >= QueuePerSlot*int(max(g.top, 1)) {
		return RuleBound, max(wait, g.work.mean)
	}
	spare := r.Deadline.Sub(now) - g.work.mean - devFactor*g.work.dev
	if wait > spare {
		return RuleDeadline, max(wait-spare, g.work.mean)
	}
	if r.Class == dandeliongap.ClassUrgent {
		return RuleNone, 0
	}
	allowed := time.Duration(float64(spare) * waitShare)
	if wait > allowed {
		return RuleBound, max(wait-allowed, g.work.mean)
	}
	return RuleNone, 0
}

// ahead predicts how many queued requests are dispatched before r (G10, G11).
func (g *Gate) ahead(r Request) int {
	urgent := &g.queues[dandeliongap.ClassUrgent]
	ordinary := &g.queues[dandeliongap.ClassOrdinary]
	archive := &g.queues[dandeliongap.ClassArchive]
	switch r.Class {
	case dandeliongap.ClassUrgent:
		return urgent.ahead(r.Deadline)
	case dandeliongap.ClassOrdinary:
		n := len(*urgent) + ordinary.ahead(r.Deadline)
		return n + min(len(*archive), n/(ArchiveEvery-1))
	default:
		others := len(*urgent) + len(*ordinary)
		n := archive.ahead(r.Deadline)
		if others == 0 {
			return n
		}
		return n*ArchiveEvery + min(others, ArchiveEvery-1)
	}
}

// wait predicts the time until a request starts that has ahead others before
// it.
func (g *Gate) wait(now dandeliongap.Instant, ahead int) time.Duration {
	w := max(g.pause.Sub(now), 0)
	if rounds := ahead - g.free() + 1; rounds > 0 {
		w += time.Duration(rounds) * g.work.mean / time.Duration(max(g.limit, 1))
	}
	return w
}

// try sends a request to a lost replica if the time for a trial has come (G8).
// An action, whose outcome may stay unknown, waits one back-off longer than a
// search.
func (g *Gate) try(now dandeliongap.Instant, r Request, dst []Action) []Action {
	at := g.trialAt
	if r.NonIdempotent {
		at = at.Add(g.backoff)
	}
	if g.trial || now < at || g.free() <= 0 {
		retry := max(at.Sub(now), TrialBackoff)
		return append(dst, refuse(r.ID, dandeliongap.ReasonConnection, RuleLost, retry))
	}
	g.trial = true
	return g.send(r, true, RuleLost, dst)
}

// send dispatches a request. Its deadline ends with the rights at the latest
// (G3).
func (g *Gate) send(r Request, trial bool, rule Rule, dst []Action) []Action {
	g.flights = append(g.flights, flight{id: r.ID, change: g.change, trial: trial})
	return append(dst, Action{Kind: Dispatch, ID: r.ID, Deadline: min(r.Deadline, g.end), Rule: rule})
}

// settle ends every event: it refuses what cannot be sent any more and
// dispatches what can.
func (g *Gate) settle(now dandeliongap.Instant, dst []Action) []Action {
	g.due = false
	if reason, rule := g.blocked(now); rule != RuleNone {
		return g.refuseAll(reason, rule, 0, dst)
	}
	if !g.held {
		return g.expire(now, dandeliongap.ReasonNotOwner, RuleAwait, dst)
	}
	if g.lost {
		return g.refuseAll(dandeliongap.ReasonConnection, RuleLost, max(g.trialAt.Sub(now), TrialBackoff), dst)
	}
	dst = g.dispatch(now, dst)
	return g.expire(now, dandeliongap.ReasonOverload, RuleDeadline, dst)
}

// dispatch sends queued requests while slots are free (G4, G7, G10 to G12, G15).
func (g *Gate) dispatch(now dandeliongap.Instant, dst []Action) []Action {
	for now >= g.pause && g.free() > 0 {
		class, rule := g.pick()
		if class == dandeliongap.ClassCount {
			break
		}
		if now < g.paced(now) {
			break
		}
		r := g.queues[class].remove(0).Request
		if reason, why := g.late(now, r); why != RuleNone {
			dst = append(dst, refuse(r.ID, reason, why, g.work.mean))
			continue
		}
		g.count(class)
		g.lastSent = now
		dst = g.send(r, false, rule, dst)
	}
	return dst
}

// paced returns the instant before which no ordinary or archive request is
// dispatched (G15); 0 if an urgent request waits.
func (g *Gate) paced(now dandeliongap.Instant) dandeliongap.Instant {
	overloaded := g.overAt > 0 && now.Sub(g.overAt) <= paceMemory*g.work.mean
	urgent := g.urgentAt > 0 && now.Sub(g.urgentAt) <= urgentMemory*g.work.mean
	if !overloaded || !urgent || g.limit < 2 || len(g.queues[dandeliongap.ClassUrgent]) > 0 {
		return 0
	}
	return g.lastSent.Add(time.Duration(paceShare * float64(g.work.mean) / float64(g.limit)))
}

// late tells why a request whose turn has come would not end in time.
func (g *Gate) late(now dandeliongap.Instant, r Request) (dandeliongap.Reason, Rule) {
	if now.Add(g.work.mean) >= r.Deadline && (now >= r.Deadline || len(g.flights) > 0) {
		return dandeliongap.ReasonOverload, RuleDeadline
	}
	if r.Deadline > g.end && now.Add(g.work.mean) >= g.end && (now >= g.end || len(g.flights) > 0) {
		return dandeliongap.ReasonLease, RuleRightsEnd
	}
	return dandeliongap.ReasonNone, RuleNone
}

// pick returns the class that is next (G10, G11), ClassCount if none waits.
func (g *Gate) pick() (dandeliongap.Class, Rule) {
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

// count keeps the number of dispatches since the last archive request.
func (g *Gate) count(class dandeliongap.Class) {
	if class == dandeliongap.ClassArchive || len(g.queues[dandeliongap.ClassArchive]) == 0 {
		g.sinceArchive = 0
		return
	}
	g.sinceArchive++
}

// expire refuses queued requests that can no longer meet their deadline (G2,
// G12).
func (g *Gate) expire(now dandeliongap.Instant, reason dandeliongap.Reason, rule Rule, dst []Action) []Action {
	for c := range g.queues {
		q := &g.queues[c]
		for len(*q) > 0 && now.Add(g.work.mean) >= (*q)[0].Deadline {
			it := q.remove(0)
			dst = append(dst, refuse(it.ID, reason, rule, g.work.mean))
		}
	}
	return dst
}

func (g *Gate) refuseAll(reason dandeliongap.Reason, rule Rule, retry time.Duration, dst []Action) []Action {
	for c := range g.queues {
		for i := range g.queues[c] {
			dst = append(dst, refuse(g.queues[c][i].ID, reason, rule, retry))
		}
		g.queues[c] = g.queues[c][:0]
	}
	return dst
}
