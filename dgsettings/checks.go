package dgsettings

import (
	"fmt"
	"strings"
	"unicode"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings/dgactions"
	"dandeliongap.example/dandeliongap/dgsettings/dgaddress"
	"dandeliongap.example/dandeliongap/dgsettings/dgannounce"
	"dandeliongap.example/dandeliongap/dgsettings/dgcold"
	"dandeliongap.example/dandeliongap/dgsettings/dgconnections"
	"dandeliongap.example/dandeliongap/dgsettings/dgcycle"
	"dandeliongap.example/dandeliongap/dgsettings/dgdangling"
	"dandeliongap.example/dandeliongap/dgsettings/dgduplicate"
	"dandeliongap.example/dandeliongap/dgsettings/dgencoding"
	"dandeliongap.example/dandeliongap/dgsettings/dgkind"
	"dandeliongap.example/dandeliongap/dgsettings/dglimits"
	"dandeliongap.example/dandeliongap/dgsettings/dgmissing"
	"dandeliongap.example/dandeliongap/dgsettings/dgnoleaf"
	"dandeliongap.example/dandeliongap/dgsettings/dgorder"
	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgsize"
	"dandeliongap.example/dandeliongap/dgsettings/dgsyntax"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
	"dandeliongap.example/dandeliongap/dgsettings/dgunits"
	"dandeliongap.example/dandeliongap/dgsettings/dgunknown"
	"dandeliongap.example/dandeliongap/dgsettings/dgvalue"
	"dandeliongap.example/dandeliongap/dgsettings/dgzone"
	"github.com/gravitational/trace"
)

// stages groups the checks. A stage runs only if the stages before it found
// nothing that would mislead it: no fault at all before the text is split into
// lines, and no syntax fault before the text is judged as a whole.
var stages = struct{ size, encoding, lines, whole []Check }{
	size:     []Check{dgsize.Check},
	encoding: []Check{dgencoding.Check},
	lines: []Check{
		dgsyntax.Check,
		dgduplicate.Check,
		dgunknown.Check,
		dgvalue.Check,
		dgunits.Check,
		dglimits.Check,
		dgorder.Check,
	},
	whole: []Check{
		dgmissing.Check,
		dgkind.Check,
		dgdangling.Check,
		dgcycle.Check,
		dgnoleaf.Check,
		dgzone.Check,
		dgaddress.Check,
		dgactions.Check,
		dgcold.Check,
		dgconnections.Check,
		dgannounce.Check,
	},
}

// Checks returns all checks in the order in which they run.
func Checks() []Check {
	var all []Check
	all = append(all, stages.size...)
	all = append(all, stages.encoding...)
	all = append(all, stages.lines...)
	return append(all, stages.whole...)
}

// inspect reads a text and runs all checks on it.
func inspect(name string, text []byte, schema *dgschema.Schema) (*dgtext.Document, Faults) {
	in := &dgschema.Input{Text: text, Schema: schema}
	for _, stage := range [][]Check{stages.size, stages.encoding} {
		if faults := run(stage, in); len(faults) > 0 {
			return nil, dgtext.NewFaults(name, faults)
		}
	}
	in.Document = dgtext.Parse(text)
	faults := run(stages.lines, in)
	if len(in.Document.SyntaxFaults) == 0 {
		faults = append(faults, run(stages.whole, in)...)
	}
	return in.Document, dgtext.NewFaults(name, faults)
}

func run(checks []Check, in *dgschema.Input) []Fault {
	var faults []Fault
	for _, check := range checks {
		for _, fault := range check.Run(in) {
			fault.Check = check.Name
			faults = append(faults, fault)
		}
	}
	return faults
}

// Explain returns the documentation of one check as text for a terminal. Its
// error wraps dandeliongap.ErrNotFound and lists the names of all checks.
func Explain(name string) (string, error) {
	var names []string
	for _, check := range Checks() {
		if check.Name == name {
			return explain(check), nil
		}
		names = append(names, check.Name)
	}
	return "", trace.Wrap(dandeliongap.ErrNotFound, "check %q; known checks: %s", name, strings.Join(names, ", "))
}

func explain(check Check) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\nSince release %s.\n\n%s\n\nExample:\n\n", check.Name, check.Title, check.Since, check.Text)
	for line := range strings.Lines(check.Example) {
		fmt.Fprintf(&b, "    %s\n", printable(strings.TrimRight(line, "\r\n")))
	}
	return b.String()
}

// printable replaces what a terminal would not show.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\t' {
			return unicode.ReplacementChar
		}
		return r
	}, strings.ToValidUTF8(s, string(unicode.ReplacementChar)))
}
