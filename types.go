// Package dandeliongap holds what the modules of the query tier share: named
// types for ids and units, the values that they exchange, the interfaces behind
// which behaviour varies, and the sentinel errors. Implementations are in the
// packages below it. It imports the standard library only.
package dandeliongap

import (
	"fmt"
	"time"
)

// Ids. Each is opaque to every package but the one that creates it.
type (
	// ZoneName names an availability zone. Source: settings of the VM and the
	// configuration text.
	ZoneName string
	// ServiceName names a service section of the configuration text.
	ServiceName string
	// ReplicaID names one backend server of a service: "service/ordinal".
	// Source: the configuration text.
	ReplicaID string
	// VMName names a VM. Source: the VM's settings.
	VMName string
	// MemberID is a VMName plus a random incarnation, so that a restarted
	// process is another member than the process that it replaces.
	MemberID string
	// ObjectName is the kind and name of a platform object: "kind/name".
	ObjectName string
	// IdempotencyKey is the caller's key of a request that may not be repeated.
	IdempotencyKey string
)

// Units.
type (
	// Version is the platform's version of an object. It only rises; 0 means
	// that the object does not exist.
	Version uint64
	// Epoch counts the moves of one replica between owners.
	Epoch uint64
	// IndexVersion names a snapshot of a group's index. It only rises; 0 means
	// none.
	IndexVersion uint64
	// PartID is the ordinal of one part of an index version, from 0.
	PartID uint32
	// Instant is the time since the driver started, on its monotonic clock.
	// Decisions receive it as an argument and read no clock.
	Instant time.Duration
	// Slots counts requests that a backend server runs at the same time.
	Slots int
)

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// SubID identifies one attempt of one sub-request. An answer that carries
// another id than the attempt that waits for it is discarded.
type SubID struct {
	Entry   uint64 // incarnation of the entry VM
	Query   uint64 // number of the query on the entry VM
	Shard   uint32 // index of the shard in the query's shard map
	Attempt uint32 // number of the attempt for this shard, from 0
}

// String returns the id in the form that the Request-Id header carries.
func (id SubID) String() string {
	return fmt.Sprintf("%016x-%x-%x-%x", id.Entry, id.Query, id.Shard, id.Attempt)
}

// Class orders requests in the queue of a replica.
type Class uint8

// Classes, most urgent first. The zero value is the one for requests that name
// none.
const (
	ClassOrdinary Class = iota
	ClassUrgent
	ClassArchive
	// ClassCount is the number of classes.
	ClassCount
)

var classNames = [ClassCount]string{"ordinary", "urgent", "archive"}

// String returns the name that settings, requests and log lines use.
func (c Class) String() string {
	if c < ClassCount {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name; the empty name is
// ClassOrdinary. Its error is ErrInvalid.
func ParseClass(s string) (Class, error) {
	if s == "" {
		return ClassOrdinary, nil
	}
	for i, n := range classNames {
		if n == s {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("class %q: %w", s, ErrInvalid)
}

// Outcome is what a caller may rely on about its request.
type Outcome uint8

// Outcomes. The zero value claims nothing.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the answer is attached.
	OutcomeAnswered
	// OutcomeNotRun means that no backend server ran the request.
	OutcomeNotRun
)

// String returns the name that answers and log lines use.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not run"
	default:
		return "unknown"
	}
}

// SubStatus is the result of one attempt of a sub-request.
type SubStatus uint8

// Results of an attempt. The zero value is the one that claims least.
const (
	// SubUnknown: sent, no usable answer (connection lost, truncated, timeout).
	SubUnknown SubStatus = iota
	// SubAnswered: the whole answer arrived.
	SubAnswered
	// SubNotRun: refused before it ran; Reason tells why.
	SubNotRun
	// SubCancelled: cancelled while it waited or ran.
	SubCancelled
)

// String returns the name that log lines use.
func (s SubStatus) String() string {
	switch s {
	case SubAnswered:
		return "answered"
	case SubNotRun:
		return "not run"
	case SubCancelled:
		return "cancelled"
	default:
		return "unknown"
	}
}

// Reason tells why a request or an attempt was refused or failed.
type Reason uint8

// Reasons of refusals and failures.
const (
	ReasonNone        Reason = iota
	ReasonOverload           // the queue cannot serve it before its deadline
	ReasonShed               // the backend server shed it
	ReasonDraining           // the backend server is leaving
	ReasonNotOwner           // this VM does not hold the replica
	ReasonZoneOut            // its availability zone is taken out
	ReasonVersionGone        // the backend server does not hold the index version
	ReasonDeadline           // the deadline passed
	ReasonConnection         // the connection could not be made or was lost
	ReasonBroken             // the answer was truncated, crossed or not parseable
	ReasonCancelled          // the caller or the entry VM cancelled it
	ReasonIsolated           // this VM reaches neither the platform nor its peers
	ReasonPlatform           // the platform is needed and unreachable
	ReasonNoReplica          // no replica of the shard may be used
	ReasonCoverage           // less coverage than the caller accepts
	ReasonDuplicate          // the idempotency key was used before
	ReasonStopping           // this VM shuts down
	ReasonLease              // this VM's lease lapsed
	ReasonUnknownName        // no such service
	ReasonNoConfig           // no configuration was accepted yet, or this VM has none
	reasonCount
)

var reasonNames = [reasonCount]string{
	"", "overload", "shed", "draining", "not owner", "zone taken out", "index version gone", "deadline",
	"connection lost", "broken answer", "cancelled", "isolated", "platform unreachable", "no replica",
	"coverage too low", "duplicate key", "stopping", "lease lapsed", "unknown service",
	"no configuration",
}

// String returns the text that answers and log lines use.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// Valid tells whether r is one of the reasons above.
func (r Reason) Valid() bool { return r < reasonCount }

// ReplicaLoad is what an answer or refusal tells about the replica that gave it. It
// travels with sub-answers from the owner to the entry VM.
type ReplicaLoad struct {
	Limit    Slots        // requests that the owner allows at the moment
	Busy     Slots        // requests under way at the replica
	Queued   int          // requests that wait at the owner
	Cold     bool         // in cold start or ramping
	Draining bool         // leaving
	Index    IndexVersion // index version of the answer
}
