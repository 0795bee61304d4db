package dgcommand

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dandeliongap.example/dandeliongap/dgplot"
)

// PlotCommand draws reports of runs as one PNG.
type PlotCommand struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports of runs, at most four."`
	Out     string   `short:"o" default:"runs.png" type:"path" help:"PNG file to write."`
}

// Help adds an example.
func (PlotCommand) Help() string {
	return "Example: dandeliongap plot before.json after.json --out compare.png\n\n" +
		"Draws what callers got and their latencies over time, and what each kind of request got."
}

// Run writes the PNG to a temporary file and renames it, so that an existing file is
// kept if drawing fails.
func (c *PlotCommand) Run(env *Env) error {
	var runs []dgplot.Run
	for _, path := range c.Reports {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		report, err := env.DecodeReport(text)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		runs = append(runs, dgplot.Run{Name: name, Report: report})
	}
	f, err := os.CreateTemp(filepath.Dir(c.Out), ".plot-*")
	if err != nil {
		return err
	}
	err = errors.Join(dgplot.Draw(f, runs), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), c.Out)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	_, err = fmt.Fprintln(env.Out, c.Out)
	return err
}
