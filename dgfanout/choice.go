package dgfanout

import (
	"math/rand/v2"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// maxScored is the highest number of replicas that one choice compares.
const maxScored = 16

// tier orders replicas by preference, the most preferred first.
type tier uint8

const (
	tierUsable       tier = iota
	tierProbe             // down, the back-off is over and no probe is under way
	tierUnknownInUse      // not known (R4) and has a request under way
	tierUnresponsive      // gave no answer to its last attempts (R4)
	tierAvoid             // must not be used at present (R4, R5)
)

// requirements describes the attempt for which a replica is chosen.
type requirements struct {
	class         dandeliongap.Class
	index         dandeliongap.IndexVersion
	nonIdempotent bool
	hedgeOrRetry  bool // must not be a probe
}

// refusal is the reason why one replica, or every replica of a leaf, cannot be used.
type refusal struct {
	reason dandeliongap.Reason
	wait   time.Duration // until it can be used again; 0 if unknown
}

type scored struct {
	c    *candidate
	wait float64 // ns
}

// tierOf returns the tier of a replica by R4 and R5 and, for tierAvoid, the reason.
func (c *candidate) tierOf(now dandeliongap.Instant, need *requirements) (tier, refusal) {
	r := c.state
	if until := r.refusedUntil[urgency(need.class)]; now < until {
		return tierAvoid, refusal{dandeliongap.ReasonOverload, until.Sub(now)}
	}
	if now < r.notOwnerUntil && c.owner == r.notOwner {
		return tierAvoid, refusal{reason: dandeliongap.ReasonNotOwner}
	}
	if now < r.goneUntil && need.index == r.goneVersion && !need.nonIdempotent {
		return tierAvoid, refusal{reason: dandeliongap.ReasonVersionGone}
	}
	if r.down {
		if now < r.downUntil || r.probing {
			return tierAvoid, refusal{reason: dandeliongap.ReasonNoReplica}
		}
		return tierProbe, refusal{}
	}
	if now < r.unresponsiveUntil {
		return tierUnresponsive, refusal{}
	}
	if !r.known(now) && r.outstanding > 0 {
		return tierUnknownInUse, refusal{}
	}
	return tierUsable, refusal{}
}

// choose picks a replica of the leaf, or returns nil and the reason if there is none.
// skip, if not nil, reports whether a replica must not be chosen because it was tried
// before.
func (p *Planner) choose(now dandeliongap.Instant, l *resolvedLeaf, need *requirements, skip func(*candidate) bool, rng *rand.Rand) (*candidate, refusal) {
	var buf [maxScored]scored
	best := tierAvoid
	n := 0
	var probe *candidate
	why := refusal{reason: dandeliongap.ReasonNoReplica}
	start := 0
	if len(l.candidates) > maxScored {
		start = rng.IntN(len(l.candidates))
	}
	typical := l.state.typicalLatency()
	for k := range l.candidates {
		c := &l.candidates[(start+k)%len(l.candidates)]
		t, r := c.tierOf(now, need)
		if skip != nil && skip(c) {
			// The replica can be chosen again under a new owner (R18).
			if r.reason == dandeliongap.ReasonNotOwner {
				why = why.moreInformative(r)
			}
			continue
		}
		switch {
		case t == tierAvoid:
			why = why.moreInformative(r)
			continue
		case t == tierProbe:
			probe = c
		}
		if t > best || n == maxScored {
			continue
		}
		if t < best {
			best, n = t, 0
		}
		buf[n] = scored{c, c.state.expectedWait(now, c.replica, typical)}
		n++
	}
	// Only requests that can afford a lost attempt are used as probes.
	if probe != nil && best == tierUsable && !need.hedgeOrRetry && !need.nonIdempotent && need.class != dandeliongap.ClassUrgent {
		return probe, refusal{}
	}
	if n == 0 {
		return nil, why
	}
	return l.drawByWait(buf[:n], rng), refusal{}
}

// moreInformative returns the refusal that is more useful to the caller: first the one
// with the shortest known wait, then a version that is gone, then an owner that changes.
func (r refusal) moreInformative(o refusal) refusal {
	switch {
	case o.wait > 0 && (r.wait == 0 || o.wait < r.wait):
		return o
	case r.wait == 0 && o.reason == dandeliongap.ReasonVersionGone:
		return o
	case r.reason == dandeliongap.ReasonNoReplica && o.reason == dandeliongap.ReasonNotOwner:
		return o
	default:
		return r
	}
}

// drawByWait chooses among replicas of the same tier by R3.
func (l *resolvedLeaf) drawByWait(from []scored, rng *rand.Rand) *candidate {
	from = l.preferOwnZone(from)
	if len(from) == 1 {
		return from[0].c
	}
	lowest := from[0].wait
	for _, s := range from {
		lowest = min(lowest, s.wait)
	}
	var weights [maxScored]float64
	sum := 0.0
	for i, s := range from {
		// The waits are taken relative to the lowest one, so that the fourth power does not
		// lose precision.
		x := lowest / s.wait
		weights[i] = x * x * x * x
		sum += weights[i]
	}
	x := rng.Float64() * sum
	for i := range from {
		x -= weights[i]
		if x < 0 {
			return from[i].c
		}
	}
	return from[len(from)-1].c
}

// preferOwnZone reduces the choice to the replicas in the VM's own availability zone,
// unless another replica has a wait that is lower than the lowest wait in the own
// zone by more than the distance of its zone (R3).
func (l *resolvedLeaf) preferOwnZone(from []scored) []scored {
	lowest := -1.0
	for _, s := range from {
		if s.c.zoneLatency == l.ownZoneLatency && (lowest < 0 || s.wait < lowest) {
			lowest = s.wait
		}
	}
	if lowest < 0 {
		return from
	}
	for _, s := range from {
		if s.c.zoneLatency != l.ownZoneLatency && lowest > s.wait+float64(l.ownZoneLatency.distance(s.c.zoneLatency)) {
			return from
		}
	}
	n := 0
	for _, s := range from {
		if s.c.zoneLatency == l.ownZoneLatency {
			from[n] = s
			n++
		}
	}
	return from[:n]
}

// drawAny picks a random replica among all that can be used according to the view
// (R16).
func (l *resolvedLeaf) drawAny(rng *rand.Rand) (*candidate, refusal) {
	if len(l.candidates) == 0 {
		return nil, refusal{reason: dandeliongap.ReasonNoReplica}
	}
	return &l.candidates[rng.IntN(len(l.candidates))], refusal{}
}
