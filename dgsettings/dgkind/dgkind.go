// Package dgkind checks that a service is either a leaf or a group.
package dgkind

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "kind",
	Title: "A service has replicas or depends on other services, not both",
	Text: "A leaf service has lines \"replica N\". A group service has the key \"depends\", and no replicas and no keys " +
		"that describe them. A service with neither could not answer any request.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	for _, service := range in.Services() {
		section := service.Section
		replicas := service.Replicas()
		switch {
		case service.IsGroup() && len(replicas) > 0:
			report.Add(section.Line, "%s has both replicas and the key %q", section.Header(), dgschema.KeyDepends)
		case !service.IsGroup() && len(replicas) == 0:
			report.Add(section.Line, "%s has neither replicas nor the key %q", section.Header(), dgschema.KeyDepends)
		case service.IsGroup():
			for _, key := range section.Keys {
				if dgschema.LeafOnly(key.Name) {
					report.Add(key.Line, "%q has no meaning in the group service %s", key.Name, section.Header())
				}
			}
		}
	}
	return report
}
