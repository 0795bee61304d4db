package dgfanout

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	dandeliongap "dandeliongap.example/dandeliongap"
)

const (
	// maxAttempts is the number of attempts for one shard of one snapshot.
	maxAttempts = 3
	// tickStep rounds the instants of hedges up, so that the number of ticks of
	// a query is bounded by its duration and not by its shards.
	tickStep = time.Millisecond
	// moveStep is the time between two looks for the new owner of a replica. The
	// news reach a VM within a few round trips between zones.
	moveStep = 10 * time.Millisecond
	// maxWaits bounds how often a retry waits for the budget, a quarter of the
	// hedge delay each time.
	maxWaits        = 8
	marginShare     = 20 // the margin of R11 is this fraction of the query's time
	marginMax       = 20 * time.Millisecond
	plainTimeout    = time.Second
	defaultDeadline = time.Second // if neither the request nor the service names one
	never           = dandeliongap.Instant(math.MaxInt64)
)

type shardState uint8

const (
	shardOpen    shardState = iota // has an open attempt
	shardWaiting                   // waits for the budget or for a new owner
	shardMerged
	shardFailed
)

// shard is the state of one shard. It holds no pointer, and the attempts are in
// one slice of the query, to keep 650 shards cheap for the garbage collector.
type shard struct {
	due      dandeliongap.Instant // of the next decision
	last     int32                // index of the newest attempt, -1: none
	attempts uint8
	open     uint8
	waits    uint8
	state    shardState
	reason   dandeliongap.Reason // of the last failure
	status   dandeliongap.SubStatus
}

type attempt struct {
	c     *candidate
	sent  dandeliongap.Instant
	shard uint32
	prev  int32 // index of the shard's previous attempt, -1: none
	num   uint8
	open  bool
	probe bool
}

// try is one fan-out over one snapshot.
type try struct {
	snapshot *snapshotPlan
	shards   []shard
	attempts []attempt
	accepted []Accepted
	covered  []uint64 // bit set of merged parts
	merged   int      // parts
	need     int      // parts that the answer must have at least
	reach    int      // upper bound of the parts that can still be merged, with the merged ones
	pending  int      // shards that are open or waiting
	open     int      // attempts
}

// coverage returns the share of merged parts.
func (t *try) coverage() float64 {
	if t.snapshot == nil || t.snapshot.parts <= 0 {
		return 0
	}
	return float64(t.merged) / float64(t.snapshot.parts)
}

// Query is the state of one query. A driver passes it to the methods of the
// Planner that started it.
type Query struct {
	req     Request
	service *dandeliongap.Service
	try
	throttle   *throttle // of a search that is not plain
	overloaded bool      // a shard failed because of overload
	waited     float64   // ns in queues, estimated, sum over the merged shards
	earlier    *try      // the first try, after R9
	tries      uint32
	sent       int // attempts of all tries
	refused    int // attempts that were refused as not run
	start      dandeliongap.Instant
	cut        dandeliongap.Instant // end of waiting, a margin before the deadline
	next       dandeliongap.Instant
	reason     dandeliongap.Reason // why the last shard failed
	retryAfter time.Duration
	done       bool
	result     Result
}

// Next returns the instant at which Tick is due.
func (q *Query) Next() dandeliongap.Instant { return q.next }

// Done reports whether the query has finished.
func (q *Query) Done() bool { return q.done }

// Result returns the answer to the caller once the query is done. Unless the
// outcome is "answered", Merged and Accepted only tell how far the query came.
func (q *Query) Result() Result { return q.result }

// Start decides the first step of a query: its snapshot and one attempt for each
// shard. It appends its actions to dst.
func (p *Planner) Start(now dandeliongap.Instant, v *dandeliongap.View, req Request, rng *rand.Rand, dst []Action) (*Query, []Action) {
	p.adopt(v)
	q := &Query{req: req, start: now}
	if !v.Serving {
		return q, q.reject(v.Why, dst)
	}
	g := p.group(req.Service)
	if g == nil || req.Action && !g.service.Actions {
		return q, q.reject(dandeliongap.ReasonUnknownName, dst)
	}
	q.service = g.service
	q.setDeadline(now)
	if q.cut <= now {
		return q, q.reject(dandeliongap.ReasonDeadline, dst)
	}
	if !req.Action && !req.Plain {
		q.throttle = &g.learned[req.Class]
		if q.throttle.refuses(now, rng) {
			return q, q.refuseWhole(dst)
		}
	}
	snapshot := p.first(now, q, g)
	if snapshot == nil || len(snapshot.shards) == 0 {
		return q, q.reject(dandeliongap.ReasonNoReplica, dst)
	}
	q.try = p.assign(now, q, snapshot, rng)
	if t := p.second(now, q, g, rng); t != nil {
		q.try = *t
	}
	if q.reach < q.need {
		q.accepted, q.attempts = nil, nil
		return q, p.finish(now, q, RuleCoverage, q.reason, dst)
	}
	return q, p.launch(now, q, 0, dst)
}

