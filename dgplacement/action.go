package dgplacement

import (
	"fmt"

	"dandeliongap.example/dandeliongap"
)

// Rule is the number of the rule in the package comment that led to a decision.
type Rule uint8

// Rules of the package comment.
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

// String returns the rule's number as log lines cite it.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "invalid"
}

// Cause tells why a row of the table changed.
type Cause uint8

// Causes of a changed row.
const (
	CauseNone         Cause = iota
	CauseNew                // the replica had no row or no owner
	CauseOwnerGone          // the owner is no member any more
	CauseOwnerLeaving       // the owner leaves, or its zone is taken out
	CauseOutsideZone        // the owner is outside the replica's zone, which has members
	CauseSingleOwner        // all replicas of the leaf had the same owner
	CauseOverloaded         // the owner has more rows than its share
	CauseUnderused          // another member has too few rows
	CauseRemoved            // the replica is not in the deployment any more
	causeCount
)

var causeNames = [causeCount]string{
	"", "new", "owner gone", "owner leaving", "owner outside zone", "leaf with one owner", "owner overloaded",
	"member underused", "replica removed",
}

// String returns the text that log lines use.
func (c Cause) String() string {
	if c < causeCount {
		return causeNames[c]
	}
	return "invalid"
}

// Decision is one changed row of the table.
type Decision struct {
	Rule    Rule
	Cause   Cause
	Replica dandeliongap.ReplicaID
	From    dandeliongap.MemberID
	To      dandeliongap.MemberID
	Epoch   dandeliongap.Epoch
}

// String returns the decision as log lines show it.
func (d Decision) String() string {
	return fmt.Sprintf("%s %s replica=%s from=%s to=%s epoch=%d", d.Rule, d.Cause, d.Replica, d.From, d.To, d.Epoch)
}

// Kind tells what the driver has to do for an Action.
type Kind uint8

// Kinds of actions.
const (
	KindNone Kind = iota
	// KindAskRelease: call Release(Replica, Epoch) at Member. Report
	// ReleaseAnswered or ReleaseFailed.
	KindAskRelease
	// KindGrant: the gate of Replica may send under Epoch while this VM has
	// rights. StateKnown tells whether State comes from the former owner; otherwise
	// the replica is treated as cold.
	KindGrant
	// KindRevoke: the gate of Replica starts no request any more. Report Drained
	// when no request is under way.
	KindRevoke
	// KindAnswerRelease: answer the call Release(Replica, Epoch) of Member with
	// Released and State.
	KindAnswerRelease
	kindCount
)

var kindNames = [kindCount]string{"", "ask release", "grant", "revoke", "answer release"}

// String returns the text that log lines use.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// GateState is what a former owner tells about a replica.
type GateState struct {
	Limit    dandeliongap.Slots // requests at the same time at the end; 0: not known
	Draining bool
}

// Action is one thing that the driver has to do. Fields that Kind does not
// mention are empty.
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

// String returns the action as log lines show it.
func (a Action) String() string {
	return fmt.Sprintf("%s %s replica=%s epoch=%d member=%s", a.Rule, a.Kind, a.Replica, a.Epoch, a.Member)
}
