// Package dgorder checks that "like" is the first key of its section.
package dgorder

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the table entry.
var Check = dgschema.Check{
	Name:  "order",
	Title: "The key \"like\" is the first key of its section",
	Text: "A reader then knows where the other keys come from. Also, when the header of a section is lost, its keys " +
		"belong to the section above; a \"like\" in the middle of a section shows this.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	for _, section := range in.Document.Of(dgschema.SectionService) {
		for i, key := range section.Keys {
			if key.Name == dgschema.KeyLike && i > 0 {
				report.Add(key.Line, "%q must be the first key of %s", key.Name, section.Title())
			}
		}
	}
	return report
}
