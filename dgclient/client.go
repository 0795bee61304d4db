package dgclient

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/gravitational/trace"
)

// Options of a Client. Addresses is required.
type Options struct {
	Addresses []string      // "IP:port" of any VMs of the tier
	Token     string        // operator token; not needed for searches and actions
	Timeout   time.Duration // limit of calls without their own deadline. Default: DefaultTimeout
}

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 10 * time.Second

// maxStartIndex bounds the random start index of the round robin over the
// addresses.
const maxStartIndex = 1 << 16

// Client sends searches, actions and operator calls to the tier. It is safe for
// concurrent use.
type Client struct {
	token   string
	timeout time.Duration
	book    addressBook

	mu         sync.Mutex
	transports map[string]*dghttp.Transport
	closed     bool
}

// New returns a client, or an error that wraps ErrInvalid if an address is missing
// or malformed.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, trace.Wrap(fmt.Errorf("no addresses in the client options: %w", dandeliongap.ErrInvalid))
	}
	for _, addr := range o.Addresses {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, trace.Wrap(fmt.Errorf("address %q is not IP:port: %w", addr, dandeliongap.ErrInvalid))
		}
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{
		token:      o.Token,
		timeout:    o.Timeout,
		transports: make(map[string]*dghttp.Transport),
		book: addressBook{
			seeds:    slices.Clone(o.Addresses),
			next:     rand.IntN(maxStartIndex),
			failed:   make(map[string]bool),
			lastAddr: make(map[dandeliongap.IdempotencyKey]string),
		},
	}, nil
}

// Close aborts the calls in progress and closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	transports := c.transports
	c.mu.Unlock()
	for _, t := range transports {
		t.Close()
	}
	return nil
}
