package dgfanout

import (
	"strconv"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Request describes a query of a caller. Entry and Number identify the query in the ids
// of its sub-requests.
type Request struct {
	Entry         uint64 // incarnation of the entry VM
	Number        uint64 // number of the query on the entry VM
	Service       dandeliongap.ServiceName
	Class         dandeliongap.Class
	NonIdempotent bool                        // must not run twice (R14)
	Key           dandeliongap.IdempotencyKey // selects the leaf of a non-idempotent request (R14)
	MinCoverage   float64                     // lowest share of parts that the caller accepts, 0 to 1
	Deadline      dandeliongap.Instant        // 0 means the deadline of the service
	Baseline      bool                        // use the baseline policy (R16)
}

// Kind determines what the driver does for an Action.
type Kind uint8

// Kinds of actions.
const (
	// Send sends one attempt to the owner of the replica.
	Send Kind = iota
	// Cancel tells the owner that the answer to an attempt is no longer needed.
	Cancel
	// Finish answers the caller with Query.Result.
	Finish
)

// String returns the name that log lines use.
func (k Kind) String() string {
	switch k {
	case Send:
		return "send"
	case Cancel:
		return "cancel"
	case Finish:
		return "finish"
	default:
		return "invalid"
	}
}

// Rule is the number of a rule in the package comment.
type Rule uint8

// Rules that actions name.
const (
	RuleAdmission   Rule = 1
	RuleChoice      Rule = 3
	RuleProbe       Rule = 4
	RuleHedge       Rule = 6
	RuleRetry       Rule = 7
	RuleVersionGone Rule = 9
	RuleMerge       Rule = 10
	RuleDeadline    Rule = 11
	RuleCompletion  Rule = 12
	RuleCoverage    Rule = 13
	RuleAction      Rule = 14
	RuleDisconnect  Rule = 15
	RuleBaseline    Rule = 16
	RuleThrottle    Rule = 17
	RuleOwnerChange Rule = 18
)

// String returns "R" followed by the number, as in "R6".
func (r Rule) String() string { return "R" + strconv.Itoa(int(r)) }

// Action is one step for the driver to carry out. A Finish has only Kind and Rule.
type Action struct {
	Kind     Kind
	Rule     Rule // the rule that led to the action
	Class    dandeliongap.Class
	ID       dandeliongap.SubID
	Replica  dandeliongap.ReplicaID
	Owner    dandeliongap.MemberID // the member that owned the replica when the attempt was sent
	Index    dandeliongap.IndexVersion
	Deadline dandeliongap.Instant // of the attempt, before the deadline of the query
	// ExpectedWait is the expected wait on which the choice of a Send was based (R3),
	// and Load the last known load of the replica at that time.
	ExpectedWait time.Duration
	Load         dandeliongap.ReplicaLoad
}

// Answer is the result of one attempt, as reported by the owner of the replica or,
// if the connection was lost, by the driver.
type Answer struct {
	ID         dandeliongap.SubID
	Replica    dandeliongap.ReplicaID
	Status     dandeliongap.SubStatus
	Reason     dandeliongap.Reason
	Index      dandeliongap.IndexVersion
	Load       dandeliongap.ReplicaLoad
	RetryAfter time.Duration
	Body       []byte
	// Parsed is the parsed Body of a search if the driver has already parsed it, for
	// example to keep this work out of the lock around the Planner.
	Parsed *Body
}

// Accepted is one answer that was merged into the result.
type Accepted struct {
	Service dandeliongap.ServiceName
	Parts   []dandeliongap.PartID // merged parts, each in one Accepted only; nil for a non-idempotent request; read-only
	Body    Body                  // of a search
	Raw     []byte                // the answer as received
}

// Result is the answer to the caller. The coverage of a search is Merged/Total;
// both are 0 for non-idempotent requests and for queries that R1 or R17 refused.
type Result struct {
	Outcome    dandeliongap.Outcome
	Reason     dandeliongap.Reason // why the query was not answered in full
	RetryAfter time.Duration       // longest wait that a refusal asked for
	Index      dandeliongap.IndexVersion
	Merged     int // merged parts
	Total      int // parts of the snapshot
	Accepted   []Accepted
}
