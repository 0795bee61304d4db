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

// call is one call of the platform.
type call struct {
	kind        string // in Vars
	method      string
	path        string
	body        []byte
	conditional bool
	version     dandeliongap.Version // 0: the object must not exist
	wait        time.Duration
}

// response is the part of a platform response with status 200 that methods use.
type response struct {
	etag string
	body []byte
}

// result is what became of a call.
type result struct {
	sent     bool // a byte was written
	status   int
	response response
	err      error
}

// call sends one call, if the rate limit lets it, and maps its answer.
func (c *Client) call(ctx context.Context, q call) (response, error) {
	end := time.Now().Add(c.timeout)
	if err := c.waitRateLimit(ctx, q, end); err != nil {
		return response{}, err
	}
	c.calls.Add(q.kind, 1)
	r := c.roundTrip(ctx, q, end.Add(q.wait))
	return r.response, mapResult(q, r)
}

// waitRateLimit waits for the rate limit, at most until end. A call that would wait
// longer is certain not to have been sent.
func (c *Client) waitRateLimit(ctx context.Context, q call, end time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		c.calls.Add("limited", 1)
		return trace.Wrap(fmt.Errorf("platform %s %s: rate limit: %w", q.kind, q.path, dandeliongap.ErrNotRun))
	}
	return nil
}

// roundTrip sends a call once and reads its answer until end.
func (c *Client) roundTrip(ctx context.Context, q call, end time.Time) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(q.method)
	// The path goes out as it is: a parsed URI would be normalized, which changes
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
	a := response{etag: string(resp.Header.Peek(fasthttp.HeaderETag)), body: append([]byte(nil), resp.Body()...)}
	return result{sent: sent, status: resp.StatusCode(), response: a}
}

// mapResult returns the error of a call. Only an answer, or that no byte was
// written, tells that a call had no effect; all else may or may not have had one.
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
