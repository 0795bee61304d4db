package dgfanout

import (
	"math"
	"math/rand/v2"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Constants of the throttle (R17).
const (
	throttleWindow = 250 * time.Millisecond // time constant with which the counts decay
	// throttleHeadroom is the share by which more searches may start than were answered,
	// as long as their shards wait little. It falls to 0 when the shards spend
	// throttleTargetWait of the time in queues on average, and is negative for longer
	// waits. Without it, the queues at the owners grew to their limits and the throttle
	// alternated between too many searches and too few.
	throttleHeadroom   = 0.15
	throttleTargetWait = 0.06
	throttleWaitWeight = 0.1 // of one search in the recent mean share of time in queues
	// throttleMinSearches is the number of searches in the window that may always start.
	throttleMinSearches = 1
)

// throttle counts the results of the recent searches of one group and class. It
// counts searches by their share of parts: one that merged 19 of 20 parts counts
// 0.95.
type throttle struct {
	offered   float64 // merged, missing because of overload, or refused by R17
	merged    float64
	waitShare float64 // recent mean share of the time that the shards spent in queues
	updated   dandeliongap.Instant
}

// decay reduces the counts by the time since the last update.
func (t *throttle) decay(now dandeliongap.Instant) {
	kept := math.Exp(-float64(now.Sub(t.updated)) / float64(throttleWindow))
	t.offered *= kept
	t.merged *= kept
	t.updated = now
}

// refusalShare returns the share of searches to refuse.
func (t *throttle) refusalShare() float64 {
	room := throttleHeadroom * max(-1, 1-t.waitShare/throttleTargetWait)
	return max(0, 1-((1+room)*t.merged+throttleMinSearches)/max(t.offered, 1))
}

// shouldRefuse reports whether R17 refuses a search that arrives now, and counts the
// search if so.
func (t *throttle) shouldRefuse(now dandeliongap.Instant, rng *rand.Rand) bool {
	t.decay(now)
	share := t.refusalShare()
	if share == 0 || rng.Float64() >= share {
		return false
	}
	t.offered++
	return true
}

// recordOverload counts the share of a search's parts that is missing because of
// overload.
func (t *throttle) recordOverload(now dandeliongap.Instant, share float64) {
	t.decay(now)
	t.offered += share
}

// recordEnd counts the share of parts that a search merged, and the mean share of its
// time that its shards spent in queues. One overloaded shard of 20 changes both only
// a little, so that searches of its group still get partial answers. Slow servers
// without queues do not change the wait.
func (t *throttle) recordEnd(now dandeliongap.Instant, coverage, wait float64) {
	t.decay(now)
	t.offered += coverage
	t.merged += coverage
	t.waitShare += (wait - t.waitShare) * throttleWaitWeight
}
