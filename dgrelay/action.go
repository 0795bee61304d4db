package dgrelay

import (
	"fmt"

	"dandeliongap.example/dandeliongap"
)

// Names of the relayed objects.
const (
	Deployment dandeliongap.ObjectName = "state/deployment"
	Zones      dandeliongap.ObjectName = "state/zones"
	Members    dandeliongap.ObjectName = "state/members"
	Placement  dandeliongap.ObjectName = "state/placement"
	Catalog    dandeliongap.ObjectName = "state/catalog"
)

// Rule identifies the rule of the package comment that led to an action.
type Rule uint8

// Rules of the package comment.
const (
	RuleNone Rule = iota
	C1
	C2
	C3
	C4
	C5
	ruleCount
)

var ruleNames = [ruleCount]string{"", "C1", "C2", "C3", "C4", "C5"}

// String returns the rule's number as it appears in log lines.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "invalid"
}

// Kind is the operation that an Action asks the driver to perform.
type Kind uint8

// Kinds of actions. To report an event is to call the Relay method of that name.
const (
	KindNone Kind = iota
	// KindPush: exchange with Member at once to pass on a newly adopted object.
	// Report PeerAnswered after a success.
	KindPush
	// KindExchange: exchange with Member or, if it is empty, with a seed address
	// from the settings. Report PeerAnswered after a success.
	KindExchange
	// KindWatch: watch the platform's objects of the kind "state" for changes
	// after Version, for at most WatchWait. Report PlatformAnswered or
	// PlatformFailed.
	KindWatch
	// KindRead: list the platform's objects of the kind "state". Report
	// PlatformAnswered or PlatformFailed.
	KindRead
	kindCount
)

var kindNames = [kindCount]string{"", "push", "exchange", "watch", "read"}

// String returns the name of the kind as it appears in log lines.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// Action is one operation for the driver to perform. Rule is always set. Other
// fields that the comment of the Kind does not mention are empty.
type Action struct {
	Kind    Kind
	Rule    Rule
	Member  dandeliongap.MemberID
	Version dandeliongap.Version
}

// String returns the action as it appears in log lines.
func (a Action) String() string {
	return fmt.Sprintf("%s %s member=%s since=%d", a.Rule, a.Kind, a.Member, a.Version)
}

// ObjectVersion is one entry of a digest, the list of the objects that a VM holds.
type ObjectVersion struct {
	Name    dandeliongap.ObjectName
	Version dandeliongap.Version
}
