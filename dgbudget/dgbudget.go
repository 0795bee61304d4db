// Package dgbudget limits extra requests: retries and hedges that are sent to a
// second replica. Without a limit, they multiply the load on a service that is slow
// or failing. The limit holds for all VMs together in any window of time, without
// communication between the VMs: each VM has a budget in proportion to its own
// requests, plus its share of a common allowance.
//
// Rules:
//
//	U1  The extra requests of a VM to a service in any window are at most
//	    UsableShare times the sum of two terms: Ratio times the first requests of
//	    that VM to the service in the window, and the VM's share of Slack.
//	U2  The share of Slack is the smallest that the VM was granted in the last window.
//	    A VM that gets the share of another one may use it only after a window, in
//	    which the other may still have used it.
//	U3  An extra request counts for ArrivalDelay longer than a window, since it may
//	    reach its replica that long after it was reserved.
//	U4  A process that replaces another one has no share of Slack in its first
//	    window: its predecessor may have used it.
package dgbudget

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// bucketsPerWindow is the number of buckets that the requests of a window are
// counted in.
const bucketsPerWindow = 20

// ArrivalDelay is the maximum time between the reservation of an extra request and
// its arrival at the replica, reached when the connection is slow to open.
const ArrivalDelay = time.Second

// Options configures a Budget.
type Options struct {
	Ratio        float64              // extra requests per first request
	Slack        float64              // additional extra requests per window, of all VMs together
	Window       time.Duration        // length of the windows in which the limit holds
	InitialStart bool                 // the whole tier starts, so this process replaces no other (U4)
	Start        dandeliongap.Instant // start of this process
}

// Budget counts requests per service. It is not safe for concurrent use.
type Budget struct {
	opt      Options
	shares   []grantedShare // of Slack, oldest first: those of the last window and the current one (U2)
	services map[dandeliongap.ServiceName]*bucketRing
}

// grantedShare is a share of Slack and the time from which it was granted.
type grantedShare struct {
	from  dandeliongap.Instant
	share float64
}

type bucket struct {
	index        int64 // ordinal of the bucket on the time axis, see bucketIndex
	first, extra float64
}

// UsableShare is the share of the limit that may be used. The rest is a margin,
// because the first requests that a VM counts include some on which the limit is not
// based, such as checks of routes.
const UsableShare = 0.9

// spareBuckets covers ArrivalDelay if the window is at least four seconds long.
const spareBuckets = 6

// bucketRing is a ring buffer of buckets. It has room for a window, ArrivalDelay and
// the partial bucket in which they begin.
type bucketRing [bucketsPerWindow + spareBuckets]bucket

// New returns a budget for one VM.
func New(o Options) *Budget {
	return &Budget{opt: o, shares: []grantedShare{{share: 1}}, services: make(map[dandeliongap.ServiceName]*bucketRing)}
}

// SetShare grants this VM a share of Slack, from 0 to 1 (U2).
func (b *Budget) SetShare(now dandeliongap.Instant, share float64) {
	if b.shares[len(b.shares)-1].share != share {
		b.shares = append(b.shares, grantedShare{now, share})
	}
	b.dropShares(now)
}

// dropShares drops the shares that were replaced before the last window.
func (b *Budget) dropShares(now dandeliongap.Instant) {
	for len(b.shares) > 1 && now.Sub(b.shares[1].from) > b.opt.Window {
		b.shares = b.shares[1:]
	}
}

// SetLimits replaces Ratio and Slack.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.opt.Ratio, b.opt.Slack = ratio, slack
}

func (b *Budget) bucketIndex(now dandeliongap.Instant) int64 {
	return int64(now) * bucketsPerWindow / int64(b.opt.Window)
}

// bucketAt returns the bucket for the time now, emptied if it held the counts of
// an earlier time.
func (b *Budget) bucketAt(now dandeliongap.Instant, s dandeliongap.ServiceName) *bucket {
	ring := b.services[s]
	if ring == nil {
		ring = new(bucketRing)
		b.services[s] = ring
	}
	index := b.bucketIndex(now)
	k := &ring[index%int64(len(ring))]
	if k.index != index {
		*k = bucket{index: index}
	}
	return k
}

// CountFirst counts a first request: one that is neither a retry nor a hedge.
func (b *Budget) CountFirst(now dandeliongap.Instant, s dandeliongap.ServiceName) {
	b.bucketAt(now, s).first++
}

// Reserve reserves an extra request (U1). It reports whether the budget allowed it.
func (b *Budget) Reserve(now dandeliongap.Instant, s dandeliongap.ServiceName) bool {
	k := b.bucketAt(now, s)
	if b.Remaining(now, s) < 1 {
		return false
	}
	k.extra++
	return true
}

// Release returns to the budget an extra request that was reserved at reservedAt but
// not sent.
func (b *Budget) Release(reservedAt dandeliongap.Instant, s dandeliongap.ServiceName) {
	ring := b.services[s]
	if ring == nil {
		return
	}
	index := b.bucketIndex(reservedAt)
	if k := &ring[index%int64(len(ring))]; k.index == index && k.extra > 0 {
		k.extra--
	}
}

// Remaining returns the number of extra requests that may still be sent in the
// window that ends now.
func (b *Budget) Remaining(now dandeliongap.Instant, s dandeliongap.ServiceName) float64 {
	ring := b.services[s]
	slack := b.slackShare(now)
	if ring == nil {
		return slack
	}
	index := b.bucketIndex(now)
	maxAge := min(index-b.bucketIndex(now.Add(-b.opt.Window-ArrivalDelay)), bucketsPerWindow+spareBuckets-1)
	var first, extra float64
	for i := range ring {
		age := index - ring[i].index
		if age < 0 || age > maxAge {
			continue
		}
		extra += ring[i].extra
		if age < bucketsPerWindow {
			first += ring[i].first
		}
	}
	return UsableShare*b.opt.Ratio*first + slack - extra
}

// slackShare returns this VM's usable share of Slack (U2, U4).
func (b *Budget) slackShare(now dandeliongap.Instant) float64 {
	if !b.opt.InitialStart && now.Sub(b.opt.Start) < b.opt.Window {
		return 0
	}
	b.dropShares(now)
	share := b.shares[0].share
	for _, g := range b.shares[1:] {
		share = min(share, g.share)
	}
	return UsableShare * b.opt.Slack * share
}
