// Package dggather implements the scatter-gather logic of a request: when
// sub-requests to the shards are sent, hedged, retried and given up, and when the
// caller gets a complete or a partial response. A request to a single service has
// one sub-request. The aim is to meet a latency objective although some replicas
// are slow or unreachable. The response of a shard is called a part; the coverage
// is the share of the shards whose parts have been received.
//
// Rules:
//
//	G1  The shards are those of the routing configuration in force when the request
//	    arrived. Each is sent one sub-request immediately.
//	G2  A sub-request that is late is hedged: it is sent to a second replica, within
//	    the route's maximum number of attempts and the budget for extra requests.
//	G3  A sub-request that failed is retried immediately, within the limits of G2. An
//	    attempt that reached no replica counts towards neither limit. A request that
//	    is not idempotent is retried only if it is known not to have run. A retry
//	    excludes the replicas that still have the sub-request or reported that they
//	    did not run it. Replicas that failed it are used with lower preference, not
//	    excluded: such a replica may be the only one, or much faster than the others.
//	G4  When all parts have been received, the response is sent.
//	G5  Shortly before the latency objective, the response is sent if its coverage is
//	    sufficient for the route; after that, as soon as it is sufficient.
//	G6  When no missing part can arrive any more, the request ends: with a partial
//	    response if the coverage is sufficient, as failed otherwise. A response with
//	    sufficient coverage does not wait for shards without a usable replica, or
//	    for shards whose only attempts are probes of replicas that were down or
//	    unresponsive: they are unlikely to get a response.
//	    A request also ends if sufficient coverage takes attempts that can start only
//	    after the latency objective, so that the caller can retry in time.
//	G7  Shortly before the deadline the request ends: with a partial response if the
//	    coverage is sufficient, as timed out otherwise.
//	G8  "Not run" is reported only if no attempt can have run: each of them reached no
//	    replica, or one that reported that it did not run the request.
//	G9  A request that must end before its deadline, because its VM does, ends as under
//	    G7 and G8.
package dggather

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// responseMargin is how long before the latency objective the wait for parts
	// ends. The caller's new connection and request take three one-way trips of 1 to
	// 2 ms before the request arrives, the response takes one, and a VM that shares
	// its processor is delayed by scheduling.
	responseMargin = 16 * time.Millisecond
	// deadlineMargin is how long before the deadline the request ends, for the same
	// reasons.
	deadlineMargin = 15 * time.Millisecond

	// hedgeLatencyFactor is the multiple of the route's typical latency after which
	// a sub-request is late and is hedged.
	hedgeLatencyFactor = 2.2
	// minHedgeShare and maxHedgeShare bound the hedging delay as shares of the
	// latency objective: most earlier hedges would be wasted, later ones would not
	// be answered in time. Without an objective, the delay is maxHedgeShare of the
	// time until the request ends.
	minHedgeShare = 0.2
	maxHedgeShare = 0.45

	// maxRetryWait bounds the wait for a retry (G6): a response with sufficient
	// coverage waits for a shard without an attempt in flight only if the next attempt
	// can start sooner than this. Waits for a free connection are shorter, waits for a
	// replica that is down are longer.
	maxRetryWait = 20 * time.Millisecond
)

// Options describes a request.
type Options struct {
	Route          *dandeliongap.Route
	Shards         []dandeliongap.ServiceName
	Arrived        dandeliongap.Instant
	Deadline       dandeliongap.Instant // the caller's deadline, or the end of the route's timeout if sooner
	TypicalLatency time.Duration        // typical latency of a sub-request; 0: unknown
}

// phase is the progress of the sub-request to a shard.
type phase uint8

const (
	unsent   phase = iota // to be sent, or to be retried
	inFlight              // sent, no result yet
	received              // the part has been received
	failed                // no part can be received any more
)

type shard struct {
	phase            phase
	attemptsInFlight int
	attempts         int                       // attempts that reached a replica or are in flight
	onlyProbes       bool                      // all attempts in flight are probes (G6)
	mayHaveRun       bool                      // some replica may have run the sub-request
	excluded         []dandeliongap.InstanceID // replicas that must not get the sub-request now (G3)
	failedReplicas   []dandeliongap.InstanceID // replicas that may have run the sub-request but returned no part (G3)
	lastSent         dandeliongap.Instant
	retryAt          dandeliongap.Instant // earliest time of the next attempt
}

