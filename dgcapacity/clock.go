package dgcapacity

import (
	"runtime"
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

// timed runs f until it has taken at least the given processor time, and returns
// the mean of all runs but the first.
func timed(least time.Duration, f func()) cost {
	f()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := processorTime()
	n := 0
	var spent time.Duration
	for batch := 1; spent < least; batch *= 2 {
		for range batch {
			f()
		}
		n += batch
		spent = processorTime() - start
	}
	runtime.ReadMemStats(&after)
	return cost{
		time:        spent / time.Duration(n),
		allocations: float64(after.Mallocs-before.Mallocs) / float64(n),
		bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
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
