package dgnode

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// clock maps between the instants of decisions and wall-clock time.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// now returns the time since the start on the monotonic clock.
func (c clock) now() dandeliongap.Instant { return dandeliongap.Instant(time.Since(c.start)) }

// wall returns the wall-clock time of an instant, from the present time, so that
// a step of the wall clock since the start does no harm.
func (c clock) wall(t dandeliongap.Instant) time.Time { return time.Now().Add(t.Sub(c.now())) }

// instant returns the instant of a wall-clock time.
func (c clock) instant(t time.Time) dandeliongap.Instant { return c.now().Add(time.Until(t)) }
