// Package dggate decides which requests the owner VM of one replica sends to it
// and when: admission, queues, slots, cold start and the end of ownership. It
// has no goroutine, clock or lock; a driver passes events in and carries out
// the actions that come back.
//
// Rules. Each Action names the rule that it follows.
//
//   - G1: Nothing is dispatched without rights. A request that arrives before
//     the placement row names this VM, or after Revoke, is refused as not run
//     with ReasonNotOwner. Rights under an epoch that was revoked are ignored.
//   - G2: While rights are awaited, requests are queued. They are dispatched on
//     Grant or refused when they can no longer meet their deadline.
//   - G3: No dispatched request has a deadline after the end of the rights. A
//     later deadline is shortened; a request that does not fit before the end is
//     refused with ReasonLease. With nothing in flight it is tried all the same
//     (G12): timeouts may have taught a service time that is longer than the
//     rights ever last.
//   - G4: A request is dispatched only while fewer requests are in flight than
//     the limit. The limit is at most the replica's slots and connections. A
//     slot is free only after Done, also if its request was cancelled or its
//     deadline passed.
//   - G5: A replica that is new, returned or unknown starts at its cold limit.
//     RampAnswers good answers of requests sent at the present limit and
//     received without the cold mark raise it by one slot.
//   - G6: A cold mark, a shed refusal while no more than the limit was in
//     flight, or SlowAnswers answers in a row that each took SlowFactor times the
//     normal latency lower the limit to the cold limit at once. Requests in
//     flight stay in flight.
//   - G7: After a shed refusal nothing is dispatched before its Retry-After has
//     passed.
//   - G8: After LostFailures connection failures in a row the replica is lost:
//     the queue is refused with ReasonConnection, and one trial request at a
//     time is sent with a doubling back-off. A response ends the state and the
//     replica starts cold.
//   - G9: While the replica is leaving or its availability zone is taken out,
//     every request that was not sent is refused with that reason. When it
//     returns it starts cold.
//   - G10: Urgent requests go first, then ordinary ones, then archive. Inside a
//     class the earliest deadline goes first.
//   - G11: While archive requests wait, one dispatch in ArchiveEvery is an
//     archive request. It goes before ordinary requests after ArchiveEvery - 1
//     other dispatches, and before urgent ones after 2*ArchiveEvery - 1.
//   - G12: A request whose predicted start plus the learned service time is past
//     its deadline is refused with ReasonOverload and a Retry-After, on arrival,
//     while it waits or when its turn comes. With nothing in flight a request is
//     tried whatever was learned, so that a wrong estimate corrects itself.
//   - G13: Queues are bounded. Ordinary and archive requests may use only a part
//     of the time before their deadline for waiting.
//   - G14: Cancel refuses a queued request with ReasonCancelled. For a request in
//     flight it asks the driver, once, to cancel it at the backend server.
//   - G15: Under overload, while urgent requests arrive, dispatches of other
//     classes keep a minimum distance, so that the slots become free one after
//     the other and an urgent request waits a shorter time for the first one.
//     Nothing is reserved for urgent requests: keeping one slot of three free
//     cost 31% of the goodput at 5% urgent requests, pacing 3 to 6%.
package dggate

