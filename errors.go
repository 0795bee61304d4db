package dandeliongap

import "errors"

// Sentinel errors. Callers test for them with errors.Is; packages wrap them with
// the name and value at fault.
var (
	// ErrInvalid reports a value that its type or limits do not allow.
	ErrInvalid = errors.New("invalid value")
	// ErrNotFound reports an object, service, replica or zone that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports a conditional update whose version was out of date.
	ErrConflict = errors.New("version conflict")
	// ErrUnreachable reports a platform, peer or backend server that gave no
	// answer; the call may or may not have taken effect.
	ErrUnreachable = errors.New("unreachable")
	// ErrNotRun reports a call that certainly did not take effect.
	ErrNotRun = errors.New("not run")
	// ErrUnauthorized reports a missing or wrong operator token.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrTooLarge reports a value over the platform's or a listener's limit.
	ErrTooLarge = errors.New("too large")
	// ErrHistoryGone reports a watch from a version whose changes the store no
	// longer has; the collection must be listed again.
	ErrHistoryGone = errors.New("history gone")
	// ErrNoReplica reports a service without a replica that may be used now.
	ErrNoReplica = errors.New("no usable replica")
	// ErrClosed reports a call on something that was closed.
	ErrClosed = errors.New("closed")
)
