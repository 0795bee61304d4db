package dgdemo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgstandin"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
)

const (
	demoVMs  = 6
	demoRate = 150.0 // requests per second
	// startLimit bounds the start of the embedded cluster.
	startLimit = 60 * time.Second
)

// ServiceTime is the distribution of the time that a stand-in backend server takes
// for a sub-request: 1 in 100 takes 20 times as long as the others.
var ServiceTime = dgstandin.ServiceTime{
	Base:            2 * time.Millisecond,
	Spread:          2 * time.Millisecond,
	StragglerShare:  0.01,
	StragglerFactor: 20,
}

// Options are the options of Run.
type Options struct {
	Text     string        // deployment text
	Length   time.Duration // duration of the load
	Seed     uint64
	Log      io.Writer         // receives the decision logs; may be nil
	Progress func(what string) // called at the start of each step; may be nil
}

// Promise is a guarantee to the users, and whether the run kept it, with the evidence.
type Promise struct {
	ID      string `json:"Id"`
	Promise string
	Held    bool
	// Shown is false if the run was too short to test the promise.
	Shown    bool
	Evidence string
}

// Report is the result of Run.
type Report struct {
	Searches, Answered, Partial, Refused, Unknown            int64
	Actions, ActionsAnswered, ActionsRefused, ActionsUnknown int64
	Coverage                                                 float64
	P50Ms, P99Ms                                             float64
	ExtraLoad                                                float64 // sub-requests run beyond those needed, divided by those needed
	ColdViolations, ZoneViolations, LeavingViolations        int64
	SlotViolations, ConnectionViolations                     int64
	SnapshotViolations, CoverageViolations                   int64
	// CrossedAnswers counts answers with hits of another query, FalseRefusals actions
	// reported as not run that ran.
	CrossedAnswers, FalseRefusals, DuplicateRuns int64
	ConnectionsLost, ConfigReverts               int64
	InForceMs                                    float64 // from the start of a change until it is in force on all VMs; 0 if the change was not confirmed
	Promises                                     []Promise
}

// Held reports whether no promise was broken and at least one search was answered
// in full.
func (r *Report) Held() bool {
	for _, p := range r.Promises {
		if !p.Held {
			return false
		}
	}
	return r.Answered > 0
}

// Run starts stand-ins and six VMs and sends searches and actions. Under this load
// it publishes a new index version, takes a zone out and returns it, drains a
// backend server, turns others cold, replaces a VM and changes the configuration.
func Run(ctx context.Context, o Options) (*Report, error) {
	d := &demo{options: o}
	if d.options.Progress == nil {
		d.options.Progress = func(string) {}
	}
	d.options.Progress("starting stand-ins and VMs")
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	var err error
	d.cluster, err = NewCluster(startCtx, ClusterOptions{Text: o.Text, VMs: demoVMs, Seed: o.Seed, Service: ServiceTime, Log: o.Log})
	if err != nil {
		return nil, err
	}
	report, err := d.run(ctx)
	if cerr := d.cluster.Close(); err == nil {
		err = cerr
	}
	return report, trace.Wrap(err)
}

type demo struct {
	options      Options
	cluster      *Cluster
	runner       *Runner
	zoneOutTime  time.Duration // how long the zone was out
	zoneOutSince time.Time     // when the zone was taken out
	drainStart   time.Time     // when the backend server began to drain
	replaced     chan error    // receives the result of the VM replacement
	reverts      int64         // how often the configuration of a VM went back to an earlier version
	applyTime    time.Duration // result of measureChange
	stepErr      error
}

func (d *demo) run(ctx context.Context) (*Report, error) {
	var err error
	d.runner, err = NewRunner(d.cluster, Mix(d.cluster.Deployment), d.options.Seed)
	if err != nil {
		return nil, err
	}
	defer d.runner.Close()
	watchCtx, stop := context.WithCancel(ctx)
	var watch, steps conc.WaitGroup
	watch.Go(func() { d.watchConfig(watchCtx) })
	steps.Go(func() { d.stepErr = d.steps(ctx) })
	d.runner.Run(ctx, demoRate, d.options.Length)
	steps.Wait()
	stop()
	watch.Wait()
	if d.stepErr != nil {
		return nil, d.stepErr
	}
	return d.report(), nil
}

// Mix returns the jobs of a load on all services of a deployment: mostly searches
// of the groups, one in nine of them urgent, actions for the groups that accept
// them, and searches of the services that are not leaves of a group.
func Mix(d *dandeliongap.Deployment) []Job {
	var jobs []Job
	for _, name := range sortedServices(d) {
		s := d.Services[name]
		switch {
		case s.Kind == dandeliongap.KindGroup && s.Actions:
			jobs = append(jobs, Job{Service: name, Action: true, Share: 2})
		case s.Kind == dandeliongap.KindGroup:
			jobs = append(jobs,
				Job{Service: name, Class: "ordinary", Share: 8},
				Job{Service: name, Class: "urgent", Share: 1})
		case !isLeafOfGroup(d, name):
			jobs = append(jobs, Job{Service: name, Class: s.Class.String(), Share: 1})
		}
	}
	return jobs
}

