// Package dgwatch decides which VMs read the control state from the store, and which
// part of it one VM passes on to another. It limits the load of a large tier on the
// store, whose permitted rates grow more slowly than the tier.
//
// Rules:
//
//	W1  The first ReaderCount of the hubs (dgroster) that are present, ordered by rank,
//	    read the store. All other VMs pull changes from hubs that have them.
//	W2  A failing VM is one whose calls to the store fail. For each failing VM among
//	    the first ReaderCount, the next VM by rank that is not failing also reads. The
//	    failing VMs among the first ReaderCount keep trying, and other failing VMs retry
//	    occasionally. While all of the first ReaderCount fail, VMs that pull also treat
//	    the store as failing, because the VMs that read in their place may not have
//	    noticed the outage yet.
//	W3  A VM that learns of a change newer than its own state pulls all changes since
//	    that state from a hub that has them. If no VM answers, it reads the store itself.
//	W4  The changes since a version are passed on only if they are complete, including
//	    removals. Otherwise the whole state is passed on.
//	W5  A VM that starts and gets no answer from the store pulls from a VM whose
//	    heartbeat it has received.
//	W6  Versions of a later era of the store (dandeliongap.Era) are newer, whatever their
//	    revisions. No state of an earlier era is taken than the VM has, from the store or
//	    from another VM, and changes only on top of a state of their own era. The begin
//	    of an era counts as a change of every kind, so that all VMs learn of it. A VM that
//	    learns of it from another one pulls the state, also if it reads the store.
//	W7  VMs of earlier versions know no eras and would take versions with an era for later
//	    revisions for ever. They get bare revisions. A VM that knows an era takes no state
//	    from them and does not count them as readers under W1 and W2.
//	W8  Of a kind that only some VMs follow, these alone count under W1 and W2. Otherwise,
//	    while a tier changes to VMs that follow it, six that do not could be the readers,
//	    and nobody would read the kind.
package dgwatch

import (
	"cmp"
	"slices"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

// ReaderCount is the number of VMs that read the store. With six readers, a watch of
// one of them ends every second or two, so that a connection that has gone silent is
// noticed.
const ReaderCount = 6

// Peer is a hub that is present, as dgpresence reports it.
type Peer struct {
	VM           dandeliongap.VMName
	StoreFailing bool // its calls to the store fail
	Eras         bool // it knows eras of the store (W7)
}

// Readable returns the VMs among which a VM works out its role, given the highest era that it
// knows (W7).
func Readable(present []Peer, era dandeliongap.Era) []Peer {
	if era == 0 {
		return present
	}
	return slices.DeleteFunc(slices.Clone(present), func(p Peer) bool { return !p.Eras })
}

// Role is the way in which a VM gets the control state.
type Role uint8

// Roles. The zero value is the role of a VM that knows no other VM.
const (
	Reader  Role = iota // reads the store
	Puller              // pulls changes from other VMs
	Retrier             // its calls to the store fail and others read: retries occasionally
)

var roleNames = [...]string{"reader", "puller", "retrier"}

// String returns the name that log lines use.
func (r Role) String() string { return roleNames[r] }

// RoleOf returns the role of the hub self (W1, W2). present contains all hubs that are
// present, including self.
func RoleOf(self dandeliongap.VMName, present []Peer) Role {
	healthy := 0
	for i, p := range byRank(present) {
		reads := i < ReaderCount || !p.StoreFailing && healthy < ReaderCount
		if !p.StoreFailing {
			healthy++
		}
		switch {
		case p.VM != self:
		case reads:
			return Reader
		case p.StoreFailing:
			return Retrier
		default:
			return Puller
		}
	}
	return Reader
}

// RoleAmong returns the role of the VM self for a kind that only the VMs for which follows
// returns true, self among them, follow (W8). present contains all hubs that are present,
// including self if it is one. A VM that is no hub reads the store if no hub follows the kind.
func RoleAmong(self dandeliongap.VMName, present []Peer, follows func(dandeliongap.VMName) bool) Role {
	among := slices.DeleteFunc(slices.Clone(present), func(p Peer) bool { return p.VM != self && !follows(p.VM) })
	if len(among) > 0 && !slices.ContainsFunc(among, func(p Peer) bool { return p.VM == self }) {
		return Puller
	}
	return RoleOf(self, among)
}

// StoreFailing reports whether the calls to the store fail for all of the first
// ReaderCount VMs (W2).
func StoreFailing(present []Peer) bool {
	first := byRank(present)[:min(len(present), ReaderCount)]
	return len(first) > 0 && !slices.ContainsFunc(first, func(p Peer) bool { return !p.StoreFailing })
}

// First returns the VM that comes first by rank, "" if there is none.
func First(vms []dandeliongap.VMName) (first dandeliongap.VMName) {
	for _, vm := range vms {
		if first == "" || cmp.Or(cmp.Compare(rank(vm), rank(first)), cmp.Compare(vm, first)) < 0 {
			first = vm
		}
	}
	return first
}

// byRank returns the VMs in rank order, which is the same on every VM.
func byRank(present []Peer) []Peer {
	ranked := slices.Clone(present)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a.VM), rank(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	return ranked
}

func rank(vm dandeliongap.VMName) uint64 { return xxhash.Sum64String(string(vm)) }
