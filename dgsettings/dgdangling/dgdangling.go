// Package dgdangling checks that every service and defaults section that a key
// names exists, and that every defaults section is used.
package dgdangling

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "dangling",
	Title: "Every service and defaults section that a key names exists, and every defaults section is used",
	Text: "A dependency on a service that does not exist would make every search of the group incomplete. " +
		"A defaults section that no service names has no effect, which is most often a misspelled name.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	services := in.Services()
	known := map[string]bool{}
	used := map[string]bool{}
	for _, service := range services {
		known[service.Section.Name] = true
	}
	for _, service := range services {
		section := service.Section
		if like, ok := section.Key(dgschema.KeyLike); ok {
			used[like.Value] = true
			if service.Defaults == nil {
				report.Add(like.Line, "%s takes keys from [defaults %s], which does not exist", section.Header(), like.Value)
			}
		}
		depends, _ := section.Key(dgschema.KeyDepends)
		for _, name := range service.Depends() {
			if !known[name] {
				report.Add(depends.Line, "%s depends on %q, which is no service", section.Header(), name)
			}
		}
	}
	for _, section := range in.SectionsOfKind(dgschema.SectionDefaults) {
		if !used[section.Name] {
			report.Add(section.Line, "no service takes keys from %s", section.Header())
		}
	}
	return report
}
