package dgedge

import (
	"bytes"
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
	"github.com/valyala/fasthttp"
)

// defaultTimeout bounds requests that name no deadline on routes without timeout.
const defaultTimeout = 30 * time.Second

// call is one request of a caller on its way through the tier.
type call struct {
	id       string
	route    *dandeliongap.Route
	shards   []dandeliongap.ServiceName // of a route with shards, else one service
	version  dandeliongap.Version       // of the configuration
	arrived  dandeliongap.Instant
	deadline dandeliongap.Instant
	forward  *dgbackend.Forward
}

// merged tells whether the answer is put together from parts.
func (c *call) merged() bool { return len(c.route.Shards) > 0 }

// handle serves one request of a caller.
func (e *Edge) handle(ctx *fasthttp.RequestCtx) {
	e.stats.add("Requests")
	w := e.active.add(ctx.Conn())
	defer func() {
		if r := recover(); r != nil {
			e.log.event("panic").Str("Value", fmt.Sprint(r)).Bytes("Stack", debug.Stack()).Send()
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
		}
		e.active.remove(w)
		if cc, ok := ctx.Conn().(*callerConn); ok {
			cc.nextRequest()
		}
		if e.leaving.Load() {
			ctx.SetConnectionClose()
		}
	}()
	c, refusal := e.read(ctx)
	if refusal.Status == 0 {
		refusal = e.admit(c)
	}
	if refusal.Status != 0 {
		e.refuse(ctx, c, refusal)
		return
	}
	e.run(ctx, c, w)
}

// read finds the route of a request and what is needed to forward it.
func (e *Edge) read(ctx *fasthttp.RequestCtx) (*call, dgadmit.Refusal) {
	now, v := e.now(), e.view.Load()
	h := &ctx.Request.Header
	c := &call{id: string(h.Peek(e.opt.Dialect.Backend.RequestID)), arrived: now}
	if !v.ready {
		return c, dgadmit.Unready(time.Duration(now))
	}
	c.version = v.table.Config.Version
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	r, err := v.table.Match(string(h.Host()), string(path))
	if err != nil {
		return c, dgadmit.NoRoute(v.stale)
	}
	c.route = r
	limit := defaultTimeout
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if text := h.Peek(e.opt.Dialect.Backend.Deadline); len(text) > 0 {
		ms, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil || ms < 0 {
			return c, dgadmit.Invalid(fmt.Sprintf("header %s has %q, want milliseconds", e.opt.Dialect.Backend.Deadline, text))
		}
		limit = min(limit, time.Duration(min(ms, int64(time.Hour/time.Millisecond)))*time.Millisecond)
	}
	if c.id == "" {
		return c, dgadmit.Invalid("header " + e.opt.Dialect.Backend.RequestID + " is missing")
	}
	l := v.table.Config.Limits
	if l.HeaderBytes > 0 && len(h.RawHeaders()) > l.HeaderBytes {
		return c, dgadmit.HeaderTooLarge(l.HeaderBytes)
	}
	if l.BodyBytes > 0 && len(ctx.Request.Body()) > l.BodyBytes {
		return c, dgadmit.TooLarge(l.BodyBytes)
	}
	c.deadline = now.Add(limit)
	c.shards = r.Shards
	if !c.merged() {
		e.mu.Lock()
		c.shards = []dandeliongap.ServiceName{v.table.PickService(r)}
		e.mu.Unlock()
	}
	c.forward = e.forwardOf(ctx, c)
	return c, dgadmit.Refusal{}
}

// admit decides whether the request can be served at all.
func (e *Edge) admit(c *call) dgadmit.Refusal {
	if e.closing.Load() {
		return dgadmit.Leaving()
	}
	var count [dgbalance.Usable + 1]int
	e.mu.Lock()
	for _, s := range c.shards {
		count[e.bal.Availability(c.arrived, s)]++
	}
	e.mu.Unlock()
	return dgadmit.CheckCoverage(count[dgbalance.Usable], count[dgbalance.Down], len(c.shards), c.route.MinCoverage)
}

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"expect": true, "content-length": true,
}

// forwardOf copies what goes to replicas: sub-requests may outlive the request.
func (e *Edge) forwardOf(ctx *fasthttp.RequestCtx, c *call) *dgbackend.Forward {
	h := &ctx.Request.Header
	named := strings.ToLower(string(h.Peek(fasthttp.HeaderConnection)))
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", h.Method(), h.RequestURI())
	for k, val := range h.All() {
		name := strings.ToLower(string(k))
		if connectionHeaders[name] || strings.EqualFold(name, e.opt.Dialect.Backend.Deadline) ||
			strings.EqualFold(name, e.opt.Dialect.Backend.Expected) || named != "" && listed(named, name) {
			continue
		}
		b.Write(k)
		b.WriteString(": ")
		b.Write(val)
		b.WriteString("\r\n")
	}
	body := bytes.Clone(ctx.Request.Body())
	if len(body) > 0 || h.ContentLength() >= 0 && !h.IsGet() && !h.IsHead() {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return &dgbackend.Forward{Head: b.Bytes(), Body: body, ID: c.id, Repeatable: c.route.Idempotent, NoBody: h.IsHead()}
}

// listed tells whether a Connection header names another header.
func listed(connection, name string) bool {
	for part := range strings.SplitSeq(connection, ",") {
		if strings.TrimSpace(part) == name {
			return true
		}
	}
	return false
}

// refuse ends a request that was not sent to any replica.
func (e *Edge) refuse(ctx *fasthttp.RequestCtx, c *call, r dgadmit.Refusal) {
	ctx.SetStatusCode(r.Status)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds(r.RetryAfter))
	}
	ctx.SetBodyString(r.Text + "\n")
	e.stats.add("Refused." + r.Reason)
	name := dandeliongap.RouteName("")
	if c.route != nil {
		name = c.route.Name
	}
	e.log.request("refused", c.id).Str("Rule", r.Rule).Str("Reason", r.Reason).Int("Status", r.Status).
		Str("Route", string(name)).Uint64("Config", uint64(c.version)).Dur("RetryAfter", r.RetryAfter).Send()
}

// seconds writes a time in the form of Retry-After.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// badRequest answers what is not a request of the protocol.
func (e *Edge) badRequest(ctx *fasthttp.RequestCtx, err error) {
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
	e.log.request("refused", "").Str("Reason", "Malformed").Int("Status", status).Err(err).Send()
	ctx.SetStatusCode(status)
	ctx.SetBodyString(http.StatusText(status) + "\n")
}

// handleReady answers the readiness check.
func (e *Edge) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != e.opt.Dialect.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !e.serving() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serving tells whether new callers are welcome.
func (e *Edge) serving() bool { return e.view.Load().ready && !e.leaving.Load() }

// handleNames answers the directory.
func (e *Edge) handleNames(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != e.opt.Dialect.DirectoryPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	names := e.view.Load().names
	if len(names) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	keep := namesKeep
	if time.Duration(e.now()) < namesYoung {
		keep = namesKeepYoung
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(e.opt.Dialect.EncodeDirectory(names, min(keep, e.tuning.Load().MaxDirectoryTTL)))
}

const (
	// namesKeep is how long callers may keep a directory answer. Some keep it three
	// times as long, which a leaving VM waits for.
	namesKeep = time.Second
	// namesKeepYoung is the same for a VM that has just started and may not have
	// heard of all others yet: its callers should not all stay with it.
	namesKeepYoung = 250 * time.Millisecond
	// namesYoung is the time in which a VM hears of all others that are alive.
	namesYoung = 1500 * time.Millisecond
)
