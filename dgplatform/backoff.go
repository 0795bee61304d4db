package dgplatform

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays between retries of a failing call. The delays grow
// exponentially with full jitter, so that callers that failed together do not retry
// together. The zero value uses the defaults.
type Backoff struct {
	Base     time.Duration // upper bound of the first delay. Default: DefaultBackoffBase
	Max      time.Duration // upper bound of all delays. Default: DefaultBackoffMax
	failures int
}

// Defaults for Backoff.
const (
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffMax  = 10 * time.Second
)

// Next records a failure and returns the delay before the next attempt. The delay is
// uniformly distributed between 0 and an upper bound, which starts at Base and
// doubles with each failure up to Max.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	ceiling, maximum := b.Base, b.Max
	if ceiling <= 0 {
		ceiling = DefaultBackoffBase
	}
	if maximum <= 0 {
		maximum = DefaultBackoffMax
	}
	for i := 0; i < b.failures && ceiling < maximum; i++ {
		ceiling *= 2
	}
	b.failures++
	return time.Duration(rng.Int64N(int64(min(ceiling, maximum)) + 1))
}

// Reset clears the recorded failures. Call it after a success.
func (b *Backoff) Reset() { b.failures = 0 }