// reject ends a query that R1 refuses.
func (q *Query) reject(reason dandeliongap.Reason, dst []Action) []Action {
	q.done, q.next = true, never
	q.result = Result{Outcome: dandeliongap.OutcomeNotRun, Reason: reason}
	return append(dst, Action{Kind: Finish, Rule: RuleAdmission})
}

// refuseWhole ends a query that R17 refuses.
func (q *Query) refuseWhole(dst []Action) []Action {
	q.done, q.next = true, never
	q.result = Result{Outcome: dandeliongap.OutcomeNotRun, Reason: dandeliongap.ReasonOverload, RetryAfter: throttleWindow}
	return append(dst, Action{Kind: Finish, Rule: RuleThrottle})
}

func (q *Query) setDeadline(now dandeliongap.Instant) {
	deadline := q.req.Deadline
	if deadline == 0 {
		d := q.service.Deadline
		if d <= 0 {
			d = defaultDeadline
		}
		deadline = now.Add(d)
	}
	q.cut = deadline.Add(-min(deadline.Sub(now)/marginShare, marginMax))
}

// first returns the snapshot of the first try. For an action it is the one leaf
// that the key selects (R14).
func (p *Planner) first(now dandeliongap.Instant, q *Query, g *groupPlan) *snapshotPlan {
	if !q.req.Action {
		return p.pick(now, g, nil)
	}
	leaves := g.service.Leaves
	if len(leaves) == 0 {
		return nil
	}
	name := leaves[xxhash.Sum64String(string(q.req.Key))%uint64(len(leaves))]
	return &snapshotPlan{shards: []shardPlan{{leaf: p.leafOf(name)}}}
}

// second returns the assignment to another snapshot if a shard of the first one
// has no replica that holds the version, or nil. Nothing has been sent yet.
func (p *Planner) second(now dandeliongap.Instant, q *Query, g *groupPlan, rng *rand.Rand) *try {
	if q.req.Action || q.req.Plain || !q.lacksVersion() {
		return nil
	}
	version := q.snapshot.version
	p.markGone(now, g.service.Name, version)
	snapshot := p.pick(now, g, &version)
	if snapshot == nil {
		return nil
	}
	t := p.assign(now, q, snapshot, rng)
	if t.reach < t.need {
		return nil
	}
	return &t
}

func (q *Query) lacksVersion() bool {
	return slices.ContainsFunc(q.shards, func(s shard) bool {
		return s.state == shardFailed && s.reason == dandeliongap.ReasonVersionGone
	})
}

// assign chooses a replica for each shard of a snapshot and sends nothing.
func (p *Planner) assign(now dandeliongap.Instant, q *Query, s *snapshotPlan, rng *rand.Rand) try {
	n := len(s.shards)
	t := try{snapshot: s, shards: make([]shard, n), attempts: make([]attempt, 0, n), need: q.needed(s.parts), reach: s.listed, pending: n}
	w := q.want(s.version, false)
	for i := range s.shards {
		if len(s.shards[i].parts) == 0 && !q.req.Action {
			t.shards[i] = shard{last: -1, state: shardMerged, due: never}
			t.pending--
			continue
		}
		c, why := p.assignShard(now, q, s.shards[i].leaf, &w, rng)
		if c != nil {
			t.attempts = append(t.attempts, attempt{c: c, shard: uint32(i)})
			continue
		}
		t.shards[i] = shard{last: -1, state: shardFailed, reason: why.reason, due: never}
		if why.reason == dandeliongap.ReasonNotOwner {
			t.shards[i].wait(now.Add(moveStep))
			continue
		}
		t.reach -= s.shards[i].sole
		t.pending--
		q.reason = why.reason
		q.overload(now, len(s.shards[i].parts), s.parts, why.reason)
		q.retryAfter = max(q.retryAfter, why.wait)
	}
	if q.req.Action && t.pending == 0 {
		t.reach = -1
	}
	return t
}

func (p *Planner) assignShard(now dandeliongap.Instant, q *Query, l *leafPlan, w *want, rng *rand.Rand) (*candidate, refusal) {
	if q.req.Plain {
		return l.plain(rng)
	}
	c, why := p.choose(now, l, w, nil, rng)
	return c, why
}

func (q *Query) want(index dandeliongap.IndexVersion, extra bool) want {
	return want{class: q.req.Class, index: index, action: q.req.Action, extra: extra}
}

// needed returns the lowest number of merged parts with which a search counts as
// answered. An answer without any part is none.
func (q *Query) needed(total int) int {
	if q.req.Action {
		return 0
	}
	if !q.service.Partial || !(q.req.MinCoverage < 1) {
		return max(total, 1)
	}
	n := max(1, int(q.req.MinCoverage*float64(total)))
	for n < total && float64(n)/float64(total) < q.req.MinCoverage {
		n++
	}
	return n
}

