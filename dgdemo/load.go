package dgdemo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgstandin"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
)

// Fault is a fault that a load run injects at a given time.
type Fault string

// Faults of a load run.
const (
	FaultNone         Fault = "none"
	FaultStraggler    Fault = "straggler"     // 1 in 100 sub-requests takes 20 times as long as the others
	FaultReplicaLost  Fault = "replica-lost"  // one replica of the first shard stops
	FaultShardLost    Fault = "shard-lost"    // every replica of the first shard stops
	FaultCold         Fault = "cold"          // every sixth backend server turns cold
	FaultZone         Fault = "zone"          // the last zone is taken out, and returned after 5 s
	FaultPlatformDown Fault = "platform-down" // the platform refuses connections until the end of the run
	FaultVMReplaced   Fault = "vm-replaced"   // one VM is shut down and replaced
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultStraggler, FaultReplicaLost, FaultShardLost, FaultCold, FaultZone, FaultPlatformDown, FaultVMReplaced}
}

// LoadOptions are the options of Load.
type LoadOptions struct {
	Text     string
	Rate     float64 // requests per second
	Length   time.Duration
	Seed     uint64
	Fault    Fault
	At       time.Duration // time of the fault since the start of the load
	Baseline bool          // also run the baseline policy, with the same seed
	Log      io.Writer     // receives the decision logs; may be nil
	// Progress receives the name of the policy and the fraction of its load that was
	// sent. It may be nil.
	Progress func(what string, share float64)
}

// LoadResult holds the results of one policy.
type LoadResult struct {
	Policy                                          string
	Searches, Answered, Partial, Refused, Unknown   int64
	ActionsAnswered, ActionsRefused, ActionsUnknown int64
	Coverage                                        float64
	P50Ms, P99Ms, P999Ms                            float64
	UrgentP99Ms                                     float64
	ExtraLoad                                       float64
	Violations                                      int64 // of all promises that the stand-ins and callers check
}

// LoadReport holds the results of all policies of one run.
type LoadReport struct {
	Fault   Fault
	Rate    float64
	Seconds float64
	Seed    uint64
	Results []LoadResult
}

// zoneOutDuration is the time until FaultZone returns the zone.
const zoneOutDuration = 5 * time.Second

// Load runs the load for each policy in turn, each time against a new embedded
// cluster.
func Load(ctx context.Context, o LoadOptions) (*LoadReport, error) {
	if o.Progress == nil {
		o.Progress = func(string, float64) {}
	}
	report := &LoadReport{Fault: o.Fault, Rate: o.Rate, Seconds: o.Length.Seconds(), Seed: o.Seed}
	policies := []bool{false}
	if o.Baseline {
		policies = []bool{true, false}
	}
	for _, baseline := range policies {
		r, err := runPolicy(ctx, o, baseline)
		if err != nil {
			return nil, err
		}
		report.Results = append(report.Results, *r)
	}
	return report, nil
}

func policyName(baseline bool) string {
	if baseline {
		return "baseline"
	}
	return "chosen"
}

func runPolicy(ctx context.Context, o LoadOptions, baseline bool) (*LoadResult, error) {
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	service := ServiceTime
	service.StragglerShare = 0 // only FaultStraggler causes stragglers
	o.Progress(policyName(baseline)+": starting", 0)
	c, err := NewCluster(startCtx, ClusterOptions{Text: o.Text, VMs: demoVMs, Seed: o.Seed, Service: service, Baseline: baseline, Log: o.Log})
	if err != nil {
		return nil, err
	}
	r, err := runLoad(ctx, c, o, baseline)
	if cerr := c.Close(); err == nil {
		err = cerr
	}
	return r, trace.Wrap(err)
}

func runLoad(ctx context.Context, c *Cluster, o LoadOptions, baseline bool) (*LoadResult, error) {
	runner, err := NewRunner(c, Mix(c.Deployment), o.Seed)
	if err != nil {
		return nil, err
	}
	defer runner.Close()
	runner.progress = func(share float64) { o.Progress(policyName(baseline), share) }
	var faults conc.WaitGroup
	var faultErr error
	faults.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(o.At):
			faultErr = injectFault(ctx, c, o.Fault)
		}
	})
	runner.Run(ctx, o.Rate, o.Length)
	faults.Wait()
	if faultErr != nil {
		return nil, faultErr
	}
	return newLoadResult(c, runner, baseline), nil
}

// injectFault injects the fault. It returns at once, except that it waits for the
// return of the zone (FaultZone) and the shutdown of the old VM (FaultVMReplaced).
func injectFault(ctx context.Context, c *Cluster, f Fault) error {
	d := &demo{cluster: c}
	switch f {
	case FaultStraggler:
		c.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { b.SetServiceTime(ServiceTime) })
	case FaultReplicaLost:
		c.Fleet.OfService(d.firstLeaf())[0].Stop()
	case FaultShardLost:
		for _, b := range c.Fleet.OfService(d.firstLeaf()) {
			b.Stop()
		}
	case FaultCold:
		return d.turnBackendsCold()
	case FaultZone:
		return takeZoneOutAndReturn(ctx, d)
	case FaultPlatformDown:
		return c.Platform.SetFaults(dgstandin.PlatformFaults{Down: dgstandin.Refused})
	case FaultVMReplaced:
		return c.ReplaceVM(0)
	}
	return nil
}

func takeZoneOutAndReturn(ctx context.Context, d *demo) error {
	client, err := d.cluster.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	zone := d.cluster.Deployment.Zones[len(d.cluster.Deployment.Zones)-1]
	if err := d.setZone(ctx, client, zone, true); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(zoneOutDuration):
	}
	return d.setZone(ctx, client, zone, false)
}

func newLoadResult(c *Cluster, runner *Runner, baseline bool) *LoadResult {
	t := runner.tally
	n := c.Fleet.Counters()
	return &LoadResult{
		Policy:   policyName(baseline),
		Searches: t.Searches, Answered: t.Answered, Partial: t.Partial, Refused: t.Refused, Unknown: t.Unknown,
		ActionsAnswered: t.ActionsAnswered, ActionsRefused: t.ActionsRefused, ActionsUnknown: t.ActionsUnknown,
		Coverage:    t.Coverage(),
		P50Ms:       t.Quantile("", 50),
		P99Ms:       t.Quantile("", 99),
		P999Ms:      t.Quantile("", 99.9),
		UrgentP99Ms: t.Quantile("urgent", 99),
		ExtraLoad:   max(0, float64(n.Runs)/float64(max(t.ExpectedSubRequests, 1))-1),
		Violations: n.Violations() + t.SnapshotViolations + t.CoverageViolations + t.WrongQueryViolations +
			runner.FalseRefusals(),
	}
}

// Print writes the report as a human-readable table.
func (r *LoadReport) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "fault %s, %.0f requests/s for %.0f s, seed %d\n\n", r.Fault, r.Rate, r.Seconds, r.Seed)
	fmt.Fprintln(w, "POLICY\tSEARCHES\tFULL\tPARTIAL\tREFUSED\tUNKNOWN\tCOVERAGE\tP50 MS\tP99 MS\tP99.9 MS\tURGENT P99\tEXTRA LOAD\tVIOLATIONS")
	for _, x := range r.Results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%d\n", x.Policy, x.Searches, x.Answered,
			x.Partial, x.Refused, x.Unknown, 100*x.Coverage, x.P50Ms, x.P99Ms, x.P999Ms, x.UrgentP99Ms, 100*x.ExtraLoad, x.Violations)
	}
	return w.Flush()
}
