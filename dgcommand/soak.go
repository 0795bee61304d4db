package dgcommand

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap/dgsoak"
	"github.com/sourcegraph/conc/pool"
)

// SoakCommand injects faults into processes of the edge daemon and checks its promises.
type SoakCommand struct {
	Program  string        `default:"target/dandeliongap-edge" help:"The daemon." type:"path"`
	Seed     []uint64      `help:"Seeds to play; may be repeated. Default: --seeds fresh ones."`
	Seeds    int           `default:"1" help:"Number of fresh seeds."`
	For      time.Duration `default:"20s" help:"Time in which faults begin. A soak takes 25 to 45 s longer."`
	VMs      int           `name:"vms" default:"6" help:"Number of VMs."`
	Parallel int           `default:"1" help:"Soaks that run at the same time."`
	Only     []int         `help:"Numbers of the steps to play, from 1, to cut a failing seed down. Default: all."`
	Untimed  bool          `help:"Leave out promises with a time bound, for a busy machine."`
	Dir      string        `type:"path" help:"Folder for settings and logs. Default: a temporary one, which is removed if all promises hold."`
	Report   string        `type:"path" help:"File for a JSON list of the reports."`
}

// Help adds an example and the exit codes.
func (SoakCommand) Help() string {
	return "Example: go build -o target/ ./cmd/dandeliongap-edge && dandeliongap soak --seeds 50 --parallel 3\n\n" +
		"Runs the daemon as separate processes on loopback, between stand-ins of the platform, and injects faults that the seed decides. " +
		"Package dgsoak lists the promises that it checks.\n\n" +
		"Exit codes: 0 all promises held, 1 otherwise."
}

// Validate implements kong.Validatable.
func (c *SoakCommand) Validate() error {
	if c.VMs < 1 || c.Parallel < 1 || c.Seeds < 1 || c.For <= 0 {
		return errors.New("--vms, --parallel, --seeds and --for must be positive")
	}
	sorted := slices.Sorted(slices.Values(c.Seed))
	if len(slices.Compact(sorted)) < len(c.Seed) {
		return errors.New("--seed: each seed once, as its name is that of its folder")
	}
	return nil
}

// Run plays the seeds and prints a line for each.
func (c *SoakCommand) Run(env *Env) error {
	if _, err := os.Stat(c.Program); err != nil {
		return fmt.Errorf("daemon: %w; build it with: go build -o target/ ./cmd/dandeliongap-edge", err)
	}
	seeds := c.Seed
	if len(seeds) == 0 {
		first := uint64(time.Now().UnixNano())
		for i := range c.Seeds {
			seeds = append(seeds, first+uint64(i))
		}
	}
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "dandeliongap-soak-"); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	var reports []dgsoak.Report
	broken := false
	p := pool.New().WithErrors().WithMaxGoroutines(c.Parallel)
	for _, seed := range seeds {
		p.Go(func() error {
			r, err := c.play(env, seed, filepath.Join(dir, fmt.Sprint(seed)))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				reports = append(reports, r)
				err = c.print(env, r)
			}
			broken = broken || err != nil || len(r.Violations) > 0
			return err
		})
	}
	err := p.Wait()
	if c.Report != "" {
		err = errors.Join(err, writeReports(c.Report, reports))
	}
	if err == nil && broken {
		return ErrFailed
	}
	if err == nil && c.Dir == "" {
		return os.RemoveAll(dir)
	}
	return err
}

func writeReports(file string, reports []dgsoak.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(printJSON(f, reports), f.Close())
}

func (c *SoakCommand) play(env *Env, seed uint64, dir string) (dgsoak.Report, error) {
	platform, err := env.NewPlatform()
	if err != nil {
		return dgsoak.Report{}, err
	}
	defer func() { _ = platform.Close() }()
	steps := dgsoak.Draw(seed, c.For)
	if len(c.Only) > 0 {
		all := steps
		steps = nil
		for _, n := range c.Only {
			if n < 1 || n > len(all) {
				return dgsoak.Report{}, fmt.Errorf("step %d does not exist: seed %d has %d", n, seed, len(all))
			}
			steps = append(steps, all[n-1])
		}
	}
	r, err := dgsoak.Run(env.Ctx, dgsoak.Options{
		Program: c.Program, Dir: dir, Platform: platform, Seed: seed, Length: c.For, VMs: c.VMs, Steps: steps, Untimed: c.Untimed,
		Bounds: dgsoak.DefaultBounds(), Progress: env.progress(),
	})
	if err != nil {
		return r, fmt.Errorf("seed %d: %w", seed, err)
	}
	return r, nil
}

// maxViolations is the number of broken promises that are printed for a seed. The report
// has all.
const maxViolations = 20

// print prints the result of a seed, and for a broken promise how to play it again.
func (c *SoakCommand) print(env *Env, r dgsoak.Report) error {
	_, err := fmt.Fprintf(env.Out, "seed %d: %d requests, %d served, %d refused, %d failed, %d arrivals, %d processes, at most %d MB and %d descriptors, %d broken promises\n",
		r.Seed, r.Requests, r.Served, r.Refused, r.Failed, r.Arrivals, r.Starts, r.MostMemory>>20, r.MostFiles, len(r.Violations))
	if len(r.Violations) == 0 || err != nil {
		return err
	}
	for i, step := range r.Steps {
		if _, err = fmt.Fprintf(env.Out, "  step %d: %s\n", i+1, step); err != nil {
			return err
		}
	}
	for i, v := range r.Violations {
		if i == maxViolations {
			if _, err = fmt.Fprintf(env.Out, "  and %d more\n", len(r.Violations)-i); err != nil {
				return err
			}
			break
		}
		if _, err = fmt.Fprintf(env.Out, "  %.3f s %s %s\n", time.Duration(v.At).Seconds(), v.Promise, v.Text); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(env.Out, "  logs: %s\n  again: dandeliongap soak --program %s --seed %d --for %s --vms %d\n", r.Dir, c.Program, r.Seed, c.For, c.VMs)
	return err
}
