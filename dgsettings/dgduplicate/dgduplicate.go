// Package dgduplicate checks that no section, key or list item occurs twice.
package dgduplicate

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "duplicate",
	Title: "Each section, service, key and list item is given once",
	Text: "Of two sections or keys with one name, one would silently replace the other. " +
		"Delete one of them, or give it its own name. A missing section header also shows up here, " +
		"because the keys below it then belong to the section above.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	sectionLines := map[string]int{}
	for _, section := range in.Document.Sections {
		header := section.Header()
		// An empty kind means an invalid header, which the check "syntax" reports.
		if first, ok := sectionLines[header]; ok && section.Kind != "" {
			report.Add(section.Line, "%s is given twice, first on line %d", header, first)
		} else {
			sectionLines[header] = section.Line
		}
		keyLines := map[string]int{}
		for _, key := range section.Keys {
			if first, ok := keyLines[key.Name]; ok {
				report.Add(key.Line, "%q is given twice in %s, first on line %d", key.Name, header, first)
			} else {
				keyLines[key.Name] = key.Line
			}
		}
	}
	in.EachKey(func(_ *dgtext.Section, key dgtext.Key, rule *dgschema.KeyRule) {
		if rule.Kind != dgschema.KindNames && rule.Kind != dgschema.KindAddresses {
			return
		}
		seen := map[string]bool{}
		for _, item := range dgschema.SplitList(key.Value) {
			if seen[item] && item != "" {
				report.Add(key.Line, "%q lists %q twice", key.Name, item)
			}
			seen[item] = true
		}
	})
	return report
}
