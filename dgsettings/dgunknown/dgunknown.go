// Package dgunknown checks that a text has only sections and keys that the schema
// defines.
package dgunknown

import (
	_ "embed" // for the example
	"strings"

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "unknown",
	Title: "Every section and key is a known one",
	Text: "A misspelled key would leave its value without effect. The message lists the known names. " +
		"Names are in lower case, and the number of a replica has no leading zero.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	for _, section := range in.Document.Sections {
		if section.Kind == "" {
			continue // the check "syntax" reports the header
		}
		rule := in.Schema.Section(section.Kind)
		switch {
		case rule == nil:
			report.Add(section.Line, "unknown section %s; known sections: %s", section.Header(), knownSections(in.Schema))
			continue
		case rule.Named && section.Name == "":
			report.Add(section.Line, "the section has no name; write [%s NAME]", section.Kind)
		case !rule.Named && section.Name != "":
			report.Add(section.Line, "unknown section %s; write [%s]", section.Header(), section.Kind)
		}
		for _, key := range section.Keys {
			if rule.Key(key.Name) == nil {
				report.Add(key.Line, "unknown key %q in %s; known keys: %s", key.Name, section.Header(), knownKeys(rule))
			}
		}
	}
	return report
}

func knownSections(schema *dgschema.Schema) string {
	var headers []string
	for _, rule := range schema.Sections {
		section := dgtext.Section{Kind: rule.Kind}
		if rule.Named {
			section.Name = "NAME"
		}
		headers = append(headers, section.Header())
	}
	return strings.Join(headers, ", ")
}

func knownKeys(rule *dgschema.SectionRule) string {
	var names []string
	for _, key := range rule.Keys {
		names = append(names, key.Name)
	}
	return strings.Join(names, ", ")
}
