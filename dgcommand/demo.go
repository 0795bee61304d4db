package dgcommand

import (
	"fmt"
	"io"
	"os"
	"time"

	"dandeliongap.example/dandeliongap/dgdemo"
	"dandeliongap.example/dandeliongap/examples"
)

// DemoCommand runs the demo.
type DemoCommand struct {
	Config  string  `help:"Deployment text; by default the Kelani example." type:"existingfile"`
	Seconds float64 `default:"10" help:"Length of the load. Two promises show only in runs of 7 s and more."`
	Seed    uint64  `default:"1" help:"Seed of arrivals and service times."`
	Log     string  `help:"File for the decision logs of all VMs." type:"path"`
	JSON    bool    `name:"json" help:"Print one JSON object as the last line."`
}

// Help adds an example and the exit codes.
func (DemoCommand) Help() string {
	return "Example: dandeliongap demo --config examples/stejar.ini --seconds 20 --seed 7\n\n" +
		"Exit codes: 0 every promise held and searches were answered, 1 otherwise."
}

// Run runs the demo and prints for each promise (a guarantee of the tier) whether
// it held.
func (c *DemoCommand) Run(env *Env) error {
	text, err := readTextOr(c.Config, dgexamples.Kelani)
	if err != nil {
		return err
	}
	logs, closeLogs, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLogs()
	r, err := dgdemo.Run(env.Ctx, dgdemo.Options{
		Text:     text,
		Length:   time.Duration(c.Seconds * float64(time.Second)),
		Seed:     c.Seed,
		Log:      logs,
		Progress: env.progress(),
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(env.Out, r)
	} else {
		err = r.Print(env.Out)
	}
	if err == nil && !r.Held() {
		return ErrFailed
	}
	return err
}

// readTextOr returns the content of file, or fallback if file is empty.
func readTextOr(file, fallback string) (string, error) {
	if file == "" {
		return fallback, nil
	}
	b, err := os.ReadFile(file)
	return string(b), err
}

// openLog creates the file for decision logs and returns it with a function that
// closes it. The writer is nil if file is empty.
func openLog(file string) (io.Writer, func(), error) {
	if file == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, nil, err
	}
	return f, func() { _ = f.Close() }, nil
}

// progress returns a function that prints the current step to standard error, or nil
// if standard output is not a terminal.
func (e *Env) progress() func(string) {
	if !e.IsTerm {
		return nil
	}
	return func(what string) { fmt.Fprintln(e.Err, "...", what) }
}

// LoadCommand runs an open-loop load with one fault or none.
type LoadCommand struct {
	Config   string        `help:"Deployment text; by default the Kelani example." type:"existingfile"`
	Rate     float64       `default:"200" help:"Requests per second; arrivals do not wait for answers."`
	Seconds  float64       `default:"20" help:"Length of the load."`
	Seed     uint64        `default:"1" help:"Seed of arrivals and service times."`
	Fault    dgdemo.Fault  `default:"none" enum:"none,straggler,replica-lost,shard-lost,cold,zone,platform-down,vm-replaced" help:"Fault to show: ${enum}."`
	At       time.Duration `default:"5s" help:"Time of the fault, from the start of the load."`
	Baseline bool          `default:"true" negatable:"" help:"Run the baseline policy with the same seed too."`
	Log      string        `help:"File for the decision logs of all VMs." type:"path"`
	JSON     bool          `name:"json" help:"Print one JSON object as the last line."`
}

// Help adds an example.
func (LoadCommand) Help() string {
	return "Example: dandeliongap load --fault zone --rate 300 --seconds 30\n\n" +
		"The load runs against an embedded cluster of the real programs on loopback, once with the baseline policy\n" +
		"(random replica, no hedge, fixed timeout) and once with the chosen one."
}

// Run runs the load and prints one row per policy.
func (c *LoadCommand) Run(env *Env) error {
	text, err := readTextOr(c.Config, dgexamples.Kelani)
	if err != nil {
		return err
	}
	logs, closeLogs, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLogs()
	r, err := dgdemo.Load(env.Ctx, dgdemo.LoadOptions{
		Text:     text,
		Rate:     c.Rate,
		Length:   time.Duration(c.Seconds * float64(time.Second)),
		Seed:     c.Seed,
		Fault:    c.Fault,
		At:       c.At,
		Baseline: c.Baseline,
		Log:      logs,
		Progress: env.loadProgress(),
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, r)
	}
	return r.Print(env.Out)
}

// progressInterval is the minimum time between two progress lines.
const progressInterval = 2 * time.Second

// loadProgress returns a function that prints the completed share to standard error,
// at most once per progressInterval, or nil if standard output is not a terminal.
func (e *Env) loadProgress() func(string, float64) {
	if !e.IsTerm {
		return nil
	}
	var last time.Time
	return func(what string, share float64) {
		if time.Since(last) < progressInterval {
			return
		}
		last = time.Now()
		fmt.Fprintf(e.Err, "... %s %.0f%%\n", what, 100*share)
	}
}

// ControlCommand measures the control plane: platform calls and bytes while idle,
// and the time that configuration changes take.
type ControlCommand struct {
	Config  string  `help:"Deployment text; by default the Kelani example." type:"existingfile"`
	Seconds float64 `default:"30" help:"Length of the idle phase."`
	Changes int     `default:"8" help:"Changes of the configuration, without and with lost answers of the platform."`
	JSON    bool    `name:"json" help:"Print one JSON object."`
}

// Help adds an example and the exit codes.
func (ControlCommand) Help() string {
	return "Example: dandeliongap control --seconds 60\n\nExit codes: 0 every target is kept, 1 otherwise."
}

// Run measures an embedded cluster of six VMs and prints the results.
func (c *ControlCommand) Run(env *Env) error {
	text, err := readTextOr(c.Config, dgexamples.Kelani)
	if err != nil {
		return err
	}
	r, err := dgdemo.MeasureControl(env.Ctx, dgdemo.ControlOptions{
		Text:     text,
		Idle:     time.Duration(c.Seconds * float64(time.Second)),
		Changes:  c.Changes,
		Progress: env.progress(),
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(env.Out, r)
	} else {
		err = r.Print(env.Out)
	}
	if err == nil && !r.Held() {
		return ErrFailed
	}
	return err
}