func sortedServices(d *dandeliongap.Deployment) []dandeliongap.ServiceName {
	names := make([]dandeliongap.ServiceName, 0, len(d.Services))
	for name := range d.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func isLeafOfGroup(d *dandeliongap.Deployment, leaf dandeliongap.ServiceName) bool {
	for _, s := range d.Services {
		if s.Kind == dandeliongap.KindGroup && slices.Contains(s.Leaves, leaf) {
			return true
		}
	}
	return false
}

// watchConfig counts, until ctx ends, how often the configuration version of a VM
// decreases.
func (d *demo) watchConfig(ctx context.Context) {
	last := map[dandeliongap.MemberID]dandeliongap.Version{}
	for ctx.Err() == nil {
		for _, n := range d.cluster.Nodes() {
			v := n.View()
			if v.Config < last[v.Self] {
				d.reverts++
			}
			last[v.Self] = v.Config
		}
		time.Sleep(pollInterval)
	}
}

// steps runs the events of the demo at fixed fractions of the length of the load
// and then waits for the VM replacement.
func (d *demo) steps(ctx context.Context) error {
	client, err := d.cluster.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	zone := d.cluster.Deployment.Zones[len(d.cluster.Deployment.Zones)-1]
	steps := []struct {
		at   float64 // fraction of the length
		what string
		do   func() error
	}{
		{0.05, "new index version", func() error { return d.cluster.PublishCatalog(2) }},
		{0.10, "zone " + string(zone) + " taken out", func() error { return d.setZone(ctx, client, zone, true) }},
		{0.20, "a backend server drains", d.drainBackend},
		{0.30, "backend servers turn cold without notice", d.turnBackendsCold},
		{0.40, "new configuration", func() error { return d.changeConfig(ctx, client) }},
		{0.45, "one VM replaced", d.replaceVM},
		{0.70, "zone " + string(zone) + " returned", func() error { return d.setZone(ctx, client, zone, false) }},
	}
	start := time.Now()
	for _, s := range steps {
		at := start.Add(time.Duration(s.at * float64(d.options.Length)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(at)):
		}
		d.options.Progress(s.what)
		if err := s.do(); err != nil {
			return fmt.Errorf("%s: %w", s.what, err)
		}
	}
	return <-d.replaced
}

// replaceVM starts the replacement of one VM and does not wait for it.
func (d *demo) replaceVM() error {
	d.replaced = make(chan error, 1)
	go func() { d.replaced <- d.cluster.ReplaceVM(0) }()
	return nil
}

// setZone takes a zone out or returns it, and tells its stand-ins, which count the
// requests that still arrive in a zone taken out.
func (d *demo) setZone(ctx context.Context, client *dgclient.Client, zone dandeliongap.ZoneName, out bool) error {
	if !out {
		// The call of SetZoneOut allows the tier to send requests to the zone again, so the
		// stand-ins must stop counting these as violations before it.
		for _, b := range d.cluster.Fleet.InZone(zone) {
			b.SetZoneOut(false)
		}
		d.zoneOutTime = time.Since(d.zoneOutSince)
	}
	if err := client.SetZoneOut(ctx, zone, out); err != nil {
		return err
	}
	if out {
		d.zoneOutSince = time.Now()
		for _, b := range d.cluster.Fleet.InZone(zone) {
			b.SetZoneOut(true)
		}
	}
	return nil
}

// drainBackend starts to drain one backend server of the first search group.
func (d *demo) drainBackend() error {
	leaf := d.firstLeaf()
	d.cluster.Fleet.OfService(leaf)[0].SetDraining(true)
	d.drainStart = time.Now()
	return nil
}

// firstLeaf returns the first leaf of the first search group by name, or the first
// service if there is no search group.
func (d *demo) firstLeaf() dandeliongap.ServiceName {
	for _, name := range sortedServices(d.cluster.Deployment) {
		if s := d.cluster.Deployment.Services[name]; s.Kind == dandeliongap.KindGroup && !s.Actions {
			return s.Leaves[0]
		}
	}
	return sortedServices(d.cluster.Deployment)[0]
}

// turnBackendsCold turns every sixth backend server cold without telling the tier.
func (d *demo) turnBackendsCold() error {
	i := 0
	d.cluster.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) {
		if i%6 == 0 {
			b.TurnCold()
		}
		i++
	})
	return nil
}

// changeConfig changes the configuration and records the time until it is in force.
func (d *demo) changeConfig(ctx context.Context, client *dgclient.Client) error {
	took, err := d.cluster.measureChange(ctx, client)
	d.applyTime = took
	return err
}

