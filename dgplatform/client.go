package dgplatform

import (
	"context"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Options of a Client. Address is required; other zero values use the defaults.
type Options struct {
	Address string        // "IP:port" of the platform
	Timeout time.Duration // of one call; a watch adds its wait. Default: DefaultTimeout
	Rate    float64       // calls per second on average. Default: DefaultRate
	Burst   int           // calls at once after a pause. Default: DefaultBurst
}

// Defaults of Options.
const (
	DefaultTimeout = 2 * time.Second
	DefaultRate    = 20.0
	DefaultBurst   = 40
)

// Client is a dandeliongap.ObjectStore and a dandeliongap.VMList. It never
// repeats a call. It is safe for concurrent use.
type Client struct{}

var (
	_ dandeliongap.ObjectStore = (*Client)(nil)
	_ dandeliongap.VMList      = (*Client)(nil)
)

// New returns a client; ErrInvalid if the options are.
func New(o Options) (*Client, error) { _ = o; return &Client{}, nil }

// Get implements dandeliongap.ObjectStore.
func (c *Client) Get(ctx context.Context, name dandeliongap.ObjectName) (dandeliongap.Object, error) {
	panic("not implemented yet")
}

// Put implements dandeliongap.ObjectStore.
func (c *Client) Put(ctx context.Context, name dandeliongap.ObjectName, body []byte, ifVersion dandeliongap.Version) (dandeliongap.Version, error) {
	panic("not implemented yet")
}

// Delete implements dandeliongap.ObjectStore.
func (c *Client) Delete(ctx context.Context, name dandeliongap.ObjectName, ifVersion dandeliongap.Version) error {
	panic("not implemented yet")
}

// List implements dandeliongap.ObjectStore.
func (c *Client) List(ctx context.Context, kind string) ([]dandeliongap.Object, dandeliongap.Version, error) {
	panic("not implemented yet")
}

// Watch implements dandeliongap.ObjectStore.
func (c *Client) Watch(ctx context.Context, kind string, since dandeliongap.Version, wait time.Duration) ([]dandeliongap.Object, dandeliongap.Version, error) {
	panic("not implemented yet")
}

// VMs implements dandeliongap.VMList.
func (c *Client) VMs(ctx context.Context) ([]dandeliongap.ListedVM, error) {
	panic("not implemented yet")
}

// Close ends calls under way and closes all connections.
func (c *Client) Close() error { panic("not implemented yet") }
