package dgclient

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

const (
	// maxIdleConns bounds the idle connections to each address.
	maxIdleConns = 64
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 64 << 20
	// maxErrorBytes bounds the part of a response body that an error quotes.
	maxErrorBytes = 400
	// maxAddresses bounds the addresses that are tried after connection failures,
	// and the attempts after refusals that concern only one VM.
	maxAddresses = 3
)

// call is one request to a VM.
type call struct {
	method string
	path   string
	header [][2]string            // names and values
	body   func() ([]byte, error) // called for each attempt; nil: no body
	end    time.Time              // time at which the client aborts the call
	// A repeatable call is sent to another address if the connection is lost
	// after the request was written; other calls only if no byte was written.
	repeatable bool
}

// reply is the result of a call at one address.
type reply struct {
	addr       string
	sent       bool // a byte was written
	sentBefore bool // a byte was written to an earlier address, which did not answer
	status     int
	etag       string
	body       []byte
	err        error // of the connection, or of encoding the body
}

// transportOf returns the transport for an address, or nil after Close.
func (c *Client) transportOf(addr string) *dghttp.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	t := c.transports[addr]
	if t == nil {
		t = dghttp.New(addr, maxIdleConns, maxResponseBytes)
		c.transports[addr] = t
	}
	return t
}

// do sends a request over the transport for an address. If closeUnlisted closes the
// transport at the same time and no byte was written, do uses a new transport.
func (c *Client) do(ctx context.Context, addr string, req *fasthttp.Request, resp *fasthttp.Response, end time.Time) (sent bool, err error) {
	for {
		t := c.transportOf(addr)
		if t == nil {
			return false, dandeliongap.ErrClosed
		}
		sent, err = t.Do(ctx, req, resp, end)
		if sent || !errors.Is(err, dandeliongap.ErrClosed) {
			return sent, err
		}
	}
}

// closeUnlisted closes the transports for addresses that are neither listed nor in
// use.
func (c *Client) closeUnlisted(listed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, t := range c.transports {
		if !slices.Contains(listed, addr) && t.CloseIfUnused() {
			delete(c.transports, addr)
		}
	}
}

// sendTo sends a call to one address, without retries.
func (c *Client) sendTo(ctx context.Context, addr string, q call) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(q.method)
	req.Header.SetRequestURI(q.path)
	req.Header.SetHost(addr)
	for _, h := range q.header {
		req.Header.Set(h[0], h[1])
	}
	if q.body != nil {
		body, err := q.body()
		if err != nil {
			return reply{addr: addr, err: fmt.Errorf("%w: %w", err, dandeliongap.ErrInvalid)}
		}
		req.SetBodyRaw(body)
	}
	sent, err := c.do(ctx, addr, req, resp, q.end)
	if err != nil {
		return reply{addr: addr, sent: sent, err: err}
	}
	return reply{
		addr:   addr,
		sent:   sent,
		status: resp.StatusCode(),
		etag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), resp.Body()...),
	}
}

// sendWithFailover sends a call to the next address, and to another one after a
// connection failure if the call allows it. The address avoid, if not empty, is tried
// last. The result is the reply of the last address that was tried.
func (c *Client) sendWithFailover(ctx context.Context, q call, avoid string) reply {
	_ = c.refresh(ctx) // without a list, pick uses the addresses in Options
	r := reply{err: dandeliongap.ErrUnreachable}
	var tried []string
	if avoid != "" {
		tried = append(tried, avoid)
	}
	for range maxAddresses {
		addr := c.book.pick(tried)
		if addr == "" && avoid != "" {
			addr, avoid = avoid, ""
		}
		if addr == "" {
			return r
		}
		tried = append(tried, addr)
		sentBefore := r.sentBefore || r.sent
		r = c.sendTo(ctx, addr, q)
		r.sentBefore = sentBefore
		if r.err == nil || ctx.Err() != nil || permanent(r.err) {
			return r
		}
		c.book.markFailed(addr)
		if r.sent && !q.repeatable || !time.Now().Before(q.end) {
			return r
		}
	}
	return r
}

// permanent reports whether the call would fail in the same way at every address.
func permanent(err error) bool {
	return errors.Is(err, dandeliongap.ErrClosed) || errors.Is(err, dandeliongap.ErrInvalid)
}

// failure returns the error of an unsuccessful reply. After a connection error it
// wraps ErrNotRun only if no byte was written at any address: any other request may
// have run.
func (r reply) failure(q call) error {
	unsent := !r.sent && !r.sentBefore
	switch {
	case r.err != nil && unsent && permanent(r.err):
		return trace.Wrap(fmt.Errorf("%s %s: %w: %w", q.method, q.path, r.err, dandeliongap.ErrNotRun))
	case r.err != nil && unsent:
		return trace.Wrap(fmt.Errorf("%s %s at %s: %w: %w: %w", q.method, q.path, r.addr, r.err, dandeliongap.ErrUnreachable, dandeliongap.ErrNotRun))
	case r.err != nil:
		return trace.Wrap(fmt.Errorf("%s %s at %s: %w: %w", q.method, q.path, r.addr, r.err, dandeliongap.ErrUnreachable))
	}
	return r.refusal(q, errorOfStatus(r.status))
}

// refusal returns an error that wraps kind and quotes the status and the body.
func (r reply) refusal(q call, kind error) error {
	return trace.Wrap(fmt.Errorf("%s %s at %s: status %d %s: %w", q.method, q.path, r.addr, r.status, r.message(), kind))
}

// message returns the start of the body, for use in an error.
func (r reply) message() string {
	return strings.TrimSpace(string(r.body[:min(len(r.body), maxErrorBytes)]))
}

// errorOfStatus maps an HTTP status of the tier to a sentinel error. It returns
// ErrUnreachable for any other status, since that does not tell whether the request
// ran.
func errorOfStatus(status int) error {
	switch status {
	case fasthttp.StatusBadRequest:
		return dandeliongap.ErrInvalid
	case fasthttp.StatusUnauthorized:
		return dandeliongap.ErrUnauthorized
	case fasthttp.StatusNotFound:
		return dandeliongap.ErrNotFound
	case fasthttp.StatusConflict:
		return dandeliongap.ErrConflict
	case fasthttp.StatusRequestEntityTooLarge:
		return dandeliongap.ErrTooLarge
	case fasthttp.StatusServiceUnavailable:
		return dandeliongap.ErrNotRun
	default:
		return dandeliongap.ErrUnreachable
	}
}
