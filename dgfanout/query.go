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
	// maxAttempts is the highest number of attempts for one shard of one snapshot.
	maxAttempts = 3
	// tickResolution is the step to which due times are rounded up. It bounds the number
	// of ticks of a query by its duration instead of its number of shards.
	tickResolution = time.Millisecond
	// ownerCheckInterval is the time between two checks for the new owner of a replica.
	// The new placement reaches a VM within a few round trips between zones.
	ownerCheckInterval = 10 * time.Millisecond
	// maxPostponements bounds how often a retry waits, for a quarter of the hedge delay
	// if the budget is empty or for ownerCheckInterval if no new owner is known.
	maxPostponements = 8
	marginDivisor    = 20 // the margin of R11 is the remaining time divided by marginDivisor, at most marginMax
	marginMax        = 20 * time.Millisecond
	baselineTimeout  = time.Second
	defaultDeadline  = time.Second // if neither the request nor the service sets one
	never            = dandeliongap.Instant(math.MaxInt64)
)

type shardState uint8

const (
	shardOpen    shardState = iota // has an open attempt
	shardWaiting                   // waits for a token or for a new owner
	shardMerged
	shardFailed
)

// shard is the state of one shard of a query. It holds no pointer, and the attempts
// of all shards are in one slice of the query, to keep the garbage collection of
// queries with 650 shards cheap.
type shard struct {
	due       dandeliongap.Instant // when the next decision is due
	newest    int32                // index of the newest attempt; -1: none
	attempts  uint8
	open      uint8
	postponed uint8
	state     shardState
	reason    dandeliongap.Reason // of the last failure
	status    dandeliongap.SubStatus
}

type attempt struct {
	candidate *candidate
	sent      dandeliongap.Instant
	shard     uint32
	prev      int32 // index of the shard's previous attempt; -1: none
	num       uint8
	open      bool
	probe     bool
}

// try is one fan-out over one snapshot. A query makes a second one if the version of
// the first is gone (R9).
type try struct {
	snapshot  *resolvedSnapshot
	shards    []shard
	attempts  []attempt
	accepted  []Accepted
	covered   []uint64 // bit set of merged parts
	merged    int      // merged parts
	required  int      // lowest number of parts with which the query counts as answered
	reachable int      // upper bound of the number of parts that can be merged in the end
	pending   int      // shards that have an open attempt or wait for one
	open      int      // open attempts
}

// coverage returns the share of the snapshot's parts that are merged.
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
	throttle   *throttle // nil for actions and for the baseline policy
	overloaded bool      // a shard failed because of overload
	queueTime  float64   // estimated time in queues in ns, summed over the merged shards
	firstTry   *try      // the first try, once a second one has started (R9)
	tryIndex   uint32    // 0 in the first try, 1 in the second
	sent       int       // attempts of both tries
	refused    int       // attempts that were refused as not run
	start      dandeliongap.Instant
	finishBy   dandeliongap.Instant // when the query finishes, a margin before the deadline (R11)
	nextTick   dandeliongap.Instant
	reason     dandeliongap.Reason // why the last shard failed
	retryAfter time.Duration
	done       bool
	result     Result
}

// NextTick returns the instant at which Tick is due.
func (q *Query) NextTick() dandeliongap.Instant { return q.nextTick }

// Done reports whether the query has finished.
func (q *Query) Done() bool { return q.done }

// Result returns the answer to the caller once the query is done. Unless the outcome
// is "answered", Merged and Accepted only show what was merged by then.
func (q *Query) Result() Result { return q.result }

// Start starts a query: it chooses the snapshot and a replica for each shard. It appends
// its actions to dst: one attempt for each shard, or Finish if the query is refused.
func (p *Planner) Start(now dandeliongap.Instant, v *dandeliongap.View, req Request, rng *rand.Rand, dst []Action) (*Query, []Action) {
	p.setView(v)
	q := &Query{req: req, start: now}
	if !v.Serving {
		return q, q.reject(v.NotServingReason, dst)
	}
	g := p.resolveGroup(req.Service)
	if g == nil || req.NonIdempotent && !g.service.Actions {
		return q, q.reject(dandeliongap.ReasonUnknownName, dst)
	}
	q.service = g.service
	q.setFinishBy(now)
	if q.finishBy <= now {
		return q, q.reject(dandeliongap.ReasonDeadline, dst)
	}
	if !req.NonIdempotent && !req.Baseline {
		q.throttle = &g.throttles[req.Class]
		if q.throttle.shouldRefuse(now, rng) {
			return q, q.rejectThrottled(dst)
		}
	}
	snapshot := p.firstSnapshot(now, q, g)
	if snapshot == nil || len(snapshot.shards) == 0 {
		return q, q.reject(dandeliongap.ReasonNoReplica, dst)
	}
	q.try = p.assignReplicas(now, q, snapshot, rng)
	if t := p.assignOtherSnapshot(now, q, g, rng); t != nil {
		q.try = *t
	}
	if q.reachable < q.required {
		q.accepted, q.attempts = nil, nil
		return q, p.finish(now, q, RuleCoverage, q.reason, dst)
	}
	return q, p.sendAssigned(now, q, 0, dst)
}

