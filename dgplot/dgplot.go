// Package dgplot draws the reports of several runs in one picture, so that versions of
// the tier can be compared by eye.
package dgplot

import (
	"fmt"
	"image/color"
	"io"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Run is the report of one run, with its name in the legend.
type Run struct {
	Name   string
	Report dandeliongap.RunReport
}

const (
	width, height = 24 * vg.Centimeter, 30 * vg.Centimeter
	panels        = 3
	barWidth      = 12 * vg.Millimeter

	worthAxisMax     = 1.25 // leaves room for the legend above 1
	latencyAxisMaxMs = 1e5  // ms; leaves room for the legend above the longest deadlines
)

// colors holds one color per run. Readers with red-green color blindness can tell
// them apart.
var colors = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
}

// MaxRuns is the number of runs that one picture can show: one for each of colors.
const MaxRuns = 4

// Draw writes a PNG with three panels: the worth (see dandeliongap.RequestStats) over
// time, the latencies over time, and the worth of each kind of request.
func Draw(w io.Writer, runs []Run) error {
	if len(runs) == 0 || len(runs) > MaxRuns {
		return fmt.Errorf("%w: %d reports, want 1 to %d", dandeliongap.ErrInvalid, len(runs), MaxRuns)
	}
	img := vgimg.New(width, height)
	area := draw.New(img)
	tiles := draw.Tiles{Rows: panels, Cols: 1, PadTop: vg.Centimeter / 2, PadBottom: vg.Centimeter / 2, PadLeft: vg.Centimeter / 2, PadRight: vg.Centimeter / 2, PadY: vg.Centimeter}
	for row, panel := range []func([]Run) (*plot.Plot, error){plotWorth, plotLatency, plotRoutes} {
		p, err := panel(runs)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(area, 0, row))
	}
	_, err := vgimg.PngCanvas{Canvas: img}.WriteTo(w)
	return err
}

// timeSeries returns one point per time window: the second at which it begins, and
// value of its statistics.
func timeSeries(windows []dandeliongap.RequestStats, value func(dandeliongap.RequestStats) float64) (plotter.XYs, error) {
	var out plotter.XYs
	for _, s := range windows {
		begin, err := strconv.ParseFloat(s.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: the name of time window %q is not a number of seconds", dandeliongap.ErrInvalid, s.Name)
		}
		out = append(out, plotter.XY{X: begin, Y: value(s)})
	}
	return out, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.TextStyle.Font.Size = font.Length(14)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a line with a legend entry.
func addLine(p *plot.Plot, name string, xys plotter.XYs, c color.Color, dashed bool) error {
	l, err := plotter.NewLine(xys)
	if err != nil {
		return fmt.Errorf("line %q: %w", name, err)
	}
	l.Color, l.Width = c, vg.Points(1.5)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

func plotWorth(runs []Run) (*plot.Plot, error) {
	p := newPlot("What callers got", "second", "share of what they were owed")
	p.Y.Min, p.Y.Max = 0, worthAxisMax
	for i, r := range runs {
		xys, err := timeSeries(r.Report.Windows, func(s dandeliongap.RequestStats) float64 { return s.Worth })
		if err != nil {
			return nil, err
		}
		if err := addLine(p, fmt.Sprintf("%s, worth %.3f", r.Name, r.Report.Worth), xys, colors[i], false); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func plotLatency(runs []Run) (*plot.Plot, error) {
	p := newPlot("Latency", "second", "ms, logarithmic")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 1, latencyAxisMaxMs
	ms := func(d time.Duration) float64 { return max(1, float64(d)/float64(time.Millisecond)) }
	for i, r := range runs {
		for _, line := range []struct {
			name   string
			value  func(dandeliongap.RequestStats) float64
			dashed bool
		}{
			{"median", func(s dandeliongap.RequestStats) float64 { return ms(s.P50) }, false},
			{"p99", func(s dandeliongap.RequestStats) float64 { return ms(s.P99) }, true},
		} {
			xys, err := timeSeries(r.Report.Windows, line.value)
			if err != nil {
				return nil, err
			}
			if err := addLine(p, r.Name+", "+line.name, xys, colors[i], line.dashed); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

func plotRoutes(runs []Run) (*plot.Plot, error) {
	p := newPlot("By kind of request", "", "share of what they were owed")
	p.Y.Min, p.Y.Max = 0, worthAxisMax
	var names []string
	for i, r := range runs {
		var values plotter.Values
		for k, s := range r.Report.Routes {
			values = append(values, s.Worth)
			if k == len(names) {
				names = append(names, s.Name)
			}
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, fmt.Errorf("bars of %q: %w", r.Name, err)
		}
		bars.Color = colors[i]
		bars.Offset = barWidth * vg.Length(2*i-len(runs)+1) / 2
		p.Add(bars)
		p.Legend.Add(r.Name, bars)
	}
	if len(names) > 0 {
		p.NominalX(names...)
	} else {
		p.X.Min, p.X.Max = 0, 1
	}
	return p, nil
}
