package dgfanout

import (
	"math/rand/v2"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// retryOrWait decides what follows when a shard has no open attempt: a retry, a wait
// for a token or a new owner, or the failure of the shard (R7, R8, R14, R18).
func (p *Planner) retryOrWait(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	l := p.resolveLeaf(q.snapshot.shards[i].leaf.name)
	if !p.mayRetry(now, v, q, s, l) {
		return p.failShard(now, v, q, i, rng, dst)
	}
	need := q.requirements(q.snapshot.version, true)
	c, why := p.choose(now, l, &need, func(c *candidate) bool { return q.tried(s, c) }, rng)
	switch {
	case c != nil && s.awaitsNewOwner():
		return p.send(now, q, i, c, RuleOwnerChange, dst)
	case c != nil && p.takeToken(0):
		rule := RuleRetry
		if q.req.NonIdempotent {
			rule = RuleAction
		}
		return p.send(now, q, i, c, rule, dst)
	case c != nil && s.postponed < maxPostponements:
		s.postpone(now.Add(l.state.hedgeDelay() / 4))
	case c == nil && why.reason == dandeliongap.ReasonNotOwner && s.postponed < maxPostponements:
		s.postpone(now.Add(ownerCheckInterval))
	default:
		return p.failShard(now, v, q, i, rng, dst)
	}
	q.nextTick = min(q.nextTick, s.due)
	return dst
}

// awaitsNewOwner reports whether the shard waits for a new owner of its replica (R18):
// it has no attempt yet, or the last one was refused because the owner changes and
// reached no backend server.
func (s *shard) awaitsNewOwner() bool {
	return s.attempts == 0 || s.status == dandeliongap.SubNotRun && s.reason == dandeliongap.ReasonNotOwner
}

// postpone schedules the next decision about the shard.
func (s *shard) postpone(until dandeliongap.Instant) {
	s.postponed++
	s.state = shardWaiting
	s.due = roundUp(until)
}

// mayRetry reports whether the shard may get another attempt (R7, R14).
func (p *Planner) mayRetry(now dandeliongap.Instant, v *dandeliongap.View, q *Query, s *shard, l *resolvedLeaf) bool {
	if q.req.Baseline || !v.Serving || now >= q.finishBy || s.attempts >= maxAttempts || l.state.overloaded() {
		return false
	}
	return !q.req.NonIdempotent || s.attempts == 0 || s.status == dandeliongap.SubNotRun
}

// tried reports whether the shard has already tried this replica under this owner.
func (q *Query) tried(s *shard, c *candidate) bool {
	for k := s.newest; k >= 0; k = q.attempts[k].prev {
		if a := &q.attempts[k]; a.candidate.state == c.state && a.candidate.owner == c.owner {
			return true
		}
	}
	return false
}

// failShard marks a shard as failed. If its version is gone, it may start a second
// try (R9).
func (p *Planner) failShard(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	s.state, s.due = shardFailed, never
	q.reason = s.reason
	q.reportOverload(now, len(q.snapshot.shards[i].parts), q.snapshot.parts, s.reason)
	q.pending--
	q.reachable -= q.snapshot.shards[i].exclusive
	if s.reason == dandeliongap.ReasonVersionGone && !q.req.NonIdempotent {
		p.markVersionGone(now, q.service.Name, q.snapshot.version)
		if more, ok := p.startSecondTry(now, v, q, i, rng, dst); ok {
			return more
		}
	}
	return p.finishIfComplete(now, q, RuleCompletion, dst)
}

// startSecondTry starts the second try of R9 and reports whether it did. This needs
// another live snapshot, enough shards of it that can be reached, and at least the
// hedge delay until the query finishes, which is enough for a usual answer.
func (p *Planner) startSecondTry(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) ([]Action, bool) {
	l := q.snapshot.shards[i].leaf
	if q.tryIndex > 0 || q.req.Baseline || !v.Serving || now.Add(l.state.hedgeDelay()) > q.finishBy {
		return dst, false
	}
	g := p.resolveGroup(q.req.Service)
	if g == nil {
		return dst, false
	}
	snapshot := p.pickSnapshot(now, g, &q.snapshot.version)
	if snapshot == nil || len(snapshot.shards) == 0 {
		return dst, false
	}
	reason := q.reason
	t := p.assignReplicas(now, q, snapshot, rng)
	if t.reachable < t.required {
		q.reason = reason
		return dst, false
	}
	dst = p.cancelOpenAttempts(now, q, RuleVersionGone, dst)
	first := q.try
	first.shards, first.attempts = nil, nil
	q.firstTry = &first
	q.try = t
	q.tryIndex++
	return p.sendAssigned(now, q, RuleVersionGone, dst), true
}

// decideShard takes the decision that is due for a shard.
func (p *Planner) decideShard(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	s.due = never
	switch {
	case s.state == shardWaiting:
		return p.retryOrWait(now, v, q, i, rng, dst)
	case s.state != shardOpen:
		return dst
	case q.req.Baseline:
		s.status, s.reason = dandeliongap.SubUnknown, dandeliongap.ReasonDeadline
		dst = p.cancelAttempt(now, q, &q.attempts[s.newest], RuleBaseline, dst)
		return p.failShard(now, v, q, i, rng, dst)
	default:
		return p.hedge(now, v, q, i, rng, dst)
	}
}

// hedge sends a hedge for a late attempt if R6 and R8 allow it. Otherwise the shard is
// checked again after a quarter of the hedge delay, unless it had its last attempt.
func (p *Planner) hedge(now dandeliongap.Instant, v *dandeliongap.View, q *Query, i uint32, rng *rand.Rand, dst []Action) []Action {
	s := &q.shards[i]
	if s.attempts >= maxAttempts {
		return dst
	}
	l := p.resolveLeaf(q.snapshot.shards[i].leaf.name)
	s.due = roundUp(now.Add(l.state.hedgeDelay() / 4))
	if !v.Serving || l.state.overloaded() || q.throttle.refusalShare() > 0 {
		return dst
	}
	need := q.requirements(q.snapshot.version, true)
	c, _ := p.choose(now, l, &need, func(c *candidate) bool { return q.tried(s, c) }, rng)
	if c == nil {
		c = p.onlyReplica(now, q, s, l, &need)
	}
	if c == nil && s.open > 1 {
		// The third attempt may use a replica again: the earlier attempt there may have
		// been a straggler.
		c, _ = p.choose(now, l, &need, nil, rng)
	}
	a := &q.attempts[s.newest]
	running := a.candidate.state.answeredLaterAttempt(q.req.Class, a.sent)
	if c == nil || !running && (c.hedgeWouldBeLate(now) || p.mustSaveTokens(now, a)) || !p.takeToken(hedgeReserve) {
		return dst
	}
	return p.send(now, q, i, c, RuleHedge, dst)
}

// onlyReplica returns the replica of the newest attempt if it is the only one of the
// leaf that R4 and R5 allow, or nil. The replica need not have a free slot: if the
// hedge is answered first, the straggler is cancelled and its slot becomes free, which
// matters most when all slots are taken.
func (p *Planner) onlyReplica(now dandeliongap.Instant, q *Query, s *shard, l *resolvedLeaf, need *requirements) *candidate {
	last := q.attempts[s.newest].candidate
	var only *candidate
	for k := range l.candidates {
		c := &l.candidates[k]
		if t, _ := c.tierOf(now, need); t == tierAvoid || t == tierProbe {
			continue
		}
		if only != nil || c.state != last.state || c.owner != last.owner {
			return nil
		}
		only = c
	}
	return only
}

// mustSaveTokens reports whether a hedge has to wait because few tokens are left (R8).
// Ordinary late answers arrive within twice the hedge delay, those of stragglers do
// not.
func (p *Planner) mustSaveTokens(now dandeliongap.Instant, a *attempt) bool {
	return p.tokens < hedgeLowTokens && now.Sub(a.sent) < 2*a.candidate.leaf.hedgeDelay()
}
