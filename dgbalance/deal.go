package dgbalance

import (
	"cmp"
	"slices"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

const (
	// allocatedShare is the share of a replica's connections that all VMs together
	// may use. The rest is left free because connections of VMs that lost power stay
	// open at the replica, and those of their successors must fit beside them.
	allocatedShare = 0.5
	// maxAllocatedShare replaces allocatedShare as the limit if a VM would otherwise
	// get fewer than wantedPerVM connections to a service.
	maxAllocatedShare = 0.9
	// wantedPerVM is the number of connections to a service that lets a VM try a
	// second replica.
	wantedPerVM = 2
)

// ConnectionShares returns the number of connections that the VM self may open to
// each replica of a service. connections is the number that each replica accepts.
// Every VM computes the same allocation from the same lists, without coordination:
// connections are handed out round robin, in an order of the VMs that depends on
// the service, and each further connection of a VM goes to another replica. This
// ensures that no replica gets more connections than it accepts, that every VM has
// a connection if there are enough for all, and that the VMs are spread evenly
// over the replicas.
func ConnectionShares(service dandeliongap.ServiceName, self dandeliongap.VMName, vms []dandeliongap.VMName, replicas, connections int) []int {
	shares := make([]int, replicas)
	n := max(1, len(vms))
	remaining := make([]int, replicas)
	perReplica := allocatable(connections, replicas, n)
	for i := range remaining {
		remaining[i] = perReplica
	}
	own := position(service, self, vms)
	for total, round := perReplica*replicas, 0; total > 0; round++ {
		for p := 0; p < n && total > 0; p++ {
			r := (p + round) % replicas
			for remaining[r] == 0 {
				r = (r + 1) % replicas
			}
			remaining[r]--
			total--
			if p == own {
				shares[r]++
			}
		}
	}
	return shares
}

// allocatable returns the number of connections to each replica that the VMs may
// use together.
func allocatable(connections, replicas, vms int) int {
	wanted := (wantedPerVM*vms + replicas - 1) / max(1, replicas)
	normal, limit := int(allocatedShare*float64(connections)), int(maxAllocatedShare*float64(connections))
	return max(1, min(limit, max(normal, wanted)))
}

// position returns the index of a VM in the order in which ConnectionShares hands
// out the connections of a service; -1 if vms does not list it.
func position(service dandeliongap.ServiceName, self dandeliongap.VMName, vms []dandeliongap.VMName) int {
	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b dandeliongap.VMName) int {
		return cmp.Or(cmp.Compare(orderHash(service, a), orderHash(service, b)), cmp.Compare(a, b))
	})
	return slices.Index(order, self)
}

// orderHash returns the key by which position sorts the VMs.
func orderHash(service dandeliongap.ServiceName, vm dandeliongap.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
