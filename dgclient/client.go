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
	Token     string        // operator token; callers need none
	Timeout   time.Duration // of calls without a deadline of their own. Default: DefaultTimeout
}

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 10 * time.Second

// startRange bounds the random start of the turn of addresses.
const startRange = 1 << 16

// Client talks to the tier for callers and operators. It is safe for concurrent
// use.
type Client struct {
	token   string
	timeout time.Duration
	book    addressBook

	mu         sync.Mutex
	transports map[string]*dghttp.Transport
	closed     bool
}

// New returns a client. Its error is ErrInvalid.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, trace.Wrap(fmt.Errorf("no address: %w", dandeliongap.ErrInvalid))
	}
	for _, addr := range o.Addresses {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, trace.Wrap(fmt.Errorf("address %q: %w", addr, dandeliongap.ErrInvalid))
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
			seeds:  slices.Clone(o.Addresses),
			next:   rand.IntN(startRange),
			failed: make(map[string]bool),
			last:   make(map[dandeliongap.IdempotencyKey]string),
		},
	}, nil
}

// Close ends calls under way and closes all connections.
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
