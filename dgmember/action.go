package dgmember

import (
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgrelay"
)

// Rule identifies the rule of the package comment that led to an action.
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

// String returns the rule's number as it appears in log lines.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "invalid"
}

// Kind is the operation that an Action asks the driver to perform.
type Kind uint8

// Kinds of actions. To report an event is to call the State method of that name.
const (
	KindNone Kind = iota
	// KindRenew: write Lease to this VM's lease object if the object's version is
	// Version (0: create it), directly or, if Via is set, through the peer Via.
	// Report RenewOK, RenewConflict or RenewUnreachable.
	KindRenew
	// KindReadBack: read this VM's lease object. Report LeaseReadBack, or
	// RenewUnreachable if that fails.
	KindReadBack
	// KindExchange: exchange state with Member, with this VM's record in the
	// request. Report ExchangeSucceeded or ExchangeFailed, as for every other
	// exchange.
	KindExchange
	// KindReadLease: read the lease object of Member. Report SuspectLeaseRead
	// or SuspectCallFailed.
	KindReadLease
	// KindDeleteLease: delete the lease object of Member if its version is
	// Version. Report LeaseDeleted, LeaseConflict or SuspectCallFailed.
	KindDeleteLease
	// KindWriteMembers: set List.WriteID to a random id and write List to
	// state/members if the object's version is still Version (0: create it).
	// After a success, adopt the object in the relay and report MembersAdopted;
	// otherwise report MembersNotWritten.
	KindWriteMembers
	// KindStopLost: this VM's lease was deleted or it was dropped from the list.
	// Stop all sending at once and start again with a new incarnation.
	KindStopLost
	kindCount
)

var kindNames = [kindCount]string{
	"", "renew lease", "read back own lease", "exchange", "read lease", "delete lease", "write members", "stop as lost",
}

// String returns the name of the kind as it appears in log lines.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// Action is one operation for the driver to perform. Rule is always set, and Member
// is this VM in actions about its own lease. Other fields that the comment of the
// Kind does not mention are empty.
type Action struct {
	Kind    Kind
	Rule    Rule
	Member  dandeliongap.MemberID
	Via     dandeliongap.MemberID
	Version dandeliongap.Version
	Lease   Lease
	List    dgrelay.MemberList
}

// String returns the action as it appears in log lines.
func (a Action) String() string {
	return fmt.Sprintf("%s %s member=%s via=%s version=%d attempt=%d", a.Rule, a.Kind, a.Member, a.Via, a.Version, a.Lease.Attempt)
}

// Lease is the content of a lease object.
type Lease struct {
	Member  dandeliongap.MemberID
	Attempt uint64 // number of the renewal; increases with each one
	// TTL is how long the holder may use the lease after it sent this renewal. It
	// is part of the body because a VM that fences the holder may have a list of
	// another size, for which LeaseTTL differs.
	TTL time.Duration
}

// ContactVector holds, for each member, the age of the newest report that a VM has
// of it and whether the member reached the platform at that time.
type ContactVector struct {
	MembersVersion dandeliongap.Version // version of state/members
	// Ages has one byte per member, in the order of the list: the age in units of
	// AgeUnit, 127 if there is no report, plus 0x80 if the member reached the
	// platform.
	Ages []byte
}

// ExchangeAnswer is the reply of a member to an exchange.
type ExchangeAnswer struct {
	From            dandeliongap.MemberID
	Sent            dandeliongap.Instant // when the request was sent
	ReachesPlatform bool
	Contacts        ContactVector
}
