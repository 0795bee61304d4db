// Package dggather decides the course of one request of a caller: when its
// sub-requests are sent, repeated and given up, and when the caller gets which
// answer. A request to a single service is one with a single sub-request. It
// answers the load of slow and lost replicas under a latency objective.
//
// Rules:
//
//	G1  All shards come from the routing configuration that was in force when the
//	    request arrived. Each gets one sub-request at once.
//	G2  A sub-request that is late is sent to a second replica, within the route's
//	    attempts and the budget for extra requests.
//	G3  A sub-request that failed is sent again at once, under the limits of G2. One
//	    that reached no replica counts neither as an attempt nor as an extra request.
//	    A request that may not be repeated is sent again only if it certainly did not
//	    run. It goes to any replica but those that still have it or said that they
//	    did not run it, and rather to one that has not lost it before: one that lost
//	    an answer may be the only one, or much faster than the others.
//	G4  With all parts in, the answer goes out.
//	G5  When the latency objective is about to pass, the answer goes out if its
//	    coverage is enough for the route. After that it goes out as soon as it is.
//	G6  When no missing part can arrive any more, the request ends: with an answer if
//	    the coverage is enough, as failed otherwise. An answer with enough coverage
//	    does not wait for shards of which no replica may be used, or whose only
//	    attempts try replicas that were down or silent.
//	    A request whose missing parts could only come after the latency objective, and
//	    that lacks coverage, ends too, so that the caller can come back in time.
//	G7  At the deadline the request ends in the same way.
//	G8  "Not run" is said only if nothing was sent, or every replica that was sent to
//	    said that it did not run.
package dggather

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// answerMargin is the time between the end of the wait for parts and the latency
	// objective: a caller's new connection and request take three ways of 1 to 2 ms
	// before the request arrives, the answer takes one, and a VM that shares its
	// processor waits for its turn.
	answerMargin = 16 * time.Millisecond
	// deadlineMargin is the same before the deadline.
	deadlineMargin = 15 * time.Millisecond

	// hedgeTypical is the multiple of the route's typical latency after which a
	// sub-request is late.
	hedgeTypical = 2.2
	// hedgeLeast and hedgeMost bound that time as shares of the objective: earlier
	// extra requests are mostly wasted, later ones come too late.
	hedgeLeast = 0.2
	hedgeMost  = 0.45

	// shortWait is the longest wait for a replica that keeps an otherwise finished
	// answer back; waits for a free connection are shorter, those for a replica
	// that is down longer.
	shortWait = 20 * time.Millisecond
)

// Options describe one request.
type Options struct {
	Route          *dandeliongap.Route
	Shards         []dandeliongap.ServiceName
	Arrived        dandeliongap.Instant
	Deadline       dandeliongap.Instant // the caller's, or the route's timeout if sooner
	TypicalLatency time.Duration        // typical latency of a sub-request; 0: unknown
}

type phase uint8

const (
	idle  phase = iota // to be sent
	away               // sent, no result yet
	done               // part is in
	ended              // can bring no part any more
)

type shard struct {
	phase    phase
	out      int  // attempts under way
	attempts int  // sends that reached a replica or are under way
	trials   bool // all attempts were trials
	unsure   bool
	avoid    []dandeliongap.InstanceID // replicas that are not to get it now (G3)
	lostAt   []dandeliongap.InstanceID // replicas that have lost it
	lastSent dandeliongap.Instant
	retry    dandeliongap.Instant // next time to try a send
}

// Gather is the state of one request. It is not safe for concurrent use.
type Gather struct {
	o        Options
	shards   []shard
	in       int
	hedge    time.Duration
	answerAt dandeliongap.Instant
	endAt    dandeliongap.Instant
	unsure   bool // some attempt may have run
}

// New returns the state of a request that arrived.
func New(o Options) *Gather {
	g := &Gather{o: o, shards: make([]shard, len(o.Shards))}
	g.endAt = o.Deadline.Add(-deadlineMargin)
	g.answerAt = g.endAt
	if obj := o.Route.LatencyObjective; obj > 0 {
		g.answerAt = min(g.endAt, o.Arrived.Add(obj-answerMargin))
		g.hedge = time.Duration(hedgeMost * float64(obj))
		if o.TypicalLatency > 0 {
			early := time.Duration(hedgeTypical * float64(o.TypicalLatency))
			g.hedge = max(time.Duration(hedgeLeast*float64(obj)), min(g.hedge, early))
		}
	} else {
		g.hedge = time.Duration(hedgeMost * float64(g.endAt.Sub(o.Arrived)))
	}
	return g
}

// Send asks for one sub-request.
type Send struct {
	Shard int
	Extra bool // draws on the budget for extra requests
}

// Verdict is the end of a request.
type Verdict uint8

// Verdicts. The zero value means that the request goes on.
const (
	InProgress       Verdict = iota
	Complete                 // all parts are in
	Partial                  // enough parts are in
	NotRun                   // no replica ran anything
	Failed                   // something may have run; nothing more can arrive
	DeadlineExceeded         // the deadline passed
)

var verdictNames = [...]string{"open", "complete", "partial", "not run", "failed", "deadline"}

// String returns the name that log lines use.
func (v Verdict) String() string { return verdictNames[v] }

