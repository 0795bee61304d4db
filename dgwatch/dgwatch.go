// Package dgwatch decides which VMs read the store, and what one VM passes on to
// another of the control state that it has read. It answers the load that a large
// tier puts on a store whose rates grow more slowly than the tier.
//
// Rules:
//
//	W1  The first ReaderCount of the VMs that are present, by rank, read the store. The
//	    others pull changes from VMs that have them.
//	W2  VMs whose calls to the store fail are passed over, so that as many others
//	    read. Of those that fail, the first ReaderCount by rank go on trying; the others
//	    try again now and then. While all of the first ReaderCount fail, the VMs that
//	    pull take the store as failing too: the others that read may not have noticed.
//	W3  A VM that knows of a newer change than its own pulls all changes since its own
//	    state from a VM that has it. If no VM answers, it looks at the store itself.
//	W4  Changes since a version are passed on only if none after it is missing,
//	    removals included; otherwise the whole state is.
//	W5  A VM that starts and gets no answer from the store pulls from a VM that it
//	    hears of.
package dgwatch

import (
	"cmp"
	"slices"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

// ReaderCount is the number of VMs that read the store: one of their watches ends, and
// shows a connection that went silent, each second or two.
const ReaderCount = 6

// Peer is a VM that is present.
type Peer struct {
	VM           dandeliongap.VMName
	StoreFailing bool // its calls to the store fail
}

// Role is what a VM does about the store.
type Role uint8

// Roles. The zero value is that of a VM that knows of no other.
const (
	Reader  Role = iota // reads the store
	Puller              // pulls changes from other VMs
	Retrier             // its calls fail and others read: tries now and then
)

var roleNames = [...]string{"reader", "puller", "retrier"}

// String returns the name that log lines use.
func (r Role) String() string { return roleNames[r] }

// RoleOf returns the role of a VM among all that are present, itself included (W1,
// W2).
func RoleOf(self dandeliongap.VMName, present []Peer) Role {
	healthy := 0
	for i, p := range byRank(present) {
		chosen := i < ReaderCount || !p.StoreFailing && healthy < ReaderCount
		if !p.StoreFailing {
			healthy++
		}
		switch {
		case p.VM != self:
		case chosen:
			return Reader
		case p.StoreFailing:
			return Retrier
		default:
			return Puller
		}
	}
	return Reader
}

// StoreFailing tells whether the store fails for all of the first ReaderCount (W2).
func StoreFailing(present []Peer) bool {
	first := byRank(present)[:min(len(present), ReaderCount)]
	return len(first) > 0 && !slices.ContainsFunc(first, func(p Peer) bool { return !p.StoreFailing })
}

// byRank returns the VMs in an order that all work out alike.
func byRank(present []Peer) []Peer {
	ranked := slices.Clone(present)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a.VM), rank(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	return ranked
}

func rank(vm dandeliongap.VMName) uint64 { return xxhash.Sum64String(string(vm)) }
