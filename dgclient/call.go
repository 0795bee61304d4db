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
	// maxIdle bounds the free connections that are kept for each address.
	maxIdle = 64
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 64 << 20
	// maxMessage bounds the part of a refusal that an error repeats, in bytes.
	maxMessage = 400
	// maxAddresses bounds the addresses that one call tries.
	maxAddresses = 3
)

// call is one request to a VM.
type call struct {
	method string
	path   string
	header [][2]string
	body   func() ([]byte, error) // rendered for each attempt; nil: none
	end    time.Time
	// repeatable calls go to another address after a connection that was lost
	// with the request on it; others only if no byte was written.
	repeatable bool
}

// reply is what became of a call at one address.
type reply struct {
	addr   string
	sent   bool // a byte was written
	doubt  bool // so it was at an address before, which gave no answer
	status int
	etag   string
	body   []byte
	err    error // of the connection
}

// transportOf returns the connections to an address; nil after Close.
func (c *Client) transportOf(addr string) *dghttp.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	t := c.transports[addr]
	if t == nil {
		t = dghttp.New(addr, maxIdle, maxAnswer)
		c.transports[addr] = t
	}
	return t
}

// do sends a request over the connections to an address. If they were trimmed at
// the same moment, no byte was written and new ones serve.
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

// trim closes the connections to addresses that are neither listed nor in use.
func (c *Client) trim(listed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, t := range c.transports {
		if !slices.Contains(listed, addr) && t.CloseIfUnused() {
			delete(c.transports, addr)
		}
	}
}

// ask sends a call once to one address.
func (c *Client) ask(ctx context.Context, addr string, q call) reply {
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

// send sends a call to the next address, and to another one after a connection
// failure if the call allows it. Addresses in avoid come last.
func (c *Client) send(ctx context.Context, q call, avoid string) reply {
	_ = c.refresh(ctx) // without a list the addresses of the options serve
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
		doubt := r.doubt || r.sent
		r = c.ask(ctx, addr, q)
		r.doubt = doubt
		if r.err == nil || ctx.Err() != nil || final(r.err) {
			return r
		}
		c.book.fail(addr)
		if r.sent && !q.repeatable || !time.Now().Before(q.end) {
			return r
		}
	}
	return r
}

// final tells whether another address would fail in the same way.
func final(err error) bool {
	return errors.Is(err, dandeliongap.ErrClosed) || errors.Is(err, dandeliongap.ErrInvalid)
}

// failure returns the error of a reply that is no success. Only a request of which
// no byte was written, at any address, is certain not to have run.
func (r reply) failure(q call) error {
	unsent := !r.sent && !r.doubt
	switch {
	case r.err != nil && unsent && final(r.err):
		return trace.Wrap(fmt.Errorf("%s %s: %w: %w", q.method, q.path, r.err, dandeliongap.ErrNotRun))
	case r.err != nil && unsent:
		return trace.Wrap(fmt.Errorf("%s %s at %s: %w: %w: %w", q.method, q.path, r.addr, r.err, dandeliongap.ErrUnreachable, dandeliongap.ErrNotRun))
	case r.err != nil:
		return trace.Wrap(fmt.Errorf("%s %s at %s: %w: %w", q.method, q.path, r.addr, r.err, dandeliongap.ErrUnreachable))
	}
	return r.refusal(q, sentinel(r.status))
}

// refusal returns the error of a reply with a status.
func (r reply) refusal(q call, kind error) error {
	return trace.Wrap(fmt.Errorf("%s %s at %s: status %d %s: %w", q.method, q.path, r.addr, r.status, r.message(), kind))
}

// message returns the start of the body for an error.
func (r reply) message() string {
	return strings.TrimSpace(string(r.body[:min(len(r.body), maxMessage)]))
}

// sentinel maps a status of the callers' and operators' protocol.
func sentinel(status int) error {
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
