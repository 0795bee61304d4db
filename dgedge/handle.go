package dgedge

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dgquota"
	"github.com/valyala/fasthttp"
)

// defaultTimeout is the timeout of routes for which the configuration sets none.
const defaultTimeout = 30 * time.Second

// request is a request of a caller.
type request struct {
	id        string
	route     *dandeliongap.Route
	shards    []dandeliongap.ServiceName // the route's shards, or the one service selected for a route without shards
	version   dandeliongap.Version       // of the configuration that the request uses
	account   dandeliongap.AccountName   // empty: none
	priority  int                        // 0 is the highest
	limit     dgquota.Limit              // quota of the account; its rate is 0 if the request needs no token
	token     dgquota.Token              // if hasToken
	hasToken  bool
	quotaRule string // rule of dgquota that decided
	keyHash   string // identifies the key in log lines; empty: the request has none
	arrived   dandeliongap.Instant
	deadline  dandeliongap.Instant
	forward   *dgbackend.ForwardRequest // the request as replicas receive it
	unusual   bool                      // servers may refuse its head or fail on it
}

// sharded reports whether the response is merged from the parts of several shards.
func (r *request) sharded() bool { return len(r.route.Shards) > 0 }

// handle forwards or refuses a request of a caller.
func (e *Edge) handle(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*callerConn)
	var active *activeRequest
	defer func() {
		if r := recover(); r != nil {
			e.log.event("panic").Str("Value", fmt.Sprint(r)).Bytes("Stack", debug.Stack()).Send()
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
		}
		if ok {
			if !ctx.Response.IsBodyStream() { // a stream is counted by the forwarder
				conn.hold(int64(len(ctx.Response.Body())), true)
			}
			conn.endRequest()
			// With a deadline, the HTTP server writes the response before it reads on, also
			// if a part of the next request has arrived. On a closed connection the
			// deadline cannot be set, and the write fails next.
			_ = ctx.SetWriteDeadline(time.Now().Add(writeTimeout))
		} else if active != nil {
			e.active.remove(active)
		}
		if e.draining() {
			ctx.SetConnectionClose()
		}
		dropHead(ctx)
	}()
	body, err := e.receiveBody(ctx, conn)
	switch {
	case err == nil, errors.Is(err, errBodyNotKept):
	case errors.Is(err, errBodyTooLarge):
		ctx.SetConnectionClose() // the rest of the body is not read
	default:
		ctx.SetConnectionClose()
		e.handleMalformed(ctx, err)
		return
	}
	e.stats.add("Requests")
	active = e.active.add(ctx.Conn(), string(ctx.Request.Header.Peek(e.opt.Dialect.Backend.RequestID)))
	if ok {
		conn.beginRequest(active)
	}
	req, refusal := e.parseRequest(ctx, body, err)
	if refusal.Status == 0 {
		refusal = e.admit(req)
	}
	var places *reservation
	if refusal.Status == 0 {
		if places, refusal = e.reserve(len(req.shards)); places != nil {
			defer places.finish()
		}
	}
	if refusal.Status == 0 { // last, so that no refused request takes a token
		refusal = e.takeToken(req)
	}
	if refusal.Status != 0 {
		e.refuse(ctx, req, refusal)
		return
	}
	e.execute(ctx, req, active, places)
}