// launch sends the assigned attempts. A rule of 0 is replaced by the rule of the
// choice.
func (p *Planner) launch(now dandeliongap.Instant, q *Query, rule Rule, dst []Action) []Action {
	q.next = q.cut
	assigned := q.attempts
	q.attempts = assigned[:0]
	dst = slices.Grow(dst, len(assigned))
	for _, a := range assigned {
		r := rule
		if r == 0 {
			r = q.firstRule(now, a.c)
		}
		q.shards[a.shard].last = -1
		dst = p.send(now, q, a.shard, a.c, r, dst)
	}
	for i := range q.shards {
		q.next = min(q.next, q.shards[i].due)
	}
	if q.tries == 0 && !q.req.Plain {
		p.fill(len(assigned))
	}
	return dst
}

func (q *Query) firstRule(now dandeliongap.Instant, c *candidate) Rule {
	switch {
	case q.req.Plain:
		return RulePlain
	case q.req.Action:
		return RuleAction
	case c.learned.lost || !c.learned.known(now):
		return RuleTrial
	default:
		return RuleChoice
	}
}

func (p *Planner) send(now dandeliongap.Instant, q *Query, i uint32, c *candidate, rule Rule, dst []Action) []Action {
	s := &q.shards[i]
	a := attempt{c: c, sent: now, shard: i, prev: s.last, num: s.attempts, open: true}
	r := c.learned
	wait := time.Duration(r.wait(now, c.replica, c.leaf.typical()))
	if r.lost && !r.probing {
		r.probing, a.probe = true, true
	}
	r.out++
	s.last = int32(len(q.attempts))
	s.attempts++
	s.open++
	s.state = shardOpen
	s.due = q.dueAfter(now, c, s)
	q.next = min(q.next, s.due)
	q.attempts = append(q.attempts, a)
	q.open++
	q.sent++
	act := q.action(Send, rule, &a)
	act.Wait, act.Mark = wait, r.mark
	return append(dst, act)
}

// dueAfter returns when a shard needs a decision after an attempt was sent.
func (q *Query) dueAfter(now dandeliongap.Instant, c *candidate, s *shard) dandeliongap.Instant {
	switch {
	case q.req.Plain:
		return roundUp(now.Add(plainTimeout))
	case q.req.Action || s.attempts == maxAttempts:
		return never
	default:
		return roundUp(now.Add(c.leaf.hedgeDelay()))
	}
}

func roundUp(t dandeliongap.Instant) dandeliongap.Instant {
	step := dandeliongap.Instant(tickStep)
	return (t + step - 1) / step * step
}

func (q *Query) action(kind Kind, rule Rule, a *attempt) Action {
	return Action{
		Kind: kind, Rule: rule, Class: q.req.Class,
		ID:      dandeliongap.SubID{Entry: q.req.Entry, Query: q.req.Number, Shard: a.shard, Attempt: q.tries*maxAttempts + uint32(a.num)},
		Replica: a.c.replica.ID, Owner: a.c.owner, Index: q.snapshot.version, Deadline: q.cut,
	}
}

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

// Answer takes the result of an attempt. An answer for an unknown, answered or
// cancelled attempt, or with a nil q, only updates what the Planner knows of the
// replica.
func (p *Planner) Answer(now dandeliongap.Instant, v *dandeliongap.View, q *Query, ans Answer, rng *rand.Rand, dst []Action) []Action {
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
	q.waited += queueShare(ans.Mark) * float64(now.Sub(q.start))
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
		return p.send(now, q, i, c, RuleMove, dst)
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
	if q.req.Plain || !v.Serving || now >= q.cut || s.attempts >= maxAttempts || l.learned.overloaded() {
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
	if q.tries > 0 || q.req.Plain || !v.Serving || now.Add(l.learned.hedgeDelay()) > q.cut {
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

// Tick takes the decisions that are due, at Query.Next or later.
func (p *Planner) Tick(now dandeliongap.Instant, v *dandeliongap.View, q *Query, rng *rand.Rand, dst []Action) []Action {
	p.adopt(v)
	if q.done || now < q.next {
		return dst
	}
	if now >= q.cut {
		return p.finish(now, q, RuleDeadline, dandeliongap.ReasonDeadline, dst)
	}
	tries := q.tries
	q.next = q.cut
	for i := range q.shards {
		if s := &q.shards[i]; s.due <= now {
			dst = p.decide(now, v, q, uint32(i), rng, dst)
			if q.done || q.tries != tries {
				return dst
			}
		}
		q.next = min(q.next, q.shards[i].due)
	}
	return dst
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
	case q.req.Plain:
		s.status, s.reason = dandeliongap.SubUnknown, dandeliongap.ReasonDeadline
		dst = p.cancel(now, q, &q.attempts[s.last], RulePlain, dst)
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

// HangUp ends a query whose caller disconnected.
func (p *Planner) HangUp(now dandeliongap.Instant, q *Query, dst []Action) []Action {
	if q.done {
		return dst
	}
	return p.finish(now, q, RuleHangUp, dandeliongap.ReasonCancelled, dst)
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
func queueShare(m dandeliongap.Mark) float64 {
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
	case answered && rule != RuleHangUp:
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
