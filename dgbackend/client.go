package dgbackend

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gravitational/trace"
)

// Options configures a Client. The zero value uses the defaults.
type Options struct {
	// DialTimeout limits the time to open a TCP connection. Default: DefaultDialTimeout.
	DialTimeout time.Duration
	// ClockSkew is the largest difference between the clocks of VMs and backend
	// servers. Send waits for a response until ClockSkew after the deadline; by
	// then the backend server has given up too. Default: DefaultClockSkew.
	ClockSkew time.Duration
	// MaxResponseBytes limits the body of a response. Default: DefaultMaxResponseBytes.
	MaxResponseBytes int
}

// Defaults for Options.
const (
	DefaultDialTimeout      = time.Second
	DefaultClockSkew        = 250 * time.Millisecond
	DefaultMaxResponseBytes = 4 << 20
)

// healthTimeout limits a health check whose context has no deadline.
const healthTimeout = time.Second

// Stats holds the counters of a Client. They count from its creation, except Open and
// Idle, which are current values.
type Stats struct {
	Requests    int64 // POST /query requests of which at least one byte was written
	Dials       int64 // attempts to open a TCP connection
	DialFails   int64 // failed attempts to open a TCP connection
	Preconnects int64 // connections opened before a request needed them
	Cancels     int64 // DELETE /query/ID requests for which a connection was acquired
	Broken      int64 // connections closed because a response was missing, incomplete, malformed or for another request
	Stale       int64 // idle connections that the backend server had closed or written to
	Open        int64 // connections that count toward Replica.Connections
	Idle        int64 // idle connections among Open
}

// poolKey identifies a pool. It includes the address, because a replica whose
// address changes is another backend server.
type poolKey struct {
	id   dandeliongap.ReplicaID
	addr string
}

// Client implements dandeliongap.BackendClient. It is safe for concurrent use.
type Client struct {
	opt   Options
	stats counters

	mu     sync.RWMutex
	pools  map[poolKey]*pool
	closed bool
	wg     sync.WaitGroup // requests, cancellations, and connections being opened or closed
}

var _ dandeliongap.BackendClient = (*Client)(nil)

// New returns a client. It opens no connection before the first request.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.ClockSkew <= 0 {
		o.ClockSkew = DefaultClockSkew
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Client{opt: o, pools: make(map[poolKey]*pool)}
}

// acquirePool returns the pool of a replica and adds the caller to the wait group.
// It returns nil after Close; otherwise the caller must call c.wg.Done.
func (c *Client) acquirePool(r *dandeliongap.Replica) *pool {
	key := poolKey{r.ID, r.Address}
	c.mu.RLock()
	p := c.pools[key]
	if p != nil && !c.closed {
		c.wg.Add(1)
		c.mu.RUnlock()
		return p
	}
	c.mu.RUnlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	p = c.pools[key]
	if p == nil {
		p = newPool(c, r.Address)
		c.pools[key] = p
	}
	c.wg.Add(1)
	return p
}

// Health reports whether the replica's health endpoint returns the state
// "draining". The error is ErrUnreachable or ErrClosed. A status other than 200 and a
// malformed body also give ErrUnreachable.
func (c *Client) Health(ctx context.Context, r *dandeliongap.Replica) (draining bool, err error) {
	p := c.acquirePool(r)
	if p == nil {
		return false, trace.Wrap(dandeliongap.ErrClosed)
	}
	defer c.wg.Done()
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(healthTimeout)
	}
	cn, reason := p.acquire(ctx, r, end)
	if reason != dandeliongap.ReasonNone {
		return false, unreachable(r, reason.String())
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.tcp.SetDeadline(time.Now()) })
	body, err := p.health(cn, end)
	stop()
	if err != nil {
		return false, unreachable(r, err.Error())
	}
	var h struct{ State string }
	if err := json.Unmarshal(body, &h); err != nil {
		return false, unreachable(r, err.Error())
	}
	return h.State == "draining", nil
}

func unreachable(r *dandeliongap.Replica, cause string) error {
	return trace.Wrap(fmt.Errorf("backend server %s at %s: %s: %w", r.ID, r.Address, cause, dandeliongap.ErrUnreachable))
}

// statusError is the error for a health check whose response status is not 200.
type statusError int

// Error implements the error interface.
func (e statusError) Error() string { return fmt.Sprintf("unexpected status %d", int(e)) }

// Disconnect closes the connections to a replica, so that the replica can be
// released to another VM. It refuses new requests as not run, waits for those in
// flight and returns when the backend server has closed all connections too.
// Afterwards the client accepts requests to the replica again. If ctx ends first,
// Disconnect returns the error of ctx, and connections may still be open. After
// Close it returns ErrClosed.
func (c *Client) Disconnect(ctx context.Context, id dandeliongap.ReplicaID) error {
	c.mu.RLock()
	if c.closed {
		c.mu.RUnlock()
		return trace.Wrap(dandeliongap.ErrClosed)
	}
	c.wg.Add(1)
	defer c.wg.Done()
	var pools []*pool
	for key, p := range c.pools {
		if key.id == id {
			pools = append(pools, p)
		}
	}
	c.mu.RUnlock()
	for _, p := range pools {
		empty := p.shut()
		defer p.reopen()
		select {
		case <-empty:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

// Stats returns the current counters.
func (c *Client) Stats() Stats {
	s := Stats{
		Requests:    c.stats.requests.Load(),
		Dials:       c.stats.dials.Load(),
		DialFails:   c.stats.dialFails.Load(),
		Preconnects: c.stats.preconnects.Load(),
		Cancels:     c.stats.cancels.Load(),
		Broken:      c.stats.broken.Load(),
		Stale:       c.stats.stale.Load(),
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.mu.Lock()
		s.Open += int64(p.open)
		s.Idle += int64(len(p.idle))
		p.mu.Unlock()
	}
	return s
}

// Close refuses new requests, waits for those in flight and closes all
// connections.
func (c *Client) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		c.wg.Wait()
		return nil
	}
	c.closed = true
	c.wg.Add(1)
	pools := c.pools
	c.mu.Unlock()
	for _, p := range pools {
		p.shut()
	}
	c.wg.Done()
	c.wg.Wait()
	return nil
}
