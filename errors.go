package dandeliongap

import "errors"

// Sentinel errors, to be tested with errors.Is. Packages wrap them with the
// offending name and value.
var (
	// ErrInvalid reports a value outside the range or syntax of its type.
	ErrInvalid = errors.New("invalid value")
	// ErrNotFound reports an object, service, replica or zone that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports a conditional update based on an outdated version.
	ErrConflict = errors.New("version conflict")
	// ErrUnreachable reports that the platform, a peer or a backend server did not
	// respond; the call may or may not have taken effect.
	ErrUnreachable = errors.New("unreachable")
	// ErrNotRun reports a call that is known not to have taken effect.
	ErrNotRun = errors.New("not run")
	// ErrUnauthorized reports a missing or wrong operator token.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrTooLarge reports a value that exceeds a limit of the platform or of a
	// listener.
	ErrTooLarge = errors.New("too large")
	// ErrHistoryGone reports a watch that starts at a version whose later changes
	// the store has discarded; the collection must be listed again.
	ErrHistoryGone = errors.New("history gone")
	// ErrRestored reports a call with a version of an earlier era than the store's, with
	// ErrHistoryGone or ErrConflict, or a response of an earlier era, with ErrUnreachable.
	ErrRestored = errors.New("store restored from a copy")
	// ErrCutOff reports a watch whose connection ended without a complete response.
	ErrCutOff = errors.New("connection ended before the response")
	// ErrHasKeys reports a configuration from another VM that has keys of accounts in place
	// of their hashes.
	ErrHasKeys = errors.New("configuration of another VM has keys")
	// ErrNoReplica reports a service none of whose replicas can take a request now.
	ErrNoReplica = errors.New("no usable replica")
	// ErrClosed reports a call on a closed client, server or store.
	ErrClosed = errors.New("closed")
)
