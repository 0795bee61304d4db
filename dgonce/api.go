// Package dgonce runs a non-idempotent request at most once. The entry VM, which
// accepted the request from its caller, makes an attempt. A repeat by the caller
// with the same idempotency key is another attempt, possibly on another VM. The
// idempotency record in the platform object "requests/HASH" decides which attempt
// may run the request. The package has no goroutine, clock or lock. A driver passes
// events in and carries out the actions that come back.
//
// Rules. Each Action names the rule that it follows.
//
//   - O1: The record is created by a conditional write before the request runs.
//     The request runs only once the record is known to belong to this attempt.
//   - O2: A write whose answer was lost is resolved by reading the record back
//     and comparing the attempt id. If there is no record, it is written again
//     under the same condition, so that the first write can no longer take effect.
//   - O3: If the record belongs to another attempt with another body hash, the
//     outcome is "not run" with ReasonDuplicate.
//   - O4: If the record belongs to another attempt and is Answered, its stored
//     answer is returned. If the answer was too large to be stored, the outcome is
//     "unknown".
//   - O5: If the record belongs to another attempt and is NotRun, it is taken over
//     by a conditional update, and then the request runs.
//   - O6: If the record belongs to another attempt and is Started or Unknown, or if
//     it cannot be parsed, this attempt never runs the request and the outcome is
//     "unknown".
//   - O7: If the platform becomes unreachable before the record is known to belong
//     to this attempt, the outcome is "not run" with ReasonPlatform, and this
//     attempt never runs the request afterwards.
//   - O8: If the deadline passes or the driver calls Abandon before Run, the outcome
//     is "not run", and this attempt never runs the request afterwards.
//   - O9: After "not run" under O7 or O8, a record that may exist is marked NotRun
//     by a conditional write, so that it does not block a repeat.
//   - O10: After the run the outcome is recorded by a conditional update. A lost
//     or failed update does not change the outcome that the caller gets.
package dgonce

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Never is the instant that Next returns when no Tick is needed.
const Never = dandeliongap.Instant(1<<63 - 1)

// RecordKind is the kind of the platform objects that hold records.
const RecordKind = "requests"

// Rule identifies the rule of the package comment that a decision follows.
type Rule uint8

// Rules O1 to O10, in order.
const (
	RuleNone Rule = iota
	RuleCreate
	RuleReadBack
	RuleOtherBody
	RuleStored
	RuleTakeOver
	RuleOtherAttempt
	RulePlatform
	RuleNotStarted
	RuleCleanUp
	RuleOutcome
)

// String returns the name used in log lines, such as "O4"; empty for RuleNone.
func (r Rule) String() string {
	if r == RuleNone {
		return ""
	}
	return "O" + strconv.Itoa(int(r))
}

// RecordState is the state of a request that its record stores.
type RecordState string

// States of a record.
const (
	Started  RecordState = "Started"
	Answered RecordState = "Answered"
	NotRun   RecordState = "NotRun"
	Unknown  RecordState = "Unknown"
)

// Record is the idempotency record. Its JSON form is the body of the object.
type Record struct {
	Attempt  string
	VM       dandeliongap.VMName
	BodyHash string
	State    RecordState
	Answer   []byte `json:",omitempty"`
	// TooLarge reports that the answer is not stored, because it exceeds MaxAnswer
	// bytes or the platform's limit.
	TooLarge bool `json:",omitempty"`
}

// Request is a non-idempotent request.
type Request struct {
	Service   dandeliongap.ServiceName
	Key       dandeliongap.IdempotencyKey
	Body      []byte
	VM        dandeliongap.VMName  // the entry VM
	AttemptID string               // id of this attempt, unique over all VMs and restarts
	Deadline  dandeliongap.Instant // the request is not started afterwards
}

// ActionKind is what the driver does to carry out an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Put calls ObjectStore.Put with Name, Body and IfVersion, then PutDone.
	Put ActionKind = iota + 1
	// Get calls ObjectStore.Get with Name, then GetDone.
	Get
	// Run sends the request to a backend server with Deadline, then calls RunDone.
	Run
	// Finish returns Outcome, Reason, RetryAfter and Body to the caller. It is emitted
	// exactly once.
	Finish
)

// String returns the name that log lines use.
func (k ActionKind) String() string {
	switch k {
	case Put:
		return "put"
	case Get:
		return "get"
	case Run:
		return "run"
	case Finish:
		return "finish"
	default:
		return "invalid"
	}
}

// Action is one decision that the driver carries out.
type Action struct {
	Kind       ActionKind
	Name       dandeliongap.ObjectName // of a Put or Get
	Body       []byte                  // record of a Put, answer of a Finish
	IfVersion  dandeliongap.Version    // of a Put
	Deadline   dandeliongap.Instant    // of a Run
	Outcome    dandeliongap.Outcome    // of a Finish
	Reason     dandeliongap.Reason     // of a Finish
	RetryAfter time.Duration           // of a Finish; 0: none
	Rule       Rule
}

// RecordName returns the name of the object that holds the record of key at
// service. The length prefix distinguishes pairs with equal concatenations.
func RecordName(service dandeliongap.ServiceName, key dandeliongap.IdempotencyKey) dandeliongap.ObjectName {
	b := binary.AppendUvarint(nil, uint64(len(service)))
	b = append(b, service...)
	b = append(b, key...)
	return dandeliongap.ObjectName(RecordKind + "/" + hash(b))
}

func hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
