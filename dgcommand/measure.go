package dgcommand

import (
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgcapacity"
	"dandeliongap.example/dandeliongap/dgsettings"
	"dandeliongap.example/dandeliongap/dgtrial"
	"dandeliongap.example/dandeliongap/examples"
)

// CapacityCommand measures how the cost of one VM grows with the deployment. Its
// figures are in docs/CAPACITY.md.
type CapacityCommand struct {
	dgcapacity.Command `embed:""`
}

// Help adds an example.
func (CapacityCommand) Help() string {
	return "Example: dandeliongap capacity --seed 1 --json capacity.json\n\nThe full run takes about two minutes."
}

// Run prints one table of measured values, slopes and extrapolations.
func (c *CapacityCommand) Run(env *Env) error { return c.Measure(env.Ctx, env.Out) }

// MeasureCommand measures the decisions of the request path on a virtual clock.
type MeasureCommand struct {
	Cases    []string `arg:"" optional:"" help:"Cases to measure; by default all."`
	Seed     uint64   `default:"1" help:"Seed of arrivals and service times."`
	Baseline bool     `default:"true" negatable:"" help:"Run the baseline policy with the same seed too."`
	JSON     bool     `name:"json" help:"Print one JSON object."`
}

// Help adds an example, the cases and the exit codes.
func (MeasureCommand) Help() string {
	return fmt.Sprintf("Example: dandeliongap measure straggler zone --seed 7\n\nCases: %v.\n\n"+
		"Runs both example deployments. Exit codes: 0 every target is kept, 1 otherwise.", dgtrial.Cases())
}

// Time of a message between two availability zones in the example deployments.
const (
	kelaniZoneDelay = 1500 * time.Microsecond
	stejarZoneDelay = 500 * time.Microsecond
)

// Run prints one row per measured quantity.
func (c *MeasureCommand) Run(env *Env) error {
	o := dgtrial.Options{Cases: c.Cases, Seed: c.Seed, SkipBaseline: !c.Baseline, Progress: env.progress()}
	for _, t := range []struct {
		text  string
		delay time.Duration
	}{{dgexamples.Kelani, kelaniZoneDelay}, {dgexamples.Stejar, stejarZoneDelay}} {
		d, faults := dgsettings.ParseDeployment("example", []byte(t.text))
		if faults.Any() {
			return fmt.Errorf("%w:\n%s", dandeliongap.ErrInvalid, faults)
		}
		o.Targets = append(o.Targets, dgtrial.Target{Deployment: d, ZoneDelay: t.delay})
	}
	r, err := dgtrial.Run(o)
	if err != nil {
		return err
	}
	if c.JSON {
		err = r.PrintJSON(env.Out)
	} else {
		err = r.Print(env.Out)
	}
	if err == nil && !r.Held {
		return ErrFailed
	}
	return err
}
