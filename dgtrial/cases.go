package dgtrial

import (
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Loads and times of the cases. A run starts without any learned latency; what
// it sees before warmUp counts only where a case says so.
const (
	warmUp = 2 * time.Second
	// busyLoad keeps 60% of the slots busy.
	busyLoad = 0.6
	// spareLoad leaves room for the loss of one of two replicas: the other one is
	// then 60% busy.
	spareLoad    = 0.3
	overLoad     = 1.5
	unloadedLoad = 0.05
	unloadedEnd  = 20 * time.Second

	faultAt   = 4 * time.Second
	settled   = faultAt + time.Second
	faultEnd  = 9 * time.Second
	zoneOutAt = 5 * time.Second
	zoneBack  = 10 * time.Second
	zoneEnd   = 15 * time.Second
	// coldEvery is the share of servers that turn cold, one in this number.
	coldEvery = 6
)

// Targets of section 8 of the design.
const (
	p99RatioMost      = 1.5
	hedgeExtraMost    = 0.05
	shardExtraMost    = 0.10
	goodputLeast      = 0.9
	countMost         = 0
	coverageLeast     = 1
	shardAnswersLeast = 1
)

type trialCase struct {
	name    string
	measure func(*bench, *Row)
}

var cases = []trialCase{
	{"straggler", straggler},
	{"replica-lost", func(b *bench, r *Row) { replicaLost(b, r, false) }},
	{"replica-silent", func(b *bench, r *Row) { replicaLost(b, r, true) }},
	{"shard-lost", shardLost},
	{"overload", overload},
	{"cold", cold},
	{"zone", zone},
}

// Cases returns the names of all cases.
func Cases() []string {
	names := make([]string, len(cases))
	for i := range cases {
		names[i] = cases[i].name
	}
	return names
}

// straggler compares a run with StragglerShare of the sub-requests being
// StragglerFactor times slower with a run without, both at busyLoad by usual
// service times.
func straggler(b *bench, r *Row) {
	const end = 16 * time.Second
	l := b.at(busyLoad, end)
	slow := l
	slow.Stragglers = StragglerShare
	runs := b.both(l, slow, nil)
	before := func(p policy) window { return p.reference.tally.between(warmUp, end) }
	with := func(p policy) window { return p.measured.tally.between(warmUp, end) }
	r.atMost("p99 ratio to the run without stragglers", "", p99RatioMost, func(p policy) float64 { return ratio(with(p).p99(), before(p).p99()) }, runs)
	r.atMost("extra load", "", hedgeExtraMost, func(p policy) float64 { return with(p).extra() }, runs)
	r.note("share of searches above 1.5 times the p99 without stragglers", "", func(p policy) float64 { return with(p).above(p99RatioMost * before(p).p99()) }, runs)
	r.note("p99 without stragglers", "ms", func(p policy) float64 { return before(p).p99() }, runs)
	r.note("p99 with stragglers", "ms", func(p policy) float64 { return with(p).p99() }, runs)
	r.note("p50 with stragglers", "ms", func(p policy) float64 { return with(p).quantile(0.5) }, runs)
	r.note("p99 with stragglers, first second", "ms", func(p policy) float64 { return p.measured.tally.between(0, time.Second).p99() }, runs)
	r.note("lost searches", "", func(p policy) float64 { return float64(with(p).lost()) }, runs)
	r.counts(runs)
}

// counts adds the counts that every case must keep.
func (r *Row) counts(runs [2]policy) {
	r.atMost("inexact coverage", "", countMost, func(p policy) float64 {
		return float64(p.measured.tally.between(0, time.Hour).count(func(r *record) bool { return r.inexact }))
	}, runs)
	r.atMost("false refusals", "", countMost, func(p policy) float64 { return float64(p.measured.tally.falseRefusals) }, runs)
	r.atMost("requests above the slots", "", countMost, func(p policy) float64 { return float64(p.measured.tally.overSlots) }, runs)
}

// replicaLost takes one replica of the first leaf away at faultAt. It compares
// the searches from one second later with the same part of a run without loss.
func replicaLost(b *bench, r *Row, silent bool) {
	l := b.at(spareLoad, faultEnd)
	runs := b.both(l, l, func(s *sim) {
		s.at(dandeliongap.Instant(faultAt), func() { s.order[0].server.lose(silent) })
	})
	after := func(p policy) window { return p.measured.tally.between(settled, faultEnd) }
	first := func(p policy) window { return p.measured.tally.between(faultAt, settled) }
	steady := func(p policy) float64 { return p.reference.tally.between(settled, faultEnd).p99() }
	r.atLeast("coverage of ordinary searches after the first second", "", coverageLeast, func(p policy) float64 {
		return after(p).of(dandeliongap.ClassOrdinary).coverage()
	}, runs)
	r.atMost("p99 ratio after the first second", "", p99RatioMost, func(p policy) float64 { return ratio(after(p).p99(), steady(p)) }, runs)
	r.note("p99 without loss", "ms", steady, runs)
	r.note("p99 after the first second", "ms", func(p policy) float64 { return after(p).p99() }, runs)
	r.note("p99 in the first second", "ms", func(p policy) float64 { return first(p).p99() }, runs)
	r.note("lost searches in the first second", "", func(p policy) float64 { return float64(first(p).lost()) }, runs)
	r.note("lost searches after the first second", "", func(p policy) float64 { return float64(after(p).lost()) }, runs)
	r.note("extra load", "", func(p policy) float64 { return after(p).extra() }, runs)
	r.counts(runs)
}

// shardLost takes every replica of the first leaf away at faultAt.
func shardLost(b *bench, r *Row) {
	l := b.at(busyLoad, faultEnd)
	leaf := b.group.Leaves[0]
	runs := b.both(l, l, func(s *sim) {
		s.at(dandeliongap.Instant(faultAt), func() {
			for _, st := range s.order {
				if st.replica.Service == leaf {
					st.server.lose(false)
				}
			}
		})
	})
	during := func(p policy) window { return p.measured.tally.between(faultAt, faultEnd) }
	r.atLeast("searches answered within the deadline", "", shardAnswersLeast, func(p policy) float64 {
		w := during(p)
		return ratio(float64(w.count(func(r *record) bool { return r.outcome == dandeliongap.OutcomeAnswered && !r.late })), float64(len(w.records)))
	}, runs)
	r.atMost("extra load", "", shardExtraMost, func(p policy) float64 { return during(p).extra() }, runs)
	r.note("mean coverage after the first second", "", func(p policy) float64 { return p.measured.tally.between(settled, faultEnd).coverage() }, runs)
	r.note("p99 before", "ms", func(p policy) float64 { return p.measured.tally.between(warmUp, faultAt).p99() }, runs)
	r.note("p99 during", "ms", func(p policy) float64 { return during(p).p99() }, runs)
	r.counts(runs)
}

// overload offers overLoad times the capacity. The unloaded reference offers
// urgent searches only, at unloadedLoad.
func overload(b *bench, r *Row) {
	const steady, end = 3 * time.Second, 8 * time.Second
	unloaded := load{Rate: unloadedLoad * b.capacity, Urgent: 1, Length: unloadedEnd}
	runs := b.both(unloaded, b.at(overLoad, end), nil)
	during := func(p policy) window { return p.measured.tally.between(steady, end) }
	urgent := func(p policy) window { return during(p).of(dandeliongap.ClassUrgent) }
	alone := func(p policy) float64 { return p.reference.tally.between(warmUp, unloadedEnd).p99() }
	r.atLeast("goodput", "", goodputLeast, func(p policy) float64 { return during(p).goodput() / b.capacity }, runs)
	r.atMost("urgent p99 ratio to unloaded", "", p99RatioMost, func(p policy) float64 { return ratio(urgent(p).p99(), alone(p)) }, runs)
	r.note("urgent p99 unloaded", "ms", alone, runs)
	r.note("urgent p99", "ms", func(p policy) float64 { return urgent(p).p99() }, runs)
	r.note("urgent searches in full", "", func(p policy) float64 { return 1 - ratio(float64(urgent(p).lost()), float64(len(urgent(p).records))) }, runs)
	r.note("archive searches in full", "", func(p policy) float64 {
		w := during(p).of(dandeliongap.ClassArchive)
		return 1 - ratio(float64(w.lost()), float64(len(w.records)))
	}, runs)
	r.note("refused as not run", "", func(p policy) float64 {
		return ratio(float64(during(p).count(func(r *record) bool { return r.outcome == dandeliongap.OutcomeNotRun })), float64(len(during(p).records)))
	}, runs)
	r.note("answered in part", "", func(p policy) float64 {
		return ratio(float64(during(p).count(func(r *record) bool { return r.outcome == dandeliongap.OutcomeAnswered && !r.full() })), float64(len(during(p).records)))
	}, runs)
	r.counts(runs)
}

// cold makes one server in coldEvery cold without notice.
func cold(b *bench, r *Row) {
	l := b.at(spareLoad, faultEnd)
	runs := b.both(l, l, func(s *sim) {
		s.at(dandeliongap.Instant(faultAt), func() {
			for i := 0; i < len(s.order); i += coldEvery {
				s.order[i].server.turnCold()
			}
		})
	})
	during := func(p policy) window { return p.measured.tally.between(faultAt, faultEnd) }
	r.atMost("cold excess", "", countMost, func(p policy) float64 { return float64(p.measured.tally.coldExcess) }, runs)
	r.note("requests above the cold limit that were under way", "", func(p policy) float64 { return float64(p.measured.tally.overCold) }, runs)
	r.note("p99 before", "ms", func(p policy) float64 { return p.measured.tally.between(warmUp, faultAt).p99() }, runs)
	r.note("p99 in the first second", "ms", func(p policy) float64 { return p.measured.tally.between(faultAt, settled).p99() }, runs)
	r.note("lost searches", "", func(p policy) float64 { return float64(during(p).lost()) }, runs)
	r.counts(runs)
}

// zone takes the last zone out at zoneOutAt and returns it at zoneBack, with
// stragglers all the time. Steady is the part of the same run before.
func zone(b *bench, r *Row) {
	l := b.at(spareLoad, zoneEnd)
	l.Stragglers = StragglerShare
	zones := b.target.Deployment.Zones
	runs := b.both(l, l, func(s *sim) {
		s.at(dandeliongap.Instant(zoneOutAt), func() { s.setZone(zones[len(zones)-1], true) })
		s.at(dandeliongap.Instant(zoneBack), func() { s.setZone(zones[len(zones)-1], false) })
	})
	steady := func(p policy) float64 { return p.measured.tally.between(warmUp, zoneOutAt).p99() }
	out := func(p policy) window { return p.measured.tally.between(zoneOutAt, zoneBack) }
	back := func(p policy) window { return p.measured.tally.between(zoneBack, zoneEnd) }
	r.atMost("lost searches", "", countMost, func(p policy) float64 { return float64(out(p).lost() + back(p).lost()) }, runs)
	r.atMost("p99 ratio while out", "", p99RatioMost, func(p policy) float64 { return ratio(out(p).p99(), steady(p)) }, runs)
	r.atMost("p99 ratio after the return", "", p99RatioMost, func(p policy) float64 { return ratio(back(p).p99(), steady(p)) }, runs)
	r.note("share of searches above 1.5 times the steady p99 while out", "", func(p policy) float64 { return out(p).above(p99RatioMost * steady(p)) }, runs)
	r.note("share of searches above 1.5 times the steady p99 after the return", "", func(p policy) float64 { return back(p).above(p99RatioMost * steady(p)) }, runs)
	r.note("p99 steady", "ms", steady, runs)
	r.note("p99 while out", "ms", func(p policy) float64 { return out(p).p99() }, runs)
	r.note("p99 after the return", "ms", func(p policy) float64 { return back(p).p99() }, runs)
	r.note("extra load while out", "", func(p policy) float64 { return out(p).extra() }, runs)
	r.note("cold excess", "", func(p policy) float64 { return float64(p.measured.tally.coldExcess) }, runs)
	r.counts(runs)
}
