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

// stages groups the checks in the order in which they run. The encoding is checked
// only if the size is valid, and the text is parsed only if both are valid. The
// checks of semantics run only if the text has no syntax faults, because they would
// give misleading reports on a text that was parsed only in part.
var stages = struct{ size, encoding, lines, semantics []Check }{
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
	semantics: []Check{
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
	return append(all, stages.semantics...)
}

// parseAndCheck parses a text and runs the checks. The document is nil if the size
// or the encoding has a fault.
func parseAndCheck(name string, text []byte, schema *dgschema.Schema) (*dgtext.Document, Faults) {
	in := &dgschema.Input{Text: text, Schema: schema}
	for _, stage := range [][]Check{stages.size, stages.encoding} {
		if faults := runChecks(stage, in); len(faults) > 0 {
			return nil, dgtext.NewFaults(name, faults)
		}
	}
	in.Document = dgtext.Parse(text)
	faults := runChecks(stages.lines, in)
	if len(in.Document.SyntaxFaults) == 0 {
		faults = append(faults, runChecks(stages.semantics, in)...)
	}
	return in.Document, dgtext.NewFaults(name, faults)
}

func runChecks(checks []Check, in *dgschema.Input) []Fault {
	var faults []Fault
	for _, check := range checks {
		for _, fault := range check.Run(in) {
			fault.Check = check.Name
			faults = append(faults, fault)
		}
	}
	return faults
}

// Explain returns the documentation of one check, formatted for a terminal. For an
// unknown name, the error wraps dandeliongap.ErrNotFound and lists the known names.
func Explain(name string) (string, error) {
	var names []string
	for _, check := range Checks() {
		if check.Name == name {
			return formatDocumentation(check), nil
		}
		names = append(names, check.Name)
	}
	return "", trace.Wrap(dandeliongap.ErrNotFound, "check %q; known checks: %s", name, strings.Join(names, ", "))
}

func formatDocumentation(check Check) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\nSince release %s.\n\n%s\n\nExample:\n\n", check.Name, check.Title, check.Since, check.Text)
	for line := range strings.Lines(check.Example) {
		fmt.Fprintf(&b, "    %s\n", printable(strings.TrimRight(line, "\r\n")))
	}
	return b.String()
}

// printable replaces control characters other than tab, and invalid UTF-8, so that an
// example does not send them to the terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\t' {
			return unicode.ReplacementChar
		}
		return r
	}, strings.ToValidUTF8(s, string(unicode.ReplacementChar)))
}
