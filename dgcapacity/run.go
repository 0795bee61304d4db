package dgcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"
)

// Run measures all slopes and writes the table to out. Its error is that of ctx,
// of out, or says which measurement did not come to an end.
func Run(ctx context.Context, o Options, out io.Writer) (*Report, error) {
	o = o.withDefaults()
	began := time.Now()
	r := &Report{Date: began.Format(time.DateOnly), GoVersion: runtime.Version(), Cores: runtime.NumCPU(), Seed: o.Seed}
	for _, n := range o.Members {
		if err := measureControl(ctx, r, o, n); err != nil {
			return nil, err
		}
	}
	for _, measure := range []func(*Report, Options) error{measureFanout, measureWire, measureGate, measureDecisionLog} {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := measure(r, o); err != nil {
			return nil, err
		}
	}
	r.fit()
	r.derive()
	r.Seconds = time.Since(began).Seconds()
	return r, r.print(out)
}

// Command is the command line of this package, in the form that kong reads.
type Command struct {
	Quick bool   `help:"Run small sizes only, in a few seconds."`
	Seed  uint64 `help:"Seed of all random choices." default:"1"`
	JSON  string `name:"json" help:"File that receives the report as JSON." type:"path" placeholder:"FILE"`
}

// Measure runs the command and writes the table to out.
func (c Command) Measure(ctx context.Context, out io.Writer) error {
	r, err := Run(ctx, Options{Quick: c.Quick, Seed: c.Seed}, out)
	if err != nil || c.JSON == "" {
		return err
	}
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return os.WriteFile(c.JSON, append(body, '\n'), 0o644)
}
