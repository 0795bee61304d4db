package dgtrial

import (
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Loads and times of the cases. A run starts without learned latencies, so
// searches that arrive before warmUp count only where a case says so.
const (
	warmUp = 2 * time.Second
	// busyLoad keeps 60% of the slots busy.
	busyLoad = 0.6
	// spareLoad leaves room for the loss of one of two replicas: the other one is
	// then 60% busy.
	spareLoad    = 0.3
	overloadLoad = 1.5
	unloadedLoad = 0.05
	unloadedEnd  = 20 * time.Second

	faultAt        = 4 * time.Second
	faultSettledAt = faultAt + time.Second
	faultEnd       = 9 * time.Second
	zoneOutAt      = 5 * time.Second
	zoneReturnAt   = 10 * time.Second
	zoneEnd        = 15 * time.Second
	// One in coldEvery servers turns cold.
	coldEvery = 6
)

// Targets of the measures, from section 8 of the design.
const (
	maxP99Ratio           = 1.5
	maxHedgeExtraLoad     = 0.05
	maxShardLostExtraLoad = 0.10
	minGoodput            = 0.9
	maxCount              = 0 // of events that must not occur
	minCoverage           = 1
	minShardLostAnswered  = 1 // share of searches
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

// straggler compares a run with stragglers (a share of StragglerShare, slower by
// StragglerFactor) with a run without them. Both run at busyLoad, computed from
// service times without stragglers.
func straggler(b *bench, r *Row) {
	const end = 16 * time.Second
	l := b.loadAt(busyLoad, end)
	slow := l
	slow.Stragglers = StragglerShare
	runs := b.runBoth(l, slow, nil)
	reference := func(p runPair) window { return p.reference.tally.between(warmUp, end) }
	measured := func(p runPair) window { return p.measured.tally.between(warmUp, end) }
	r.atMost("p99 ratio to the run without stragglers", "", maxP99Ratio, func(p runPair) float64 { return ratio(measured(p).p99(), reference(p).p99()) }, runs)
	r.atMost("extra load", "", maxHedgeExtraLoad, func(p runPair) float64 { return measured(p).extraLoad() }, runs)
	r.note("share of searches above 1.5 times the p99 without stragglers", "", func(p runPair) float64 { return measured(p).shareAbove(maxP99Ratio * reference(p).p99()) }, runs)
	r.note("p99 without stragglers", "ms", func(p runPair) float64 { return reference(p).p99() }, runs)
	r.note("p99 with stragglers", "ms", func(p runPair) float64 { return measured(p).p99() }, runs)
	r.note("p50 with stragglers", "ms", func(p runPair) float64 { return measured(p).quantile(0.5) }, runs)
	r.note("p99 with stragglers, first second", "ms", func(p runPair) float64 { return p.measured.tally.between(0, time.Second).p99() }, runs)
	r.note("lost searches", "", func(p runPair) float64 { return float64(measured(p).lost()) }, runs)
	r.commonBounds(runs)
}

// commonBounds adds the counts whose bounds apply in every case.
func (r *Row) commonBounds(runs [2]runPair) {
	r.atMost("inexact coverage", "", maxCount, func(p runPair) float64 {
		return float64(p.measured.tally.between(0, time.Hour).count(func(r *record) bool { return r.inexact }))
	}, runs)
	r.atMost("false refusals", "", maxCount, func(p runPair) float64 { return float64(p.measured.tally.falseRefusals) }, runs)
	r.atMost("requests above the slots", "", maxCount, func(p runPair) float64 { return float64(p.measured.tally.overSlots) }, runs)
}

// replicaLost fails one replica of the first leaf at faultAt, silently if silent
// is set. It compares the searches that arrive from faultSettledAt on with the
// same part of a run without loss.
func replicaLost(b *bench, r *Row, silent bool) {
	l := b.loadAt(spareLoad, faultEnd)
	runs := b.runBoth(l, l, func(s *sim) {
		s.schedule(dandeliongap.Instant(faultAt), func() { s.replicaList[0].server.fail(silent) })
	})
	after := func(p runPair) window { return p.measured.tally.between(faultSettledAt, faultEnd) }
	first := func(p runPair) window { return p.measured.tally.between(faultAt, faultSettledAt) }
	referenceP99 := func(p runPair) float64 { return p.reference.tally.between(faultSettledAt, faultEnd).p99() }
	r.atLeast("coverage of ordinary searches after the first second", "", minCoverage, func(p runPair) float64 {
		return after(p).ofClass(dandeliongap.ClassOrdinary).coverage()
	}, runs)
	r.atMost("p99 ratio after the first second", "", maxP99Ratio, func(p runPair) float64 { return ratio(after(p).p99(), referenceP99(p)) }, runs)
	r.note("p99 without loss", "ms", referenceP99, runs)
	r.note("p99 after the first second", "ms", func(p runPair) float64 { return after(p).p99() }, runs)
	r.note("p99 in the first second", "ms", func(p runPair) float64 { return first(p).p99() }, runs)
	r.note("lost searches in the first second", "", func(p runPair) float64 { return float64(first(p).lost()) }, runs)
	r.note("lost searches after the first second", "", func(p runPair) float64 { return float64(after(p).lost()) }, runs)
	r.note("extra load", "", func(p runPair) float64 { return after(p).extraLoad() }, runs)
	r.commonBounds(runs)
}

// shardLost fails every replica of the first leaf at faultAt.
func shardLost(b *bench, r *Row) {
	l := b.loadAt(busyLoad, faultEnd)
	leaf := b.group.Leaves[0]
	runs := b.runBoth(l, l, func(s *sim) {
		s.schedule(dandeliongap.Instant(faultAt), func() {
			for _, owned := range s.replicaList {
				if owned.replica.Service == leaf {
					owned.server.fail(false)
				}
			}
		})
	})
	during := func(p runPair) window { return p.measured.tally.between(faultAt, faultEnd) }
	r.atLeast("searches answered within the deadline", "", minShardLostAnswered, func(p runPair) float64 {
		w := during(p)
		return ratio(float64(w.count(func(r *record) bool { return r.outcome == dandeliongap.OutcomeAnswered && !r.late })), float64(len(w.records)))
	}, runs)
	r.atMost("extra load", "", maxShardLostExtraLoad, func(p runPair) float64 { return during(p).extraLoad() }, runs)
	r.note("mean coverage after the first second", "", func(p runPair) float64 { return p.measured.tally.between(faultSettledAt, faultEnd).coverage() }, runs)
	r.note("p99 before", "ms", func(p runPair) float64 { return p.measured.tally.between(warmUp, faultAt).p99() }, runs)
	r.note("p99 during", "ms", func(p runPair) float64 { return during(p).p99() }, runs)
	r.commonBounds(runs)
}

// overload offers overloadLoad times the capacity. The unloaded reference offers
// urgent searches only, at unloadedLoad.
func overload(b *bench, r *Row) {
	const from, end = 3 * time.Second, 8 * time.Second
	unloaded := load{Rate: unloadedLoad * b.capacity, Urgent: 1, Length: unloadedEnd}
	runs := b.runBoth(unloaded, b.loadAt(overloadLoad, end), nil)
	during := func(p runPair) window { return p.measured.tally.between(from, end) }
	urgent := func(p runPair) window { return during(p).ofClass(dandeliongap.ClassUrgent) }
	unloadedP99 := func(p runPair) float64 { return p.reference.tally.between(warmUp, unloadedEnd).p99() }
	r.atLeast("goodput", "", minGoodput, func(p runPair) float64 { return during(p).goodput() / b.capacity }, runs)
	r.atMost("urgent p99 ratio to unloaded", "", maxP99Ratio, func(p runPair) float64 { return ratio(urgent(p).p99(), unloadedP99(p)) }, runs)
	r.note("urgent p99 unloaded", "ms", unloadedP99, runs)
	r.note("urgent p99", "ms", func(p runPair) float64 { return urgent(p).p99() }, runs)
	r.note("urgent searches in full", "", func(p runPair) float64 { return 1 - ratio(float64(urgent(p).lost()), float64(len(urgent(p).records))) }, runs)
	r.note("archive searches in full", "", func(p runPair) float64 {
		w := during(p).ofClass(dandeliongap.ClassArchive)
		return 1 - ratio(float64(w.lost()), float64(len(w.records)))
	}, runs)
	r.note("refused as not run", "", func(p runPair) float64 {
		return ratio(float64(during(p).count(func(r *record) bool { return r.outcome == dandeliongap.OutcomeNotRun })), float64(len(during(p).records)))
	}, runs)
	r.note("answered in part", "", func(p runPair) float64 {
		return ratio(float64(during(p).count(func(r *record) bool { return r.outcome == dandeliongap.OutcomeAnswered && !r.complete() })), float64(len(during(p).records)))
	}, runs)
	r.commonBounds(runs)
}

// cold turns one in coldEvery servers cold at faultAt. Their owners are informed
// only by the cold mark of responses.
func cold(b *bench, r *Row) {
	l := b.loadAt(spareLoad, faultEnd)
	runs := b.runBoth(l, l, func(s *sim) {
		s.schedule(dandeliongap.Instant(faultAt), func() {
			for i := 0; i < len(s.replicaList); i += coldEvery {
				s.replicaList[i].server.turnCold()
			}
		})
	})
	during := func(p runPair) window { return p.measured.tally.between(faultAt, faultEnd) }
	r.atMost("cold excess", "", maxCount, func(p runPair) float64 { return float64(p.measured.tally.coldExcess) }, runs)
	r.note("requests above the cold limit that were under way", "", func(p runPair) float64 { return float64(p.measured.tally.overCold) }, runs)
	r.note("p99 before", "ms", func(p runPair) float64 { return p.measured.tally.between(warmUp, faultAt).p99() }, runs)
	r.note("p99 in the first second", "ms", func(p runPair) float64 { return p.measured.tally.between(faultAt, faultSettledAt).p99() }, runs)
	r.note("lost searches", "", func(p runPair) float64 { return float64(during(p).lost()) }, runs)
	r.commonBounds(runs)
}

// zone takes the last zone out at zoneOutAt and returns it at zoneReturnAt, with
// stragglers throughout the run. The steady state is the part of the same run
// between warmUp and zoneOutAt.
func zone(b *bench, r *Row) {
	l := b.loadAt(spareLoad, zoneEnd)
	l.Stragglers = StragglerShare
	zones := b.target.Deployment.Zones
	runs := b.runBoth(l, l, func(s *sim) {
		s.schedule(dandeliongap.Instant(zoneOutAt), func() { s.setZone(zones[len(zones)-1], true) })
		s.schedule(dandeliongap.Instant(zoneReturnAt), func() { s.setZone(zones[len(zones)-1], false) })
	})
	steadyP99 := func(p runPair) float64 { return p.measured.tally.between(warmUp, zoneOutAt).p99() }
	out := func(p runPair) window { return p.measured.tally.between(zoneOutAt, zoneReturnAt) }
	back := func(p runPair) window { return p.measured.tally.between(zoneReturnAt, zoneEnd) }
	r.atMost("lost searches", "", maxCount, func(p runPair) float64 { return float64(out(p).lost() + back(p).lost()) }, runs)
	r.atMost("p99 ratio while out", "", maxP99Ratio, func(p runPair) float64 { return ratio(out(p).p99(), steadyP99(p)) }, runs)
	r.atMost("p99 ratio after the return", "", maxP99Ratio, func(p runPair) float64 { return ratio(back(p).p99(), steadyP99(p)) }, runs)
	r.note("share of searches above 1.5 times the steady p99 while out", "", func(p runPair) float64 { return out(p).shareAbove(maxP99Ratio * steadyP99(p)) }, runs)
	r.note("share of searches above 1.5 times the steady p99 after the return", "", func(p runPair) float64 { return back(p).shareAbove(maxP99Ratio * steadyP99(p)) }, runs)
	r.note("p99 steady", "ms", steadyP99, runs)
	r.note("p99 while out", "ms", func(p runPair) float64 { return out(p).p99() }, runs)
	r.note("p99 after the return", "ms", func(p runPair) float64 { return back(p).p99() }, runs)
	r.note("extra load while out", "", func(p runPair) float64 { return out(p).extraLoad() }, runs)
	r.note("cold excess", "", func(p runPair) float64 { return float64(p.measured.tally.coldExcess) }, runs)
	r.commonBounds(runs)
}
