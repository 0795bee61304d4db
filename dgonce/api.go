// Package dgonce decides the course of one request that may not be repeated, on
// its entry VM. The idempotency record in the platform object "requests/HASH"
// proves who may run it. The package has no goroutine, clock or lock; a driver
// passes events in and carries out the actions that come back.
//
// Rules. Each Action names the rule that it follows.
//
//   - O1: The record is created by a conditional write before the request runs.
//     The request runs only after the record is certainly this attempt's.
//   - O2: A write whose answer was lost is resolved by reading the record back
//     and comparing the attempt id. A record that is not there is written again
//     on the same condition, which makes the first write void.
//   - O3: A record of another attempt with another body hash: not run, with
//     ReasonDuplicate.
//   - O4: A record of another attempt in state Answered: its stored answer. A
//     stored answer that is missing because it was too large: unknown.
//   - O5: A record of another attempt in state NotRun is taken over by a
//     conditional update; then the request runs.
//   - O6: A record of another attempt in state Started or Unknown, or one that
//     cannot be parsed: unknown, never run.
//   - O7: The platform unreachable before the record is certainly this
//     attempt's: not run, with ReasonPlatform, and never run afterwards.
//   - O8: The deadline passed, or the driver called Abandon, before Run: not
//     run, and never run afterwards.
//   - O9: After "not run" under O7 or O8 a record that may exist is marked NotRun
//     by a conditional write, so that it does not block a repeat.
//   - O10: After the run the outcome is recorded by a conditional update. A lost
//     or failed update does not change what the caller is told.
package dgonce

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Never is the instant that Next returns when no time limit is pending.
const Never = dandeliongap.Instant(1<<63 - 1)

// RecordKind is the kind of the platform objects that hold records.
const RecordKind = "requests"

// Rule is the number of the rule that a decision follows.
type Rule uint8

// Rules of the package comment.
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

// RecordState is the state of a request in its record.
type RecordState string

// States of a record.
const (
	Started  RecordState = "Started"
	Answered RecordState = "Answered"
	NotRun   RecordState = "NotRun"
	Unknown  RecordState = "Unknown"
)

// Record is the idempotency record, the JSON body of its object.
type Record struct {
	Attempt  string
	VM       dandeliongap.VMName
	BodyHash string
	State    RecordState
	Answer   []byte `json:",omitempty"`
	// TooLarge reports an answer over MaxAnswer bytes, which is not stored.
	TooLarge bool `json:",omitempty"`
}

// Request is a request that may not be repeated.
type Request struct {
	Service   dandeliongap.ServiceName
	Key       dandeliongap.IdempotencyKey
	Body      []byte
	VM        dandeliongap.VMName  // the entry VM
	AttemptID string               // unique over all VMs and restarts
	Deadline  dandeliongap.Instant // the request is not started afterwards
}

// ActionKind tells the driver what to do.
type ActionKind uint8

// Kinds of actions.
const (
	// Put: call ObjectStore.Put with Name, Body and IfVersion, then PutDone.
	Put ActionKind = iota + 1
	// Get: call ObjectStore.Get with Name, then GetDone.
	Get
	// Run: send the request to a backend server with Deadline, then RunDone.
	Run
	// Finish: tell the caller Outcome, Reason and Body. It comes exactly once.
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

// Action is one decision.
type Action struct {
	Kind       ActionKind
	Name       dandeliongap.ObjectName // of a Put or Get
	Body       []byte                  // record of a Put, answer of a Finish
	IfVersion  dandeliongap.Version    // of a Put
	Deadline   dandeliongap.Instant    // of a Run
	Outcome    dandeliongap.Outcome    // of a Finish
	Reason     dandeliongap.Reason     // of a Finish
	RetryAfter time.Duration           // of a Finish; 0: no advice
	Rule       Rule
}

// RecordName returns the name of the object that holds the record of key at
// service. The length prefix keeps pairs apart whose concatenation is equal.
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
