// Package dgwatch decides which VMs read the store, and what one VM passes on to
// another of the control state that it has read. It answers the load that a large
// tier puts on a store whose rates grow more slowly than the tier.
//
// Rules:
//
//	W1  The first Readers of the VMs that are present, by rank, read the store. The
//	    others pull changes from VMs that have them.
//	W2  VMs whose calls to the store fail are passed over, so that as many others
//	    read. Of those that fail, the first Readers by rank go on trying; the others
//	    try again now and then.
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

// Readers is the number of VMs that read the store: one of their watches ends, and
// shows a connection that went silent, each second or two.
const Readers = 6

// Peer is a VM that is present.
type Peer struct {
	VM   dandeliongap.VMName
	Away bool // its calls to the store fail
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
	ranked := slices.Clone(present)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a.VM), rank(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	sound := 0
	for i, p := range ranked {
		chosen := i < Readers || !p.Away && sound < Readers
		if !p.Away {
			sound++
		}
		switch {
		case p.VM != self:
		case chosen:
			return Reader
		case p.Away:
			return Retrier
		default:
			return Puller
		}
	}
	return Reader
}

// StoreAway tells whether every VM that should read the store fails to.
func StoreAway(present []Peer) bool {
	for _, p := range present {
		if !p.Away && RoleOf(p.VM, present) == Reader {
			return false
		}
	}
	return len(present) > 0
}

func rank(vm dandeliongap.VMName) uint64 { return xxhash.Sum64String(string(vm)) }