// parseRequest matches the request to a route, checks its headers and limits, and
// prepares it for forwarding. bodyErr is the error of receiveBody. Even a refused
// request is returned, for the log.
func (e *Edge) parseRequest(ctx *fasthttp.RequestCtx, body []byte, bodyErr error) (*request, dgadmit.Refusal) {
	now, v := e.now(), e.view.Load()
	h := &ctx.Request.Header
	req := &request{id: string(h.Peek(e.opt.Dialect.Backend.RequestID)), arrived: now}
	if !v.ready || errors.Is(bodyErr, errBodyNotKept) {
		return req, dgadmit.Unready(time.Duration(now))
	}
	req.version = v.table.Config.Version
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	r, err := v.table.Match(string(h.Host()), string(path))
	if err != nil {
		return req, dgadmit.NoRoute(v.stale)
	}
	req.route, req.priority = r, r.Priority
	if refusal := req.authenticate(h, v); refusal.Status != 0 {
		return req, refusal
	}
	limit := defaultTimeout
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if text := h.Peek(e.opt.Dialect.Backend.Deadline); len(text) > 0 {
		ms, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil || ms < 0 {
			return req, dgadmit.Invalid(fmt.Sprintf("header %s has %q, want milliseconds", e.opt.Dialect.Backend.Deadline, text))
		}
		limit = min(limit, time.Duration(min(ms, int64(time.Hour/time.Millisecond)))*time.Millisecond)
	}
	if req.id == "" {
		return req, dgadmit.Invalid("header " + e.opt.Dialect.Backend.RequestID + " is missing")
	}
	limits := v.table.Config.Limits
	if limits.HeaderBytes > 0 && len(h.RawHeaders()) > limits.HeaderBytes {
		return req, dgadmit.HeaderTooLarge(limits.HeaderBytes)
	}
	if errors.Is(bodyErr, errBodyTooLarge) || limits.BodyBytes > 0 && len(body) > limits.BodyBytes {
		return req, dgadmit.TooLarge(e.bodyLimit())
	}
	if name := invalidName(h); name != "" {
		return req, dgadmit.Invalid(fmt.Sprintf("invalid header name %q", clip(name)))
	}
	req.deadline = now.Add(limit)
	req.shards = r.Shards
	if !req.sharded() {
		e.mu.Lock()
		req.shards = []dandeliongap.ServiceName{v.table.PickService(r)}
		e.mu.Unlock()
	}
	req.forward = e.newForward(ctx, req, body, v.accounts != nil)
	req.unusual = unusualHead(h, req.forward.Head)
	return req, dgadmit.Refusal{}
}

// admit refuses a request that Drain may not be able to finish, or if too few of the
// route's shards have usable replicas.
func (e *Edge) admit(req *request) dgadmit.Refusal {
	if stop := e.stopping.Load(); stop != nil {
		if r := stop.Admit(stop.since(), req.deadline.Sub(e.now())); r.Status != 0 {
			return r
		}
	}
	return e.checkCoverage(req)
}

// checkCoverage refuses a request if too few of the route's shards have usable replicas
// at the moment.
func (e *Edge) checkCoverage(req *request) dgadmit.Refusal {
	var count [dgbalance.Usable + 1]int
	var waits []time.Duration
	now := e.now()
	e.mu.Lock()
	for _, s := range req.shards {
		a := e.balancer.Availability(now, s)
		count[a]++
		if at, ok := e.balancer.UsableAt(now, s); ok && a == dgbalance.Down {
			waits = append(waits, at.Sub(now))
		}
	}
	e.mu.Unlock()
	usable, total := count[dgbalance.Usable], len(req.shards)
	refusal := dgadmit.CheckCoverage(usable, count[dgbalance.Down], total, req.route.MinCoverage)
	if refusal.Status == 0 {
		return refusal
	}
	return refusal.NotBefore(waits, usable, total, req.route.MinCoverage)
}

// connectionHeaders are the headers, in lower case, that are not forwarded because they
// apply to a single connection or, like Content-Length, are written anew.
var connectionHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"expect": true, "content-length": true,
}

// newForward copies the parts of the request that are forwarded. The copy is needed
// because sub-requests may outlive ctx. If the configuration has accounts, the caller's key
// is left out, and the account header is that of this VM alone.
func (e *Edge) newForward(ctx *fasthttp.RequestCtx, req *request, body []byte, accounts bool) *dgbackend.ForwardRequest {
	h := &ctx.Request.Header
	connection := strings.ToLower(string(h.Peek(fasthttp.HeaderConnection)))
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", h.Method(), h.RequestURI())
	for k, val := range h.All() {
		name := strings.ToLower(string(k))
		if connectionHeaders[name] || strings.EqualFold(name, e.opt.Dialect.Backend.Deadline) ||
			strings.EqualFold(name, e.opt.Dialect.Backend.ExpectedInstance) || e.droppedByConnection(connection, name) ||
			accounts && e.ownedByAccounts(name) {
			continue
		}
		b.Write(k)
		b.WriteString(": ")
		b.Write(val)
		b.WriteString("\r\n")
	}
	if req.account != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", e.opt.Dialect.AccountHeader, req.account)
	}
	if len(body) > 0 || h.ContentLength() >= 0 && !h.IsGet() && !h.IsHead() {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return &dgbackend.ForwardRequest{Head: b.Bytes(), Body: body, ID: req.id, Idempotent: req.route.Idempotent, NoBody: h.IsHead()}
}

