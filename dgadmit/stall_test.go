package dgadmit_test

import (
	"testing"
	"time"

	"dandeliongap.example/dandeliongap/dgadmit"
)

// TestStalls guards against a stop whose schedule counts from the handling of a signal that
// was sent while the process did not run: the process is killed before the schedule ends.
func TestStalls(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name       string
		ticks      []time.Duration
		now, begin time.Duration
	}{
		{"no tick yet", nil, 5000 * ms, 5000 * ms},
		{"regular ticks", []time.Duration{0, 100 * ms, 200 * ms}, 250 * ms, 250 * ms},
		{"a tick that is a little late", []time.Duration{0, 100 * ms, 290 * ms}, 300 * ms, 300 * ms},
		{"handled before the first tick after a stall", []time.Duration{0, 100 * ms}, 1300 * ms, 100 * ms},
		{"handled right after the first tick after a stall", []time.Duration{0, 100 * ms, 1300 * ms}, 1301 * ms, 100 * ms},
		{"a stall that is over", []time.Duration{0, 100 * ms, 1300 * ms, 1400 * ms, 1500 * ms}, 1550 * ms, 1550 * ms},
		{"a stall longer than half of the limit", []time.Duration{0, 100 * ms}, 9000 * ms, 6000 * ms},
		{"a stall long after another one", []time.Duration{0, 1000 * ms, 1100 * ms, 1200 * ms}, 2000 * ms, 1200 * ms},
		{"stalls between which the process ran for a moment", []time.Duration{0, 100 * ms, 600 * ms, 700 * ms}, 1200 * ms, 100 * ms},
		{"right after stalls between which the process ran for a moment", []time.Duration{0, 100 * ms, 600 * ms, 700 * ms, 1200 * ms, 1300 * ms}, 1310 * ms, 100 * ms},
	} {
		var s dgadmit.Stalls
		for _, tick := range c.ticks {
			s.Tick(tick)
		}
		if got := s.Begin(c.now, 6*time.Second); got != c.begin {
			t.Errorf("%s: a stop whose signal is handled at %v begins at %v, want %v", c.name, c.now, got, c.begin)
		}
	}
}

func TestStallLength(t *testing.T) {
	var s dgadmit.Stalls
	for _, c := range []struct{ now, want time.Duration }{{time.Second, 0}, {1100 * time.Millisecond, 0}, {3 * time.Second, 1900 * time.Millisecond}, {3100 * time.Millisecond, 0}} {
		if got := s.Tick(c.now); got != c.want {
			t.Errorf("tick at %v ended a stall of %v, want %v", c.now, got, c.want)
		}
	}
}