import (
	"math"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Never is the instant that Next returns when no time limit is pending.
const Never = dandeliongap.Instant(math.MaxInt64)

// Rule is the number of the rule that a decision follows.
type Rule uint8

// Rules of the package comment.
const (
	RuleNone Rule = iota
	RuleRights
	RuleAwait
	RuleRightsEnd
	RuleLimit
	RuleRamp
	RuleCold
	RuleShed
	RuleLost
	RuleLeaving
	RuleOrder
	RuleArchive
	RuleDeadline
	RuleBound
	RuleCancel
	RulePace
)

// String returns the name used in log lines, such as "G4"; empty for RuleNone.
func (r Rule) String() string {
	if r == RuleNone {
		return ""
	}
	return "G" + strconv.Itoa(int(r))
}

// ActionKind tells the driver what to do.
type ActionKind uint8

// Kinds of actions.
const (
	// Dispatch: send the request to the backend server with Action.Deadline.
	Dispatch ActionKind = iota + 1
	// Refuse: answer the entry VM that the request did not run.
	Refuse
	// CancelInFlight: cancel the request at the backend server and call Done when
	// its slot is free.
	CancelInFlight
)

// String returns the name that log lines use.
func (k ActionKind) String() string {
	switch k {
	case Dispatch:
		return "dispatch"
	case Refuse:
		return "refuse"
	case CancelInFlight:
		return "cancel"
	default:
		return "invalid"
	}
}

// Limits and weights of the rules.
const (
	// RampAnswers is the number of good answers that raise the limit by one slot.
	RampAnswers = 8
	// SlowFactor is the multiple of the normal latency from which an answer is
	// slow. One answer in a hundred may be a straggler, so only SlowAnswers slow
	// ones in a row count as a cold start.
	SlowFactor  = 5
	SlowAnswers = 3
	// LostFailures is the number of connection failures in a row after which a
	// replica is lost.
	LostFailures = 3
	// TrialBackoff and TrialBackoffMax bound the time between trial requests.
	TrialBackoff    = 50 * time.Millisecond
	TrialBackoffMax = 5 * time.Second
	// ShedPause is the pause after a shed refusal without Retry-After, and
	// ShedPauseMax the longest that is obeyed.
	ShedPause    = 50 * time.Millisecond
	ShedPauseMax = time.Minute
	// DrainHold is the time for which the sign "draining" of a response outweighs
	// a health endpoint that never reported it, because that endpoint lags.
	DrainHold = 30 * time.Second
	// ArchiveEvery gives archive requests one dispatch in this number.
	ArchiveEvery = 10
	// QueuePerSlot bounds each queue, in requests for each slot.
	QueuePerSlot = 64
	// waitShare is the part of the spare time before its deadline that an
	// ordinary or archive request may wait.
	waitShare = 0.5
	// devFactor is the number of mean deviations of the service time that a
	// request which has to wait must have to spare.
	devFactor = 2
	// paceShare is the least distance of paced dispatches, as a part of the mean
	// distance at full load. A refusal by prediction starts the pacing for
	// paceMemory service times, an urgent request for urgentMemory ones.
	paceShare    = 0.6
	paceMemory   = 8
	urgentMemory = 100
	// learnWindow is the number of answers over which latencies are averaged.
	learnWindow = 32
	// workOutlier and normalOutlier cap the weight of one answer in the service
	// time and in the normal latency, in multiples of the average. The normal
	// latency follows slowly, so that a cold start does not become normal.
	workOutlier   = 8
	normalOutlier = 2
)

// Action is one decision.
type Action struct {
	Kind       ActionKind
	ID         dandeliongap.SubID
	Reason     dandeliongap.Reason  // of a Refuse
	RetryAfter time.Duration        // of a Refuse; 0: no advice
	Deadline   dandeliongap.Instant // of a Dispatch
	Rule       Rule
}

// Request is a sub-request that an entry VM submitted.
type Request struct {
	ID            dandeliongap.SubID
	Class         dandeliongap.Class
	NonIdempotent bool // may not be repeated
	Index         dandeliongap.IndexVersion
	Deadline      dandeliongap.Instant
}

// Result is the end of a dispatched request.
type Result struct {
	Status     dandeliongap.SubStatus
	Reason     dandeliongap.Reason
	Cold       bool // Load-State: cold
	Draining   bool // Draining: true
	RetryAfter time.Duration
	Latency    time.Duration // from dispatch to the end
	Index      dandeliongap.IndexVersion
}

// Handover is what a former owner tells the next one about a replica.
type Handover struct {
	Limit         dandeliongap.Slots
	Known         bool // false: treat the replica as cold
	Draining      bool
	NormalLatency time.Duration // learned latency when warm; 0: not learned
}

// State is the state of a replica at its owner.
type State uint8

// States of a replica.
const (
	NotHeld State = iota // no rights, or rights awaited
	Cold                 // at the cold limit
	Ramping              // between the cold limit and all slots
	Warm                 // all slots
	Leaving              // draining, or its availability zone is taken out
	Lost                 // no connection
)

var stateNames = [...]string{"not held", "cold", "ramping", "warm", "leaving", "lost"}

// String returns the name that log lines use.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}
