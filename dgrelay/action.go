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

// Rule is the number of the rule in the package comment that led to an action.
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
	// KindPush: exchange with Member at once, because an object was adopted.
	KindPush
	// KindExchange: exchange with Member (empty: with a seed address of the
	// settings). Report PeerAnswered when it succeeded.
	KindExchange
	// KindWatch: watch the kind "state" at the platform since Version for at
	// most WatchWait. Report PlatformAnswered or PlatformFailed.
	KindWatch
	// KindRead: list the kind "state" at the platform. Report PlatformAnswered
	// or PlatformFailed.
	KindRead
	kindCount
)

var kindNames = [kindCount]string{"", "push", "exchange", "watch", "read"}

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
	Version dandeliongap.Version
}

// String returns the action as log lines show it.
func (a Action) String() string {
	return fmt.Sprintf("%s %s member=%s since=%d", a.Rule, a.Kind, a.Member, a.Version)
}

// ObjectVersion is one entry of a digest.
type ObjectVersion struct {
	Name    dandeliongap.ObjectName
	Version dandeliongap.Version
}
