package dggate

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// Done ends a dispatched request and frees its slot. Other ids are ignored.
func (g *Gate) Done(now dandeliongap.Instant, id dandeliongap.SubID, res Result, dst []Action) []Action {
	i := g.flight(id)
	if i < 0 {
		return dst
	}
	f := g.flights[i]
	excess := g.free() < 0
	last := len(g.flights) - 1
	g.flights[i] = g.flights[last]
	g.flights = g.flights[:last]
	if f.trial {
		g.trial = false
	}
	g.observe(now, f, res, excess)
	return g.settle(now, dst)
}

// observe learns from the end of a request. Excess tells that more requests
// than the limit were in flight.
func (g *Gate) observe(now dandeliongap.Instant, f flight, res Result, excess bool) {
	if res.Index != 0 {
		g.index = res.Index
	}
	if res.Draining || res.Reason == dandeliongap.ReasonDraining {
		g.marked, g.markedAt = true, now
	}
	switch {
	case g.connectionFailed(f, res):
		g.failed(now, f, res)
	case responded(res):
		g.alive()
	}
	switch {
	case res.Status == dandeliongap.SubAnswered:
		g.work.add(res.Latency, workOutlier)
		g.answered(f, res)
	case res.Status == dandeliongap.SubNotRun && res.Reason == dandeliongap.ReasonShed:
		g.shed(now, res.RetryAfter, excess)
	case res.Status != dandeliongap.SubNotRun && res.Latency > g.work.mean && res.Reason != dandeliongap.ReasonConnection:
		// The request would have taken at least this long.
		g.work.add(res.Latency, workOutlier)
		g.compare(res.Latency)
	}
	if res.Cold {
		g.turnCold(RuleCold)
	}
}

// connectionFailed tells whether the backend server could not be reached. A
// timeout counts if it is far above the normal latency, as a backend server
// that vanished without closing its connections causes timeouts.
func (g *Gate) connectionFailed(f flight, res Result) bool {
	if res.Reason == dandeliongap.ReasonConnection || f.trial && res.Status == dandeliongap.SubUnknown {
		return true
	}
	timeout := res.Status == dandeliongap.SubUnknown && res.Reason == dandeliongap.ReasonDeadline
	return timeout && (g.normal.n == 0 || g.isSlow(res.Latency))
}

// responded tells whether the result proves that the backend server is alive.
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

// failed counts a connection failure (G8). A backend server that closed a
// connection may have restarted, so the limit falls at the first one.
func (g *Gate) failed(now dandeliongap.Instant, f flight, res Result) {
	if res.Reason == dandeliongap.ReasonConnection {
		g.turnCold(RuleLost)
	}
	g.fails++
	switch {
	case g.lost && f.trial:
		g.backoff = min(2*g.backoff, TrialBackoffMax)
	case !g.lost && g.fails >= LostFailures:
		g.lost = true
		g.turnCold(RuleLost)
		g.backoff = TrialBackoff
	default:
		return
	}
	g.trialAt = now.Add(g.backoff)
}

func (g *Gate) alive() {
	g.fails = 0
	if g.lost {
		g.lost = false
		g.turnCold(RuleLost)
	}
}

// shed obeys a shed refusal (G6, G7). What is in flight above a limit that
// fell explains it.
func (g *Gate) shed(now dandeliongap.Instant, retry time.Duration, excess bool) {
	if retry <= 0 {
		retry = ShedPause
	}
	g.pause = max(g.pause, now.Add(min(retry, ShedPauseMax)))
	if !excess {
		g.turnCold(RuleShed)
	}
}

// answered learns the normal latency and raises the limit by a good answer (G5).
func (g *Gate) answered(f flight, res Result) {
	if res.Cold {
		return
	}
	good := g.compare(res.Latency)
	g.normal.add(res.Latency, normalOutlier)
	if !good || f.change != g.change || g.limit >= g.top {
		return
	}
	g.good++
	if g.good >= RampAnswers {
		g.setLimit(g.limit+1, RuleRamp)
	}
}

// compare counts slow latencies in a row (G6) and tells whether this one is
// normal.
func (g *Gate) compare(latency time.Duration) bool {
	if !g.isSlow(latency) {
		g.slow = 0
		return true
	}
	g.slow++
	if g.slow >= SlowAnswers {
		g.slow = 0
		g.turnCold(RuleCold)
	}
	return false
}

func (g *Gate) isSlow(latency time.Duration) bool {
	return g.normal.n > 0 && latency >= SlowFactor*g.normal.mean
}
