// Package dandeliongap defines what the modules of the query tier share: named
// types for ids and units, the data types that they exchange, the interfaces that
// have more than one implementation, and the sentinel errors. The implementations
// are in the packages below this one. It imports only the standard library.
package dandeliongap

import (
	"fmt"
	"time"
)

// Ids. Each is opaque to all packages except the one that creates it.
type (
	// ZoneName names an availability zone. It comes from the VM's settings and from
	// the configuration text.
	ZoneName string
	// ServiceName names a service section of the configuration text.
	ServiceName string
	// ReplicaID names a backend server of a service: "service/ordinal". It comes
	// from the configuration text.
	ReplicaID string
	// VMName names a VM. It comes from the VM's settings.
	VMName string
	// MemberID is a VMName followed by a random incarnation, so that a restarted
	// process is a different member from the process that it replaces.
	MemberID string
	// ObjectName is the kind and name of a platform object: "kind/name".
	ObjectName string
	// IdempotencyKey is the key by which a caller identifies a request that must
	// not run more than once.
	IdempotencyKey string
)

// Units.
type (
	// Version is the platform's version of an object. It increases monotonically; 0
	// means that the object does not exist.
	Version uint64
	// Epoch counts the changes of ownership of a replica.
	Epoch uint64
	// IndexVersion numbers the snapshots of a group's index. It increases
	// monotonically; 0 means none.
	IndexVersion uint64
	// PartID is the ordinal of a part of an index version, starting at 0.
	PartID uint32
	// Instant is the time since the process or simulation started, on a monotonic
	// clock. Decision logic receives it as an argument and reads no clock.
	Instant time.Duration
	// Slots is a number of requests that a backend server runs concurrently.
	Slots int
)

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// SubID identifies one attempt of a sub-request. A response whose id differs from
// that of the attempt waiting for it is discarded.
type SubID struct {
	Entry   uint64 // incarnation of the entry VM
	Query   uint64 // sequence number of the query on the entry VM
	Shard   uint32 // index of the shard in the query's shard map
	Attempt uint32 // number of the attempt for this shard, starting at 0
}

// String formats the id as in the Request-Id header.
func (id SubID) String() string {
	return fmt.Sprintf("%016x-%x-%x-%x", id.Entry, id.Query, id.Shard, id.Attempt)
}

// Class is the priority class of a request in the queue of a replica: urgent requests
// precede ordinary ones, and these precede archive requests.
type Class uint8

// Classes of requests. The zero value applies to requests that name none.
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

// ParseClass returns the class with the given name; the empty name stands for
// ClassOrdinary. Its error wraps ErrInvalid.
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

// Outcome tells a caller whether its request ran.
type Outcome uint8

// Outcomes. The zero value, OutcomeUnknown, leaves open whether the request ran.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the response holds the result.
	OutcomeAnswered
	// OutcomeNotRun means that no backend server ran the request.
	OutcomeNotRun
)

// String returns the name that responses and log lines use.
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

// Results of an attempt. The zero value, SubUnknown, leaves open whether the
// request ran.
const (
	// SubUnknown means that the request was sent and no usable response arrived:
	// the connection was lost, the response was truncated, or time ran out.
	SubUnknown SubStatus = iota
	// SubAnswered means that the complete response arrived.
	SubAnswered
	// SubNotRun means that the request was rejected before it ran; the accompanying
	// Reason tells why.
	SubNotRun
	// SubCancelled means that the request was cancelled while it was queued or
	// running.
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

// Reason tells why a request or an attempt was rejected or failed.
type Reason uint8

// Reasons for rejections and failures.
const (
	ReasonNone        Reason = iota
	ReasonOverload           // the queue cannot serve the request before its deadline
	ReasonShed               // the backend server rejected the request because it is overloaded
	ReasonDraining           // the backend server is draining
	ReasonNotOwner           // this VM does not own the replica
	ReasonZoneOut            // the replica's availability zone is out of service
	ReasonVersionGone        // the backend server does not hold the index version
	ReasonDeadline           // the deadline passed
	ReasonConnection         // the connection could not be opened or was lost
	ReasonBroken             // the response was truncated, malformed or that of another request
	ReasonCancelled          // the caller or the entry VM cancelled the request
	ReasonIsolated           // this VM reaches neither the platform nor its peers
	ReasonPlatform           // the platform is required but unreachable
	ReasonNoReplica          // no replica of the shard is usable
	ReasonCoverage           // the coverage is below what the caller accepts
	ReasonDuplicate          // the idempotency key was used before
	ReasonStopping           // this VM is shutting down
	ReasonLease              // this VM's lease has expired
	ReasonUnknownName        // there is no such service
	ReasonNoConfig           // no configuration has been accepted yet, or this VM has none
	reasonCount
)

var reasonNames = [reasonCount]string{
	"", "overload", "shed", "draining", "not owner", "zone taken out", "index version gone", "deadline",
	"connection lost", "broken answer", "cancelled", "isolated", "platform unreachable", "no replica",
	"coverage too low", "duplicate key", "stopping", "lease lapsed", "unknown service",
	"no configuration",
}

// String returns the text that responses and log lines use.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// Valid reports whether r is one of the reasons above.
func (r Reason) Valid() bool { return r < reasonCount }

// ReplicaLoad is the load and state of a replica. The owner of the replica reports
// it to the entry VM with each sub-response.
type ReplicaLoad struct {
	Limit    Slots        // concurrent requests that the owner currently allows
	Busy     Slots        // requests in flight at the replica
	Queued   int          // requests that wait at the owner
	Cold     bool         // in cold start, or ramping up after it
	Draining bool         // finishing its requests and accepting no new ones
	Index    IndexVersion // index version of the response
}
