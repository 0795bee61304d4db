package dgonce

import (
	"time"

	"dandeliongap.example/dandeliongap"
)

// Once is the state machine of one request that may not be repeated. Its zero
// value is ready for Start. It is not safe for concurrent use. Methods append
// their actions to dst and return it. At most one Put or Get is under way at a
// time. The driver calls Tick at the instant that Next returns and keeps the
// machine until Settled.
type Once struct{}

// Start begins the request. It is called once.
func (o *Once) Start(now dandeliongap.Instant, r Request, dst []Action) []Action { return dst }

// PutDone reports the result of the Put under way.
func (o *Once) PutDone(now dandeliongap.Instant, v dandeliongap.Version, err error, dst []Action) []Action {
	return dst
}

// GetDone reports the result of the Get under way.
func (o *Once) GetDone(now dandeliongap.Instant, obj dandeliongap.Object, err error, dst []Action) []Action {
	return dst
}

// RunDone reports the outcome of the run. OutcomeNotRun is passed only if no
// backend server can have run the request.
func (o *Once) RunDone(now dandeliongap.Instant, out dandeliongap.Outcome, reason dandeliongap.Reason, retryAfter time.Duration, body []byte, dst []Action) []Action {
	return dst
}

// Abandon reports that the request must not start any more: the VM was paused,
// lost its lease or stops, or the caller disconnected. After Run it has no
// effect.
func (o *Once) Abandon(now dandeliongap.Instant, reason dandeliongap.Reason, dst []Action) []Action {
	return dst
}

// Tick acts on the time that passed.
func (o *Once) Tick(now dandeliongap.Instant, dst []Action) []Action { return dst }

// Next returns the instant at which Tick must be called unless an event comes
// first; Never if there is none.
func (o *Once) Next() dandeliongap.Instant { return Never }

// Settled reports that the caller was told and no call is under way or due.
func (o *Once) Settled() bool { return true }
