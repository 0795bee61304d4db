package dgtext

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dandeliongap.example/dandeliongap"
	"github.com/gravitational/trace"
)

// Fault is one reason why a text is rejected.
type Fault struct {
	Line    int    // line of the text, starting at 1
	Check   string // name of the check that found it
	Message string
}

// Faults lists the faults of one text. The zero value has none.
type Faults struct {
	File string // name of the text, as shown to the operator
	List []Fault
}

// NewFaults returns the faults of a file, sorted by line, check and message,
// without duplicates.
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

// String returns one line "FILE:LINE: message" per fault, in the order of List.
func (f Faults) String() string {
	var b strings.Builder
	for _, fault := range f.List {
		fmt.Fprintf(&b, "%s:%d: %s\n", f.File, fault.Line, fault.Message)
	}
	return b.String()
}

// Head returns the first n lines of String and a line with the number of omitted
// faults. It limits the size of a message, because a text of one megabyte can have
// half a million faults.
func (f Faults) Head(n int) string {
	if n >= len(f.List) {
		return f.String()
	}
	head := Faults{File: f.File, List: f.List[:n]}
	return fmt.Sprintf("%s%s: %d more faults\n", head, f.File, len(f.List)-n)
}

// Err returns an error that wraps dandeliongap.ErrInvalid and lists all faults, or
// nil if there is none.
func (f Faults) Err() error {
	if !f.Any() {
		return nil
	}
	return trace.Wrap(dandeliongap.ErrInvalid, "%s", strings.TrimSuffix(f.String(), "\n"))
}

// Report collects the faults that one check finds. Their field Check is empty until
// package dgsettings sets it.
type Report []Fault

// Add appends a fault with a formatted message.
func (r *Report) Add(line int, format string, args ...any) {
	*r = append(*r, Fault{Line: line, Message: fmt.Sprintf(format, args...)})
}
