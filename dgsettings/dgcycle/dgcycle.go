// Package dgcycle checks that no service depends on itself.
//
//  1. A depth-first search visits the services and their dependencies in the order
//     of the text.
//  2. A dependency on a service on the current path closes a cycle, which is
//     reported on the line of that dependency.
//  3. A finished service is not visited again, so the time is linear.
package dgcycle

import (
	_ "embed" // for the example
	"fmt"
	"strings"

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "cycle",
	Title: "No service depends on itself, directly or through others",
	Text: "A search of a group goes to all leaf services that it depends on, and in a cycle this set would depend on itself. " +
		"The message names the services of the cycle in order; remove one of the dependencies.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	f := cycleFinder{services: map[string]dgschema.Service{}, position: map[string]int{}, finished: map[string]bool{}}
	services := in.Services()
	for _, service := range services {
		if _, ok := f.services[service.Section.Name]; !ok {
			f.services[service.Section.Name] = service
		}
	}
	for _, service := range services {
		f.visit(service.Section.Name)
	}
	return f.report
}

// cycleFinder is the state of the depth-first search.
type cycleFinder struct {
	services map[string]dgschema.Service
	path     []string       // services that are being visited, outermost first
	position map[string]int // index in path of each service on it
	finished map[string]bool
	report   dgtext.Report
}

func (f *cycleFinder) visit(name string) {
	service, ok := f.services[name]
	if !ok || f.finished[name] {
		return
	}
	f.position[name] = len(f.path)
	f.path = append(f.path, name)
	for _, next := range service.Depends() {
		if start, onPath := f.position[next]; onPath {
			f.addCycle(service, f.path[start:])
			continue
		}
		f.visit(next)
	}
	f.path = f.path[:len(f.path)-1]
	delete(f.position, name)
	f.finished[name] = true
}

// maxNames limits the number of names in the message of a long cycle.
const maxNames = 20

func (f *cycleFinder) addCycle(service dgschema.Service, cycle []string) {
	key, _ := service.Section.Key(dgschema.KeyDepends)
	first := cycle[0]
	omitted := ""
	if len(cycle) > maxNames {
		omitted = fmt.Sprintf(" -> (%d more)", len(cycle)-maxNames)
		cycle = cycle[:maxNames]
	}
	f.report.Add(key.Line, "dependency cycle: %s%s -> %s", strings.Join(cycle, " -> "), omitted, first)
}