func (d *demo) report() *Report {
	t := d.runner.tally
	c := d.cluster.Fleet.Counters()
	r := &Report{
		Searches: t.Searches, Answered: t.Answered, Partial: t.Partial, Refused: t.Refused, Unknown: t.Unknown,
		Actions: t.Actions, ActionsAnswered: t.ActionsAnswered, ActionsRefused: t.ActionsRefused, ActionsUnknown: t.ActionsUnknown,
		Coverage:             t.Coverage(),
		P50Ms:                t.Quantile("", 50),
		P99Ms:                t.Quantile("", 99),
		ExtraLoad:            max(0, float64(c.Runs)/float64(max(t.ExpectedSubRequests, 1))-1),
		ColdViolations:       c.ColdViolations,
		ZoneViolations:       c.ZoneViolations,
		LeavingViolations:    c.LeavingViolations,
		SlotViolations:       c.SlotViolations,
		ConnectionViolations: c.ConnectionViolations,
		SnapshotViolations:   t.SnapshotViolations,
		CoverageViolations:   t.CoverageViolations,
		CrossedAnswers:       t.WrongQueryViolations,
		FalseRefusals:        d.runner.FalseRefusals(),
		DuplicateRuns:        c.DuplicateRuns,
		ConnectionsLost:      t.ConnectionsLost,
		ConfigReverts:        d.reverts,
		InForceMs:            float64(d.applyTime.Microseconds()) / 1000,
	}
	r.Promises = promises(r)
	for i := range r.Promises {
		// Within the grace period the stand-ins count no violations of P4 and P8.
		switch p := &r.Promises[i]; p.ID {
		case "P4":
			p.Shown = d.zoneOutTime > dgstandin.DefaultGrace
		case "P8":
			p.Shown = time.Since(d.drainStart) > dgstandin.DefaultGrace
		}
	}
	return r
}

// promises compares the report with the ten promises. A promise is held if the
// stand-ins and the callers counted no violation of it. P10 also requires that the
// change was in force within inForceTarget.
func promises(r *Report) []Promise {
	count := func(id, text string, n int64, unit string) Promise {
		return Promise{ID: id, Promise: text, Held: n == 0, Shown: true, Evidence: fmt.Sprintf("%d %s", n, unit)}
	}
	inForce := count("P10", "an accepted configuration is in force everywhere and never reverts", r.ConfigReverts, "reverts")
	inForce.Held = inForce.Held && r.InForceMs >= 0 && r.InForceMs <= float64(inForceTarget.Milliseconds())
	inForce.Evidence += fmt.Sprintf(", in force after %.0f ms", r.InForceMs)
	cold := count("P3", "cold backend servers receive no more load than they can handle", r.ColdViolations, "requests above the cold limit")
	cold.Evidence += fmt.Sprintf(", %d above the slots, %d above the connections", r.SlotViolations, r.ConnectionViolations)
	cold.Held = cold.Held && r.SlotViolations == 0 && r.ConnectionViolations == 0
	return []Promise{
		count("P1", "every answer comes from one snapshot", r.SnapshotViolations, "answers with hits of another version"),
		count("P2", "the reported coverage is the actual coverage", r.CoverageViolations, "answers whose parts differ from the report"),
		cold,
		count("P4", "a zone taken out receives no new work", r.ZoneViolations, "requests after 3 s"),
		count("P5", "each caller receives its own whole answer", r.CrossedAnswers, "answers with hits of another query"),
		count("P6", "\"not run\" is true", r.FalseRefusals, "refused actions that ran"),
		count("P7", "actions run at most once", r.DuplicateRuns, "actions that ran twice"),
		count("P8", "leaving backend servers receive no new work", r.LeavingViolations, "requests after 3 s"),
		count("P9", "planned stops cut off no request", r.ConnectionsLost, "requests cut off"),
		inForce,
	}
}

// Print writes the report as a human-readable table.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "searches\t%d\tanswered in full %d, in part %d, refused %d, unknown %d\n", r.Searches, r.Answered, r.Partial, r.Refused, r.Unknown)
	fmt.Fprintf(w, "actions\t%d\tanswered %d, refused %d, unknown %d\n", r.Actions, r.ActionsAnswered, r.ActionsRefused, r.ActionsUnknown)
	fmt.Fprintf(w, "latency\t\tp50 %.1f ms, p99 %.1f ms\n", r.P50Ms, r.P99Ms)
	fmt.Fprintf(w, "coverage\t\t%.3f%%\n", 100*r.Coverage)
	fmt.Fprintf(w, "extra load\t\t%.2f%%\n\n", 100*r.ExtraLoad)
	for _, p := range r.Promises {
		state := "held"
		switch {
		case !p.Held:
			state = "BROKEN"
		case !p.Shown:
			state = "run too short"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", p.ID, state, strings.TrimSpace(p.Promise), p.Evidence)
	}
	return w.Flush()
}
