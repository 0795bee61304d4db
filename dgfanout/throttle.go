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
	// answered in full while answers come early. It falls to 0 when they take
	// throttleTarget of their time, and below for later ones. Without it the
	// queues grew to the bounds of the owners and the throttle swung between
	// too many searches and too few.
	throttleRoom   = 0.15
	throttleTarget = 0.35
	throttleWeight = 0.1 // of one search in the recent latency
	// throttleFree is a number of searches in the window that may always start.
	throttleFree = 1
)

// throttle holds what became of the recent searches of one group and class.
type throttle struct {
	started float64 // with the ones that R17 refused
	full    float64 // answered with all parts
	latency float64 // recent, of searches answered in full, as a share of their time
	at      dandeliongap.Instant
}

// fade brings the counts to the present.
func (t *throttle) fade(now dandeliongap.Instant) {
	kept := math.Exp(-float64(now.Sub(t.at)) / float64(throttleWindow))
	t.started *= kept
	t.full *= kept
	t.at = now
}

// share returns the share of searches to refuse.
func (t *throttle) share() float64 {
	room := throttleRoom * max(-1, 1-t.latency/throttleTarget)
	return max(0, 1-((1+room)*t.full+throttleFree)/max(t.started, 1))
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

// answered counts a search that was answered in full after the given share of its
// time.
func (t *throttle) answered(now dandeliongap.Instant, latency float64) {
	t.fade(now)
	t.started++
	t.full++
	t.latency += (latency - t.latency) * throttleWeight
}

// cut counts a search that overload cuts short.
func (t *throttle) cut(now dandeliongap.Instant) {
	t.fade(now)
	t.started++
}
