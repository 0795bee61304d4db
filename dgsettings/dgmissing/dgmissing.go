// Package dgmissing checks that every required section and key is given.
package dgmissing

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "missing",
	Title: "Every required section and key is given",
	Text: "A required key has no value that suits every deployment. A service may take it from the [defaults NAME] " +
		"section that its key \"like\" names. A group service needs no key that describes replicas.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	var report dgtext.Report
	services := map[*dgtext.Section]dgschema.Service{}
	for _, service := range in.Services() {
		services[service.Section] = service
	}
	for _, rule := range in.Schema.Sections {
		sections := in.SectionsOfKind(rule.Kind)
		if rule.Required && len(sections) == 0 {
			report.Add(1, "there is no section [%s%s]", rule.Kind, namePlaceholder(rule))
		}
		for _, section := range sections {
			service, ok := services[section]
			if !ok {
				// Only services have a defaults section.
				service = dgschema.Service{Section: section}
			}
			for _, key := range missingKeys(service, rule) {
				report.Add(section.Line, "%s has no key %q: %s", section.Header(), key.Name, key.Text)
			}
		}
	}
	return report
}

// namePlaceholder returns the second part of the header [KIND NAME].
func namePlaceholder(rule dgschema.SectionRule) string {
	if rule.Named {
		return " NAME"
	}
	return ""
}

// missingKeys returns the required keys that a section lacks. It returns none for a
// defaults section, because a service that uses it may have the other keys itself,
// and none for a service whose defaults section does not exist, which the check
// "dangling" reports.
func missingKeys(service dgschema.Service, rule dgschema.SectionRule) []dgschema.KeyRule {
	if rule.Kind == dgschema.SectionDefaults {
		return nil
	}
	if _, hasLike := service.Section.Key(dgschema.KeyLike); hasLike && service.Defaults == nil {
		return nil
	}
	var missing []dgschema.KeyRule
	for _, key := range rule.Keys {
		if !key.Required || service.IsGroup() && dgschema.LeafOnly(key.Name) {
			continue
		}
		if _, ok := service.Key(key.Name); !ok {
			missing = append(missing, key)
		}
	}
	return missing
}
