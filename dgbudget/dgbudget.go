// Package dgbudget limits the requests that are sent to a second replica. The
// limit holds for all VMs together and any window of time, although no VM asks
// another one: each VM spends from its own requests and from its share of the
// common allowance. It answers the load of retries and hedges that a slow or
// failing service draws.
//
// Rules:
//
//	U1  The extra requests of a VM to a service in any window are at most Ratio
//	    times the first requests of that VM to the service in the window, plus the
//	    VM's share of Slack, times UsableShare.
//	U2  The share of Slack is Slack divided by the number of VMs that were
//	    registered at any time in the last window.
//	U3  An extra request may reach its replica ArrivalDelay after it was reserved, so
//	    that it counts that much longer.
//	U4  A process that replaces another one has no share of Slack in its first
//	    window: its predecessor may have spent it.
package dgbudget

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// buckets is the number of parts that a window is counted in.
const buckets = 20

// ArrivalDelay is the longest time between the reservation of an extra request
// and its arrival: that of a connect that succeeds late.
const ArrivalDelay = time.Second

// Options configure a Budget.
type Options struct {
	Ratio        float64       // extra requests for each first one
	Slack        float64       // extra requests of all VMs in a window
	Window       time.Duration // of time that the limit holds for
	InitialStart bool          // the whole tier starts: there is no predecessor (U4)
	Start        dandeliongap.Instant
}

// Budget counts requests per service. It is not safe for concurrent use.
type Budget struct {
	opt      Options
	members  int
	highest  int                  // members in the last window (U2)
	since    dandeliongap.Instant // when highest was last reached
	services map[dandeliongap.ServiceName]*window
}

type bucket struct {
	slot         int64 // ordinal of the bucket since the start
	first, extra float64
}

// UsableShare is the part of the limit that is used. What a VM counts as first requests
// includes some that do not count for the limit, such as checks of routes.
const UsableShare = 0.9

// spareBuckets cover ArrivalDelay in windows of at least four seconds.
const spareBuckets = 6

// window has room for the window, the delay and the bucket that both begin in.
type window [buckets + spareBuckets]bucket

// New returns a budget for one VM.
func New(o Options) *Budget {
	return &Budget{opt: o, members: 1, highest: 1, services: make(map[dandeliongap.ServiceName]*window)}
}

// SetMembers sets the number of registered VMs, this one included.
func (b *Budget) SetMembers(now dandeliongap.Instant, n int) {
	b.members = max(n, 1)
	if b.members >= b.highest || now.Sub(b.since) > b.opt.Window {
		b.highest, b.since = b.members, now
	}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.opt.Ratio, b.opt.Slack = ratio, slack
}

func (b *Budget) slot(now dandeliongap.Instant) int64 {
	return int64(now) * buckets / int64(b.opt.Window)
}

func (b *Budget) at(now dandeliongap.Instant, s dandeliongap.ServiceName) *bucket {
	w := b.services[s]
	if w == nil {
		w = new(window)
		b.services[s] = w
	}
	slot := b.slot(now)
	k := &w[slot%int64(len(w))]
	if k.slot != slot {
		*k = bucket{slot: slot}
	}
	return k
}

// CountFirst counts the first request of a caller's request to a service.
func (b *Budget) CountFirst(now dandeliongap.Instant, s dandeliongap.ServiceName) {
	b.at(now, s).first++
}

// Reserve reserves one extra request (U1) and tells whether there was one.
func (b *Budget) Reserve(now dandeliongap.Instant, s dandeliongap.ServiceName) bool {
	k := b.at(now, s)
	if b.Remaining(now, s) < 1 {
		return false
	}
	k.extra++
	return true
}

// Release gives back an extra request that was reserved at taken and not sent.
func (b *Budget) Release(taken dandeliongap.Instant, s dandeliongap.ServiceName) {
	w := b.services[s]
	if w == nil {
		return
	}
	slot := b.slot(taken)
	if k := &w[slot%int64(len(w))]; k.slot == slot && k.extra > 0 {
		k.extra--
	}
}

// Remaining returns the extra requests that remain in the window that ends now.
func (b *Budget) Remaining(now dandeliongap.Instant, s dandeliongap.ServiceName) float64 {
	w := b.services[s]
	slack := b.slack(now)
	if w == nil {
		return slack
	}
	slot := b.slot(now)
	oldest := min(slot-b.slot(now.Add(-b.opt.Window-ArrivalDelay)), buckets+spareBuckets-1)
	var first, extra float64
	for i := range w {
		age := slot - w[i].slot
		if age < 0 || age > oldest {
			continue
		}
		extra += w[i].extra
		if age < buckets {
			first += w[i].first
		}
	}
	return UsableShare*b.opt.Ratio*first + slack - extra
}

func (b *Budget) slack(now dandeliongap.Instant) float64 {
	if !b.opt.InitialStart && now.Sub(b.opt.Start) < b.opt.Window {
		return 0
	}
	if now.Sub(b.since) > b.opt.Window {
		b.highest = b.members
	}
	return UsableShare * b.opt.Slack / float64(b.highest)
}
