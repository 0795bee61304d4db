package dggate

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// Done applies the result of a dispatched request and frees its slot. It ignores ids
// that are not in flight.
func (g *Gate) Done(now dandeliongap.Instant, id dandeliongap.SubID, res Result, dst []Action) []Action {
	i := g.inFlightIndex(id)
	if i < 0 {
		return dst
	}
	f := g.inFlight[i]
	excess := g.freeSlots() < 0
	last := len(g.inFlight) - 1
	g.inFlight[i] = g.inFlight[last]
	g.inFlight = g.inFlight[:last]
	if f.trial {
		g.trialInFlight = false
	}
	g.observe(now, f, res, excess)
	return g.advance(now, dst)
}

// observe updates the state of the replica from the result of a request. excess
// reports whether more requests than the limit were in flight.
func (g *Gate) observe(now dandeliongap.Instant, f inFlightRequest, res Result, excess bool) {
	if res.Index != 0 {
		g.indexVersion = res.Index
	}
	if res.Draining || res.Reason == dandeliongap.ReasonDraining {
		g.responseDraining, g.responseDrainingAt = true, now
	}
	switch {
	case g.connectionFailed(f, res):
		g.recordFailure(now, f, res)
	case responded(res):
		g.recordResponse()
	}
	switch {
	case res.Status == dandeliongap.SubAnswered:
		g.serviceTime.add(res.Latency, serviceTimeCap)
		g.recordAnswer(f, res)
	case res.Status == dandeliongap.SubNotRun && res.Reason == dandeliongap.ReasonShed:
		g.recordShed(now, res.RetryAfter, excess)
	case res.Status != dandeliongap.SubNotRun && res.Latency > g.serviceTime.mean && res.Reason != dandeliongap.ReasonConnection:
		// Without an answer, the latency is a lower bound on the service time.
		g.serviceTime.add(res.Latency, serviceTimeCap)
		g.checkLatency(res.Latency)
	}
	if res.Cold {
		g.turnCold(RuleCold)
	}
}

// connectionFailed reports whether the backend server could not be reached. A
// time-out counts if it is far above the normal latency, because a backend server
// that disappeared without closing its connections causes time-outs.
func (g *Gate) connectionFailed(f inFlightRequest, res Result) bool {
	if res.Reason == dandeliongap.ReasonConnection || f.trial && res.Status == dandeliongap.SubUnknown {
		return true
	}
	timeout := res.Status == dandeliongap.SubUnknown && res.Reason == dandeliongap.ReasonDeadline
	return timeout && (g.normalLatency.n == 0 || g.isSlow(res.Latency))
}

// responded reports whether the result proves that the backend server is alive.
func responded(res Result) bool {
	switch res.Status {
	case dandeliongap.SubAnswered:
		return true
	case dandeliongap.SubNotRun:
		return res.Reason == dandeliongap.ReasonShed || res.Reason == dandeliongap.ReasonDraining ||
			res.Reason == dandeliongap.ReasonVersionGone
	default:
		return false
	}
}

// recordFailure counts a connection failure (G8). The limit falls at the first
// lost connection, because the backend server may have restarted.
func (g *Gate) recordFailure(now dandeliongap.Instant, f inFlightRequest, res Result) {
	if res.Reason == dandeliongap.ReasonConnection {
		g.turnCold(RuleLost)
	}
	g.failures++
	switch {
	case g.lost && f.trial:
		g.backoff = min(2*g.backoff, TrialBackoffMax)
	case !g.lost && g.failures >= LostFailures:
		g.lost = true
		g.turnCold(RuleLost)
		g.backoff = TrialBackoff
	default:
		return
	}
	g.trialAt = now.Add(g.backoff)
}

// recordResponse resets the count of connection failures and ends the lost state (G8).
func (g *Gate) recordResponse() {
	g.failures = 0
	if g.lost {
		g.lost = false
		g.turnCold(RuleLost)
	}
}

// recordShed handles a shed refusal (G6, G7). If excess is set, requests in flight
// above a lowered limit explain the refusal, and the limit is not lowered again.
func (g *Gate) recordShed(now dandeliongap.Instant, retry time.Duration, excess bool) {
	if retry <= 0 {
		retry = ShedPause
	}
	g.pausedUntil = max(g.pausedUntil, now.Add(min(retry, ShedPauseMax)))
	if !excess {
		g.turnCold(RuleShed)
	}
}

// recordAnswer updates the normal latency, and raises the limit after enough good
// answers (G5).
func (g *Gate) recordAnswer(f inFlightRequest, res Result) {
	if res.Cold {
		return
	}
	good := g.checkLatency(res.Latency)
	g.normalLatency.add(res.Latency, normalLatencyCap)
	if !good || f.limitVersion != g.limitVersion || g.limit >= g.maxLimit {
		return
	}
	g.goodAnswers++
	if g.goodAnswers >= RampAnswers {
		g.setLimit(g.limit+1, RuleRamp)
	}
}

// checkLatency reports whether a latency is normal. After SlowAnswers slow ones in a
// row it lowers the limit (G6).
func (g *Gate) checkLatency(latency time.Duration) bool {
	if !g.isSlow(latency) {
		g.slowInRow = 0
		return true
	}
	g.slowInRow++
	if g.slowInRow >= SlowAnswers {
		g.slowInRow = 0
		g.turnCold(RuleCold)
	}
	return false
}

func (g *Gate) isSlow(latency time.Duration) bool {
	return g.normalLatency.n > 0 && latency >= SlowFactor*g.normalLatency.mean
}
