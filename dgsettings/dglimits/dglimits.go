// Package dglimits checks that the numbers in a text are within their limits, and
// that a deployment does not have too many services or replicas.
package dglimits

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  dgschema.CheckLimits,
	Title: "Numbers are within their limits",
	Text: "Zero slots or a negative time would stop a service, and a number that is far too large is most often a " +
		"typing error. The message names the limits. A deployment has at most 2,000 services and 10,000 replicas, " +
		"because the placement table has one row per replica and at most one megabyte.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	report := in.ValueFaults(dgschema.CheckLimits)
	const tooManyFormat = "the text has more than %d %s; this is the first one over the limit"
	services, replicas := 0, 0
	for _, service := range in.Services() {
		services++
		if services == dgschema.MaxServices+1 {
			report.Add(service.Section.Line, tooManyFormat, dgschema.MaxServices, "services")
		}
		for _, key := range service.Replicas() {
			replicas++
			if replicas == dgschema.MaxReplicas+1 {
				report.Add(key.Line, tooManyFormat, dgschema.MaxReplicas, "replicas")
			}
		}
	}
	return report
}
