package dgplatform

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Options configures a Client. Address is required; other zero values use the
// defaults.
type Options struct {
	Address string // "IP:port" of the platform
	// Timeout limits a call, including the wait for the rate limit. Watch adds its own
	// wait. Default: DefaultTimeout.
	Timeout time.Duration
	Rate    float64 // average calls per second. Default: DefaultRate
	Burst   int     // calls that may be sent at once after an idle period. Default: DefaultBurst
}

// Defaults for Options.
const (
	DefaultTimeout = 2 * time.Second
	DefaultRate    = 20.0
	DefaultBurst   = 40
)

const (
	// maxIdle limits the idle connections.
	maxIdle = 8
	// maxResponseBytes limits the body of a response. It is large because a list
	// holds many values.
	maxResponseBytes = 64 << 20
	// maxMessageBytes limits how much of an error response is copied into an error.
	maxMessageBytes = 200
)

// Client implements dandeliongap.ObjectStore and dandeliongap.VMList. It never
// retries a call. It is safe for concurrent use.
type Client struct {
	addr    string
	timeout time.Duration
	limit   *rate.Limiter
	http    *dghttp.Transport
	calls   *expvar.Map
}

var (
	_ dandeliongap.ObjectStore = (*Client)(nil)
	_ dandeliongap.VMList      = (*Client)(nil)
)

// New returns a client. The error is ErrInvalid if the address is malformed.
func New(o Options) (*Client, error) {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return nil, trace.Wrap(fmt.Errorf("platform address %q is not host:port: %w", o.Address, dandeliongap.ErrInvalid))
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	return &Client{
		addr:    o.Address,
		timeout: o.Timeout,
		limit:   rate.NewLimiter(rate.Limit(o.Rate), o.Burst),
		http:    dghttp.New(o.Address, maxIdle, maxResponseBytes),
		calls:   new(expvar.Map).Init(),
	}, nil
}

// Vars returns counters that can be published with expvar: the calls that passed the
// rate limit, by kind ("get", "put", "delete", "list", "watch", "vms"), and the calls
// that were not sent because of the rate limit ("limited"). A watch counts once, no
// matter how long it waits.
func (c *Client) Vars() *expvar.Map { return c.calls }

// Calls returns the counter of Vars for one kind.
func (c *Client) Calls(kind string) int64 {
	if v, ok := c.calls.Get(kind).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Get returns an object. The error is ErrNotFound, ErrInvalid, ErrUnreachable or
// ErrNotRun.
func (c *Client) Get(ctx context.Context, name dandeliongap.ObjectName) (dandeliongap.Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return dandeliongap.Object{}, err
	}
	resp, err := c.call(ctx, call{kind: "get", method: fasthttp.MethodGet, path: path})
	if err != nil {
		return dandeliongap.Object{}, err
	}
	version, err := parseETag(resp.etag)
	if err != nil {
		return dandeliongap.Object{}, unreachable("get", path, err)
	}
	return dandeliongap.Object{Name: name, Version: version, Body: resp.body}, nil
}

// Put writes an object if its version is still ifVersion (0: the object does not
// exist) and returns the new version. The error is ErrConflict, ErrTooLarge,
// ErrInvalid, ErrUnreachable or ErrNotRun.
func (c *Client) Put(ctx context.Context, name dandeliongap.ObjectName, body []byte, ifVersion dandeliongap.Version) (dandeliongap.Version, error) {
	path, err := objectPath(name)
	if err != nil {
		return 0, err
	}
	resp, err := c.call(ctx, call{kind: "put", method: fasthttp.MethodPut, path: path, body: body, conditional: true, version: ifVersion})
	if err != nil {
		return 0, err
	}
	version, err := parseETag(resp.etag)
	if err != nil {
		return 0, unreachable("put", path, err)
	}
	return version, nil
}

