// Package dgnoleaf checks that every group service depends on a leaf service,
// directly or through other groups.
package dgnoleaf

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "noleaf",
	Title: "Every group service reaches a leaf service",
	Text: "A search of a group that reaches no replicas could only be answered with nothing. " +
		"Add a service with replicas to \"depends\", here or in a group below.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	services := in.Services()
	reachesReplicas := servicesReachingReplicas(services)
	var report dgtext.Report
	for _, service := range services {
		if !service.IsGroup() || reachesReplicas[service.Section.Name] {
			continue
		}
		key, _ := service.Section.Key(dgschema.KeyDepends)
		report.Add(key.Line, "the group %s reaches no service with replicas", service.Section.Header())
	}
	return report
}

// servicesReachingReplicas returns the services that have replicas or depend on
// such a service. It goes from the services with replicas to their dependents and
// visits each service once, so that it also terminates on cycles.
func servicesReachingReplicas(services []dgschema.Service) map[string]bool {
	dependents := map[string][]string{}
	var stack []string
	for _, service := range services {
		name := service.Section.Name
		if len(service.Replicas()) > 0 {
			stack = append(stack, name)
		}
		for _, dependency := range service.Depends() {
			dependents[dependency] = append(dependents[dependency], name)
		}
	}
	reachesReplicas := map[string]bool{}
	for len(stack) > 0 {
		name := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if reachesReplicas[name] {
			continue
		}
		reachesReplicas[name] = true
		stack = append(stack, dependents[name]...)
	}
	return reachesReplicas
}
