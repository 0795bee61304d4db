package dgnode

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// clock converts between Instants on the monotonic clock and wall-clock time.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// now returns the monotonic time since the clock was created.
func (c clock) now() dandeliongap.Instant { return dandeliongap.Instant(time.Since(c.start)) }

// wall returns the wall-clock time of an Instant. It is computed from the current time,
// so that a step of the wall clock since the start has no effect.
func (c clock) wall(t dandeliongap.Instant) time.Time { return time.Now().Add(t.Sub(c.now())) }

// instant returns the Instant of a wall-clock time.
func (c clock) instant(t time.Time) dandeliongap.Instant { return c.now().Add(time.Until(t)) }
