package dgtext

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dandeliongap.example/dandeliongap"
	"github.com/gravitational/trace"
)

// Fault is one reason why a text is not accepted.
type Fault struct {
	Line    int    // from 1, inside the text
	Check   string // name of the check that found it
	Message string
}

// Faults lists what is wrong with one text. The zero value means that nothing is.
type Faults struct {
	File string // name of the text, as the reader of a fault knows it
	List []Fault
}

// NewFaults returns the faults of a file, sorted by line, check and message,
// each once.
func NewFaults(file string, list []Fault) Faults {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Check, b.Check),
			cmp.Compare(a.Message, b.Message))
	})
	return Faults{File: file, List: slices.Compact(sorted)}
}

// Any reports whether there is a fault.
func (f Faults) Any() bool { return len(f.List) > 0 }

// String returns one line "FILE:LINE: message" per fault, sorted by line.
func (f Faults) String() string {
	var b strings.Builder
	for _, fault := range f.List {
		fmt.Fprintf(&b, "%s:%d: %s\n", f.File, fault.Line, fault.Message)
	}
	return b.String()
}

// Head returns the first n lines of String and a line with the number of the
// others, for readers that bound the size of a message: a text of one megabyte
// can have half a million faults.
func (f Faults) Head(n int) string {
	if n >= len(f.List) {
		return f.String()
	}
	head := Faults{File: f.File, List: f.List[:n]}
	return fmt.Sprintf("%s%s: %d more faults\n", head, f.File, len(f.List)-n)
}

// Err returns nil if there is no fault, else an error that wraps
// dandeliongap.ErrInvalid and whose text lists all faults.
func (f Faults) Err() error {
	if !f.Any() {
		return nil
	}
	return trace.Wrap(dandeliongap.ErrInvalid, "%s", strings.TrimSuffix(f.String(), "\n"))
}

// Report collects the faults that one check finds. Its user adds the name of the
// check.
type Report []Fault

// Add appends a fault.
func (r *Report) Add(line int, format string, args ...any) {
	*r = append(*r, Fault{Line: line, Message: fmt.Sprintf(format, args...)})
}
