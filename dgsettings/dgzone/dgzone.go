// Package dgzone checks that every replica is in a listed availability zone.
package dgzone

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "zone",
	Title: "Every replica is in an availability zone that the deployment lists",
	Text: "When operators take out a zone, its replicas are found by the name of the zone. A replica with a misspelled " +
		"zone would go on receiving work. Correct the name, or add it to \"zones\" in [deployment].",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

// run ignores replicas whose value is invalid, which other checks report. It reports
// nothing if the deployment lists no zones, which the check "missing" reports.
func run(in *dgschema.Input) []dgtext.Fault {
	zones := dgschema.Zones(in.Document)
	if len(zones) == 0 {
		return nil
	}
	var report dgtext.Report
	for _, service := range in.Services() {
		for _, key := range service.Replicas() {
			value, ok := dgschema.ParseReplicaKey(key)
			if ok && !zones[value.Zone] {
				report.Add(key.Line, "%s of %s is in zone %q, which the deployment does not list",
					key.Name, service.Section.Header(), value.Zone)
			}
		}
	}
	return report
}
