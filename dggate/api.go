// Package dggate implements admission control for one replica on the VM that
// owns it: it decides which requests are sent to the replica and when. It
// covers queueing, the concurrency limit, cold start and the end of ownership.
// The package has no goroutine, clock or lock. A driver passes events in and
// carries out the actions that come back.
//
// An entry VM is a VM that accepts requests from callers and submits them to the
// owner of a replica. Rights are the permission to send requests to a replica.
// They are granted under a placement epoch, and they expire at a known time unless
// they are extended.
//
// Rules. Each Action names the rule that it follows.
//
//   - G1: Nothing is dispatched without rights. A request that arrives before
//     the placement row names this VM, or after Revoke, is refused as not run
//     with ReasonNotOwner. Grants under a revoked epoch are ignored.
//   - G2: While this VM waits for its rights, requests are queued. They are
//     dispatched on Grant, or refused once they can no longer meet their
//     deadline.
//   - G3: No dispatched request has a deadline after the end of the rights. A
//     later deadline is shortened. A request that would not finish before that
//     end is refused with ReasonLease. With nothing in flight it is sent anyway
//     (G12), because time-outs may have raised the estimated service time above
//     the longest time for which rights are valid.
//   - G4: A request is dispatched only while fewer requests are in flight than
//     the limit. The limit is at most the replica's slots and connections. A
//     slot becomes free only at Done, even if its request was cancelled or its
//     deadline passed.
//   - G5: A replica that is new, returned or unknown starts at its cold limit.
//     Every RampAnswers good answers raise the limit by one slot. An answer is
//     good if its request was sent after the last change of the limit, it carries
//     no cold mark (header "Load-State: cold") and it is not slow (G6).
//   - G6: The limit falls to the cold limit at once after a cold mark, after a
//     shed refusal while no more requests than the limit were in flight, or
//     after SlowAnswers answers in a row that each took at least SlowFactor times
//     the normal latency. Requests in flight are not cancelled. A shed refusal is
//     the response of a backend server that does not run a request because it is
//     overloaded.
//   - G7: After a shed refusal nothing is dispatched until its Retry-After has
//     passed.
//   - G8: After LostFailures connection failures in a row the replica is lost:
//     its queue is refused with ReasonConnection, and one trial request at a time
//     is sent, with exponential back-off. A response ends this state, and the
//     replica starts cold. Even the first lost connection lowers the limit to the
//     cold limit, because the backend server may have restarted.
//   - G9: While the replica is leaving or its availability zone is taken out,
//     every request that is not yet sent is refused with the matching reason. A
//     replica that returns starts cold.
//   - G10: Urgent requests go first, then ordinary ones, then archive requests.
//     Within a class the earliest deadline goes first.
//   - G11: Archive requests do not starve. While some wait, the next one goes
//     before ordinary requests after ArchiveEvery - 1 dispatches of other classes,
//     and before urgent ones after 2*ArchiveEvery - 1.
//   - G12: A request whose predicted start time plus the estimated service time
//     is after its deadline is refused with ReasonOverload and a Retry-After. The
//     check is made on arrival, while the request is queued and before it is sent.
//     With nothing in flight a request is sent regardless of the estimate, so
//     that a wrong estimate corrects itself.
//   - G13: Queues are bounded. Ordinary and archive requests may spend only a
//     part of the time before their deadline in the queue.
//   - G14: Cancel refuses a queued request with ReasonCancelled. For a request in
//     flight it asks the driver, once, to cancel it at the backend server.
//   - G15: Under overload, while urgent requests arrive, dispatches of other
//     classes are at least a minimum interval apart. The slots then become free
//     one after another, and an urgent request waits less for the first of them.
//     No slot is reserved for urgent requests: at 5% urgent requests, keeping one
//     slot of three free cost 31% of the goodput, and pacing cost 3 to 6%.
package dggate