// Gather is the state of a request. It is not safe for concurrent use.
type Gather struct {
	opts          Options
	shards        []shard
	partsReceived int
	hedgeDelay    time.Duration        // time after which a sub-request is late (G2)
	partialAt     dandeliongap.Instant // time from which on sufficient coverage ends the request (G5)
	endAt         dandeliongap.Instant // latest end of the request (G7)
	mayHaveRun    bool                 // some replica may have run a sub-request
}

// New returns the state of a request that has just arrived.
func New(o Options) *Gather {
	g := &Gather{opts: o, shards: make([]shard, len(o.Shards))}
	g.endAt = o.Deadline.Add(-deadlineMargin)
	g.partialAt = g.endAt
	if objective := o.Route.LatencyObjective; objective > 0 {
		g.partialAt = min(g.endAt, o.Arrived.Add(objective-responseMargin))
		g.hedgeDelay = time.Duration(maxHedgeShare * float64(objective))
		if o.TypicalLatency > 0 {
			lateAfter := time.Duration(hedgeLatencyFactor * float64(o.TypicalLatency))
			g.hedgeDelay = max(time.Duration(minHedgeShare*float64(objective)), min(g.hedgeDelay, lateAfter))
		}
	} else {
		g.hedgeDelay = time.Duration(maxHedgeShare * float64(g.endAt.Sub(o.Arrived)))
	}
	return g
}

// Send is a sub-request that is due.
type Send struct {
	Shard int  // index of the shard in Options.Shards
	Extra bool // uses the budget for extra requests
}

// Verdict tells whether and how a request ended.
type Verdict uint8

// Verdicts. The zero value means that the request has not ended.
const (
	InProgress       Verdict = iota
	Complete                 // all parts have been received
	Partial                  // the parts received give sufficient coverage
	NotRun                   // no replica ran any sub-request
	Failed                   // no more parts can arrive in time; sub-requests may have run
	DeadlineExceeded         // the deadline is about to pass; sub-requests may have run
)

var verdictNames = [...]string{"open", "complete", "partial", "not run", "failed", "deadline"}

// String returns the name that log lines use.
func (v Verdict) String() string { return verdictNames[v] }

// Step appends the sub-requests that are due to sends. It returns the extended
// slice, the verdict, and the time at which to call Step again if no result arrives
// before; 0 if the request has ended.
func (g *Gather) Step(now dandeliongap.Instant, sends []Send) ([]Send, Verdict, dandeliongap.Instant) {
	if g.partsReceived == len(g.shards) {
		return sends, Complete, 0
	}
	if now >= g.endAt {
		return sends, g.end(DeadlineExceeded), 0
	}
	if now >= g.partialAt && g.hasCoverage() {
		return sends, Partial, 0
	}
	wake := g.endAt
	if now < g.partialAt {
		wake = g.partialAt
	}
	worthWaiting := false // a missing part may arrive soon
	attainable := 0       // missing parts that may still arrive in time
	for i := range g.shards {
		s := &g.shards[i]
		due, extra, at := g.due(now, s)
		if due {
			sends = append(sends, Send{Shard: i, Extra: extra})
		} else if at > 0 {
			wake = min(wake, at)
		}
		active := s.phase != received && (due || s.attemptsInFlight > 0 || at > 0 && at.Sub(now) < maxRetryWait)
		worthWaiting = worthWaiting || active && !(s.onlyProbes && s.attemptsInFlight > 0)
		if active || at > 0 && at < g.partialAt {
			attainable++
		}
	}
	if !worthWaiting && g.hasCoverage() || !g.sufficient(g.partsReceived+attainable) {
		return sends, g.end(Failed), 0
	}
	return sends, InProgress, wake
}

// due reports whether the sub-request to a shard is to be sent now and whether it is
// an extra one, and returns the earliest time to send it; 0 means never (G1 to G3).
// It marks the shard as failed if its attempts are used up.
func (g *Gather) due(now dandeliongap.Instant, s *shard) (due, extra bool, at dandeliongap.Instant) {
	if s.phase == received || s.phase == failed {
		return false, false, 0
	}
	extra = s.attempts > 0
	at = s.retryAt
	if s.phase == inFlight {
		if s.attempts >= g.opts.Route.MaxAttempts || !g.opts.Route.Idempotent {
			return false, false, 0
		}
		at = max(at, s.lastSent.Add(g.hedgeDelay))
	} else if s.attempts >= max(1, g.opts.Route.MaxAttempts) {
		s.phase = failed
		return false, false, 0
	}
	return now >= at, extra, max(at, 1)
}

