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

// Options of a Client. Address is required; other zero values use the defaults.
type Options struct {
	Address string        // "IP:port" of the platform
	Timeout time.Duration // of one call with the rate limit; a watch adds its wait. Default: DefaultTimeout
	Rate    float64       // calls per second on average. Default: DefaultRate
	Burst   int           // calls at once after a pause. Default: DefaultBurst
}

// Defaults of Options.
const (
	DefaultTimeout = 2 * time.Second
	DefaultRate    = 20.0
	DefaultBurst   = 40
)

const (
	// maxIdle bounds the free connections that are kept.
	maxIdle = 8
	// maxResponseBytes bounds an answer in bytes: a list holds many values.
	maxResponseBytes = 64 << 20
	// maxMessageBytes bounds the part of a refusal that an error repeats, in bytes.
	maxMessageBytes = 200
)

// Client is a dandeliongap.ObjectStore and a dandeliongap.VMList. It never
// repeats a call. It is safe for concurrent use.
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

// New returns a client. Its error is ErrInvalid.
func New(o Options) (*Client, error) {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return nil, trace.Wrap(fmt.Errorf("platform address %q: %w", o.Address, dandeliongap.ErrInvalid))
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

// Vars returns the number of calls that passed the rate limit, by kind of call
// ("get", "put", "delete", "list", "watch", "vms"), and of calls that it held
// back ("limited"). A watch counts as one however long it waits. It can be published with expvar.
func (c *Client) Vars() *expvar.Map { return c.calls }

// Calls returns one number of Vars.
func (c *Client) Calls(kind string) int64 {
	if v, ok := c.calls.Get(kind).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Get returns the object. Its error is ErrNotFound, ErrUnreachable or ErrNotRun.
func (c *Client) Get(ctx context.Context, name dandeliongap.ObjectName) (dandeliongap.Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return dandeliongap.Object{}, err
	}
	a, err := c.call(ctx, call{kind: "get", method: fasthttp.MethodGet, path: path})
	if err != nil {
		return dandeliongap.Object{}, err
	}
	version, err := parseETag(a.etag)
	if err != nil {
		return dandeliongap.Object{}, unreachable("get", path, err)
	}
	return dandeliongap.Object{Name: name, Version: version, Body: a.body}, nil
}

// Put writes the object if its version is still ifVersion (0: it does not exist)
// and returns the new version. Its error is ErrConflict, ErrTooLarge,
// ErrUnreachable or ErrNotRun.
func (c *Client) Put(ctx context.Context, name dandeliongap.ObjectName, body []byte, ifVersion dandeliongap.Version) (dandeliongap.Version, error) {
	path, err := objectPath(name)
	if err != nil {
		return 0, err
	}
	a, err := c.call(ctx, call{kind: "put", method: fasthttp.MethodPut, path: path, body: body, conditional: true, version: ifVersion})
	if err != nil {
		return 0, err
	}
	version, err := parseETag(a.etag)
	if err != nil {
		return 0, unreachable("put", path, err)
	}
	return version, nil
}

// Delete removes the object if its version is still ifVersion. Its error is
// ErrConflict, also if there is no object, ErrUnreachable or ErrNotRun.
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

// List returns all objects of a kind and the collection's version. Its error is
// ErrUnreachable or ErrNotRun.
func (c *Client) List(ctx context.Context, kind string) ([]dandeliongap.Object, dandeliongap.Version, error) {
	return c.collection(ctx, kind, call{kind: "list", method: fasthttp.MethodGet, path: "/objects/" + url.PathEscape(kind)})
}

// Watch waits for changes of a kind after since, at most wait, which it rounds
// up to whole seconds, and returns them with the collection's new version; none
// when the time passed. Its error is ErrUnreachable or ErrNotRun.
func (c *Client) Watch(ctx context.Context, kind string, since dandeliongap.Version, wait time.Duration) ([]dandeliongap.Object, dandeliongap.Version, error) {
	seconds := max(1, int64((wait+time.Second-1)/time.Second))
	path := fmt.Sprintf("/objects/%s?since=%d&wait=%d", url.PathEscape(kind), since, seconds)
	return c.collection(ctx, kind, call{kind: "watch", method: fasthttp.MethodGet, path: path, wait: time.Duration(seconds) * time.Second})
}

func (c *Client) collection(ctx context.Context, kind string, q call) ([]dandeliongap.Object, dandeliongap.Version, error) {
	a, err := c.call(ctx, q)
	if err != nil {
		return nil, 0, err
	}
	var list struct {
		Version dandeliongap.Version
		Objects []dandeliongap.Object
	}
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, 0, unreachable(q.kind, q.path, err)
	}
	for i := range list.Objects {
		list.Objects[i].Name = dandeliongap.ObjectName(kind) + "/" + list.Objects[i].Name
	}
	return list.Objects, list.Version, nil
}

// VMs returns the platform's VM list. Its error is ErrUnreachable or ErrNotRun.
func (c *Client) VMs(ctx context.Context) ([]dandeliongap.ListedVM, error) {
	a, err := c.call(ctx, call{kind: "vms", method: fasthttp.MethodGet, path: "/vms"})
	if err != nil {
		return nil, err
	}
	var entries []struct {
		Name  dandeliongap.VMName
		Zone  dandeliongap.ZoneName
		State string
	}
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return nil, unreachable("vms", "/vms", err)
	}
	vms := make([]dandeliongap.ListedVM, len(entries))
	for i, e := range entries {
		vms[i] = dandeliongap.ListedVM{Name: e.Name, Zone: e.Zone, Leaving: e.State == "leaving"}
	}
	return vms, nil
}

// Close ends calls under way with ErrUnreachable, closes all connections and
// waits for both. Later calls return ErrClosed.
func (c *Client) Close() error {
	c.http.Close()
	return nil
}

// objectPath returns the path of an object; ErrInvalid if the name is not
// "kind/name". The name is escaped, so that it can hold any character.
func objectPath(name dandeliongap.ObjectName) (string, error) {
	kind, short, ok := strings.Cut(string(name), "/")
	if !ok || kind == "" || short == "" {
		return "", trace.Wrap(fmt.Errorf("object name %q: %w", name, dandeliongap.ErrInvalid))
	}
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(short), nil
}

func etag(v dandeliongap.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func parseETag(s string) (dandeliongap.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("ETag %q", s)
	}
	return dandeliongap.Version(n), nil
}

func unreachable(kind, path string, why error) error {
	return trace.Wrap(fmt.Errorf("platform %s %s: %w: %w", kind, path, why, dandeliongap.ErrUnreachable))
}
