package dgfanout

import (
	"math/rand/v2"
	"slices"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// find returns the attempt of the current try with the given id and replica, or
// nil.
func (q *Query) find(ans *Answer) *attempt {
	id := ans.ID
	if id.Entry != q.req.Entry || id.Query != q.req.Number || int(id.Shard) >= len(q.shards) || id.Attempt/maxAttempts != q.tries {
		return nil
	}
	num := uint8(id.Attempt % maxAttempts)
	for k := q.shards[id.Shard].last; k >= 0; k = q.attempts[k].prev {
		a := &q.attempts[k]
		if a.num == num && a.c.replica.ID == ans.Replica {
			return a
		}
	}
	return nil
}

// HandleAnswer takes the result of an attempt. An answer for an unknown, answered or
// cancelled attempt, or with a nil q, only updates what the Planner knows of the
// replica.
func (p *Planner) HandleAnswer(now dandeliongap.Instant, v *dandeliongap.View, q *Query, ans Answer, rng *rand.Rand, dst []Action) []Action {
	p.adopt(v)
	var a *attempt
	if q != nil {
		a = q.find(&ans)
	}
	if a == nil {
		// The class is unknown: a refusal is held only against the least urgent.
		if r := p.replicas[ans.Replica]; r != nil {
			r.note(now, -1, &ans, p.plan.view.Placement[ans.Replica].Owner, dandeliongap.ClassArchive, ans.Index)
		}
		return dst
	}
	if q.done || !a.open {
		a.c.learned.note(now, a.sent, &ans, a.c.owner, q.req.Class, q.snapshot.version)
		return dst
	}
	parts, body := q.judge(&ans)
	p.learn(now, q, a, &ans)
	q.end(a)
	i := a.shard
	if ans.Status == dandeliongap.SubAnswered {
		dst = p.merge(now, q, i, parts, body, &ans, dst)
		return p.completed(now, q, RuleCompletion, dst)
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
	return p.again(now, v, q, i, rng, dst)
}

// judge checks an answer before the merge (R10) and turns it into a failure if it
// may not be merged.
func (q *Query) judge(ans *Answer) ([]dandeliongap.PartID, Body) {
	if ans.Status != dandeliongap.SubAnswered || q.req.Action {
		return nil, Body{}
	}
	if ans.Index != q.snapshot.version {
		ans.Status, ans.Reason = dandeliongap.SubUnknown, dandeliongap.ReasonVersionGone
		return nil, Body{}
	}
	body, err := ans.body()
	parts, ok := listed(body, q.snapshot.shards[ans.ID.Shard].parts)
	if err != nil || !ok {
		ans.Status, ans.Reason = dandeliongap.SubUnknown, dandeliongap.ReasonBroken
	}
	return parts, body
}

func (ans *Answer) body() (Body, error) {
	if ans.Parsed != nil {
		return *ans.Parsed, nil
	}
	return ParseBody(ans.Body)
}

// listed returns the parts that a body lists, and whether it lists any and all of
// them belong to the shard. In the usual case they equal the shard's parts and
// the result shares their memory.
func listed(body Body, parts []dandeliongap.PartID) ([]dandeliongap.PartID, bool) {
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

// learn updates the scores with the answer to an open attempt.
func (p *Planner) learn(now dandeliongap.Instant, q *Query, a *attempt, ans *Answer) {
	c := a.c
	c.learned.note(now, a.sent, ans, c.owner, q.req.Class, q.snapshot.version)
	c.leaf.noteRefusal(ans.Reason == dandeliongap.ReasonOverload || ans.Reason == dandeliongap.ReasonShed)
	if ans.Status == dandeliongap.SubAnswered {
		d := now.Sub(a.sent)
		c.learned.observe(now, d, c.leaf.typical())
		c.learned.answered = now
		u := urgency(q.req.Class)
		c.learned.sentLast[u] = max(c.learned.sentLast[u], a.sent)
		c.leaf.observe(d)
		c.zone.observe(now, d)
	}
}

// end closes an attempt.
func (q *Query) end(a *attempt) {
	a.open = false
	a.c.learned.out--
	if a.probe {
		a.c.learned.probing = false
	}
	q.shards[a.shard].open--
	q.open--
}

// cancel closes an attempt that has no answer yet. Its waiting time is a lower
// bound of its latency; without it the learned delay would fall with each hedge.
func (p *Planner) cancel(now dandeliongap.Instant, q *Query, a *attempt, rule Rule, dst []Action) []Action {
	q.end(a)
	if d := now.Sub(a.sent); d >= a.c.leaf.hedgeDelay() {
		a.c.learned.miss(now, d, a.c.leaf.typical())
		a.c.leaf.observe(d)
	}
	return append(dst, q.action(Cancel, rule, a))
}

// merge adds an answer to the result and cancels the other attempts of its shard.
func (p *Planner) merge(now dandeliongap.Instant, q *Query, i uint32, parts []dandeliongap.PartID, body Body, ans *Answer, dst []Action) []Action {
	s := &q.shards[i]
	s.state, s.due = shardMerged, never
	q.pending--
	q.waited += queueShare(ans.Load) * float64(now.Sub(q.start))
	if s.open > 0 {
		for k := s.last; k >= 0; k = q.attempts[k].prev {
			if a := &q.attempts[k]; a.open {
				dst = p.cancel(now, q, a, RuleHedge, dst)
			}
		}
	}
	added := q.cover(parts)
	if plan := &q.snapshot.shards[i]; plan.sole == len(plan.parts) {
		q.reach -= plan.sole - len(added)
	}
	if q.accepted == nil {
		q.accepted = make([]Accepted, 0, len(q.shards))
	}
	if len(added) > 0 || q.req.Action {
		q.accepted = append(q.accepted, Accepted{Service: q.snapshot.shards[i].leaf.name, Parts: added, Body: body, Raw: ans.Body})
	}
	return dst
}

// cover counts parts and returns those that were not counted before. A catalog
// may list a part for two shards, or one that is not below the total.
func (q *Query) cover(parts []dandeliongap.PartID) []dandeliongap.PartID {
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