// Interrupt ends the request before its deadline and returns the verdict (G9).
func (g *Gather) Interrupt() Verdict {
	if g.partsReceived == len(g.shards) {
		return Complete
	}
	return g.end(DeadlineExceeded)
}

// end returns the verdict of a request that ends without all parts (G6 to G8):
// Partial if the coverage is sufficient, NotRun if no replica can have run a
// sub-request, and v otherwise.
func (g *Gather) end(v Verdict) Verdict {
	switch {
	case g.hasCoverage():
		return Partial
	case !g.mayHaveRun && !g.hasPartsOrAttempts():
		return NotRun
	default:
		return v
	}
}

func (g *Gather) hasPartsOrAttempts() bool { return g.partsReceived > 0 || g.Outstanding() > 0 }

// Outstanding returns the number of attempts in flight.
func (g *Gather) Outstanding() int {
	n := 0
	for i := range g.shards {
		n += g.shards[i].attemptsInFlight
	}
	return n
}

func (g *Gather) hasCoverage() bool { return g.sufficient(g.partsReceived) }

// sufficient reports whether the given number of parts gives the coverage that the
// route requires.
func (g *Gather) sufficient(parts int) bool {
	return parts > 0 && float64(parts) >= g.opts.Route.MinCoverage*float64(len(g.shards))
}

// ExcludedReplicas returns the replicas that must not get the sub-request to shard i
// now (G3).
func (g *Gather) ExcludedReplicas(i int) []dandeliongap.InstanceID { return g.shards[i].excluded }

// FailedReplicas returns the replicas that got the sub-request to shard i, may have
// run it and returned no part (G3).
func (g *Gather) FailedReplicas(i int) []dandeliongap.InstanceID { return g.shards[i].failedReplicas }

// AttemptStarted records that the sub-request to shard i was sent to the replica id.
// probe tells whether a response is unlikely because the replica was down or
// unresponsive.
func (g *Gather) AttemptStarted(now dandeliongap.Instant, i int, id dandeliongap.InstanceID, probe bool) {
	s := &g.shards[i]
	s.excluded = append(s.excluded, id)
	s.onlyProbes = probe && (s.attemptsInFlight == 0 || s.onlyProbes)
	s.phase = inFlight
	s.attemptsInFlight++
	s.attempts++
	s.lastSent = now
	s.retryAt = 0
}

// AttemptNotStarted records that the sub-request to shard i could not be sent, and
// that the next attempt may start at retryAt.
func (g *Gather) AttemptNotStarted(i int, retryAt dandeliongap.Instant) {
	g.shards[i].retryAt = retryAt
}

// PartReceived records the part of shard i. It reports whether the part is new: false
// if another attempt has delivered it before.
func (g *Gather) PartReceived(i int) bool {
	s := &g.shards[i]
	s.attemptsInFlight--
	g.mayHaveRun = true
	if s.phase == received {
		return false
	}
	s.phase = received
	g.partsReceived++
	return true
}

// AttemptFailed records that the attempt for shard i at the replica id ended without a
// part. reached tells whether the replica got the sub-request, mayHaveRun whether it
// may have run it.
func (g *Gather) AttemptFailed(now dandeliongap.Instant, i int, id dandeliongap.InstanceID, reached, mayHaveRun bool) {
	s := &g.shards[i]
	s.attemptsInFlight--
	if !reached {
		s.attempts--
	}
	if reached && mayHaveRun {
		s.failedReplicas = append(s.failedReplicas, id)
	}
	if !reached || mayHaveRun {
		s.excluded = slices.DeleteFunc(s.excluded, func(a dandeliongap.InstanceID) bool { return a == id })
	}
	g.mayHaveRun = g.mayHaveRun || mayHaveRun
	s.mayHaveRun = s.mayHaveRun || mayHaveRun
	if s.phase == received || s.attemptsInFlight > 0 {
		return
	}
	s.phase = unsent
	s.retryAt = now
	if s.mayHaveRun && !g.opts.Route.Idempotent {
		s.phase = failed
	}
}

// MissingShards returns the indices of the shards whose parts have not been
// received.
func (g *Gather) MissingShards() []int {
	var missing []int
	for i := range g.shards {
		if g.shards[i].phase != received {
			missing = append(missing, i)
		}
	}
	return missing
}

// Coverage returns the number of parts received and the number of shards.
func (g *Gather) Coverage() (parts, shards int) { return g.partsReceived, len(g.shards) }