import (
	"math"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Never is the instant that Next returns when no Tick is needed.
const Never = dandeliongap.Instant(math.MaxInt64)

// Rule identifies the rule of the package comment that a decision follows.
type Rule uint8

// Rules G1 to G15, in order.
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

// ActionKind is what the driver does to carry out an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Dispatch sends the request to the backend server with Action.Deadline.
	Dispatch ActionKind = iota + 1
	// Refuse reports to the entry VM that the request was not run.
	Refuse
	// CancelInFlight cancels the request at the backend server. The driver calls
	// Done when the slot is free.
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

// Parameters of the rules.
const (
	// RampAnswers is the number of good answers that raise the limit by one slot
	// (G5).
	RampAnswers = 8
	// SlowFactor is the multiple of the normal latency at which an answer counts
	// as slow. One answer in a hundred may be a straggler, so only SlowAnswers
	// slow answers in a row are taken as a cold start (G6).
	SlowFactor  = 5
	SlowAnswers = 3
	// LostFailures is the number of connection failures in a row after which a
	// replica is lost (G8).
	LostFailures = 3
	// TrialBackoff and TrialBackoffMax are the shortest and the longest time
	// between trial requests to a lost replica.
	TrialBackoff    = 50 * time.Millisecond
	TrialBackoffMax = 5 * time.Second
	// ShedPause is the pause after a shed refusal without Retry-After.
	// ShedPauseMax caps the Retry-After of a shed refusal.
	ShedPause    = 50 * time.Millisecond
	ShedPauseMax = time.Minute
	// DrainHold is the time for which a response that reports draining overrides a
	// health endpoint that has not reported it, because that endpoint lags.
	DrainHold = 30 * time.Second
	// ArchiveEvery is the number of dispatches of which one is an archive request
	// while both archive and ordinary requests are queued (G11).
	ArchiveEvery = 10
	// QueuePerSlot is the maximum length of each queue, in requests per slot.
	QueuePerSlot = 64
	// waitShare is the fraction of the spare time before its deadline that an
	// ordinary or archive request may spend in the queue (G13).
	waitShare = 0.5
	// deviationFactor is the safety margin by which a request that has to wait must
	// be expected to meet its deadline, in mean deviations of the service time.
	deviationFactor = 2
	// paceShare is the minimum interval between paced dispatches (G15), as a
	// fraction of the mean interval at full load. Dispatches are paced if a request
	// was refused by prediction (G12, G13) within the last overloadWindow service
	// times and an urgent request arrived within the last urgentWindow.
	paceShare      = 0.6
	overloadWindow = 8
	urgentWindow   = 100
	// averageWindow is the number of samples of the moving averages.
	averageWindow = 32
	// serviceTimeCap and normalLatencyCap are the largest samples that count in
	// full for the service time and the normal latency, as multiples of the mean.
	// The lower cap of the normal latency makes it adapt slowly, so that the
	// latencies of a cold start do not become normal.
	serviceTimeCap   = 8
	normalLatencyCap = 2
)

// Action is one decision that the driver carries out.
type Action struct {
	Kind       ActionKind
	ID         dandeliongap.SubID
	Reason     dandeliongap.Reason  // of a Refuse
	RetryAfter time.Duration        // of a Refuse; 0: none
	Deadline   dandeliongap.Instant // of a Dispatch
	Rule       Rule
}

// Request is a sub-request that an entry VM submitted.
type Request struct {
	ID            dandeliongap.SubID
	Class         dandeliongap.Class
	NonIdempotent bool // must not run twice
	Index         dandeliongap.IndexVersion
	Deadline      dandeliongap.Instant
}

// Result is the outcome of a dispatched request.
type Result struct {
	Status     dandeliongap.SubStatus
	Reason     dandeliongap.Reason
	Cold       bool // response header "Load-State: cold"
	Draining   bool // response header "Draining: true"
	RetryAfter time.Duration
	Latency    time.Duration // from dispatch to completion
	Index      dandeliongap.IndexVersion
}

// Handover is the replica state that a former owner passes to the next owner.
type Handover struct {
	Limit         dandeliongap.Slots
	Known         bool // false: the replica starts cold
	Draining      bool
	NormalLatency time.Duration // average latency when warm; 0: unknown
}

// State is the state of a replica as its owner sees it.
type State uint8

// States of a replica.
const (
	NotHeld State = iota // no rights, or waiting for them
	Cold                 // at the cold limit
	Ramping              // between the cold limit and the maximum
	Warm                 // at the maximum limit
	Leaving              // draining, or its availability zone is taken out
	Lost                 // connection failures (G8)
)

var stateNames = [...]string{"not held", "cold", "ramping", "warm", "leaving", "lost"}

// String returns the name that log lines use.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}
