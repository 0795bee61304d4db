// Package dgcold checks that the cold limit of a service is not above its slots.
// The cold limit applies instead of the slots while a replica is in cold start.
package dgcold

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "cold",
	Title: "A cold limit is not above the slots",
	Text: "A backend server in cold start can handle less load than a warm one. " +
		"A cold limit above the slots would have no effect and would hide which of the two is wrong.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	for _, service := range in.Services() {
		cold, coldKey, hasCold := service.Value(dgschema.KeyColdLimit)
		slots, slotsKey, hasSlots := service.Value(dgschema.KeySlots)
		if hasCold && hasSlots && !service.IsGroup() && cold.Number > slots.Number {
			report.Add(max(coldKey.Line, slotsKey.Line), "the cold limit %d (line %d) is above the slots %d (line %d)",
				cold.Number, coldKey.Line, slots.Number, slotsKey.Line)
		}
	}
	return report
}
