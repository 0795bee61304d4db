package dgfanout

import (
	"math/rand/v2"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// again decides what follows when a shard has no open attempt: a retry, waiting
// for the budget, or its failure (R7, R8, R14).
func (p *Planner) again(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	l := p.leafOf(q.snapshot.shards[i].leaf.name)
	if !p.mayRetry(now, v, q, s, l) {
		return p.exhaust(now, v, q, i, rng, dst)
	}
	w := q.want(q.snapshot.version, true)
	c, why := p.choose(now, l, &w, func(c *candidate) bool { return q.tried(s, c) }, rng)
	switch {
	case c != nil && s.moved():
		return p.send(now, q, i, c, RuleOwnerChange, dst)
	case c != nil && p.take(0):
		rule := RuleRetry
		if q.req.Action {
			rule = RuleAction
		}
		return p.send(now, q, i, c, rule, dst)
	case c != nil && s.waits < maxWaits:
		s.wait(now.Add(l.learned.hedgeDelay() / 4))
	case c == nil && why.reason == dandeliongap.ReasonNotOwner && s.waits < maxWaits:
		s.wait(now.Add(moveStep))
	default:
		return p.exhaust(now, v, q, i, rng, dst)
	}
	q.next = min(q.next, s.due)
	return dst
}

// moved tells whether the shard waits because its replica changes its owner: no
// backend server received an attempt (R18).
func (s *shard) moved() bool {
	return s.attempts == 0 || s.status == dandeliongap.SubNotRun && s.reason == dandeliongap.ReasonNotOwner
}

// wait lets the shard be decided again at an instant.
func (s *shard) wait(until dandeliongap.Instant) {
	s.waits++
	s.state = shardWaiting
	s.due = roundUp(until)
}

func (p *Planner) mayRetry(now dandeliongap.Instant, v *dandeliongap.View, q *Query, s *shard, l *leafPlan) bool {
	if q.req.Baseline || !v.Serving || now >= q.cut || s.attempts >= maxAttempts || l.learned.overloaded() {
		return false
	}
	return !q.req.Action || s.attempts == 0 || s.status == dandeliongap.SubNotRun
}

// tried reports whether the shard has tried this replica under this owner.
func (q *Query) tried(s *shard, c *candidate) bool {
	for k := s.last; k >= 0; k = q.attempts[k].prev {
		if a := &q.attempts[k]; a.c.learned == c.learned && a.c.owner == c.owner {
			return true
		}
	}
	return false
}

// exhaust gives up a shard.
func (p *Planner) exhaust(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	s.state, s.due = shardFailed, never
	q.reason = s.reason
	q.overload(now, len(q.snapshot.shards[i].parts), q.snapshot.parts, s.reason)
	q.pending--
	q.reach -= q.snapshot.shards[i].sole
	if s.reason == dandeliongap.ReasonVersionGone && !q.req.Action {
		p.markGone(now, q.service.Name, q.snapshot.version)
		if more, ok := p.retrySnapshot(now, v, q, i, rng, dst); ok {
			return more
		}
	}
	return p.completed(now, q, RuleCompletion, dst)
}

// retrySnapshot starts the second try of R9 if another snapshot is live, enough
// of its shards can be reached and there is time for a usual answer.
func (p *Planner) retrySnapshot(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) ([]Action, bool) {
	l := q.snapshot.shards[i].leaf
	if q.tries > 0 || q.req.Baseline || !v.Serving || now.Add(l.learned.hedgeDelay()) > q.cut {
		return dst, false
	}
	g := p.group(q.req.Service)
	if g == nil {
		return dst, false
	}
	snapshot := p.pick(now, g, &q.snapshot.version)
	if snapshot == nil || len(snapshot.shards) == 0 {
		return dst, false
	}
	reason := q.reason
	t := p.assign(now, q, snapshot, rng)
	if t.reach < t.need {
		q.reason = reason
		return dst, false
	}
	dst = p.cancelAll(now, q, RuleVersionGone, dst)
	earlier := q.try
	earlier.shards, earlier.attempts = nil, nil
	q.earlier = &earlier
	q.try = t
	q.tries++
	return p.launch(now, q, RuleVersionGone, dst), true
}

// decide takes the decision that is due for a shard.
func (p *Planner) decide(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	s.due = never
	switch {
	case s.state == shardWaiting:
		return p.again(now, v, q, i, rng, dst)
	case s.state != shardOpen:
		return dst
	case q.req.Baseline:
		s.status, s.reason = dandeliongap.SubUnknown, dandeliongap.ReasonDeadline
		dst = p.cancel(now, q, &q.attempts[s.last], RuleBaseline, dst)
		return p.exhaust(now, v, q, i, rng, dst)
	default:
		return p.hedge(now, v, q, i, rng, dst)
	}
}

// hedge applies R6. If there is no token or no replica at the moment, it is
// considered again after a quarter of the delay.
func (p *Planner) hedge(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	if s.attempts >= maxAttempts {
		return dst
	}
	l := p.leafOf(q.snapshot.shards[i].leaf.name)
	s.due = roundUp(now.Add(l.learned.hedgeDelay() / 4))
	if !v.Serving || l.learned.overloaded() || q.throttle.share() > 0 {
		return dst
	}
	w := q.want(q.snapshot.version, true)
	c, _ := p.choose(now, l, &w, func(c *candidate) bool { return q.tried(s, c) }, rng)
	if c == nil {
		c = p.same(now, q, s, l, &w)
	}
	if c == nil && s.open > 1 {
		// The third attempt may repeat a replica: its first one may be a straggler.
		c, _ = p.choose(now, l, &w, nil, rng)
	}
	a := &q.attempts[s.last]
	straggles := a.c.learned.overtook(q.req.Class, a.sent)
	if c == nil || !straggles && (c.busy(now) || p.saves(now, a)) || !p.take(hedgeReserve) {
		return dst
	}
	return p.send(now, q, i, c, RuleHedge, dst)
}

// same returns the replica of the newest attempt if it is the only one of the
// leaf that R4 and R5 allow, or nil. A free slot is not asked for: the winner's
// cancellation of a straggler frees a slot, which matters most when none is.
func (p *Planner) same(now dandeliongap.Instant, q *Query, s *shard, l *leafPlan, w *want) *candidate {
	last := q.attempts[s.last].c
	var only *candidate
	for k := range l.candidates {
		c := &l.candidates[k]
		if t, _ := c.tierOf(now, w); t == tierAvoid || t == tierProbe {
			continue
		}
		if only != nil || c.learned != last.learned || c.owner != last.owner {
			return nil
		}
		only = c
	}
	return only
}

// saves reports whether a hedge has to wait because few tokens are left: usual
// late answers arrive within twice the delay, stragglers do not.
func (p *Planner) saves(now dandeliongap.Instant, a *attempt) bool {
	return p.tokens < hedgeScarce && now.Sub(a.sent) < 2*a.c.leaf.hedgeDelay()
}
