package dgfanout

import (
	dandeliongap "dandeliongap.example/dandeliongap"
)

// cancelOpenAttempts cancels the open attempts of the current try.
func (p *Planner) cancelOpenAttempts(now dandeliongap.Instant, q *Query, rule Rule, dst []Action) []Action {
	for k := 0; k < len(q.attempts) && q.open > 0; k++ {
		if a := &q.attempts[k]; a.open {
			dst = p.cancelAttempt(now, q, a, rule, dst)
		}
	}
	return dst
}

// finishIfComplete finishes the query if no shard is pending (R12) or the required
// coverage can no longer be reached (R13).
func (p *Planner) finishIfComplete(now dandeliongap.Instant, q *Query, rule Rule, dst []Action) []Action {
	switch {
	case q.done:
		return dst
	case q.pending == 0:
		return p.finish(now, q, rule, q.reason, dst)
	case q.reachable < q.required:
		return p.finish(now, q, RuleCoverage, q.reason, dst)
	default:
		return dst
	}
}

// finish ends the query and cancels its open attempts.
func (p *Planner) finish(now dandeliongap.Instant, q *Query, rule Rule, reason dandeliongap.Reason, dst []Action) []Action {
	q.done, q.nextTick = true, never
	q.result = q.buildResult(rule, reason)
	q.reportEnd(now)
	dst = append(dst, Action{Kind: Finish, Rule: rule})
	return p.cancelOpenAttempts(now, q, rule, dst)
}

// reportOverload reports a shard that failed because of overload to the throttle,
// without waiting for the end of the query.
func (q *Query) reportOverload(now dandeliongap.Instant, parts, total int, r dandeliongap.Reason) {
	if q.throttle != nil && isOverload(r) {
		q.overloaded = true
		q.throttle.recordOverload(now, float64(parts)/float64(total))
	}
}

// reportEnd reports the end of the query to the throttle, if it was answered in full
// or overload prevented that. Other failures are no evidence of overload.
func (q *Query) reportEnd(now dandeliongap.Instant) {
	if q.throttle == nil || q.merged != q.snapshot.parts && !q.overloaded {
		return
	}
	wait := q.queueTime / float64(max(len(q.accepted), 1)) / float64(q.finishBy.Sub(q.start))
	q.throttle.recordEnd(now, q.coverage(), wait)
}

// queueShare estimates the share of an answer's latency that was spent in the
// owner's queue, from the length of the queue when the answer was sent. A queue as long
// as the limit takes about one service time to pass.
func queueShare(load dandeliongap.ReplicaLoad) float64 {
	rounds := float64(load.Queued) / float64(max(load.Limit, 1))
	return rounds / (1 + rounds)
}

func isOverload(r dandeliongap.Reason) bool {
	return r == dandeliongap.ReasonOverload || r == dandeliongap.ReasonShed
}

// buildResult returns the result of the try with the higher coverage.
func (q *Query) buildResult(rule Rule, reason dandeliongap.Reason) Result {
	t := &q.try
	if q.firstTry != nil && q.firstTry.coverage() > t.coverage() {
		t = q.firstTry
	}
	res := Result{Reason: reason, Index: t.snapshot.version, Merged: t.merged, Total: t.snapshot.parts, Accepted: t.accepted}
	answered := t.merged >= t.required
	if q.req.NonIdempotent {
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
		if !q.req.NonIdempotent && (rule == RuleCoverage || rule == RuleCompletion) {
			res.Reason = dandeliongap.ReasonCoverage
		}
	}
	if res.Reason == dandeliongap.ReasonNone && t.merged < t.snapshot.parts {
		// An answer or the catalog listed fewer parts than the snapshot has.
		res.Reason = dandeliongap.ReasonCoverage
	}
	return res
}
