package dgfanout

import (
	"math/bits"
	"time"
)

const (
	latencyBuckets = 200  // 8 for each doubling, from 1 us to 134 s
	recentSamples  = 1024 // at this number all counts are halved, so that old samples fade
	quantileEvery  = 16   // samples between two computations of the quantiles
)

// latencies holds the recent latencies of one leaf service in logarithmic
// buckets, which needs neither allocation nor sorting.
type latencies struct {
	counts [latencyBuckets]uint16
	total  int
	fresh  int // samples since the quantiles were computed
	median time.Duration
	high   time.Duration // the quantile hedgeQuantile
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d, 0) / time.Microsecond)
	if us < 8 {
		return int(us)
	}
	shift := bits.Len64(us) - 4
	return min(shift*8+int(us>>shift), latencyBuckets-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(b int) time.Duration {
	if b < 8 {
		return time.Duration(b+1) * time.Microsecond
	}
	shift := (b - 8) / 8
	return time.Duration((b%8+9)<<shift) * time.Microsecond
}

func (l *latencies) observe(d time.Duration) {
	l.counts[bucketOf(d)]++
	l.total++
	if l.total == recentSamples {
		l.fade()
	}
	l.fresh++
	if l.fresh < quantileEvery {
		return
	}
	l.fresh = 0
	l.median = l.quantile(0.5)
	l.high = l.quantile(hedgeQuantile)
}

func (l *latencies) fade() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += int(l.counts[i])
	}
}

func (l *latencies) quantile(share float64) time.Duration {
	rank := int(share * float64(l.total))
	for i, n := range l.counts {
		rank -= int(n)
		if rank < 0 {
			return bucketEnd(i)
		}
	}
	return bucketEnd(latencyBuckets - 1)
}

func (l *latencies) hedgeDelay() time.Duration {
	if l.median == 0 {
		return hedgeDefault
	}
	ceiling := min(hedgeCeiling, hedgeMedians*l.median)
	return max(hedgeFloor, min(l.high, ceiling))
}

func (l *latencies) typical() time.Duration {
	if l.median == 0 {
		return latencyDefault
	}
	return l.median
}