// Step returns the sub-requests to send now, the verdict, and when to call Step
// again if nothing happens before.
func (g *Gather) Step(now dandeliongap.Instant, sends []Send) ([]Send, Verdict, dandeliongap.Instant) {
	if g.in == len(g.shards) {
		return sends, Complete, 0
	}
	if now >= g.endAt {
		return sends, g.end(DeadlineExceeded), 0
	}
	if now >= g.answerAt && g.enough() {
		return sends, Partial, 0
	}
	wake := g.endAt
	if now < g.answerAt {
		wake = g.answerAt
	}
	soon := false
	chances := 0
	for i := range g.shards {
		s := &g.shards[i]
		due, extra, at := g.due(now, s)
		if due {
			sends = append(sends, Send{Shard: i, Extra: extra})
		} else if at > 0 {
			wake = min(wake, at)
		}
		near := s.phase != done && (due || s.out > 0 || at > 0 && at.Sub(now) < shortWait)
		soon = soon || near && !(s.trials && s.out > 0)
		if near || at > 0 && at < g.answerAt {
			chances++
		}
	}
	if !soon && g.enough() || !g.reaches(g.in+chances) {
		return sends, g.end(Failed), 0
	}
	return sends, InProgress, wake
}

// due tells whether a shard's sub-request is to be sent now, whether that is an
// extra one, and else when it may be; 0 for never (G1 to G3).
func (g *Gather) due(now dandeliongap.Instant, s *shard) (due, extra bool, at dandeliongap.Instant) {
	if s.phase == done || s.phase == ended {
		return false, false, 0
	}
	extra = s.attempts > 0
	at = s.retry
	if s.phase == away {
		if s.attempts >= g.o.Route.MaxAttempts || !g.o.Route.Idempotent {
			return false, false, 0
		}
		at = max(at, s.lastSent.Add(g.hedge))
	} else if s.attempts >= max(1, g.o.Route.MaxAttempts) {
		s.phase = ended
		return false, false, 0
	}
	return now >= at, extra, max(at, 1)
}

// end returns the verdict of a request that ends without all parts (G6 to G8).
func (g *Gather) end(v Verdict) Verdict {
	switch {
	case g.enough():
		return Partial
	case !g.unsure && !g.pending():
		return NotRun
	default:
		return v
	}
}

func (g *Gather) pending() bool { return g.in > 0 || g.Outstanding() > 0 }

// Outstanding returns the number of attempts under way.
func (g *Gather) Outstanding() int {
	n := 0
	for i := range g.shards {
		n += g.shards[i].out
	}
	return n
}

func (g *Gather) enough() bool { return g.reaches(g.in) }

// reaches tells whether parts of so many shards are enough for the route.
func (g *Gather) reaches(parts int) bool {
	return parts > 0 && float64(parts) >= g.o.Route.MinCoverage*float64(len(g.shards))
}

// ExcludedReplicas returns the replicas to which a shard's sub-request is not to be sent now
// (G3).
func (g *Gather) ExcludedReplicas(i int) []dandeliongap.InstanceID { return g.shards[i].avoid }

// FailedReplicas returns the replicas that have lost a shard's sub-request (G3).
func (g *Gather) FailedReplicas(i int) []dandeliongap.InstanceID { return g.shards[i].lostAt }

// AttemptStarted records that an attempt at a replica is under way; trial tells that the
// replica was down or silent.
func (g *Gather) AttemptStarted(now dandeliongap.Instant, i int, id dandeliongap.InstanceID, trial bool) {
	s := &g.shards[i]
	s.avoid = append(s.avoid, id)
	s.trials = trial && (s.out == 0 || s.trials)
	s.phase = away
	s.out++
	s.attempts++
	s.lastSent = now
	s.retry = 0
}

// AttemptNotStarted records that an attempt could not be started and may be tried at retry.
func (g *Gather) AttemptNotStarted(i int, retry dandeliongap.Instant) {
	g.shards[i].retry = retry
}

// PartReceived records that a shard's part is in. It tells whether the part is the first.
func (g *Gather) PartReceived(i int) bool {
	s := &g.shards[i]
	s.out--
	g.unsure = true
	if s.phase == done {
		return false
	}
	s.phase = done
	g.in++
	return true
}

// AttemptFailed records an attempt at a replica that brought no part. reached tells whether
// the replica got the request, ran whether it may have run.
func (g *Gather) AttemptFailed(now dandeliongap.Instant, i int, id dandeliongap.InstanceID, reached, ran bool) {
	s := &g.shards[i]
	s.out--
	if !reached {
		s.attempts--
	}
	if reached && ran {
		s.lostAt = append(s.lostAt, id)
	}
	if !reached || ran {
		s.avoid = slices.DeleteFunc(s.avoid, func(a dandeliongap.InstanceID) bool { return a == id })
	}
	g.unsure = g.unsure || ran
	s.unsure = s.unsure || ran
	if s.phase == done || s.out > 0 {
		return
	}
	s.phase = idle
	s.retry = now
	if s.unsure && !g.o.Route.Idempotent {
		s.phase = ended
	}
}

// MissingShards returns the indices of the shards whose parts are not in.
func (g *Gather) MissingShards() []int {
	var out []int
	for i := range g.shards {
		if g.shards[i].phase != done {
			out = append(out, i)
		}
	}
	return out
}

// Coverage returns the parts that are in and the shards of the request.
func (g *Gather) Coverage() (in, total int) { return g.in, len(g.shards) }
