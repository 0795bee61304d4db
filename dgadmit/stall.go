package dgadmit

import "time"

const (
	// stallThreshold is the time between two ticks from which the process counts as
	// stalled.
	stallThreshold = 200 * time.Millisecond
	// signalDelay is the time in which a process that runs handles a signal. A process
	// that runs for less between two stalls may not handle it.
	signalDelay = 150 * time.Millisecond
)

// Stalls finds the times in which the process did not run, for lack of processor time or
// because it was paused (A8). All times are readings of one clock. The zero value has seen
// no tick.
type Stalls struct {
	ticked   bool
	last     time.Duration // last tick
	from, to time.Duration // last stall, together with those shortly before it
}

// Tick records that the process runs. Ticks are due several times in stallThreshold. Tick
// returns the length of the stall that it ends, or 0.
func (s *Stalls) Tick(now time.Duration) time.Duration {
	stalled := s.stalledFor(now)
	if stalled > 0 {
		s.from, s.to = s.stallBegin(), now
	}
	s.ticked, s.last = true, now
	return stalled
}

// Begin returns the begin of a stop with the given limit whose signal is handled now: the
// earliest time at which it can have been sent, but not more than half of the limit ago.
// The signal most likely came late in a longer stall, and requests in progress need time.
func (s *Stalls) Begin(now, limit time.Duration) time.Duration {
	sent := now
	switch {
	case s.stalledFor(now) > 0:
		sent = s.stallBegin()
	case s.to > s.from && now-s.to <= signalDelay:
		sent = s.from
	}
	return max(sent, now-limit/2)
}

// stallBegin returns the begin of a stall that began with the last tick. It belongs to the
// stall before if that has just ended.
func (s *Stalls) stallBegin() time.Duration {
	if s.to > s.from && s.last-s.to <= signalDelay {
		return s.from
	}
	return s.last
}

func (s *Stalls) stalledFor(now time.Duration) time.Duration {
	if !s.ticked || now-s.last < stallThreshold {
		return 0
	}
	return now - s.last
}
