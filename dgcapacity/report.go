package dgcapacity

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
)

// Point is one measured value.
type Point struct {
	Size  int // of the driving quantity
	Value float64
}

// Row is one measured quantity at each size.
type Row struct {
	Quantity  string
	Unit      string
	Driver    string // the quantity that the sizes count
	Points    []Point
	Slope     float64 // Unit per one of Driver
	Intercept float64
	Target    int     // size to which the line is extended
	AtTarget  float64 // Slope*Target + Intercept
	Budget    float64 `json:",omitempty"` // upper limit at the target; 0: none
	Note      string  `json:",omitempty"`
}

// Report is the result of a run.
type Report struct {
	Date      string
	GoVersion string
	Cores     int
	Seed      uint64
	Seconds   float64 // of the whole run
	Rows      []Row
	Derived   []Derived
}

// Derived is a value that follows from rows at the target scale.
type Derived struct {
	Quantity string
	Unit     string
	Value    float64
	From     string  // how it is worked out
	Budget   float64 `json:",omitempty"`
}

// Row returns the row of a quantity, or nil.
func (r *Report) Row(quantity string) *Row {
	for i := range r.Rows {
		if r.Rows[i].Quantity == quantity {
			return &r.Rows[i]
		}
	}
	return nil
}

// add puts a value into the row of its quantity, which it creates if needed.
func (r *Report) add(quantity, unit, driver string, size int, value float64) *Row {
	row := r.Row(quantity)
	if row == nil {
		r.Rows = append(r.Rows, Row{Quantity: quantity, Unit: unit, Driver: driver, Target: targetOf(driver)})
		row = &r.Rows[len(r.Rows)-1]
	}
	row.Points = append(row.Points, Point{Size: size, Value: value})
	return row
}

// Quantities that drive a cost.
const (
	drivenByMembers  = "members"
	drivenByReplicas = "replicas"
	drivenByShards   = "shards"
	drivenByItems    = "items"
	drivenByQueue    = "queued"
	drivenByHits     = "hits"
)

func targetOf(driver string) int {
	switch driver {
	case drivenByMembers:
		return TargetMembers
	case drivenByReplicas:
		return TargetReplicas
	case drivenByShards:
		return TargetShards
	default:
		return 0
	}
}

// fit sets the least-squares line of each row (S6).
func (r *Report) fit() {
	for i := range r.Rows {
		row := &r.Rows[i]
		row.Slope, row.Intercept = line(row.Points)
		if row.Target > 0 {
			row.AtTarget = row.Slope*float64(row.Target) + row.Intercept
		}
	}
}

// line returns the least-squares line through points. With fewer than two sizes
// it is level.
func line(points []Point) (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		x := float64(p.Size)
		n++
		sx += x
		sy += p.Value
		sxx += x * x
		sxy += x * p.Value
	}
	if n == 0 {
		return 0, 0
	}
	if d := n*sxx - sx*sx; d > 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return slope, (sy - slope*sx) / n
}

// print writes the rows as one table.
func (r *Report) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "quantity\tunit\tsize = value\tslope\tat target\tbudget\n")
	for i := range r.Rows {
		row := &r.Rows[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s per %s\t%s\t%s\n", row.Quantity, row.Unit, points(row), number(row.Slope), row.Driver,
			atTarget(row), budget(row))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := r.printDerived(w); err != nil {
		return err
	}
	for i := range r.Rows {
		if row := &r.Rows[i]; row.Note != "" {
			if _, err := fmt.Fprintf(w, "note: %s: %s\n", row.Quantity, row.Note); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "%s, %s, %d cores, seed %d, %.1f s\n", r.Date, r.GoVersion, r.Cores, r.Seed, r.Seconds)
	return err
}

func (r *Report) printDerived(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nat the target scale, per VM\tunit\tvalue\tbudget\tfrom\n")
	for _, d := range r.Derived {
		limit := "-"
		if d.Budget != 0 {
			limit = number(d.Budget)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", d.Quantity, d.Unit, number(d.Value), limit, d.From)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func points(row *Row) string {
	if len(row.Points) == 0 {
		return "-"
	}
	s := row.Driver
	for _, p := range row.Points {
		s += " " + strconv.Itoa(p.Size) + "=" + number(p.Value)
	}
	return s
}

func atTarget(row *Row) string {
	if row.Target == 0 {
		return "-"
	}
	return number(row.AtTarget)
}

func budget(row *Row) string {
	if row.Budget == 0 {
		return "-"
	}
	return number(row.Budget)
}

// number prints three significant digits.
func number(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
