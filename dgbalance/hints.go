package dgbalance

import (
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Hints are what a replica says in a response about further requests.
type Hints struct {
	Leaving    bool          // it is leaving and wants no more requests (R9)
	RetryAfter time.Duration // it wants no request for so long (R10); 0: none stated
}

// hintMemory is how long hints are kept for a replica without a registration. A
// registration that lapses in an outage of the store is written again within seconds
// after the outage, and outages last minutes.
const hintMemory = 10 * time.Minute

// process identifies one run of a replica. A replica that starts again under its old ID
// knows nothing of what it said before.
type process struct {
	id          dandeliongap.InstanceID
	startUnixMs int64
}

// hintState is what the hints of a process so far mean for it.
type hintState struct {
	leaving     bool
	pausedUntil dandeliongap.Instant
	usedAt      dandeliongap.Instant // last hint or registration
}

// Heed records the hints of a response (R9, R10) and returns how the state of the
// replica changed.
func (b *Balancer) Heed(now dandeliongap.Instant, in *dandeliongap.Instance, h Hints) Change {
	if !h.Leaving && h.RetryAfter <= 0 {
		return Unchanged
	}
	key := process{in.ID, in.StartUnixMs}
	s := b.hints[key]
	if s == nil {
		s = &hintState{}
		b.hints[key] = s
	}
	s.usedAt = now
	if r := b.byID[in.ID]; r != nil && r.instance.StartUnixMs == in.StartUnixMs {
		r.hints = s
	}
	s.pausedUntil = max(s.pausedUntil, now.Add(h.RetryAfter))
	switch {
	case h.Leaving && !s.leaving:
		s.leaving = true
		return StartedLeaving
	case h.RetryAfter > 0:
		return Paused
	}
	return Unchanged
}

// attachHints gives each listed replica the hints of its process, and drops those of
// processes that have not been registered for hintMemory.
func (b *Balancer) attachHints(now dandeliongap.Instant) {
	for key, s := range b.hints {
		r := b.byID[key.id]
		switch {
		case r != nil && r.instance.StartUnixMs == key.startUnixMs:
			r.hints = s
			s.usedAt = now
		case now.Sub(s.usedAt) > hintMemory:
			delete(b.hints, key)
		}
	}
}

func (r *replica) leaving() bool { return r.hints != nil && r.hints.leaving }

func (r *replica) pausedUntil() dandeliongap.Instant {
	if r.hints == nil {
		return 0
	}
	return r.hints.pausedUntil
}

// suspendedUntil returns the time at which a replica that is suspended may get a request
// again: now plus busyRetryDelay if that depends on a request in flight.
func (r *replica) suspendedUntil(now dandeliongap.Instant) dandeliongap.Instant {
	until := max(r.backoffUntil, r.wrongInstanceUntil, r.pausedUntil())
	if r.unansweredFor(now) > UnresponsiveAfter {
		until = max(until, r.nextProbe)
	}
	return max(until, now.Add(busyRetryDelay))
}

// UsableAt returns the earliest time at which a replica of the service may get a request,
// and false if no replica is eligible. It is the time now if the service is Usable.
func (b *Balancer) UsableAt(now dandeliongap.Instant, s dandeliongap.ServiceName) (at dandeliongap.Instant, ok bool) {
	for _, r := range b.services[s] {
		if !b.eligible(r) {
			continue
		}
		if !b.suspended(now, r) {
			return now, true
		}
		if until := r.suspendedUntil(now); !ok || until < at {
			at, ok = until, true
		}
	}
	return at, ok
}

// pauseEnd returns the time at which the first pause of the replicas that the request may
// use is over, and false if not all of them are paused (R10).
func (b *Balancer) pauseEnd(now dandeliongap.Instant, s dandeliongap.ServiceName, group Group, excluded []dandeliongap.InstanceID) (at dandeliongap.Instant, ok bool) {
	for _, r := range b.services[s] {
		if !b.eligible(r) || slices.Contains(excluded, r.instance.ID) || !group.has(&r.instance) {
			continue
		}
		until := r.pausedUntil()
		if until <= now {
			return 0, false
		}
		if !ok || until < at {
			at, ok = until, true
		}
	}
	return at, ok
}
