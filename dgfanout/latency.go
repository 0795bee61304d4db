package dgfanout

import (
	"math/bits"
	"time"
)

const (
	latencyBuckets   = 200  // 8 for each doubling, from 1 us to 134 s
	maxSamples       = 1024 // once reached, all counts are halved, so that old samples lose weight
	quantileInterval = 16   // samples between two computations of the quantiles
)

// latencyHistogram counts the recent latencies of one leaf service in logarithmic
// buckets, which needs neither allocation nor sorting.
type latencyHistogram struct {
	counts         [latencyBuckets]uint16
	total          int
	sinceQuantiles int           // samples since the quantiles were computed
	median         time.Duration // 0 until the quantiles are computed first
	tail           time.Duration // latency at hedgeQuantile
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d, 0) / time.Microsecond)
	if us < 8 {
		return int(us)
	}
	shift := bits.Len64(us) - 4
	return min(shift*8+int(us>>shift), latencyBuckets-1)
}

func bucketUpperBound(b int) time.Duration {
	if b < 8 {
		return time.Duration(b+1) * time.Microsecond
	}
	shift := (b - 8) / 8
	return time.Duration((b%8+9)<<shift) * time.Microsecond
}

func (h *latencyHistogram) observe(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
	if h.total == maxSamples {
		h.halve()
	}
	h.sinceQuantiles++
	if h.sinceQuantiles < quantileInterval {
		return
	}
	h.sinceQuantiles = 0
	h.median = h.quantile(0.5)
	h.tail = h.quantile(hedgeQuantile)
}

func (h *latencyHistogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

func (h *latencyHistogram) quantile(share float64) time.Duration {
	rank := int(share * float64(h.total))
	for i, n := range h.counts {
		rank -= int(n)
		if rank < 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(latencyBuckets - 1)
}

func (h *latencyHistogram) hedgeDelay() time.Duration {
	if h.median == 0 {
		return defaultHedgeDelay
	}
	ceiling := min(maxHedgeDelay, maxHedgeDelayMedians*h.median)
	return max(minHedgeDelay, min(h.tail, ceiling))
}

func (h *latencyHistogram) typicalLatency() time.Duration {
	if h.median == 0 {
		return defaultLatency
	}
	return h.median
}
