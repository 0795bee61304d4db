package dgbackend

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strconv"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/valyala/fasthttp"
)

// cancelledGrace is how long the response to a cancelled request may take to arrive
// after the backend server confirmed that the slot is free.
const cancelledGrace = 100 * time.Millisecond

// maxRetryAfterMs limits the Retry-After-Ms header of a refusal.
const maxRetryAfterMs = 60_000

// maxRequestTime limits a request without a deadline.
const maxRequestTime = 30 * time.Second

// statusCancelled is the response status of a request that was cancelled by a DELETE.
const statusCancelled = 499

// maxIDBytes is the length of the longest Request-Id: entry, query, shard and attempt
// as hexadecimal numbers, separated by hyphens.
const maxIDBytes = 16 + 1 + 16 + 1 + 8 + 1 + 8

// Header names.
const (
	headerRequestID  = "Request-Id"
	headerDeadline   = "Deadline-Unix-Ms"
	headerClass      = "Class"
	headerIndex      = "Index-Version"
	headerKey        = "Idempotency-Key"
	headerNotRun     = "Not-Run"
	headerRetryAfter = "Retry-After-Ms"
	headerLoadState  = "Load-State"
	headerDraining   = "Draining"
)

// Send sends one sub-request once (B2); see dandeliongap.BackendClient.
func (c *Client) Send(ctx context.Context, r *dandeliongap.Replica, req *dandeliongap.BackendRequest) dandeliongap.BackendAnswer {
	p := c.acquirePool(r)
	if p == nil {
		return notRun(dandeliongap.ReasonStopping)
	}
	defer c.wg.Done()
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(maxRequestTime)
	}
	if ctx.Err() != nil {
		return notRun(dandeliongap.ReasonCancelled)
	}
	if !time.Now().Before(deadline) {
		return notRun(dandeliongap.ReasonDeadline)
	}
	cn, reason := p.acquire(ctx, r, deadline)
	if reason != dandeliongap.ReasonNone {
		return notRun(reason)
	}
	if ctx.Err() != nil { // the connection and the cancellation came at the same time
		p.release(cn)
		return notRun(dandeliongap.ReasonCancelled)
	}
	return p.exchange(ctx, r, cn, req, deadline)
}

func notRun(reason dandeliongap.Reason) dandeliongap.BackendAnswer {
	return dandeliongap.BackendAnswer{Status: dandeliongap.SubNotRun, Reason: reason}
}

func unknown(reason dandeliongap.Reason) dandeliongap.BackendAnswer {
	return dandeliongap.BackendAnswer{Status: dandeliongap.SubUnknown, Reason: reason}
}

// exchange writes the request and reads the response on a connection, which it
// then releases or retires.
func (p *pool) exchange(ctx context.Context, r *dandeliongap.Replica, cn *conn, req *dandeliongap.BackendRequest, deadline time.Time) dandeliongap.BackendAnswer {
	hreq, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hreq)
	defer fasthttp.ReleaseResponse(resp)
	var buf [maxIDBytes]byte
	id := appendID(buf[:0], req.ID)
	p.fillRequest(hreq, req, id, deadline)
	end := deadline.Add(p.c.opt.ClockSkew)
	sent, err := cn.send(hreq, end)
	if sent {
		p.c.stats.requests.Add(1)
	}
	if err != nil {
		p.retire(cn, end)
		if !sent {
			return notRun(dandeliongap.ReasonConnection)
		}
		p.c.stats.broken.Add(1)
		return unknown(dandeliongap.ReasonConnection)
	}
	k := p.cancelOnDone(ctx, r, cn, req.ID, end)
	err = cn.receive(resp, p.c.opt.MaxResponseBytes)
	confirmed := k.finish()
	if err != nil {
		p.c.stats.broken.Add(1)
		p.retire(cn, end)
		return failedAnswer(ctx, err, confirmed)
	}
	answer, mismatched := parseResponse(resp, id)
	if mismatched {
		p.c.stats.broken.Add(1)
		p.retire(cn, end)
		return answer
	}
	if !cn.reusable(resp) {
		p.retire(cn, end)
		return answer
	}
	p.release(cn)
	return answer
}

// appendID appends the id in the format of SubID.String without allocating.
func appendID(b []byte, id dandeliongap.SubID) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id.Entry>>shift&15])
	}
	b = strconv.AppendUint(append(b, '-'), id.Query, 16)
	b = strconv.AppendUint(append(b, '-'), uint64(id.Shard), 16)
	return strconv.AppendUint(append(b, '-'), uint64(id.Attempt), 16)
}

// fillRequest sets the method, path, body and the headers specified in section 9 of
// the design page.
func (p *pool) fillRequest(h *fasthttp.Request, req *dandeliongap.BackendRequest, id []byte, deadline time.Time) {
	h.Header.SetMethod(fasthttp.MethodPost)
	h.Header.SetRequestURI("/query")
	h.Header.SetHost(p.addr)
	h.Header.SetNoDefaultContentType(true)
	h.Header.SetBytesV(headerRequestID, id)
	h.Header.Set(headerClass, req.Class.String())
	var buf [20]byte
	h.Header.SetBytesV(headerDeadline, strconv.AppendInt(buf[:0], deadline.UnixMilli(), 10))
	if req.Action {
		h.Header.Set(headerKey, string(req.Key))
	} else {
		h.Header.SetBytesV(headerIndex, strconv.AppendUint(buf[:0], uint64(req.Index), 10))
	}
	h.SetBodyRaw(req.Body)
}

