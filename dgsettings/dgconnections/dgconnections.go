// Package dgconnections checks that a replica has at least as many connections as
// slots.
package dgconnections

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "connections",
	Title: "A replica has at least as many connections as slots",
	Text: "Each request in progress uses a connection of its own, so that slots without a connection stay empty. " +
		"Raise the connections or lower the slots.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	for _, service := range in.Services() {
		connections, connectionsKey, hasConnections := service.Value(dgschema.KeyConnections)
		slots, slotsKey, hasSlots := service.Value(dgschema.KeySlots)
		if hasConnections && hasSlots && !service.IsGroup() && connections.Number < slots.Number {
			report.Add(max(connectionsKey.Line, slotsKey.Line), "the connections %d (line %d) are fewer than the slots %d (line %d)",
				connections.Number, connectionsKey.Line, slots.Number, slotsKey.Line)
		}
	}
	return report
}
