package dgfanout

import (
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Hedges (R6).
const (
	// hedgeQuantile leaves a part of a budget of 5% for times with more late
	// attempts. In the cases of dgtrial, 0.95 used up the budget while a zone was
	// out, and 0.97 hedged stragglers too late.
	hedgeQuantile = 0.96
	hedgeFloor    = time.Millisecond
	hedgeCeiling  = time.Second
	hedgeDefault  = 50 * time.Millisecond
	// hedgeMedians bounds the delay when stragglers are so many that they
	// determine the quantile. At 3, service times that vary more than the ones of
	// dgtrial reach the bound and use up the budget with usual late answers.
	hedgeMedians = 6
	// busyDelays is the expected wait, in hedge delays, above which a replica
	// gets no hedge. In the same simulation, refusing hedges to any replica with
	// a queue of its limit raised p99 from 53 ms to 140 ms.
	busyDelays     = 2
	latencyDefault = 10 * time.Millisecond
)

// Budget (R8), in sub-requests.
const (
	budgetShare   = 0.05 // if the configuration names none
	budgetInitial = 10
	budgetMax     = 200
	// hedgeScarce is the number of tokens below which only attempts later than
	// twice the delay are hedged: the rest is kept for real stragglers.
	hedgeScarce  = 6
	hedgeReserve = 2 // left by hedges for retries, which decide about coverage
)

// Times for which a replica is avoided (R4, R5).
const (
	backOffFirst  = 100 * time.Millisecond
	backOffMax    = 5 * time.Second
	drainAvoid    = 5 * time.Second
	refusalAvoid  = 10 * time.Millisecond // of a refusal that names no retry-after
	refusalMax    = time.Second           // longest retry-after that is obeyed without a new attempt
	notOwnerAvoid = 200 * time.Millisecond
	goneAvoid     = time.Second
	zoneOutAvoid  = time.Second
	// missesLost is the number of attempts without any answer in between after
	// which a replica is used only if no other one is.
	missesLost = 3
)

const (
	latencyWeight = 0.2                    // of a new sample in the recent latency of a replica
	markFresh     = 500 * time.Millisecond // age at which the queue length of a mark counts nothing
	limitFresh    = 2 * time.Second        // age up to which the limit of a mark counts
	latencyFresh  = 500 * time.Millisecond // age from which the recent latency fades to the median of the leaf
	// latencyRise bounds a sample to a multiple of the recent latency. Without
	// it, one straggler in 100 would move all load to the other replica in turn.
	latencyRise = 2
	// knownFor is the age of the last answer from which a replica counts as
	// unknown, so that a zone that returns does not get its full share at once.
	knownFor      = 10 * time.Second
	zoneWindow    = 10 * time.Second // window of the lowest latency of a zone
	refusalWeight = 1.0 / 32         // of one answer in the share of refusals
	// overloadShare is the share of refusals from which a leaf is overloaded. It
	// is low because R5 sends little to a replica that refuses.
	overloadShare = 0.1
)

// Planner is what a VM learns over all its queries. The zero value is ready for
// use; it must not be copied afterwards. Its methods must not be called at the
// same time.
type Planner struct {
	replicas   map[dandeliongap.ReplicaID]*replica
	leaves     map[dandeliongap.ServiceName]*leaf
	groups     map[dandeliongap.ServiceName]*throttles
	all        latencies
	gone       map[goneKey]dandeliongap.Instant // until when R2 avoids a snapshot
	tokens     float64
	share      float64
	filled     bool
	deployment *dandeliongap.Deployment
	plan       viewPlan
}

// throttles are those of one group, by class.
type throttles [dandeliongap.ClassCount]throttle

type goneKey struct {
	group   dandeliongap.ServiceName
	version dandeliongap.IndexVersion
}

// leaf is what the planner learned about a leaf service.
type leaf struct {
	latencies
	all     *latencies // of all leaves, used while this one has few samples
	refused float64    // recent share of answers that refuse for overload
	zones   map[dandeliongap.ZoneName]*nearest
}

// observe takes the latency of an attempt.
func (l *leaf) observe(d time.Duration) {
	l.latencies.observe(d)
	l.all.observe(d)
}

// hedgeDelay returns the time after which an attempt counts as late.
func (l *leaf) hedgeDelay() time.Duration {
	if l.median == 0 {
		return l.all.hedgeDelay()
	}
	return l.latencies.hedgeDelay()
}

// typical returns the median, or a default while it is unknown.
func (l *leaf) typical() time.Duration {
	if l.median == 0 {
		return l.all.typical()
	}
	return l.median
}

func (l *leaf) overloaded() bool { return l.refused > overloadShare }

func (l *leaf) noteRefusal(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	l.refused += (sample - l.refused) * refusalWeight
}

// nearest holds the lowest latency of a leaf's replicas in one zone during the
// current and the previous window. The difference between two zones is their
// distance.
type nearest struct {
	current, previous time.Duration
	windowEnd         dandeliongap.Instant
}

func (n *nearest) observe(now dandeliongap.Instant, d time.Duration) {
	if now >= n.windowEnd {
		n.previous, n.current = n.current, 0
		n.windowEnd = now.Add(zoneWindow)
	}
	if n.current == 0 || d < n.current {
		n.current = d
	}
}

func (n *nearest) lowest() time.Duration {
	if n.previous == 0 || n.current == 0 {
		return max(n.previous, n.current)
	}
	return min(n.previous, n.current)
}

// distance returns how much longer an answer takes from other than from n, or 0
// while it is unknown.
func (n *nearest) distance(other *nearest) time.Duration {
	if n.lowest() == 0 || other.lowest() == 0 {
		return 0
	}
	return max(0, other.lowest()-n.lowest())
}

// replica is what the planner learned about a replica.
type replica struct {
	out       int           // own outstanding sub-requests
	latency   time.Duration // recent; 0: never answered
	answered  dandeliongap.Instant
	latencyAt dandeliongap.Instant
	mark      dandeliongap.ReplicaLoad
	markAt    dandeliongap.Instant

	lost      bool // connection failed or draining: probe after lostUntil
	probing   bool
	lostAt    dandeliongap.Instant
	lostUntil dandeliongap.Instant
	backOff   time.Duration

	// sentLast is when the newest attempt was sent that has an answer, by urgency.
	sentLast [dandeliongap.ClassCount]dandeliongap.Instant

	misses    int // attempts without an answer since the last answer
	slowUntil dandeliongap.Instant
	slowFor   time.Duration

	refusedUntil  [dandeliongap.ClassCount]dandeliongap.Instant // by urgency
	notOwner      dandeliongap.MemberID
	notOwnerUntil dandeliongap.Instant
	gone          dandeliongap.IndexVersion
	goneUntil     dandeliongap.Instant
}

// urgency orders the classes, most urgent first.
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

// observe takes the latency of a whole answer.
func (r *replica) observe(now dandeliongap.Instant, d, typical time.Duration) {
	d = max(d, time.Microsecond)
	if r.latency == 0 {
		r.latency = d
	}
	r.latency = r.recent(now, typical)
	d = min(d, latencyRise*r.latency)
	r.latency += time.Duration(float64(d-r.latency) * latencyWeight)
	r.latencyAt = now
}

// known reports whether the replica answered recently enough for a full share.
func (r *replica) known(now dandeliongap.Instant) bool {
	return r.latency > 0 && now.Sub(r.answered) < knownFor
}

// alive clears what an answer to an attempt that was sent at the given instant
// disproves. An answer from before the failure proves nothing.
func (r *replica) alive(sent dandeliongap.Instant) {
	r.misses, r.slowFor, r.slowUntil = 0, 0, 0
	if sent >= r.lostAt {
		r.lost, r.backOff = false, 0
	}
}

// fail takes a failed connection. Attempts that were under way when the replica
// was lost do not double its back-off.
func (r *replica) fail(now, sent dandeliongap.Instant) {
	if sent < r.lostAt {
		return
	}
	r.backOff = min(max(2*r.backOff, backOffFirst), backOffMax)
	r.lost, r.lostAt, r.lostUntil = true, now, now.Add(r.backOff)
}

func (r *replica) drain(now dandeliongap.Instant) {
	r.lost, r.lostAt, r.lostUntil = true, now, now.Add(drainAvoid)
}

// miss takes an attempt that was cancelled late, without an answer.
func (r *replica) miss(now dandeliongap.Instant, waited, typical time.Duration) {
	if r.latency > 0 && waited > r.latency {
		r.observe(now, waited, typical)
	}
	r.misses++
	if r.misses < missesLost || now < r.slowUntil {
		return
	}
	r.slowFor = min(max(2*r.slowFor, backOffFirst), backOffMax)
	r.slowUntil = now.Add(r.slowFor)
}

func (r *replica) refuse(until dandeliongap.Instant, from int) {
	for i := from; i < len(r.refusedUntil); i++ {
		r.refusedUntil[i] = max(r.refusedUntil[i], until)
	}
}

// note takes what an answer tells about a replica. sent is -1 if unknown.
func (r *replica) note(now, sent dandeliongap.Instant, ans *Answer, owner dandeliongap.MemberID, class dandeliongap.Class, wanted dandeliongap.IndexVersion) {
	if ans.Load != (dandeliongap.ReplicaLoad{}) {
		r.mark, r.markAt = ans.Load, now
	}
	switch ans.Status {
	case dandeliongap.SubAnswered:
		r.alive(sent)
	case dandeliongap.SubNotRun:
		r.misses = 0
	}
	if ans.Load.Draining {
		r.drain(now)
	}
	switch ans.Reason {
	case dandeliongap.ReasonOverload, dandeliongap.ReasonShed:
		wait := min(max(ans.RetryAfter, refusalAvoid), refusalMax)
		r.refuse(now.Add(wait), urgency(class))
	case dandeliongap.ReasonDraining:
		r.drain(now)
	case dandeliongap.ReasonZoneOut:
		r.refuse(now.Add(zoneOutAvoid), 0)
	case dandeliongap.ReasonNotOwner, dandeliongap.ReasonLease, dandeliongap.ReasonIsolated, dandeliongap.ReasonStopping:
		r.notOwner, r.notOwnerUntil = owner, now.Add(notOwnerAvoid)
	case dandeliongap.ReasonVersionGone:
		r.gone, r.goneUntil = wanted, now.Add(goneAvoid)
	case dandeliongap.ReasonConnection:
		r.fail(now, sent)
	}
}

// limit returns the requests at the same time that the replica allows. An old
// mark of a cold replica must not keep requests away after it has warmed up.
func (r *replica) limit(now dandeliongap.Instant, c *dandeliongap.Replica) float64 {
	if r.mark.Limit > 0 && now.Sub(r.markAt) <= limitFresh {
		return float64(r.mark.Limit)
	}
	return float64(max(c.Slots, 1))
}

// queued returns the queue length of the last mark, less the older it is.
func (r *replica) queued(now dandeliongap.Instant) float64 {
	age := now.Sub(r.markAt)
	if age >= markFresh {
		return 0
	}
	return float64(r.mark.Queued) * (1 - float64(age)/float64(markFresh))
}

// recent returns the recent latency, which fades to the typical one of the leaf
// so that a replica that was slow long ago is tried again.
func (r *replica) recent(now dandeliongap.Instant, typical time.Duration) time.Duration {
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

func (r *replica) wait(now dandeliongap.Instant, c *dandeliongap.Replica, typical time.Duration) float64 {
	return (float64(r.out) + r.queued(now) + 1) * float64(r.recent(now, typical)) / r.limit(now, c)
}

// overtook reports whether the replica has answered an attempt of the same or a
// less urgent class that was sent after the given instant. Owners send in order,
// so that an attempt without an answer from before then runs and does not queue.
func (r *replica) overtook(class dandeliongap.Class, sent dandeliongap.Instant) bool {
	for _, last := range r.sentLast[urgency(class):] {
		if last > sent {
			return true
		}
	}
	return false
}

// take takes one token for an extra sub-request if the reserve is left (R8).
func (p *Planner) take(reserve float64) bool {
	if p.tokens < 1+reserve {
		return false
	}
	p.tokens--
	return true
}

// fill adds the share of n sub-requests that were sent within the budget.
func (p *Planner) fill(n int) {
	p.tokens = min(p.tokens+p.share*float64(n), budgetMax)
}

// busy reports whether a hedge to the replica would probably be late itself.
func (c *candidate) busy(now dandeliongap.Instant) bool {
	return c.learned.wait(now, c.replica, c.leaf.typical()) > busyDelays*float64(c.leaf.hedgeDelay())
}
