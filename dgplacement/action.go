package dgplacement

import (
	"fmt"

	"dandeliongap.example/dandeliongap"
)

// Rule identifies the rule of the package comment that led to a decision or an
// action.
type Rule uint8

// Rules of the package comment. RuleNone is the zero value.
const (
	RuleNone Rule = iota
	L1
	L2
	L3
	L4
	L5
	L6
	L7
	L8
	L9
	ruleCount
)

var ruleNames = [ruleCount]string{"", "L1", "L2", "L3", "L4", "L5", "L6", "L7", "L8", "L9"}

// String returns the rule's number as it appears in log lines.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "invalid"
}

// Cause is the reason for a change of a row of the table.
type Cause uint8

// Causes of a changed row. CauseNone is the zero value.
const (
	CauseNone         Cause = iota
	CauseNew                // the replica had no row or no owner
	CauseOwnerGone          // the owner is no longer a member
	CauseOwnerLeaving       // the owner is leaving, or its zone is taken out and is not the replica's
	CauseOutsideZone        // the owner is outside the replica's zone, which has eligible members
	CauseSingleOwner        // one member owned all replicas of the leaf
	CauseOverloaded         // the owner was overloaded (L4)
	CauseUnderused          // the new owner was underused (L4)
	CauseRemoved            // the replica is no longer in the deployment
	causeCount
)

var causeNames = [causeCount]string{
	"", "new", "owner gone", "owner leaving", "owner outside zone", "leaf with one owner", "owner overloaded",
	"member underused", "replica removed",
}

// String returns the cause as it appears in log lines.
func (c Cause) String() string {
	if c < causeCount {
		return causeNames[c]
	}
	return "invalid"
}

// Decision is a change of one row of the table. From is empty if the row had no owner,
// and To if it has none after the change. Epoch is the epoch after the change.
type Decision struct {
	Rule    Rule
	Cause   Cause
	Replica dandeliongap.ReplicaID
	From    dandeliongap.MemberID
	To      dandeliongap.MemberID
	Epoch   dandeliongap.Epoch
}

// String returns the decision as it appears in log lines.
func (d Decision) String() string {
	return fmt.Sprintf("%s %s replica=%s from=%s to=%s epoch=%d", d.Rule, d.Cause, d.Replica, d.From, d.To, d.Epoch)
}

// Kind is the operation that an Action asks the driver to perform.
type Kind uint8

// Kinds of actions.
const (
	KindNone Kind = iota
	// KindAskRelease: call Release(Replica, Epoch) on Member. Report ReleaseAnswered
	// or ReleaseFailed.
	KindAskRelease
	// KindGrant: let the gate of Replica (dggate) send under Epoch while this VM has
	// rights (dgmember). If StateKnown is set, State is the state that the owner of
	// the previous epoch passed on; otherwise treat the replica as cold.
	KindGrant
	// KindRevoke: stop the gate of Replica from starting requests. Epoch is the epoch
	// of the revoked grant. Report Drained once no request is in flight.
	KindRevoke
	// KindAnswerRelease: reply to the call Release(Replica, Epoch) of Member with
	// Released and State. StateKnown reports whether State.Limit is known.
	KindAnswerRelease
	kindCount
)

var kindNames = [kindCount]string{"", "ask release", "grant", "revoke", "answer release"}

// String returns the name of the kind as it appears in log lines.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// GateState is the state of a replica that a former owner passes to the next one.
type GateState struct {
	Limit    dandeliongap.Slots // concurrency limit when the gate had drained; 0: unknown
	Draining bool               // the replica reported that it drains
}

// Action is one operation for the driver to perform. Rule is always set. Other fields
// that the comment of the Kind does not mention are empty.
type Action struct {
	Kind       Kind
	Rule       Rule
	Member     dandeliongap.MemberID
	Replica    dandeliongap.ReplicaID
	Epoch      dandeliongap.Epoch
	Released   bool
	StateKnown bool
	State      GateState
}

// String returns the action as it appears in log lines.
func (a Action) String() string {
	return fmt.Sprintf("%s %s replica=%s epoch=%d member=%s", a.Rule, a.Kind, a.Replica, a.Epoch, a.Member)
}
