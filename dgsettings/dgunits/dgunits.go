// Package dgunits checks that times, sizes and shares have a valid unit and
// that counts have none.
package dgunits

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  dgschema.CheckUnits,
	Title: "Times, sizes and shares have a unit; counts have none",
	Text: "A time without a unit can be read as milliseconds or seconds, which differ a thousandfold. " +
		"Write times as 500us, 6ms, 2s or 1m, sizes as 512B, 64KiB or 2MiB, and shares as 5%.",
	Since:   "0.1",
	Example: example,
	Run:     func(in *dgschema.Input) []dgtext.Fault { return in.ValueFaults(dgschema.CheckUnits) },
}