// failedAnswer returns the result of a request that got no complete response.
// confirmed means that the backend server confirmed its cancellation.
func failedAnswer(ctx context.Context, err error, confirmed bool) dandeliongap.BackendAnswer {
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timeout && confirmed:
		return dandeliongap.BackendAnswer{Status: dandeliongap.SubCancelled, Reason: dandeliongap.ReasonCancelled}
	case timeout && ctx.Err() != nil:
		return unknown(dandeliongap.ReasonCancelled)
	case timeout:
		return unknown(dandeliongap.ReasonDeadline)
	case errors.Is(err, errBroken):
		return unknown(dandeliongap.ReasonBroken)
	default:
		return unknown(dandeliongap.ReasonConnection)
	}
}

// parseResponse converts a complete response. mismatched reports whether the response
// belongs to another request: its Request-Id differs from id. Only a response with a
// status other than 200 may lack the Request-Id.
func parseResponse(resp *fasthttp.Response, id []byte) (a dandeliongap.BackendAnswer, mismatched bool) {
	status := resp.StatusCode()
	echo := resp.Header.Peek(headerRequestID)
	if !bytes.Equal(echo, id) && (status == fasthttp.StatusOK || len(echo) > 0) {
		return unknown(dandeliongap.ReasonBroken), true
	}
	a.Cold = string(resp.Header.Peek(headerLoadState)) == "cold"
	a.Draining = string(resp.Header.Peek(headerDraining)) == "true"
	a.Index = dandeliongap.IndexVersion(headerUint(resp, headerIndex))
	a.RetryAfter = time.Duration(min(headerUint(resp, headerRetryAfter), maxRetryAfterMs)) * time.Millisecond
	notRun := string(resp.Header.Peek(headerNotRun)) == "true"
	a.Status, a.Reason = mapStatus(status, notRun, a.Draining)
	if a.Status == dandeliongap.SubAnswered {
		a.Body = append([]byte(nil), resp.Body()...)
	}
	return a, false
}

// mapStatus maps a response status to the result of the attempt. The result is "not
// run" only if the response has the Not-Run header (B3).
func mapStatus(status int, notRun, draining bool) (dandeliongap.SubStatus, dandeliongap.Reason) {
	result := dandeliongap.SubUnknown
	if notRun {
		result = dandeliongap.SubNotRun
	}
	switch status {
	case fasthttp.StatusOK:
		return dandeliongap.SubAnswered, dandeliongap.ReasonNone
	case fasthttp.StatusServiceUnavailable:
		if draining {
			return result, dandeliongap.ReasonDraining
		}
		return result, dandeliongap.ReasonShed
	case fasthttp.StatusGone:
		return result, dandeliongap.ReasonVersionGone
	case fasthttp.StatusGatewayTimeout:
		return result, dandeliongap.ReasonDeadline
	case statusCancelled:
		if !notRun {
			result = dandeliongap.SubCancelled
		}
		return result, dandeliongap.ReasonCancelled
	default:
		return dandeliongap.SubUnknown, dandeliongap.ReasonBroken
	}
}

// headerUint returns the value of a header, or 0 if it is absent or not a number.
func headerUint(resp *fasthttp.Response, name string) uint64 {
	b := resp.Header.Peek(name)
	if len(b) == 0 {
		return 0
	}
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// canceller sends DELETE /query/ID if the context of a request ends before the
// response arrives. A nil canceller does nothing.
type canceller struct {
	p   *pool
	r   *dandeliongap.Replica
	cn  *conn // connection that carries the request
	id  dandeliongap.SubID
	end time.Time

	stop func() bool // prevents run, unless it has started

	mu        sync.Mutex
	abort     context.CancelFunc // ends the wait for a connection for the DELETE; nil before run
	finished  bool               // finish was called
	confirmed bool               // the backend server confirmed the cancellation
}

// cancelOnDone arranges that the request is cancelled at the backend server when ctx
// ends. It returns nil if ctx cannot end.
func (p *pool) cancelOnDone(ctx context.Context, r *dandeliongap.Replica, cn *conn, id dandeliongap.SubID, end time.Time) *canceller {
	if ctx.Done() == nil {
		return nil
	}
	k := &canceller{p: p, r: r, cn: cn, id: id, end: end}
	p.c.wg.Add(1)
	k.stop = context.AfterFunc(ctx, k.run)
	return k
}

// finish prevents the cancellation if it has not started, and aborts it if it still
// waits for a connection. It must be called before the connection of the request is
// released. It reports whether the backend server has already confirmed the
// cancellation.
func (k *canceller) finish() bool {
	if k == nil {
		return false
	}
	if k.stop() {
		k.p.c.wg.Done()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finished = true
	if k.abort != nil {
		k.abort()
	}
	return k.confirmed
}

// run cancels the request at the backend server. After the server confirmed that the
// slot is free, the response must arrive within cancelledGrace (B5).
func (k *canceller) run() {
	defer k.p.c.wg.Done()
	k.mu.Lock()
	if k.finished {
		k.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k.abort = cancel
	k.mu.Unlock()
	if !k.delete(ctx) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.finished {
		return
	}
	k.confirmed = true
	_ = k.cn.tcp.SetReadDeadline(time.Now().Add(cancelledGrace))
}

// delete sends the cancellation on another connection and reports whether the backend
// server confirmed it.
func (k *canceller) delete(ctx context.Context) bool {
	cn, reason := k.p.acquire(ctx, k.r, k.end)
	if reason != dandeliongap.ReasonNone {
		return false
	}
	k.p.c.stats.cancels.Add(1)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := k.p.roundTrip(cn, fasthttp.MethodDelete, "/query/"+k.id.String(), resp, k.end)
	return err == nil && resp.StatusCode() == fasthttp.StatusOK
}
