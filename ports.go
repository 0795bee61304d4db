package dandeliongap

import (
	"context"
	"time"
)

// Object is one object of the platform.
type Object struct {
	Name    ObjectName
	Version Version
	Deleted bool
	Body    []byte
}

// ObjectStore is the platform's object API. Every method may return
// ErrUnreachable, after which a change may or may not have taken effect.
type ObjectStore interface {
	// Get returns the object; ErrNotFound if there is none.
	Get(ctx context.Context, name ObjectName) (Object, error)
	// Put writes the object if its version is still if (0: it does not exist)
	// and returns the new version; ErrConflict otherwise.
	Put(ctx context.Context, name ObjectName, body []byte, ifVersion Version) (Version, error)
	// Delete removes the object if its version is still ifVersion; ErrConflict
	// otherwise.
	Delete(ctx context.Context, name ObjectName, ifVersion Version) error
	// List returns all objects of a kind and the collection's version.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Watch waits for changes of a kind after since, at most wait, and returns
	// them with the collection's new version; none when the time passed.
	Watch(ctx context.Context, kind string, since Version, wait time.Duration) ([]Object, Version, error)
}

// ListedVM is one entry of the platform's VM list, which lags.
type ListedVM struct {
	Name    VMName
	Zone    ZoneName
	Leaving bool
}

// VMList is the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]ListedVM, error)
}

// BackendRequest is one sub-request as it goes to a backend server.
type BackendRequest struct {
	ID       SubID
	Class    Class
	Index    IndexVersion   // 0 for actions
	Action   bool           // may not be repeated
	Key      IdempotencyKey // of an action; the Idempotency-Key header
	Deadline time.Time      // wall clock; the backend server refuses it afterwards
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

// BackendClient sends sub-requests to backend servers. It keeps warm
// connections, never more than the replica allows, and never reuses one with an
// unfinished answer.
type BackendClient interface {
	// Send returns when the answer is whole, the attempt failed or was cancelled.
	// A cancelled ctx cancels the request at the backend server and Send returns
	// only when its slot is free or its deadline passed.
	Send(ctx context.Context, r *Replica, req *BackendRequest) BackendAnswer
	// Health returns the sign "draining" of the replica's health endpoint.
	Health(ctx context.Context, r *Replica) (draining bool, err error)
	// Disconnect waits for the requests under way at a replica and closes its
	// connections; an owner calls it before it releases the replica.
	Disconnect(ctx context.Context, id ReplicaID) error
	// Close waits for requests under way and closes all connections.
	Close() error
}