// reject ends a query that R1 refuses.
func (q *Query) reject(reason dandeliongap.Reason, dst []Action) []Action {
	q.done, q.nextTick = true, never
	q.result = Result{Outcome: dandeliongap.OutcomeNotRun, Reason: reason}
	return append(dst, Action{Kind: Finish, Rule: RuleAdmission})
}

// rejectThrottled ends a query that R17 refuses.
func (q *Query) rejectThrottled(dst []Action) []Action {
	q.done, q.nextTick = true, never
	q.result = Result{Outcome: dandeliongap.OutcomeNotRun, Reason: dandeliongap.ReasonOverload, RetryAfter: throttleWindow}
	return append(dst, Action{Kind: Finish, Rule: RuleThrottle})
}

// setFinishBy sets the instant at which the query finishes, a margin before its
// deadline (R11).
func (q *Query) setFinishBy(now dandeliongap.Instant) {
	deadline := q.req.Deadline
	if deadline == 0 {
		d := q.service.Deadline
		if d <= 0 {
			d = defaultDeadline
		}
		deadline = now.Add(d)
	}
	q.finishBy = deadline.Add(-min(deadline.Sub(now)/marginDivisor, marginMax))
}

// firstSnapshot returns the snapshot of the first try. For an action it has one
// shard, the leaf that the key selects (R14).
func (p *Planner) firstSnapshot(now dandeliongap.Instant, q *Query, g *resolvedGroup) *resolvedSnapshot {
	if !q.req.NonIdempotent {
		return p.pickSnapshot(now, g, nil)
	}
	leaves := g.service.Leaves
	if len(leaves) == 0 {
		return nil
	}
	name := leaves[xxhash.Sum64String(string(q.req.Key))%uint64(len(leaves))]
	return &resolvedSnapshot{shards: []resolvedShard{{leaf: p.resolveLeaf(name)}}}
}

// assignOtherSnapshot returns a try with another snapshot if a shard of the first
// one has no replica that holds the version, or nil. Nothing has been sent yet, so this
// is not the second try of R9.
func (p *Planner) assignOtherSnapshot(now dandeliongap.Instant, q *Query, g *resolvedGroup, rng *rand.Rand) *try {
	if q.req.NonIdempotent || q.req.Baseline || !q.lacksVersion() {
		return nil
	}
	version := q.snapshot.version
	p.markVersionGone(now, g.service.Name, version)
	snapshot := p.pickSnapshot(now, g, &version)
	if snapshot == nil {
		return nil
	}
	t := p.assignReplicas(now, q, snapshot, rng)
	if t.reachable < t.required {
		return nil
	}
	return &t
}

// lacksVersion reports whether a shard has no replica that holds the version.
func (q *Query) lacksVersion() bool {
	return slices.ContainsFunc(q.shards, func(s shard) bool {
		return s.state == shardFailed && s.reason == dandeliongap.ReasonVersionGone
	})
}

// assignReplicas chooses a replica for each shard of a snapshot. It sends nothing.
func (p *Planner) assignReplicas(now dandeliongap.Instant, q *Query, s *resolvedSnapshot, rng *rand.Rand) try {
	n := len(s.shards)
	t := try{snapshot: s, shards: make([]shard, n), attempts: make([]attempt, 0, n), required: q.requiredParts(s.parts), reachable: s.listed, pending: n}
	need := q.requirements(s.version, false)
	for i := range s.shards {
		if len(s.shards[i].parts) == 0 && !q.req.NonIdempotent {
			t.shards[i] = shard{newest: -1, state: shardMerged, due: never}
			t.pending--
			continue
		}
		c, why := p.assignReplica(now, q, s.shards[i].leaf, &need, rng)
		if c != nil {
			t.attempts = append(t.attempts, attempt{candidate: c, shard: uint32(i)})
			continue
		}
		t.shards[i] = shard{newest: -1, state: shardFailed, reason: why.reason, due: never}
		if why.reason == dandeliongap.ReasonNotOwner {
			t.shards[i].postpone(now.Add(ownerCheckInterval))
			continue
		}
		t.reachable -= s.shards[i].exclusive
		t.pending--
		q.reason = why.reason
		q.reportOverload(now, len(s.shards[i].parts), s.parts, why.reason)
		q.retryAfter = max(q.retryAfter, why.wait)
	}
	if q.req.NonIdempotent && t.pending == 0 {
		// An action requires 0 parts, so only a negative bound makes Start refuse it.
		t.reachable = -1
	}
	return t
}

func (p *Planner) assignReplica(now dandeliongap.Instant, q *Query, l *resolvedLeaf, need *requirements, rng *rand.Rand) (*candidate, refusal) {
	if q.req.Baseline {
		return l.drawAny(rng)
	}
	c, why := p.choose(now, l, need, nil, rng)
	return c, why
}

