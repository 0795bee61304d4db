package dggate

import "time"

// average is a moving average of latencies and of their deviation. Until it
// has learnWindow samples it is their plain average.
type average struct {
	mean, dev time.Duration
	n         int
}

// add learns one latency. It counts as at most outlier times the mean.
func (a *average) add(d time.Duration, outlier time.Duration) {
	if d <= 0 {
		return
	}
	if a.n < learnWindow {
		a.n++
	}
	if a.n == 1 {
		a.mean, a.dev = d, d/2
		return
	}
	d = min(d, outlier*a.mean)
	diff := d - a.mean
	a.mean += diff / time.Duration(a.n)
	a.dev += (max(diff, -diff) - a.dev) / time.Duration(a.n)
}

// seed takes over a mean that another owner learned.
func (a *average) seed(mean time.Duration) {
	if mean > 0 {
		*a = average{mean: mean, dev: mean / 2, n: learnWindow / 2}
	}
}
