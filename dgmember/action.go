package dgmember

import (
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// Rule is the number of the rule in the package comment that led to an action.
type Rule uint8

// Rules of the package comment.
const (
	RuleNone Rule = iota
	M1
	M2
	M3
	M4
	M5
	M6
	F1
	F2
	F3
	F4
	L1
	K1
	K2
	J1
	ruleCount
)

var ruleNames = [ruleCount]string{"", "M1", "M2", "M3", "M4", "M5", "M6", "F1", "F2", "F3", "F4", "L1", "K1", "K2", "J1"}

// String returns the rule's number as log lines cite it.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "invalid"
}

// Kind tells what the driver has to do for an Action.
type Kind uint8

// Kinds of actions.
const (
	KindNone Kind = iota
	// KindRenew: write Lease to the own lease object if its version is Version
	// (0: create it), directly or, if Via is set, through the peer Via. Report
	// RenewOK, RenewConflict or RenewUnreachable.
	KindRenew
	// KindReadBack: read the own lease object. Report LeaseReadBack, or
	// RenewUnreachable if that fails.
	KindReadBack
	// KindExchange: exchange with Member, with the own record in the request.
	// Report ExchangeSucceeded or ExchangeFailed, as for every other exchange.
	KindExchange
	// KindReadLease: read the lease object of Member. Report SuspectLeaseRead,
	// or SuspectCallFailed.
	KindReadLease
	// KindDeleteLease: delete the lease object of Member if its version is
	// Version. Report LeaseDeleted, LeaseConflict or SuspectCallFailed.
	KindDeleteLease
	// KindWriteMembers: write List to state/members if its version is still
	// Version (0: create it). Set List.WriteID to a random id. Adopt the object in
	// the relay and report MembersAdopted after a success, else MembersNotWritten.
	KindWriteMembers
	// KindStopLost: the own lease was deleted or the member was dropped. Stop
	// all sending at once and start again with a new incarnation.
	KindStopLost
	kindCount
)

var kindNames = [kindCount]string{
	"", "renew lease", "read back own lease", "exchange", "read lease", "delete lease", "write members", "stop as lost",
}

// String returns the text that log lines use.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// Action is one thing that the driver has to do. Fields that Kind does not
// mention are empty.
type Action struct {
	Kind    Kind
	Rule    Rule
	Member  dandeliongap.MemberID
	Via     dandeliongap.MemberID
	Version dandeliongap.Version
	Lease   Lease
	List    dgrelay.MemberList
}

// String returns the action as log lines show it.
func (a Action) String() string {
	return fmt.Sprintf("%s %s member=%s via=%s version=%d attempt=%d", a.Rule, a.Kind, a.Member, a.Via, a.Version, a.Lease.Attempt)
}

// Lease is the content of a lease object.
type Lease struct {
	Member  dandeliongap.MemberID
	Attempt uint64 // number of the renewal, rises
	// TTL is how long after this renewal was sent the holder may use it. A VM
	// that fences the holder may have a list of another size.
	TTL time.Duration
}

// ContactVector is the content of a contact vector.
type ContactVector struct {
	MembersVersion dandeliongap.Version // of state/members
	Ages           []byte               // one byte per member, in the order of the list
}

// ExchangeAnswer is what an exchange with a member returned.
type ExchangeAnswer struct {
	From            dandeliongap.MemberID
	Sent            dandeliongap.Instant // when the request was sent
	ReachesPlatform bool
	Contacts        ContactVector
}
