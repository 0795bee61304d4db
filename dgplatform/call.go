package dgplatform

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// call describes a request to the platform.
type call struct {
	kind        string // key in Vars
	method      string
	path        string
	body        []byte
	conditional bool                 // whether to send an If-Match or If-None-Match header
	version     dandeliongap.Version // expected version if conditional; 0: the object must not exist
	wait        time.Duration        // how long the platform may delay its response, in addition to the timeout
}

// response holds the parts of a platform response that are used.
type response struct {
	etag string
	body []byte
}

// result is the outcome of a call.
type result struct {
	sent     bool // whether a byte of the request was written
	status   int
	response response
	err      error
}

// call waits for the rate limit, sends one call and converts its result.
func (c *Client) call(ctx context.Context, q call) (response, error) {
	end := time.Now().Add(c.timeout)
	if err := c.waitRateLimit(ctx, q, end); err != nil {
		return response{}, err
	}
	c.calls.Add(q.kind, 1)
	r := c.roundTrip(ctx, q, end.Add(q.wait))
	return r.response, mapResult(q, r)
}

// waitRateLimit waits until the rate limit allows the call. If the wait would last
// beyond end, or ctx ends, it returns ErrNotRun, because the call was not sent.
func (c *Client) waitRateLimit(ctx context.Context, q call, end time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		c.calls.Add("limited", 1)
		return trace.Wrap(fmt.Errorf("platform %s %s: rate limit: %w", q.kind, q.path, dandeliongap.ErrNotRun))
	}
	return nil
}

// roundTrip sends a call once and reads its response, at most until end.
func (c *Client) roundTrip(ctx context.Context, q call, end time.Time) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(q.method)
	// The path is sent unchanged. A parsed URI would be normalized, which alters
	// names with escaped slashes or dots.
	req.Header.SetRequestURI(q.path)
	req.Header.SetHost(c.addr)
	if q.body != nil {
		req.SetBodyRaw(q.body)
	}
	if q.conditional && q.version == 0 {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, "*")
	} else if q.conditional {
		req.Header.Set(fasthttp.HeaderIfMatch, etag(q.version))
	}
	sent, err := c.http.Do(ctx, req, resp, end)
	if err != nil {
		return result{sent: sent, err: err}
	}
	used := response{etag: string(resp.Header.Peek(fasthttp.HeaderETag)), body: append([]byte(nil), resp.Body()...)}
	return result{sent: sent, status: resp.StatusCode(), response: used}
}

// mapResult returns the error of a call. It is certain that a call had no effect only
// if the platform says so in its response or if no byte of the call was written. In
// all other cases the call may have had its effect.
func mapResult(q call, r result) error {
	switch {
	case errors.Is(r.err, dandeliongap.ErrClosed):
		return trace.Wrap(fmt.Errorf("platform %s %s: %w: %w", q.kind, q.path, r.err, dandeliongap.ErrNotRun))
	case r.err != nil && !r.sent:
		return trace.Wrap(fmt.Errorf("platform %s %s: %w: %w: %w", q.kind, q.path, r.err, dandeliongap.ErrUnreachable, dandeliongap.ErrNotRun))
	case r.err != nil:
		return unreachable(q.kind, q.path, r.err)
	}
	sentinel := dandeliongap.ErrUnreachable
	switch r.status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		sentinel = dandeliongap.ErrNotFound
	case fasthttp.StatusPreconditionFailed:
		sentinel = dandeliongap.ErrConflict
	case fasthttp.StatusRequestEntityTooLarge:
		sentinel = dandeliongap.ErrTooLarge
	case fasthttp.StatusBadRequest:
		sentinel = dandeliongap.ErrInvalid
	}
	message := strings.TrimSpace(string(r.response.body[:min(len(r.response.body), maxMessageBytes)]))
	return trace.Wrap(fmt.Errorf("platform %s %s: status %d %s: %w", q.kind, q.path, r.status, message, sentinel))
}
