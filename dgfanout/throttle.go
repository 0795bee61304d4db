package dgfanout

import (
	"math"
	"math/rand/v2"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Throttle (R17).
const (
	throttleWindow = 250 * time.Millisecond // time constant of the counts
	// throttleRoom is the share by which more searches may start than were
	// answered while their shards wait little. It falls to 0 when the shards wait
	// throttleTarget of the time on average, and below for longer waits. Without
	// it the queues grew to the bounds of the owners and the throttle swung
	// between too many searches and too few.
	throttleRoom   = 0.15
	throttleTarget = 0.06
	throttleWeight = 0.1 // of one search in the recent wait
	// throttleFree is a number of searches in the window that may always start.
	throttleFree = 1
)

// throttle holds what became of the recent searches of one group and class. It
// counts parts of searches: one that merged 19 of 20 parts counts 0.95.
type throttle struct {
	started float64 // merged, cut off by overload or refused by R17
	merged  float64
	wait    float64 // recent mean wait of their shards in queues, as a share of their time
	at      dandeliongap.Instant
}

// fade brings the counts to the present.
func (t *throttle) fade(now dandeliongap.Instant) {
	kept := math.Exp(-float64(now.Sub(t.at)) / float64(throttleWindow))
	t.started *= kept
	t.merged *= kept
	t.at = now
}

// share returns the share of searches to refuse.
func (t *throttle) share() float64 {
	room := throttleRoom * max(-1, 1-t.wait/throttleTarget)
	return max(0, 1-((1+room)*t.merged+throttleFree)/max(t.started, 1))
}

// refuses reports whether R17 refuses a search that arrives now.
func (t *throttle) refuses(now dandeliongap.Instant, rng *rand.Rand) bool {
	t.fade(now)
	share := t.share()
	if share == 0 || rng.Float64() >= share {
		return false
	}
	t.started++
	return true
}

// cut counts the share of a search that overload cuts off, as soon as it is known.
func (t *throttle) cut(now dandeliongap.Instant, share float64) {
	t.fade(now)
	t.started += share
}

// end counts what a search merged, and the time that its shards waited in queues
// on average as a share of the time of the search. One overloaded shard of 20
// changes both little: its group goes on with partial answers. Slow servers
// without queues do not change the wait.
func (t *throttle) end(now dandeliongap.Instant, coverage, wait float64) {
	t.fade(now)
	t.started += coverage
	t.merged += coverage
	t.wait += (wait - t.wait) * throttleWeight
}
