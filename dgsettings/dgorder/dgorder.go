// Package dgorder checks that in a service the key "like" comes first and the replicas
// come last.
package dgorder

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "order",
	Title: "In a service, the key \"like\" comes first and the replicas come last",
	Text: "A reader then finds the keys of a service in one place. Also, when the header of a section is lost, its keys " +
		"belong to the section above, and their order shows this even if no key is given twice.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

// run ignores unknown keys, which the check "unknown" reports.
func run(in *dgschema.Input) []dgtext.Fault {
	rule := in.Schema.Section(dgschema.SectionService)
	var report dgtext.Report
	for _, section := range in.SectionsOfKind(dgschema.SectionService) {
		seenReplica := false
		for i, key := range section.Keys {
			_, isReplica := dgschema.ReplicaOrdinal(key.Name)
			switch {
			case key.Name == dgschema.KeyLike && i > 0:
				report.Add(key.Line, "%q must be the first key of %s", key.Name, section.Header())
			case seenReplica && !isReplica && rule.Key(key.Name) != nil:
				report.Add(key.Line, "%q must come before the replicas of %s", key.Name, section.Header())
			}
			seenReplica = seenReplica || isReplica
		}
	}
	return report
}
