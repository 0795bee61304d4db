package dgbackend

import (
	"context"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Options of a Client. The zero value uses the defaults.
type Options struct {
	// DialTimeout bounds a TCP connect. Default: DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxAnswer bounds the body of an answer in bytes. Default: DefaultMaxAnswer.
	MaxAnswer int
}

// Defaults of Options.
const (
	DefaultDialTimeout = time.Second
	DefaultMaxAnswer   = 4 << 20
)

// Stats are counters of a Client since it was created, except Open and Idle,
// which are current.
type Stats struct {
	Requests  int64 // POST /query whose first byte was written
	Dials     int64 // TCP connects that were tried
	DialFails int64 // TCP connects that failed
	Ahead     int64 // connections opened before a request needed them
	Cancels   int64 // DELETE /query/ID that were written
	Broken    int64 // connections closed for an unfinished, truncated or crossed answer
	Stale     int64 // idle connections that the backend server had closed
	Open      int64 // connections that count against Replica.Connections
	Idle      int64 // of these, free ones
}

// Client is a dandeliongap.BackendClient. It is safe for concurrent use.
type Client struct{}

var _ dandeliongap.BackendClient = (*Client)(nil)

// New returns a client without connections.
func New(o Options) *Client { _ = o; return &Client{} }

// Send sends one sub-request; see dandeliongap.BackendClient.
func (c *Client) Send(ctx context.Context, r *dandeliongap.Replica, req *dandeliongap.BackendRequest) dandeliongap.BackendAnswer {
	panic("not implemented yet")
}

// Health asks the replica's health endpoint.
func (c *Client) Health(ctx context.Context, r *dandeliongap.Replica) (draining bool, err error) {
	panic("not implemented yet")
}

// Drop waits for the requests under way at the replica, closes its connections
// and returns when the backend server has closed them too. An owner calls it
// before it releases the replica to another VM.
func (c *Client) Drop(ctx context.Context, id dandeliongap.ReplicaID) error {
	panic("not implemented yet")
}

// Stats returns the counters.
func (c *Client) Stats() Stats { panic("not implemented yet") }

// Close waits for requests under way and closes all connections.
func (c *Client) Close() error { panic("not implemented yet") }
