package dgbalance

import (
	"math"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// faded returns slowness and share of failures after fading (R4).
func (r *replica) faded(now dandeliongap.Instant) (slow, fail float64) {
	f := math.Exp2(-float64(now.Sub(r.learnedAt)) / float64(fadeHalf))
	return 1 + (r.slow-1)*f, r.fail * f
}

// cost is the expected cost of a request at a replica (R3, R4).
func (b *Balancer) cost(now dandeliongap.Instant, route dandeliongap.RouteName, r *replica) float64 {
	slow, fail := r.faded(now)
	if now < r.coldEnd {
		slow *= coldSlowness
	}
	if silent := r.silence(now); silent > 0 {
		slow = max(slow, float64(silent)/float64(b.TypicalLatency(route, typicalDefault)))
	}
	return slow * float64(1+len(r.started)) / (1 - min(fail, maxFail))
}

// Done ends a request that Pick counted. It tells what this changes about the
// replica.
func (b *Balancer) Done(now dandeliongap.Instant, route dandeliongap.RouteName, t *Assignment, result Result) Change {
	r := b.byID[t.Instance.ID]
	if r == nil {
		return Unchanged
	}
	if i := slices.Index(r.started, t.Start); i >= 0 {
		r.started = slices.Delete(r.started, i, i+1)
	}
	took := now.Sub(t.Start)
	wasDown := r.downFor > 0
	r.hear(now, result, took)
	switch result {
	case Answered:
		b.learn(now, route, r, took, 0)
		r.downFor, r.downUntil = 0, 0
	case Refused:
		b.learn(now, route, r, max(took, b.TypicalLatency(route, 0)), 1)
	case WrongInstance:
		r.movedUntil = now.Add(WrongInstanceBackoff)
		return AddressReassigned
	case Failed:
		b.learn(now, route, r, max(took, b.TypicalLatency(route, 0)), 1)
		r.downFor = 0
	case ConnectFailed:
		r.downFor = min(max(downFirst, 2*r.downFor), downMost)
		r.downUntil = now.Add(r.downFor)
	case Abandoned:
		if typical := b.TypicalLatency(route, 0); typical > 0 && took > typical {
			b.learn(now, route, r, took, 0)
		}
	}
	switch isDown := r.downFor > 0; {
	case isDown && !wasDown:
		return WentDown
	case wasDown && !isDown:
		return Recovered
	}
	return Unchanged
}

// hear ends the silence of a replica that answered something. A request that was
// given up soon says nothing about it.
func (r *replica) hear(now dandeliongap.Instant, result Result, took time.Duration) {
	switch {
	case result == Abandoned && (took >= soonGivenUp || len(r.started) > 0):
	case result != Abandoned && len(r.started) > 0:
		r.silentAt = now
	default:
		r.silent = false
	}
}

// learn takes a latency and a success (0) or failure (1) into account (R4).
func (b *Balancer) learn(now dandeliongap.Instant, route dandeliongap.RouteName, r *replica, took time.Duration, failed float64) {
	typical := b.TypicalLatency(route, took)
	slow, fail := r.faded(now)
	sample := min(float64(took)/float64(max(typical, time.Microsecond)), maxSlow)
	r.slow = slow + latencyWeight*(sample-slow)
	r.fail = fail + failWeight*(failed-fail)
	r.learnedAt = now
	if failed > 0 {
		return
	}
	sampled := min(took, 4*typical)
	b.typical[route] = typical + time.Duration(typicalWeight*float64(sampled-typical))
}
