package dgbalance

import (
	"cmp"
	"slices"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

const (
	// usedShare is the part of a replica's connections that all VMs use together.
	// Connections of VMs that lost power stay open at the replica, and those of
	// their successors must fit beside them.
	usedShare = 0.5
	// mostShare is the same where usedShare leaves a VM less than wantedEach
	// connections of a service.
	mostShare = 0.9
	// wantedEach lets a VM try a second replica.
	wantedEach = 2
)

// ConnectionShares returns the connections that one VM may open to each replica of a service,
// of which each accepts the given number. All VMs work it out alike from the same
// lists, without talking to each other: the connections are dealt out in turn,
// in an order of the VMs that differs from service to service, each VM's next one
// at another replica. So no replica gets more than it accepts, every VM has a
// connection as long as there are enough for all, and the replicas get VMs evenly.
func ConnectionShares(service dandeliongap.ServiceName, self dandeliongap.VMName, vms []dandeliongap.VMName, replicas, connections int) []int {
	shares := make([]int, replicas)
	n := max(1, len(vms))
	left := make([]int, replicas)
	each := usedOf(connections, replicas, n)
	for i := range left {
		left[i] = each
	}
	own := position(service, self, vms)
	for total, turn := each*replicas, 0; total > 0; turn++ {
		for p := 0; p < n && total > 0; p++ {
			r := (p + turn) % replicas
			for left[r] == 0 {
				r = (r + 1) % replicas
			}
			left[r]--
			total--
			if p == own {
				shares[r]++
			}
		}
	}
	return shares
}

// usedOf returns the connections of one replica that are dealt out.
func usedOf(connections, replicas, vms int) int {
	wanted := (wantedEach*vms + replicas - 1) / max(1, replicas)
	least, most := int(usedShare*float64(connections)), int(mostShare*float64(connections))
	return max(1, min(most, max(least, wanted)))
}

// position returns the place of a VM in a service's order of all VMs.
func position(service dandeliongap.ServiceName, self dandeliongap.VMName, vms []dandeliongap.VMName) int {
	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b dandeliongap.VMName) int {
		return cmp.Or(cmp.Compare(rank(service, a), rank(service, b)), cmp.Compare(a, b))
	})
	return slices.Index(order, self)
}

func rank(service dandeliongap.ServiceName, vm dandeliongap.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
