// Package dgcycle checks that no service depends on itself.
//
//  1. The services are walked depth first in the order of the text, along the
//     dependencies in the order of the text.
//  2. A dependency on a service that the walk has entered and not left closes a
//     cycle, which is reported on the line of that dependency.
//  3. A service that the walk has left is not walked again, so the time is linear.
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

// Check is the table entry.
var Check = dgschema.Check{
	Name:  "cycle",
	Title: "No service depends on itself, directly or through others",
	Text: "A search of a group goes to all leaf services that it depends on, and a cycle has no such set. " +
		"The message names the services of the cycle in order; remove one of the dependencies.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	w := walk{services: map[string]dgschema.Service{}, position: map[string]int{}, left: map[string]bool{}}
	services := in.Services()
	for _, service := range services {
		if _, ok := w.services[service.Section.Name]; !ok {
			w.services[service.Section.Name] = service
		}
	}
	for _, service := range services {
		w.visit(service.Section.Name)
	}
	return w.report
}

type walk struct {
	services map[string]dgschema.Service
	path     []string
	position map[string]int // index in path of a service that was entered and not left
	left     map[string]bool
	report   dgtext.Report
}

func (w *walk) visit(name string) {
	service, ok := w.services[name]
	if !ok || w.left[name] {
		return
	}
	w.position[name] = len(w.path)
	w.path = append(w.path, name)
	for _, next := range service.Depends() {
		if from, open := w.position[next]; open {
			w.add(service, w.path[from:])
			continue
		}
		w.visit(next)
	}
	w.path = w.path[:len(w.path)-1]
	delete(w.position, name)
	w.left[name] = true
}

// maxNames bounds the message of a long cycle.
const maxNames = 20

func (w *walk) add(service dgschema.Service, cycle []string) {
	key, _ := service.Section.Key(dgschema.KeyDepends)
	first := cycle[0]
	more := ""
	if len(cycle) > maxNames {
		more = fmt.Sprintf(" -> (%d more)", len(cycle)-maxNames)
		cycle = cycle[:maxNames]
	}
	w.report.Add(key.Line, "dependency cycle: %s%s -> %s", strings.Join(cycle, " -> "), more, first)
}
