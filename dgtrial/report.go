package dgtrial

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Measure is one measured value of a case, for the chosen policy and for the
// baseline. A bound applies to the chosen policy.
type Measure struct {
	Name     string
	Unit     string // empty for ratios and counts
	Chosen   float64
	Baseline float64
	AtMost   *float64 `json:",omitempty"`
	AtLeast  *float64 `json:",omitempty"`
	Held     bool     // the chosen policy meets the bound, or there is none
}

// Row is the result of one case for one deployment.
type Row struct {
	Case       string
	Deployment string
	Measures   []Measure
	Held       bool // every bound is met
}

// Report is the result of Run.
type Report struct {
	Seed uint64
	Rows []Row
	Held bool // every bound of every row is met
}

// atMost adds a measure with an upper bound.
func (r *Row) atMost(name, unit string, bound float64, f func(runPair) float64, runs [2]runPair) {
	m := Measure{Name: name, Unit: unit, Chosen: f(runs[0]), Baseline: f(runs[1]), AtMost: &bound}
	m.Held = m.Chosen <= bound
	r.add(m)
}

// atLeast adds a measure with a lower bound.
func (r *Row) atLeast(name, unit string, bound float64, f func(runPair) float64, runs [2]runPair) {
	m := Measure{Name: name, Unit: unit, Chosen: f(runs[0]), Baseline: f(runs[1]), AtLeast: &bound}
	m.Held = m.Chosen >= bound
	r.add(m)
}

// note adds a measure without a bound.
func (r *Row) note(name, unit string, f func(runPair) float64, runs [2]runPair) {
	r.add(Measure{Name: name, Unit: unit, Chosen: f(runs[0]), Baseline: f(runs[1]), Held: true})
}

func (r *Row) add(m Measure) {
	r.Measures = append(r.Measures, m)
	r.Held = r.Held && m.Held
}

// Bound returns the bound as text, or an empty string if there is none.
func (m *Measure) Bound() string {
	switch {
	case m.AtMost != nil:
		return fmt.Sprintf("at most %.4g", *m.AtMost)
	case m.AtLeast != nil:
		return fmt.Sprintf("at least %.4g", *m.AtLeast)
	default:
		return ""
	}
}

func (m *Measure) verdict() string {
	switch {
	case m.Bound() == "":
		return ""
	case m.Held:
		return "held"
	default:
		return "MISSED"
	}
}

// Print writes the report as a table.
func (r Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "case\tdeployment\tmeasure\tchosen\tbaseline\ttarget\tseed %d\n", r.Seed)
	for _, row := range r.Rows {
		for i := range row.Measures {
			m := &row.Measures[i]
			fmt.Fprintf(w, "%s\t%s\t%s\t%.4g %s\t%.4g %s\t%s\t%s\n", row.Case, row.Deployment, m.Name, m.Chosen, m.Unit, m.Baseline, m.Unit, m.Bound(), m.verdict())
		}
	}
	return w.Flush()
}

// PrintJSON writes the report as one JSON object. Its keys are the Go field names.
func (r Report) PrintJSON(out io.Writer) error {
	return json.NewEncoder(out).Encode(r)
}
