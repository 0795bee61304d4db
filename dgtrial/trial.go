package dgtrial

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Target is a deployment to measure.
type Target struct {
	Deployment *dandeliongap.Deployment
	// ZoneDelay is the time of a message between two zones.
	ZoneDelay time.Duration
	// Group is the searched group. Default: the first by name that accepts no
	// actions.
	Group dandeliongap.ServiceName
}

// Options holds the settings of a measurement.
type Options struct {
	Targets  []Target
	Cases    []string // names from Cases; all if empty
	Seed     uint64
	Progress func(what string) // called before each run; nil: none
	// SkipBaseline leaves out the runs of the baseline; its figures are then 0.
	SkipBaseline bool
}

// Run measures the cases for each target and returns one row for each pair. It
// returns an error that wraps ErrNotFound for an unknown case or group.
func Run(o Options) (Report, error) {
	names := o.Cases
	if len(names) == 0 {
		names = Cases()
	}
	report := Report{Seed: o.Seed, Held: true}
	for _, t := range o.Targets {
		b, err := newBench(t, o)
		if err != nil {
			return report, err
		}
		for _, name := range names {
			i := slices.IndexFunc(cases, func(c trialCase) bool { return c.name == name })
			if i < 0 {
				return report, fmt.Errorf("case %q: %w", name, dandeliongap.ErrNotFound)
			}
			row := Row{Case: name, Deployment: t.Deployment.Name, Held: true}
			cases[i].measure(b, &row)
			report.Rows = append(report.Rows, row)
			report.Held = report.Held && row.Held
		}
	}
	return report, nil
}

// bench runs the cases of one target.
type bench struct {
	target       Target
	group        *dandeliongap.Service
	capacity     float64
	seed         uint64
	progress     func(string)
	skipBaseline bool
	faultFree    map[load]*sim // runs without faults, shared between cases
}

func newBench(t Target, o Options) (*bench, error) {
	group, err := groupOf(t)
	if err != nil {
		return nil, err
	}
	return &bench{
		target: t, group: group, capacity: capacity(t.Deployment, group),
		seed: o.Seed, progress: o.Progress, skipBaseline: o.SkipBaseline, faultFree: map[load]*sim{},
	}, nil
}

// groupOf returns the group to search, as described at Target.Group.
func groupOf(t Target) (*dandeliongap.Service, error) {
	var found *dandeliongap.Service
	for name, s := range t.Deployment.Services {
		if s.Kind != dandeliongap.KindGroup || len(s.Leaves) == 0 {
			continue
		}
		if t.Group == name {
			return s, nil
		}
		if t.Group == "" && !s.Actions && (found == nil || cmp.Less(name, found.Name)) {
			found = s
		}
	}
	if found == nil {
		return nil, fmt.Errorf("group %q of deployment %q: %w", t.Group, t.Deployment.Name, dandeliongap.ErrNotFound)
	}
	return found, nil
}

// loadAt returns a load with UrgentShare and ArchiveShare at a share of the capacity.
func (b *bench) loadAt(share float64, length time.Duration) load {
	return load{Rate: share * b.capacity, Urgent: UrgentShare, Archive: ArchiveShare, Length: length}
}

// run simulates a load with the faults that script schedules. Without a script
// there are no faults, and the run is kept for later calls with the same load.
func (b *bench) run(l load, script func(*sim)) *sim {
	if script == nil && b.faultFree[l] != nil {
		return b.faultFree[l]
	}
	if b.progress != nil {
		b.progress(fmt.Sprintf("%s: %.0f searches/s for %s, plain %t", b.target.Deployment.Name, l.Rate, l.Length, l.Baseline))
	}
	s := newSim(b.target.Deployment, b.group, l, b.target.ZoneDelay, b.seed)
	if script != nil {
		script(s)
	}
	s.run()
	if script == nil {
		b.faultFree[l] = s
	}
	return s
}

// runPair holds the reference run and the measured run of one policy.
type runPair struct {
	reference, measured *sim
}

// runBoth runs the chosen policy (index 0) and the baseline (index 1). Script
// schedules faults in the measured runs only. If the baseline is skipped, its runs
// are empty.
func (b *bench) runBoth(reference, measured load, script func(*sim)) [2]runPair {
	var out [2]runPair
	for i := range out {
		reference.Baseline, measured.Baseline = i == 1, i == 1
		if i == 1 && b.skipBaseline {
			empty := newSim(b.target.Deployment, b.group, load{}, b.target.ZoneDelay, b.seed)
			out[i] = runPair{empty, empty}
			continue
		}
		out[i] = runPair{b.run(reference, nil), b.run(measured, script)}
	}
	return out
}
