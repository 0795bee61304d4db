package dgtrial

import (
	"slices"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// record is the result of one search.
type record struct {
	at                         dandeliongap.Instant // arrival
	class                      dandeliongap.Class
	done                       bool
	outcome                    dandeliongap.Outcome
	reason                     dandeliongap.Reason
	merged, total              int
	firstAttempts, allAttempts int // the first attempt of each shard; all attempts
	latency                    time.Duration
	late                       bool // finished after its deadline
	inexact                    bool
}

// complete reports whether the search was answered with all parts in time.
func (r *record) complete() bool {
	return r.outcome == dandeliongap.OutcomeAnswered && r.merged == r.total && !r.late
}

// tally collects the searches and counts of a run.
type tally struct {
	records       []*record
	refusals      []*search // refused as not run
	started       int       // attempts that a server started
	overSlots     int       // attempts started above the slots
	overCold      int       // attempts received above a cold limit
	coldExcess    int       // attempts above a cold limit that the owner could have avoided
	falseRefusals int
}

// window holds the searches that arrived in a part of a run.
type window struct {
	records []*record
	length  time.Duration
}

// between returns the window of searches that arrived at or after a and before b.
func (t *tally) between(a, b time.Duration) window {
	w := window{length: b - a}
	for _, r := range t.records {
		if r.at >= dandeliongap.Instant(a) && r.at < dandeliongap.Instant(b) {
			w.records = append(w.records, r)
		}
	}
	return w
}

// ofClass returns the searches of one class.
func (w window) ofClass(class dandeliongap.Class) window {
	w.records = slices.DeleteFunc(slices.Clone(w.records), func(r *record) bool { return r.class != class })
	return w
}

// quantile returns a quantile of the latency in milliseconds. Searches refused as
// not run are left out.
func (w window) quantile(q float64) float64 {
	var all []time.Duration
	for _, r := range w.records {
		if r.outcome != dandeliongap.OutcomeNotRun {
			all = append(all, r.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[int(q*float64(len(all)))]) / float64(time.Millisecond)
}

func (w window) p99() float64 { return w.quantile(0.99) }

// count returns the number of searches for which f holds.
func (w window) count(f func(*record) bool) int {
	n := 0
	for _, r := range w.records {
		if f(r) {
			n++
		}
	}
	return n
}

// extraLoad returns the share of attempts beyond the first ones.
func (w window) extraLoad() float64 {
	first, sent := 0, 0
	for _, r := range w.records {
		first += r.firstAttempts
		sent += r.allAttempts
	}
	if first == 0 {
		return 0
	}
	return float64(sent-first) / float64(first)
}

// shareAbove returns the share of searches that took longer than the given
// milliseconds. Searches refused as not run are included; their latency is at
// least their deadline.
func (w window) shareAbove(ms float64) float64 {
	limit := time.Duration(ms * float64(time.Millisecond))
	return ratio(float64(w.count(func(r *record) bool { return r.latency > limit })), float64(len(w.records)))
}

// lost returns the number of searches that were not answered in full within
// their deadline.
func (w window) lost() int { return w.count(func(r *record) bool { return !r.complete() }) }

// goodput returns the searches answered in full within their deadline, per
// second.
func (w window) goodput() float64 {
	return float64(w.count((*record).complete)) / w.length.Seconds()
}

// coverage returns the mean share of parts over the given searches.
func (w window) coverage() float64 {
	merged, total := 0, 0
	for _, r := range w.records {
		total += r.total
		if r.outcome == dandeliongap.OutcomeAnswered {
			merged += r.merged
		}
	}
	return ratio(float64(merged), float64(total))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