// droppedByConnection reports whether a header is not forwarded because a Connection header
// names it. Host and the request ID are always forwarded: a request without them cannot be
// answered. Both texts are in lower case.
func (e *Edge) droppedByConnection(connection, name string) bool {
	return connection != "" && name != "host" && !strings.EqualFold(name, e.opt.Dialect.Backend.RequestID) && namedInConnection(connection, name)
}

// namedInConnection reports whether the value of a Connection header lists the header
// called name, which makes it a header of that connection only. Both are in lower case.
func namedInConnection(connection, name string) bool {
	for part := range strings.SplitSeq(connection, ",") {
		if strings.TrimSpace(part) == name {
			return true
		}
	}
	return false
}

// refuse responds to a request that has not been sent to any replica.
func (e *Edge) refuse(ctx *fasthttp.RequestCtx, req *request, r dgadmit.Refusal) {
	ctx.SetStatusCode(r.Status)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(r.RetryAfter))
	}
	if r.Status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	ctx.SetBodyString(r.Text + "\n")
	e.stats.add("Refused." + r.Reason)
	name := dandeliongap.RouteName("")
	if req.route != nil {
		name = req.route.Name
	}
	line := e.log.request("refused", req.id).Str("Rule", r.Rule).Str("Reason", r.Reason).Int("Status", r.Status).
		Str("Route", string(name)).Uint64("Config", uint64(req.version)).Dur("RetryAfter", r.RetryAfter)
	if req.account != "" {
		line = line.Str("Account", string(req.account))
	}
	if req.keyHash != "" {
		line = line.Str("KeyHash", req.keyHash)
	}
	if req.quotaRule != "" {
		line = line.Str("QuotaRule", req.quotaRule).Float64("Rate", req.limit.Rate).Float64("Burst", req.limit.Burst)
	}
	line.Send()
}

// responseLost logs that a response could not be written to its caller.
func (e *Edge) responseLost(r *activeRequest, sent int, err error) {
	e.stats.add("ResponsesLost")
	e.log.request("response lost", r.id).Int("Bytes", sent).Dur("Age", time.Since(r.startedAt)).Err(err).Send()
}

// formatSeconds formats a duration for the Retry-After header.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// handleMalformed responds to data that is not a valid HTTP request, or exceeds the
// limits of the server.
func (e *Edge) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	defer dropHead(ctx)
	if conn, ok := ctx.Conn().(*callerConn); ok && conn.refused.Load() {
		e.refuse(ctx, &request{}, noMemory())
		return
	}
	status := fasthttp.StatusBadRequest
	switch err.(type) {
	case *fasthttp.ErrSmallBuffer:
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	default:
		if err == fasthttp.ErrBodyTooLarge {
			status = fasthttp.StatusRequestEntityTooLarge
		}
	}
	e.stats.add("Refused.Malformed")
	e.log.request("refused", "").Str("Reason", "Malformed").Int("Status", status).Str("error", e.describeMalformed(err)).Send()
	ctx.SetStatusCode(status)
	ctx.SetBodyString(http.StatusText(status) + "\n")
}

// handleReady serves the readiness check.
func (e *Edge) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != e.opt.Dialect.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !e.serving() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serving reports whether the VM accepts new callers.
func (e *Edge) serving() bool { return e.view.Load().ready && !e.draining() }

// draining reports whether Drain has been called.
func (e *Edge) draining() bool { return e.stopping.Load() != nil }

// handleDirectory serves the directory: the addresses of the VMs that accept callers.
func (e *Edge) handleDirectory(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != e.opt.Dialect.DirectoryPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	addrs := e.view.Load().directory
	if len(addrs) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ttl := directoryTTL
	if time.Duration(e.now()) < startupPeriod {
		ttl = startupDirectoryTTL
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(e.opt.Dialect.EncodeDirectory(addrs, min(ttl, e.latestSettings.Load().MaxDirectoryTTL)))
}

const (
	// directoryTTL is how long callers may cache a directory response. Some callers
	// cache it three times as long, and Drain waits for these (dgadmit A3).
	directoryTTL = time.Second
	// startupDirectoryTTL replaces directoryTTL during startupPeriod. The directory may
	// still lack other VMs then, and callers that cached it would all stay with this VM.
	startupDirectoryTTL = 250 * time.Millisecond
	// startupPeriod is the time in which a new VM receives heartbeats of all live VMs.
	startupPeriod = 1500 * time.Millisecond
)