func (q *Query) requirements(index dandeliongap.IndexVersion, hedgeOrRetry bool) requirements {
	return requirements{class: q.req.Class, index: index, nonIdempotent: q.req.NonIdempotent, hedgeOrRetry: hedgeOrRetry}
}

// requiredParts returns the lowest number of merged parts with which a query counts as
// answered. It is at least 1 for a search, as a result without any part is no answer,
// and 0 for an action.
func (q *Query) requiredParts(total int) int {
	if q.req.NonIdempotent {
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

// sendAssigned sends the assigned attempts. If rule is 0, each attempt names the rule
// that led to the choice of its replica.
func (p *Planner) sendAssigned(now dandeliongap.Instant, q *Query, rule Rule, dst []Action) []Action {
	q.nextTick = q.finishBy
	assigned := q.attempts
	q.attempts = assigned[:0]
	dst = slices.Grow(dst, len(assigned))
	for _, a := range assigned {
		r := rule
		if r == 0 {
			r = q.firstRule(now, a.candidate)
		}
		q.shards[a.shard].newest = -1
		dst = p.send(now, q, a.shard, a.candidate, r, dst)
	}
	for i := range q.shards {
		q.nextTick = min(q.nextTick, q.shards[i].due)
	}
	if q.tryIndex == 0 && !q.req.Baseline {
		p.addTokens(len(assigned))
	}
	return dst
}

// firstRule returns the rule that led to the choice of a replica for a shard's first
// attempt.
func (q *Query) firstRule(now dandeliongap.Instant, c *candidate) Rule {
	switch {
	case q.req.Baseline:
		return RuleBaseline
	case q.req.NonIdempotent:
		return RuleAction
	case c.state.down || !c.state.known(now):
		return RuleProbe
	default:
		return RuleChoice
	}
}

func (p *Planner) send(now dandeliongap.Instant, q *Query, i uint32, c *candidate, rule Rule, dst []Action) []Action {
	s := &q.shards[i]
	a := attempt{candidate: c, sent: now, shard: i, prev: s.newest, num: s.attempts, open: true}
	r := c.state
	wait := time.Duration(r.expectedWait(now, c.replica, c.leaf.typicalLatency()))
	if r.down && !r.probing {
		r.probing, a.probe = true, true
	}
	r.outstanding++
	s.newest = int32(len(q.attempts))
	s.attempts++
	s.open++
	s.state = shardOpen
	s.due = q.dueAfterSend(now, c, s)
	q.nextTick = min(q.nextTick, s.due)
	q.attempts = append(q.attempts, a)
	q.open++
	q.sent++
	act := q.newAction(Send, rule, &a)
	act.ExpectedWait, act.Load = wait, r.load
	return append(dst, act)
}

// dueAfterSend returns when a shard needs its next decision after an attempt was
// sent.
func (q *Query) dueAfterSend(now dandeliongap.Instant, c *candidate, s *shard) dandeliongap.Instant {
	switch {
	case q.req.Baseline:
		return roundUp(now.Add(baselineTimeout))
	case q.req.NonIdempotent || s.attempts == maxAttempts:
		return never
	default:
		return roundUp(now.Add(c.leaf.hedgeDelay()))
	}
}

func roundUp(t dandeliongap.Instant) dandeliongap.Instant {
	step := dandeliongap.Instant(tickResolution)
	return (t + step - 1) / step * step
}

func (q *Query) newAction(kind Kind, rule Rule, a *attempt) Action {
	return Action{
		Kind: kind, Rule: rule, Class: q.req.Class,
		ID:      dandeliongap.SubID{Entry: q.req.Entry, Query: q.req.Number, Shard: a.shard, Attempt: q.tryIndex*maxAttempts + uint32(a.num)},
		Replica: a.candidate.replica.ID, Owner: a.candidate.owner, Index: q.snapshot.version, Deadline: q.finishBy,
	}
}

// Tick takes the decisions that are due. The driver calls it at Query.NextTick or
// later.
func (p *Planner) Tick(now dandeliongap.Instant, v *dandeliongap.View, q *Query, rng *rand.Rand, dst []Action) []Action {
	p.setView(v)
	if q.done || now < q.nextTick {
		return dst
	}
	if now >= q.finishBy {
		return p.finish(now, q, RuleDeadline, dandeliongap.ReasonDeadline, dst)
	}
	tryIndex := q.tryIndex
	q.nextTick = q.finishBy
	for i := range q.shards {
		if s := &q.shards[i]; s.due <= now {
			dst = p.decideShard(now, v, q, uint32(i), rng, dst)
			if q.done || q.tryIndex != tryIndex {
				return dst
			}
		}
		q.nextTick = min(q.nextTick, q.shards[i].due)
	}
	return dst
}

// HandleDisconnect ends a query whose caller has disconnected (R15).
func (p *Planner) HandleDisconnect(now dandeliongap.Instant, q *Query, dst []Action) []Action {
	if q.done {
		return dst
	}
	return p.finish(now, q, RuleDisconnect, dandeliongap.ReasonCancelled, dst)
}
