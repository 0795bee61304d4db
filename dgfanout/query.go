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

// NextTick returns the instant at which Tick is due.
func (q *Query) NextTick() dandeliongap.Instant { return q.next }

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
		return q, q.reject(v.NotServingReason, dst)
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
	if !req.Action && !req.Baseline {
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
	if q.req.Action || q.req.Baseline || !q.lacksVersion() {
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
	if q.req.Baseline {
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
	if q.tries == 0 && !q.req.Baseline {
		p.fill(len(assigned))
	}
	return dst
}

func (q *Query) firstRule(now dandeliongap.Instant, c *candidate) Rule {
	switch {
	case q.req.Baseline:
		return RuleBaseline
	case q.req.Action:
		return RuleAction
	case c.learned.lost || !c.learned.known(now):
		return RuleProbe
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
	act.ExpectedWait, act.Load = wait, r.mark
	return append(dst, act)
}

// dueAfter returns when a shard needs a decision after an attempt was sent.
func (q *Query) dueAfter(now dandeliongap.Instant, c *candidate, s *shard) dandeliongap.Instant {
	switch {
	case q.req.Baseline:
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

// Tick takes the decisions that are due, at Query.NextTick or later.
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

// HandleDisconnect ends a query whose caller disconnected.
func (p *Planner) HandleDisconnect(now dandeliongap.Instant, q *Query, dst []Action) []Action {
	if q.done {
		return dst
	}
	return p.finish(now, q, RuleDisconnect, dandeliongap.ReasonCancelled, dst)
}
