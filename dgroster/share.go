package dgroster

import (
	"slices"

	"dandeliongap.example/dandeliongap"
)

// ConnectionSharers returns the sorted names of the VMs among which the connections to
// replicas are divided: those on the roster and, if these are less than half of nominal,
// the roster if all registered VMs were present, enough others of nominal to make up half.
// Even if VMs disagree about which VMs are present, the tier as a whole then uses at most
// twice the connections that are divided.
func ConnectionSharers(roster, nominal []dandeliongap.VMName) []dandeliongap.VMName {
	out := slices.Clone(roster)
	for _, vm := range nominal {
		if 2*len(out) >= len(nominal) {
			break
		}
		if !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// rosterAllowance is the part of the common allowance of extra requests that the VMs on
// the nominal roster have. The others have the rest for the callers that reach them all
// the same.
const rosterAllowance = 0.8

// AllowanceShare returns the share of the common allowance of extra requests that a VM has.
// registered is the number of registered VMs, self included. The share depends on the
// registrations only, so that the shares of all VMs add up to at most 1 even while VMs
// disagree about which VMs are present.
func AllowanceShare(self dandeliongap.VMName, nominal []dandeliongap.VMName, registered int) float64 {
	switch n := len(nominal); {
	case n >= registered:
		return 1 / float64(max(1, registered))
	case slices.Contains(nominal, self):
		return rosterAllowance / float64(n)
	default:
		return (1 - rosterAllowance) / float64(registered-n)
	}
}
