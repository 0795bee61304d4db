package dgcapacity

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time of this process (S4).
func processorTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// cost is what one run of a piece of work takes.
type cost struct {
	time        time.Duration
	allocations float64
	bytes       float64 // allocated
}

// rounds is the number of times that a piece of work is timed. The fastest counts:
// on a shared machine the others contain the work of other processes.
const rounds = 5

// timed runs f until it has taken at least the given processor time, and returns
// the cost of one run.
func timed(least time.Duration, f func()) cost {
	f()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n := 0
	var means []time.Duration
	for range rounds {
		mean, runs := timedRound(least/rounds, f)
		means = append(means, mean)
		n += runs
	}
	runtime.ReadMemStats(&after)
	return cost{
		time:        slices.Min(means),
		allocations: float64(after.Mallocs-before.Mallocs) / float64(n),
		bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}
}

// timedRound returns the mean time of the runs of f and their number.
func timedRound(least time.Duration, f func()) (time.Duration, int) {
	start := processorTime()
	n := 0
	for batch := 1; ; batch *= 2 {
		for range batch {
			f()
		}
		n += batch
		if spent := processorTime() - start; spent >= least {
			return spent / time.Duration(n), n
		}
	}
}

// heapOf returns the growth of the heap in bytes that build causes, and what it
// built, which the caller keeps until then.
func heapOf[T any](build func() T) (float64, T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), v
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
