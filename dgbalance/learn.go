package dgbalance

import (
	"math"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// decayedEstimates returns the slowness of a replica, decayed towards 1 since the
// last sample, and its share of failures, decayed towards 0 (R4).
func (r *replica) decayedEstimates(now dandeliongap.Instant) (slowness, failureShare float64) {
	decay := math.Exp2(-float64(now.Sub(r.estimatedAt)) / float64(decayHalfLife))
	return 1 + (r.slowness-1)*decay, r.failureShare * decay
}

// cost returns the expected cost of a request to a replica (R3, R4, R11).
func (b *Balancer) cost(now dandeliongap.Instant, route dandeliongap.RouteName, r *replica) float64 {
	slowness, failureShare := r.decayedEstimates(now)
	if now < r.coldUntil {
		slowness *= coldCostFactor
	}
	if b.zone != "" && r.instance.Zone != b.zone {
		slowness *= otherZoneCostFactor
	}
	if unanswered := r.unansweredFor(now); unanswered > 0 {
		slowness = max(slowness, float64(unanswered)/float64(b.TypicalLatency(route, defaultTypicalLatency)))
	}
	success := 1 - min(failureShare, maxFailureShare)
	return slowness * float64(1+len(r.startTimes)) / (success * success)
}

// Done records the end of a request that Pick counted as in flight, and returns how
// the state of the replica changed.
func (b *Balancer) Done(now dandeliongap.Instant, route dandeliongap.RouteName, a *Assignment, result Result) Change {
	r := b.byID[a.Instance.ID]
	if r == nil {
		return Unchanged
	}
	if i := slices.Index(r.startTimes, a.Start); i >= 0 {
		r.startTimes = slices.Delete(r.startTimes, i, i+1)
	}
	took := now.Sub(a.Start)
	wasDown := r.backoff > 0
	r.updateUnanswered(now, result, took)
	switch result {
	case Answered:
		b.recordSample(now, route, r, took, 0)
		r.backoff, r.backoffUntil = 0, 0
	case Refused:
		b.recordSample(now, route, r, max(took, b.TypicalLatency(route, 0)), 1)
	case WrongInstance:
		r.wrongInstanceUntil = now.Add(WrongInstanceBackoff)
		return AddressReassigned
	case Failed:
		b.recordSample(now, route, r, max(took, b.TypicalLatency(route, 0)), 1)
		r.backoff = 0
	case Rejected:
		r.backoff = 0
	case ConnectFailed:
		r.backoff = min(max(initialBackoff, 2*r.backoff), maxBackoff)
		r.backoffUntil = now.Add(r.backoff)
	case Abandoned:
		if typical := b.TypicalLatency(route, 0); typical > 0 && took > typical {
			b.recordSample(now, route, r, took, 0)
		}
	}
	switch isDown := r.backoff > 0; {
	case isDown && !wasDown:
		return WentDown
	case wasDown && !isDown:
		return Recovered
	}
	return Unchanged
}

// updateUnanswered updates the time without a response (R6) when a request ends. Every
// result but Abandoned counts as a response: the time starts anew if other requests
// are in flight, and ends otherwise. After an abandoned request the time goes on. It
// ends only if the request was younger than minAbandonedAge, so that it says nothing
// about the replica, and no other request is in flight.
func (r *replica) updateUnanswered(now dandeliongap.Instant, result Result, took time.Duration) {
	switch {
	case result == Abandoned && (took >= minAbandonedAge || len(r.startTimes) > 0):
	case result != Abandoned && len(r.startTimes) > 0:
		r.unansweredSince = now
	default:
		r.unanswered = false
	}
}

// recordSample updates the estimates of a replica with the latency of a request, and
// with 1 if the request failed or 0 if it succeeded. After a success it also updates
// the typical latency of the route (R4).
func (b *Balancer) recordSample(now dandeliongap.Instant, route dandeliongap.RouteName, r *replica, took time.Duration, failed float64) {
	typical := b.TypicalLatency(route, took)
	slowness, failureShare := r.decayedEstimates(now)
	sample := min(float64(took)/float64(max(typical, time.Microsecond)), maxSlowness)
	r.slowness = slowness + latencyWeight*(sample-slowness)
	r.failureShare = failureShare + failureWeight*(failed-failureShare)
	r.estimatedAt = now
	if failed > 0 {
		return
	}
	limited := min(took, 4*typical)
	b.typicalLatency[route] = typical + time.Duration(typicalLatencyWeight*float64(limited-typical))
}
