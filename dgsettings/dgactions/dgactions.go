// Package dgactions checks that the dependencies of a group that accepts actions
// accept them too.
package dgactions

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "actions",
	Title: "A group that accepts actions depends only on services that accept actions",
	Text: "An action on a group goes to exactly one leaf service, chosen by the idempotency key. " +
		"If that service does not accept actions, the group would accept actions with some keys and reject those with others.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

// run examines direct dependencies only. This covers nested groups, because each of
// them is examined as well.
func run(in *dgschema.Input) []dgtext.Fault {
	services := in.Services()
	// Other checks report a service whose value is missing or invalid.
	rejectsActions := map[string]bool{}
	for _, service := range services {
		accepts, _, ok := service.Value(dgschema.KeyActions)
		rejectsActions[service.Section.Name] = ok && !accepts.Bool
	}
	var report dgtext.Report
	for _, service := range services {
		accepts, _, _ := service.Value(dgschema.KeyActions)
		if !accepts.Bool {
			continue
		}
		depends, _ := service.Section.Key(dgschema.KeyDepends)
		for _, name := range service.Depends() {
			if rejectsActions[name] {
				report.Add(depends.Line, "%s accepts actions but depends on %q, which does not", service.Section.Header(), name)
			}
		}
	}
	return report
}
