package dgfanout

import (
	"math/rand/v2"
	"slices"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// findAttempt returns the attempt of the current try with the id and replica of the
// answer, or nil.
func (q *Query) findAttempt(ans *Answer) *attempt {
	id := ans.ID
	if id.Entry != q.req.Entry || id.Query != q.req.Number || int(id.Shard) >= len(q.shards) || id.Attempt/maxAttempts != q.tryIndex {
		return nil
	}
	num := uint8(id.Attempt % maxAttempts)
	for k := q.shards[id.Shard].newest; k >= 0; k = q.attempts[k].prev {
		a := &q.attempts[k]
		if a.num == num && a.candidate.replica.ID == ans.Replica {
			return a
		}
	}
	return nil
}

// HandleAnswer handles the result of an attempt. An answer to an unknown, answered
// or cancelled attempt, or with a nil q, only updates what the Planner knows about
// the replica.
func (p *Planner) HandleAnswer(now dandeliongap.Instant, v *dandeliongap.View, q *Query, ans Answer, rng *rand.Rand, dst []Action) []Action {
	p.setView(v)
	var a *attempt
	if q != nil {
		a = q.findAttempt(&ans)
	}
	if a == nil {
		// The class is unknown, so a refusal is recorded only for the least urgent class.
		if r := p.replicas[ans.Replica]; r != nil {
			r.recordAnswer(now, -1, &ans, p.resolved.view.Placement[ans.Replica].Owner, dandeliongap.ClassArchive, ans.Index)
		}
		return dst
	}
	if q.done || !a.open {
		a.candidate.state.recordAnswer(now, a.sent, &ans, a.candidate.owner, q.req.Class, q.snapshot.version)
		return dst
	}
	parts, body := q.checkAnswer(&ans)
	p.updateStats(now, q, a, &ans)
	q.closeAttempt(a)
	i := a.shard
	if ans.Status == dandeliongap.SubAnswered {
		dst = p.mergeAnswer(now, q, i, parts, body, &ans, dst)
		return p.finishIfComplete(now, q, RuleCompletion, dst)
	}
	if ans.Status == dandeliongap.SubNotRun {
		q.refused++
		q.retryAfter = max(q.retryAfter, ans.RetryAfter)
	}
	s := &q.shards[i]
	s.status, s.reason = ans.Status, ans.Reason
	if s.open > 0 {
		return dst
	}
	return p.retryOrWait(now, v, q, i, rng, dst)
}

// checkAnswer checks an answer before it is merged (R10) and turns it into a failure
// if it must not be merged.
func (q *Query) checkAnswer(ans *Answer) ([]dandeliongap.PartID, Body) {
	if ans.Status != dandeliongap.SubAnswered || q.req.NonIdempotent {
		return nil, Body{}
	}
	if ans.Index != q.snapshot.version {
		ans.Status, ans.Reason = dandeliongap.SubUnknown, dandeliongap.ReasonVersionGone
		return nil, Body{}
	}
	body, err := ans.parsedBody()
	parts, ok := listedParts(body, q.snapshot.shards[ans.ID.Shard].parts)
	if err != nil || !ok {
		ans.Status, ans.Reason = dandeliongap.SubUnknown, dandeliongap.ReasonBroken
	}
	return parts, body
}

func (ans *Answer) parsedBody() (Body, error) {
	if ans.Parsed != nil {
		return *ans.Parsed, nil
	}
	return ParseBody(ans.Body)
}

// listedParts returns the parts that a body lists, and whether it lists at least one
// and only parts of the shard. If they equal the shard's parts, as usual, the result
// is the given slice, to save an allocation.
func listedParts(body Body, parts []dandeliongap.PartID) ([]dandeliongap.PartID, bool) {
	same := len(body.Parts) == len(parts)
	for i, b := range body.Parts {
		if i < len(parts) && parts[i] == b.Part {
			continue
		}
		same = false
		if !slices.Contains(parts, b.Part) {
			return nil, false
		}
	}
	if same {
		return parts, len(parts) > 0
	}
	ids := make([]dandeliongap.PartID, len(body.Parts))
	for i, b := range body.Parts {
		ids[i] = b.Part
	}
	return ids, len(ids) > 0
}

// updateStats updates the state of the replica, the leaf and the zone with the
// answer to an open attempt.
func (p *Planner) updateStats(now dandeliongap.Instant, q *Query, a *attempt, ans *Answer) {
	c := a.candidate
	c.state.recordAnswer(now, a.sent, ans, c.owner, q.req.Class, q.snapshot.version)
	c.leaf.observeRefusal(ans.Reason == dandeliongap.ReasonOverload || ans.Reason == dandeliongap.ReasonShed)
	if ans.Status == dandeliongap.SubAnswered {
		d := now.Sub(a.sent)
		c.state.observe(now, d, c.leaf.typicalLatency())
		c.state.answered = now
		u := urgency(q.req.Class)
		c.state.lastAnsweredSent[u] = max(c.state.lastAnsweredSent[u], a.sent)
		c.leaf.observe(d)
		c.zoneLatency.observe(now, d)
	}
}

// closeAttempt removes an attempt from the counts of open attempts.
func (q *Query) closeAttempt(a *attempt) {
	a.open = false
	a.candidate.state.outstanding--
	if a.probe {
		a.candidate.state.probing = false
	}
	q.shards[a.shard].open--
	q.open--
}

// cancelAttempt closes an attempt that has no answer yet. The time that it waited is
// a lower bound of its latency and counts as a sample if the attempt was late.
// Without these samples, each hedge would lower the learned delay.
func (p *Planner) cancelAttempt(now dandeliongap.Instant, q *Query, a *attempt, rule Rule, dst []Action) []Action {
	q.closeAttempt(a)
	if d := now.Sub(a.sent); d >= a.candidate.leaf.hedgeDelay() {
		a.candidate.state.recordMiss(now, d, a.candidate.leaf.typicalLatency())
		a.candidate.leaf.observe(d)
	}
	return append(dst, q.newAction(Cancel, rule, a))
}

// mergeAnswer adds an answer to the result and cancels the other attempts of its
// shard.
func (p *Planner) mergeAnswer(now dandeliongap.Instant, q *Query, i uint32, parts []dandeliongap.PartID, body Body, ans *Answer, dst []Action) []Action {
	s := &q.shards[i]
	s.state, s.due = shardMerged, never
	q.pending--
	q.queueTime += queueShare(ans.Load) * float64(now.Sub(q.start))
	if s.open > 0 {
		for k := s.newest; k >= 0; k = q.attempts[k].prev {
			if a := &q.attempts[k]; a.open {
				dst = p.cancelAttempt(now, q, a, RuleHedge, dst)
			}
		}
	}
	added := q.addParts(parts)
	// If no other shard lists any of the parts, those that the answer does not list can
	// no longer be merged.
	if resolved := &q.snapshot.shards[i]; resolved.exclusive == len(resolved.parts) {
		q.reachable -= resolved.exclusive - len(added)
	}
	if q.accepted == nil {
		q.accepted = make([]Accepted, 0, len(q.shards))
	}
	if len(added) > 0 || q.req.NonIdempotent {
		q.accepted = append(q.accepted, Accepted{Service: q.snapshot.shards[i].leaf.name, Parts: added, Body: body, Raw: ans.Body})
	}
	return dst
}

// addParts counts parts as merged and returns those that were not counted before. A
// catalog may list a part for two shards, or a part number that is out of range.
func (q *Query) addParts(parts []dandeliongap.PartID) []dandeliongap.PartID {
	if q.covered == nil {
		q.covered = make([]uint64, (q.snapshot.parts+63)/64)
	}
	added := parts
	for i, id := range parts {
		counted := int(id) < q.snapshot.parts && q.covered[id/64]&(1<<(id%64)) == 0
		if counted {
			q.covered[id/64] |= 1 << (id % 64)
			q.merged++
		}
		if !counted && len(added) == len(parts) {
			added = slices.Clone(parts[:i])
		} else if counted && len(added) < len(parts) {
			added = append(added, id)
		}
	}
	return added
}
