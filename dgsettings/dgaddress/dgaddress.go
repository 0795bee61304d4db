// Package dgaddress checks that no two replicas have the same address.
package dgaddress

import (
	_ "embed" // for the example

	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

//go:embed testdata/example.ini
var example string

// Check is the entry of this check in dgsettings.Checks.
var Check = dgschema.Check{
	Name:  "address",
	Title: "Each replica has its own address",
	Text: "Each replica has one owner, which enforces its limits. Two replicas with one address would have two owners, and " +
		"together they would send the backend server twice the load that it allows.",
	Since:   "0.1",
	Example: example,
	Run:     run,
}

func run(in *dgschema.Input) []dgtext.Fault {
	type location struct {
		header, replica string
		line            int
	}
	first := map[string]location{}
	var report dgtext.Report
	for _, service := range in.Services() {
		for _, key := range service.Replicas() {
			value, ok := dgschema.ParseReplicaKey(key)
			if !ok {
				continue // the check "value" or "limits" reports it
			}
			if other, taken := first[value.Address]; taken {
				report.Add(key.Line, "%s of %s has the address %s of %s of %s on line %d",
					key.Name, service.Section.Header(), value.Address, other.replica, other.header, other.line)
				continue
			}
			first[value.Address] = location{service.Section.Header(), key.Name, key.Line}
		}
	}
	return report
}
