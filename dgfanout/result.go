package dgfanout

import (
	dandeliongap "dandeliongap.example/dandeliongap"
)

func (p *Planner) cancelAll(now dandeliongap.Instant, q *Query, rule Rule, dst []Action) []Action {
	for k := 0; k < len(q.attempts) && q.open > 0; k++ {
		if a := &q.attempts[k]; a.open {
			dst = p.cancel(now, q, a, rule, dst)
		}
	}
	return dst
}

// completed finishes the query if no shard is pending (R12) or the coverage that
// it needs is out of reach (R13).
func (p *Planner) completed(now dandeliongap.Instant, q *Query, rule Rule, dst []Action) []Action {
	switch {
	case q.done:
		return dst
	case q.pending == 0:
		return p.finish(now, q, rule, q.reason, dst)
	case q.reach < q.need:
		return p.finish(now, q, RuleCoverage, q.reason, dst)
	default:
		return dst
	}
}

// finish ends the query and cancels its open attempts.
func (p *Planner) finish(now dandeliongap.Instant, q *Query, rule Rule, reason dandeliongap.Reason, dst []Action) []Action {
	q.done, q.next = true, never
	q.result = q.conclude(rule, reason)
	q.report(now)
	dst = append(dst, Action{Kind: Finish, Rule: rule})
	return p.cancelAll(now, q, rule, dst)
}

// overload tells the throttle at once that overload cuts off a shard.
func (q *Query) overload(now dandeliongap.Instant, parts, total int, r dandeliongap.Reason) {
	if q.throttle != nil && isOverload(r) {
		q.overloaded = true
		q.throttle.cut(now, float64(parts)/float64(total))
	}
}

// report tells the throttle how the query ended, if it was answered in full or
// overload prevented that. Other failures say nothing about the load.
func (q *Query) report(now dandeliongap.Instant) {
	if q.throttle == nil || q.merged != q.snapshot.parts && !q.overloaded {
		return
	}
	wait := q.waited / float64(max(len(q.accepted), 1)) / float64(q.cut.Sub(q.start))
	q.throttle.end(now, q.coverage(), wait)
}

// queueShare estimates the share of an answer's latency that it waited in the
// owner's queue, by the length of the queue when it left.
func queueShare(m dandeliongap.ReplicaLoad) float64 {
	rounds := float64(m.Queued) / float64(max(m.Limit, 1))
	return rounds / (1 + rounds)
}

func isOverload(r dandeliongap.Reason) bool {
	return r == dandeliongap.ReasonOverload || r == dandeliongap.ReasonShed
}

// conclude returns the result of the try with the higher coverage.
func (q *Query) conclude(rule Rule, reason dandeliongap.Reason) Result {
	t := &q.try
	if q.earlier != nil && q.earlier.coverage() > t.coverage() {
		t = q.earlier
	}
	res := Result{Reason: reason, Index: t.snapshot.version, Merged: t.merged, Total: t.snapshot.parts, Accepted: t.accepted}
	answered := t.merged >= t.need
	if q.req.Action {
		answered = len(t.accepted) > 0
	}
	switch {
	case answered && rule != RuleDisconnect:
		res.Outcome = dandeliongap.OutcomeAnswered
		if t.merged == t.snapshot.parts {
			res.Reason = dandeliongap.ReasonNone
		}
	case q.sent == q.refused:
		res.Outcome, res.RetryAfter = dandeliongap.OutcomeNotRun, q.retryAfter
	default:
		res.Outcome, res.RetryAfter = dandeliongap.OutcomeUnknown, q.retryAfter
		if !q.req.Action && (rule == RuleCoverage || rule == RuleCompletion) {
			res.Reason = dandeliongap.ReasonCoverage
		}
	}
	if res.Reason == dandeliongap.ReasonNone && t.merged < t.snapshot.parts {
		// An answer or the catalog listed fewer parts than expected.
		res.Reason = dandeliongap.ReasonCoverage
	}
	return res
}
