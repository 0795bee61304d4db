// Package dgvalue checks the format of names, addresses and enumerated values.
package dgvalue

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  dgschema.CheckValue,
	Title: "Names, addresses and words have the right form",
	Text: "Names have lower-case letters, digits and \"-\". Addresses are an IP address with a port. " +
		"Switches are yes or no. Values are never guessed from a similar form.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	report := in.ValueFaults(dgschema.CheckValue)
	for _, section := range in.Document.Sections {
		rule := in.Schema.Section(section.Kind)
		if rule != nil && rule.Named && section.Name != "" && !dgschema.ValidName(section.Name) {
			report.Add(section.Line, "%q is not a name: use 1 to 63 lower-case letters, digits and \"-\", not \"-\" first", section.Name)
		}
	}
	return report
}