// Delete removes an object if its version is still ifVersion. The error is
// ErrConflict, ErrInvalid, ErrUnreachable or ErrNotRun. A missing object is also a
// conflict.
func (c *Client) Delete(ctx context.Context, name dandeliongap.ObjectName, ifVersion dandeliongap.Version) error {
	path, err := objectPath(name)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, call{kind: "delete", method: fasthttp.MethodDelete, path: path, conditional: true, version: ifVersion})
	if errors.Is(err, dandeliongap.ErrNotFound) {
		return trace.Wrap(fmt.Errorf("%w: %w", err, dandeliongap.ErrConflict))
	}
	return err
}

// List returns all objects of a kind and the version of the collection. The error is
// ErrUnreachable or ErrNotRun.
func (c *Client) List(ctx context.Context, kind string) ([]dandeliongap.Object, dandeliongap.Version, error) {
	return c.collection(ctx, kind, call{kind: "list", method: fasthttp.MethodGet, path: "/objects/" + url.PathEscape(kind)})
}

// Watch waits for changes to objects of a kind after version since and returns the
// changed objects and the new version of the collection. It waits at most wait,
// rounded up to whole seconds and at least one, and then returns no objects. The
// error is ErrUnreachable or ErrNotRun.
func (c *Client) Watch(ctx context.Context, kind string, since dandeliongap.Version, wait time.Duration) ([]dandeliongap.Object, dandeliongap.Version, error) {
	seconds := max(1, int64((wait+time.Second-1)/time.Second))
	path := fmt.Sprintf("/objects/%s?since=%d&wait=%d", url.PathEscape(kind), since, seconds)
	return c.collection(ctx, kind, call{kind: "watch", method: fasthttp.MethodGet, path: path, wait: time.Duration(seconds) * time.Second})
}

func (c *Client) collection(ctx context.Context, kind string, q call) ([]dandeliongap.Object, dandeliongap.Version, error) {
	resp, err := c.call(ctx, q)
	if err != nil {
		return nil, 0, err
	}
	var list struct {
		Version dandeliongap.Version
		Objects []dandeliongap.Object
	}
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, 0, unreachable(q.kind, q.path, err)
	}
	for i := range list.Objects {
		list.Objects[i].Name = dandeliongap.ObjectName(kind) + "/" + list.Objects[i].Name
	}
	return list.Objects, list.Version, nil
}

// VMs returns the platform's VM list. The error is ErrUnreachable or ErrNotRun.
func (c *Client) VMs(ctx context.Context) ([]dandeliongap.ListedVM, error) {
	resp, err := c.call(ctx, call{kind: "vms", method: fasthttp.MethodGet, path: "/vms"})
	if err != nil {
		return nil, err
	}
	var entries []struct {
		Name  dandeliongap.VMName
		Zone  dandeliongap.ZoneName
		State string
	}
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, unreachable("vms", "/vms", err)
	}
	vms := make([]dandeliongap.ListedVM, len(entries))
	for i, e := range entries {
		vms[i] = dandeliongap.ListedVM{Name: e.Name, Zone: e.Zone, Leaving: e.State == "leaving"}
	}
	return vms, nil
}

// Close closes all connections and waits for the calls in flight, which fail with
// ErrUnreachable. Later calls return an error that wraps ErrClosed and ErrNotRun.
func (c *Client) Close() error {
	c.http.Close()
	return nil
}

// objectPath returns the URL path of an object. Kind and name are escaped, so that
// they may contain any character. The error is ErrInvalid if the name does not have
// the form "kind/name".
func objectPath(name dandeliongap.ObjectName) (string, error) {
	kind, short, ok := strings.Cut(string(name), "/")
	if !ok || kind == "" || short == "" {
		return "", trace.Wrap(fmt.Errorf("object name %q is not of the form kind/name: %w", name, dandeliongap.ErrInvalid))
	}
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(short), nil
}

func etag(v dandeliongap.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func parseETag(s string) (dandeliongap.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("malformed ETag %q", s)
	}
	return dandeliongap.Version(n), nil
}

func unreachable(kind, path string, cause error) error {
	return trace.Wrap(fmt.Errorf("platform %s %s: %w: %w", kind, path, cause, dandeliongap.ErrUnreachable))
}
