package dgtrial

import (
	"slices"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// record is the end of one search.
type record struct {
	at            dandeliongap.Instant // arrival
	class         dandeliongap.Class
	done          bool
	outcome       dandeliongap.Outcome
	reason        dandeliongap.Reason
	merged, total int
	first, sent   int // attempts: first ones, all
	latency       time.Duration
	late          bool // finished after its deadline
	inexact       bool
}

// full tells whether the search was answered with all parts in time.
func (r *record) full() bool {
	return r.outcome == dandeliongap.OutcomeAnswered && r.merged == r.total && !r.late
}

// tally collects what a run saw.
type tally struct {
	records       []*record
	refusals      []*search
	runs          int // attempts that a server started
	overSlots     int // attempts started above the slots
	overCold      int // attempts above a cold limit
	coldExcess    int // those that the owner could have avoided
	falseRefusals int
}

// window holds the searches that arrived in a part of a run.
type window struct {
	records []*record
	length  time.Duration
}

// between returns the window of searches that arrived from a to b.
func (t *tally) between(a, b time.Duration) window {
	w := window{length: b - a}
	for _, r := range t.records {
		if r.at >= dandeliongap.Instant(a) && r.at < dandeliongap.Instant(b) {
			w.records = append(w.records, r)
		}
	}
	return w
}

// of returns the searches of one class.
func (w window) of(class dandeliongap.Class) window {
	w.records = slices.DeleteFunc(slices.Clone(w.records), func(r *record) bool { return r.class != class })
	return w
}

// quantile returns a quantile of the latency in milliseconds.
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

// extra returns the share of attempts beyond the first ones.
func (w window) extra() float64 {
	first, sent := 0, 0
	for _, r := range w.records {
		first += r.first
		sent += r.sent
	}
	if first == 0 {
		return 0
	}
	return float64(sent-first) / float64(first)
}

// above returns the share of searches that took longer than the given
// milliseconds.
func (w window) above(ms float64) float64 {
	limit := time.Duration(ms * float64(time.Millisecond))
	return ratio(float64(w.count(func(r *record) bool { return r.latency > limit })), float64(len(w.records)))
}

// lost returns the number of searches that were not answered in full.
func (w window) lost() int { return w.count(func(r *record) bool { return !r.full() }) }

// goodput returns the searches answered in full per second.
func (w window) goodput() float64 {
	return float64(w.count((*record).full)) / w.length.Seconds()
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
