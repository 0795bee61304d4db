package dgfanout

import (
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Hedges (R6).
const (
	// hedgeQuantile is the quantile of the recent latencies after which an attempt
	// counts as late. At 0.96, about 4% of the attempts are hedged, so that a part of
	// a budget of 5% is left for times with more late attempts. In the simulations of
	// dgtrial, 0.95 used up the budget while a zone was out, and 0.97 hedged
	// stragglers too late.
	hedgeQuantile     = 0.96
	minHedgeDelay     = time.Millisecond
	maxHedgeDelay     = time.Second
	defaultHedgeDelay = 50 * time.Millisecond
	// maxHedgeDelayMedians bounds the delay to a multiple of the median latency. It
	// takes effect when stragglers are so frequent that they determine the quantile.
	// With a bound of 3, it also takes effect if service times vary more than those
	// in the simulations of dgtrial, and hedges of ordinary late attempts then use up
	// the budget.
	maxHedgeDelayMedians = 6
	// maxHedgeWaitDelays is the multiple of the hedge delay above which the expected
	// wait of a replica is too long for a hedge. In the simulations of dgtrial,
	// sending no hedge to a replica whose queue is as long as its limit raised p99
	// from 53 ms to 140 ms.
	maxHedgeWaitDelays = 2
	defaultLatency     = 10 * time.Millisecond // assumed while no latency was measured
)

// Budget (R8). One token allows one hedge or retry.
const (
	budgetShare   = 0.05 // tokens that an attempt at the start of a query adds, if the configuration sets none
	budgetInitial = 10   // tokens
	budgetMax     = 200  // tokens
	// hedgeLowTokens is the number of tokens below which an attempt is hedged only if
	// it has been open for twice the delay or is assumed to be running (R6). The
	// remaining tokens are kept for real stragglers.
	hedgeLowTokens = 6
	hedgeReserve   = 2 // tokens that hedges leave for retries, which decide about coverage
)

// Times for which a replica is avoided (R4, R5).
const (
	backOffFirst     = 100 * time.Millisecond
	backOffMax       = 5 * time.Second
	drainAvoid       = 5 * time.Second
	refusalAvoid     = 10 * time.Millisecond // lower bound of the retry-after of a refusal, also if it has none
	refusalMax       = time.Second           // upper bound of the retry-after of a refusal; then the replica is tried again
	notOwnerAvoid    = 200 * time.Millisecond
	versionGoneAvoid = time.Second
	zoneOutAvoid     = time.Second
	// unresponsiveMisses is the number of late attempts without any answer in between
	// after which a replica is used only if no other one is usable.
	unresponsiveMisses = 3
)

const (
	latencyWeight = 0.2                    // of a new sample in the recent latency of a replica
	queueFresh    = 500 * time.Millisecond // age of a reported load from which its queue length is ignored
	limitFresh    = 2 * time.Second        // age of a reported load up to which its limit is used
	latencyFresh  = 500 * time.Millisecond // age from which the recent latency moves towards the median of the leaf
	// latencyMaxRise bounds a sample to a multiple of the recent latency. Without it,
	// one straggler in 100 answers would move all load back and forth between the
	// replicas.
	latencyMaxRise = 2
	// knownFor is the age of the last answer from which a replica counts as unknown,
	// so that a zone that is taken in again does not get its full share of requests at
	// once.
	knownFor      = 10 * time.Second
	zoneWindow    = 10 * time.Second // window of the lowest latency of a zone
	refusalWeight = 1.0 / 32         // of one answer in the recent share of refusals
	// overloadThreshold is the share of refusals above which a leaf is overloaded. It
	// is low because a replica that refuses gets few further attempts (R5), so that
	// few refusals are counted.
	overloadThreshold = 0.1
)

// Planner holds what a VM learns over all its queries. The zero value is ready for
// use. A Planner must not be copied after first use, and its methods must not be
// called concurrently.
type Planner struct {
	replicas          map[dandeliongap.ReplicaID]*replicaState
	leaves            map[dandeliongap.ServiceName]*leafState
	throttles         map[dandeliongap.ServiceName]*classThrottles
	allLeaves         latencyHistogram
	versionGoneUntil  map[groupVersion]dandeliongap.Instant // until when R2 avoids a snapshot
	tokens            float64                               // available for hedges and retries (R8)
	tokensPerAttempt  float64                               // added for each attempt at the start of a query
	tokensInitialized bool
	deployment        *dandeliongap.Deployment
	resolved          resolvedView
}

// classThrottles holds the throttles of one group, indexed by class.
type classThrottles [dandeliongap.ClassCount]throttle

type groupVersion struct {
	group   dandeliongap.ServiceName
	version dandeliongap.IndexVersion
}

// leafState is what the planner has learned about a leaf service.
type leafState struct {
	latencyHistogram
	allLeaves    *latencyHistogram // of all leaf services, used while this one has few samples
	refusedShare float64           // recent share of answers that are refusals for overload
	zones        map[dandeliongap.ZoneName]*zoneLatency
}

// observe adds the latency of an attempt.
func (l *leafState) observe(d time.Duration) {
	l.latencyHistogram.observe(d)
	l.allLeaves.observe(d)
}

// hedgeDelay returns the time after which an attempt counts as late.
func (l *leafState) hedgeDelay() time.Duration {
	if l.median == 0 {
		return l.allLeaves.hedgeDelay()
	}
	return l.latencyHistogram.hedgeDelay()
}

// typicalLatency returns the median latency of the leaf. While it is unknown, it
// returns that of all leaves, or a default.
func (l *leafState) typicalLatency() time.Duration {
	if l.median == 0 {
		return l.allLeaves.typicalLatency()
	}
	return l.median
}

func (l *leafState) overloaded() bool { return l.refusedShare > overloadThreshold }

// observeRefusal updates the share of refusals with one answer.
func (l *leafState) observeRefusal(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	l.refusedShare += (sample - l.refusedShare) * refusalWeight
}

// zoneLatency holds the lowest latency of a leaf's replicas in one availability
// zone during the current and the previous window. The difference between two
// zones is their distance (R3).
type zoneLatency struct {
	current, previous time.Duration
	windowEnd         dandeliongap.Instant
}

func (z *zoneLatency) observe(now dandeliongap.Instant, d time.Duration) {
	if now >= z.windowEnd {
		z.previous, z.current = z.current, 0
		z.windowEnd = now.Add(zoneWindow)
	}
	if z.current == 0 || d < z.current {
		z.current = d
	}
}

// lowest returns the lowest latency of both windows, or 0 if there was no answer.
func (z *zoneLatency) lowest() time.Duration {
	if z.previous == 0 || z.current == 0 {
		return max(z.previous, z.current)
	}
	return min(z.previous, z.current)
}

// distance returns how much longer an answer from the other zone takes, or 0 while
// this is unknown.
func (z *zoneLatency) distance(other *zoneLatency) time.Duration {
	if z.lowest() == 0 || other.lowest() == 0 {
		return 0
	}
	return max(0, other.lowest()-z.lowest())
}

// replicaState is what the planner has learned about a replica.
type replicaState struct {
	outstanding int                      // outstanding sub-requests of this VM
	latency     time.Duration            // recent; 0: never answered
	answered    dandeliongap.Instant     // time of the last answer
	latencyAt   dandeliongap.Instant     // time of the last sample of latency
	load        dandeliongap.ReplicaLoad // last reported
	loadAt      dandeliongap.Instant

	down      bool // a connection failed or the replica drains; probed after downUntil
	probing   bool
	downAt    dandeliongap.Instant
	downUntil dandeliongap.Instant
	backOff   time.Duration

	// lastAnsweredSent is when the newest of the answered attempts was sent, by urgency.
	lastAnsweredSent [dandeliongap.ClassCount]dandeliongap.Instant

	misses              int // late attempts since the last answer or refusal
	unresponsiveUntil   dandeliongap.Instant
	unresponsiveBackOff time.Duration

	refusedUntil  [dandeliongap.ClassCount]dandeliongap.Instant // by urgency
	notOwner      dandeliongap.MemberID                         // owner that could not use the replica
	notOwnerUntil dandeliongap.Instant
	goneVersion   dandeliongap.IndexVersion // version that the replica does not hold
	goneUntil     dandeliongap.Instant
}

// urgency returns the rank of a class, 0 for the most urgent.
func urgency(c dandeliongap.Class) int {
	switch c {
	case dandeliongap.ClassUrgent:
		return 0
	case dandeliongap.ClassArchive:
		return 2
	default:
		return 1
	}
}

// observe updates the recent latency with a sample, which latencyMaxRise bounds.
func (r *replicaState) observe(now dandeliongap.Instant, d, typical time.Duration) {
	d = max(d, time.Microsecond)
	if r.latency == 0 {
		r.latency = d
	}
	r.latency = r.recentLatency(now, typical)
	d = min(d, latencyMaxRise*r.latency)
	r.latency += time.Duration(float64(d-r.latency) * latencyWeight)
	r.latencyAt = now
}

// known reports whether the replica has answered recently enough to get its full
// share of requests.
func (r *replicaState) known(now dandeliongap.Instant) bool {
	return r.latency > 0 && now.Sub(r.answered) < knownFor
}

// recordResponse handles an answer to an attempt that was sent at the given instant.
// The replica is no longer unresponsive. It is no longer down if the attempt was
// sent after it went down; an answer to an earlier attempt does not show that it has
// recovered.
func (r *replicaState) recordResponse(sent dandeliongap.Instant) {
	r.misses, r.unresponsiveBackOff, r.unresponsiveUntil = 0, 0, 0
	if sent >= r.downAt {
		r.down, r.backOff = false, 0
	}
}

// recordConnectionFailure marks the replica as down and doubles its back-off. The
// failure of an attempt that was sent before the replica went down is ignored, so
// that it does not double the back-off again.
func (r *replicaState) recordConnectionFailure(now, sent dandeliongap.Instant) {
	if sent < r.downAt {
		return
	}
	r.backOff = min(max(2*r.backOff, backOffFirst), backOffMax)
	r.down, r.downAt, r.downUntil = true, now, now.Add(r.backOff)
}

func (r *replicaState) recordDraining(now dandeliongap.Instant) {
	r.down, r.downAt, r.downUntil = true, now, now.Add(drainAvoid)
}

// recordMiss handles an attempt that was cancelled late, without an answer.
func (r *replicaState) recordMiss(now dandeliongap.Instant, waited, typical time.Duration) {
	if r.latency > 0 && waited > r.latency {
		r.observe(now, waited, typical)
	}
	r.misses++
	if r.misses < unresponsiveMisses || now < r.unresponsiveUntil {
		return
	}
	r.unresponsiveBackOff = min(max(2*r.unresponsiveBackOff, backOffFirst), backOffMax)
	r.unresponsiveUntil = now.Add(r.unresponsiveBackOff)
}

// recordRefusal makes requests of the given urgency and less urgent ones avoid the
// replica until the given instant.
func (r *replicaState) recordRefusal(until dandeliongap.Instant, from int) {
	for i := from; i < len(r.refusedUntil); i++ {
		r.refusedUntil[i] = max(r.refusedUntil[i], until)
	}
}

// recordAnswer updates the state with the result of an attempt: an answer, a refusal
// or a lost connection. sent is -1 if the time of sending is unknown. wanted is the
// index version of the attempt.
func (r *replicaState) recordAnswer(now, sent dandeliongap.Instant, ans *Answer, owner dandeliongap.MemberID, class dandeliongap.Class, wanted dandeliongap.IndexVersion) {
	if ans.Load != (dandeliongap.ReplicaLoad{}) {
		r.load, r.loadAt = ans.Load, now
	}
	switch ans.Status {
	case dandeliongap.SubAnswered:
		r.recordResponse(sent)
	case dandeliongap.SubNotRun:
		r.misses = 0
	}
	if ans.Load.Draining {
		r.recordDraining(now)
	}
	switch ans.Reason {
	case dandeliongap.ReasonOverload, dandeliongap.ReasonShed:
		wait := min(max(ans.RetryAfter, refusalAvoid), refusalMax)
		r.recordRefusal(now.Add(wait), urgency(class))
	case dandeliongap.ReasonDraining:
		r.recordDraining(now)
	case dandeliongap.ReasonZoneOut:
		r.recordRefusal(now.Add(zoneOutAvoid), 0)
	case dandeliongap.ReasonNotOwner, dandeliongap.ReasonLease, dandeliongap.ReasonIsolated, dandeliongap.ReasonStopping:
		r.notOwner, r.notOwnerUntil = owner, now.Add(notOwnerAvoid)
	case dandeliongap.ReasonVersionGone:
		r.goneVersion, r.goneUntil = wanted, now.Add(versionGoneAvoid)
	case dandeliongap.ReasonConnection:
		r.recordConnectionFailure(now, sent)
	}
}

// limit returns the number of requests that the replica may run at the same time. The
// limit of an old load is ignored, because the low limit of a cold replica must not
// keep requests away after it has warmed up.
func (r *replicaState) limit(now dandeliongap.Instant, c *dandeliongap.Replica) float64 {
	if r.load.Limit > 0 && now.Sub(r.loadAt) <= limitFresh {
		return float64(r.load.Limit)
	}
	return float64(max(c.Slots, 1))
}

// recentQueueLength returns the last known queue length. It falls linearly with its
// age, to 0 at queueFresh.
func (r *replicaState) recentQueueLength(now dandeliongap.Instant) float64 {
	age := now.Sub(r.loadAt)
	if age >= queueFresh {
		return 0
	}
	return float64(r.load.Queued) * (1 - float64(age)/float64(queueFresh))
}

// recentLatency returns the recent latency. As it ages it moves towards the typical
// latency of the leaf, so that a replica that was slow long ago is tried again.
func (r *replicaState) recentLatency(now dandeliongap.Instant, typical time.Duration) time.Duration {
	if r.latency == 0 {
		return typical
	}
	age := now.Sub(r.latencyAt)
	if age <= latencyFresh {
		return r.latency
	}
	kept := float64(latencyFresh) / float64(age)
	return typical + time.Duration(float64(r.latency-typical)*kept*kept)
}

// expectedWait returns the expected wait of a new request in nanoseconds (R3).
func (r *replicaState) expectedWait(now dandeliongap.Instant, c *dandeliongap.Replica, typical time.Duration) float64 {
	return (float64(r.outstanding) + r.recentQueueLength(now) + 1) * float64(r.recentLatency(now, typical)) / r.limit(now, c)
}

// answeredLaterAttempt reports whether the replica has answered an attempt of the same
// or a less urgent class that was sent after the given instant. Owners dispatch more
// urgent classes first, and earlier deadlines first within a class. An attempt that is
// sent later usually has a later deadline. An attempt that was sent at the given
// instant and has no answer yet is therefore assumed to be running, not queued.
func (r *replicaState) answeredLaterAttempt(class dandeliongap.Class, sent dandeliongap.Instant) bool {
	for _, last := range r.lastAnsweredSent[urgency(class):] {
		if last > sent {
			return true
		}
	}
	return false
}

// takeToken takes one token for a hedge or retry (R8) and reports whether it did. It
// takes none if fewer tokens than the reserve would be left.
func (p *Planner) takeToken(reserve float64) bool {
	if p.tokens < 1+reserve {
		return false
	}
	p.tokens--
	return true
}

// addTokens adds the tokens for n attempts that are neither hedges nor retries.
func (p *Planner) addTokens(n int) {
	p.tokens = min(p.tokens+p.tokensPerAttempt*float64(n), budgetMax)
}

// hedgeWouldBeLate reports whether a hedge to the replica would probably be late
// itself.
func (c *candidate) hedgeWouldBeLate(now dandeliongap.Instant) bool {
	return c.state.expectedWait(now, c.replica, c.leaf.typicalLatency()) > maxHedgeWaitDelays*float64(c.leaf.hedgeDelay())
}
