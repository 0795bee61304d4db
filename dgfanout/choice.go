package dgfanout

import (
	"math/rand/v2"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// maxScored bounds the replicas that one choice compares.
const maxScored = 16

// tier orders replicas by how willingly they are used.
type tier uint8

const (
	tierUsable tier = iota
	tierProbe       // lost, the back-off has passed and no probe is under way
	tierBusy        // not known and has a request under way
	tierSlow        // gave no answer to its last attempts
	tierAvoid
)

// want describes the attempt that a replica is needed for.
type want struct {
	class  dandeliongap.Class
	index  dandeliongap.IndexVersion
	action bool
	extra  bool // a hedge or retry, which probes nothing
}

// refusal tells why no replica can be used.
type refusal struct {
	reason dandeliongap.Reason
	wait   time.Duration // until a replica can be used again; 0 if unknown
}

type scored struct {
	c    *candidate
	wait float64 // ns
}

// tierOf applies R4 and R5.
func (c *candidate) tierOf(now dandeliongap.Instant, w *want) (tier, refusal) {
	r := c.learned
	if until := r.refusedUntil[urgency(w.class)]; now < until {
		return tierAvoid, refusal{dandeliongap.ReasonOverload, until.Sub(now)}
	}
	if now < r.notOwnerUntil && c.owner == r.notOwner {
		return tierAvoid, refusal{reason: dandeliongap.ReasonNotOwner}
	}
	if now < r.goneUntil && w.index == r.gone && !w.action {
		return tierAvoid, refusal{reason: dandeliongap.ReasonVersionGone}
	}
	if r.lost {
		if now < r.lostUntil || r.probing {
			return tierAvoid, refusal{reason: dandeliongap.ReasonNoReplica}
		}
		return tierProbe, refusal{}
	}
	if now < r.slowUntil {
		return tierSlow, refusal{}
	}
	if !r.known(now) && r.out > 0 {
		return tierBusy, refusal{}
	}
	return tierUsable, refusal{}
}

// choose picks a replica of the leaf, or returns nil and why there is none. skip
// reports replicas that were tried before.
func (p *Planner) choose(now dandeliongap.Instant, l *leafPlan, w *want, skip func(*candidate) bool, rng *rand.Rand) (*candidate, refusal) {
	var buf [maxScored]scored
	best := tierAvoid
	n := 0
	var probe *candidate
	why := refusal{reason: dandeliongap.ReasonNoReplica}
	start := 0
	if len(l.candidates) > maxScored {
		start = rng.IntN(len(l.candidates))
	}
	typical := l.learned.typical()
	for k := range l.candidates {
		c := &l.candidates[(start+k)%len(l.candidates)]
		t, r := c.tierOf(now, w)
		if skip != nil && skip(c) {
			if r.reason == dandeliongap.ReasonNotOwner {
				why = why.worse(r)
			}
			continue
		}
		switch {
		case t == tierAvoid:
			why = why.worse(r)
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
		buf[n] = scored{c, c.learned.wait(now, c.replica, typical)}
		n++
	}
	// Probes are left to requests that can afford to lose one.
	if probe != nil && best == tierUsable && !w.extra && !w.action && w.class != dandeliongap.ClassUrgent {
		return probe, refusal{}
	}
	if n == 0 {
		return nil, why
	}
	return l.draw(buf[:n], rng), refusal{}
}

// worse keeps the reason that tells the caller most: a refusal that names a wait,
// then a version that is gone, then an owner that changes.
func (r refusal) worse(o refusal) refusal {
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

// draw applies R3 to replicas of the same tier.
func (l *leafPlan) draw(from []scored, rng *rand.Rand) *candidate {
	from = l.near(from)
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
		// Relative to the lowest wait, so that the fourth power keeps its precision.
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

// near reduces the choice to the VM's own zone, unless another replica has a lower
// wait than the best one there by more than the distance of its zone.
func (l *leafPlan) near(from []scored) []scored {
	home := -1.0
	for _, s := range from {
		if s.c.zone == l.home && (home < 0 || s.wait < home) {
			home = s.wait
		}
	}
	if home < 0 {
		return from
	}
	for _, s := range from {
		if s.c.zone != l.home && home > s.wait+float64(l.home.distance(s.c.zone)) {
			return from
		}
	}
	n := 0
	for _, s := range from {
		if s.c.zone == l.home {
			from[n] = s
			n++
		}
	}
	return from[:n]
}

// plain picks any replica that the view allows (R16).
func (l *leafPlan) plain(rng *rand.Rand) (*candidate, refusal) {
	if len(l.candidates) == 0 {
		return nil, refusal{reason: dandeliongap.ReasonNoReplica}
	}
	return &l.candidates[rng.IntN(len(l.candidates))], refusal{}
}
