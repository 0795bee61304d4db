package dandeliongap

import (
	"context"
	"time"
)

// Object is an object in the platform's object store.
type Object struct {
	Name    ObjectName
	Version Version
	Deleted bool
	Body    []byte
}

// ObjectStore is the platform's object API. Every method may return
// ErrUnreachable; a write that returns it may or may not have taken effect.
//
// The store may be restored from an older copy, which begins a new era of versions. A
// version of another era than the store's is never compared with its revisions: a watch
// from an earlier one returns ErrHistoryGone, and a conditional write ErrConflict, both with
// ErrRestored. A response of an earlier era is no answer (ErrUnreachable). A write that met
// the new era only in its response may have taken effect all the same, in place of what
// another writer wrote.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name ObjectName) (Object, error)
	// Put writes the object if its current version is ifVersion (0: the object
	// does not exist) and returns the new version. It returns ErrConflict if the
	// version is another one.
	Put(ctx context.Context, name ObjectName, body []byte, ifVersion Version) (Version, error)
	// Delete removes the object if its current version is ifVersion. It returns
	// ErrConflict if the version is another one.
	Delete(ctx context.Context, name ObjectName, ifVersion Version) error
	// List returns all objects of a kind and the version of the collection.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Watch waits up to wait for changes of a kind after version since, and
	// returns them with the new version of the collection. It returns no objects
	// if nothing changed in that time, and ErrCutOff if the store ended the
	// connection instead of responding, which stores may do at any time.
	Watch(ctx context.Context, kind string, since Version, wait time.Duration) ([]Object, Version, error)
}

// ListedVM is an entry of the platform's VM list, which lags behind the actual
// state of the VMs.
type ListedVM struct {
	Name    VMName
	Zone    ZoneName
	Leaving bool
}

// VMList is the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]ListedVM, error)
}

// BackendRequest is a sub-request as sent to a backend server.
type BackendRequest struct {
	ID       SubID
	Class    Class
	Index    IndexVersion   // 0 for actions
	Action   bool           // must not run more than once
	Key      IdempotencyKey // of an action; sent in the Idempotency-Key header
	Deadline time.Time      // wall clock; the backend server rejects the request afterwards
	Body     []byte
}

// BackendAnswer is the result of one attempt at a backend server.
type BackendAnswer struct {
	Status     SubStatus
	Reason     Reason
	Index      IndexVersion
	Cold       bool
	Draining   bool
	RetryAfter time.Duration
	Body       []byte
}

// BackendClient sends sub-requests to backend servers. It pools open connections,
// never more than the replica allows, and never reuses a connection on which a
// response is incomplete.
type BackendClient interface {
	// Send returns when the response is complete, or the attempt failed or was
	// cancelled. Cancelling ctx cancels the request at the backend server; Send
	// then returns only when the request's slot is free or its deadline has passed.
	Send(ctx context.Context, r *Replica, req *BackendRequest) BackendAnswer
	// Health reports whether the replica's health endpoint returns "draining".
	Health(ctx context.Context, r *Replica) (draining bool, err error)
	// Disconnect waits for the requests in flight at a replica and closes the
	// connections to it. An owner calls it before it releases the replica.
	Disconnect(ctx context.Context, id ReplicaID) error
	// Close waits for the requests in flight and closes all connections.
	Close() error
}
