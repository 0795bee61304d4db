package dgplatform

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces the repeats of a failing call: exponential with full jitter, so
// that callers that failed together do not return together. The zero value uses
// the defaults.
type Backoff struct {
	Base     time.Duration // upper end of the first pause. Default: DefaultBackoffBase
	Max      time.Duration // highest upper end. Default: DefaultBackoffMax
	failures int
}

// Defaults of Backoff.
const (
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffMax  = 10 * time.Second
)

// Next returns the pause after one more failure: uniform between 0 and the
// upper end, which doubles with each failure up to Max.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	ceiling, top := b.Base, b.Max
	if ceiling <= 0 {
		ceiling = DefaultBackoffBase
	}
	if top <= 0 {
		top = DefaultBackoffMax
	}
	for i := 0; i < b.failures && ceiling < top; i++ {
		ceiling *= 2
	}
	b.failures++
	return time.Duration(rng.Int64N(int64(min(ceiling, top)) + 1))
}

// Reset forgets the failures after a success.
func (b *Backoff) Reset() { b.failures = 0 }
