package dggate

import "time"

// average is an exponential moving average of latencies, with their mean absolute
// deviation. Until it has averageWindow samples it is their plain average.
type average struct {
	mean, deviation time.Duration
	n               int
}

// add adds one latency, capped at maxFactor times the mean.
func (a *average) add(d time.Duration, maxFactor time.Duration) {
	if d <= 0 {
		return
	}
	if a.n < averageWindow {
		a.n++
	}
	if a.n == 1 {
		a.mean, a.deviation = d, d/2
		return
	}
	d = min(d, maxFactor*a.mean)
	diff := d - a.mean
	a.mean += diff / time.Duration(a.n)
	a.deviation += (max(diff, -diff) - a.deviation) / time.Duration(a.n)
}

// seed replaces the average by the mean that the former owner measured, which counts
// as half of averageWindow samples. It ignores 0, which means unknown.
func (a *average) seed(mean time.Duration) {
	if mean > 0 {
		*a = average{mean: mean, deviation: mean / 2, n: averageWindow / 2}
	}
}
