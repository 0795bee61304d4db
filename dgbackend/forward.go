package dgbackend

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/valyala/fasthttp"
)

const (
	// maxMismatchedResponses is how many responses to other requests are discarded
	// before the connection is closed.
	maxMismatchedResponses = 3
	// deadlineGrace is how long after a request's deadline its response is still
	// awaited, so that a response that the backend server sends at the deadline arrives.
	deadlineGrace = 200 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the backend
	// server announced no timeout in a Keep-Alive header.
	defaultIdleTimeout = 20 * time.Second
	// maxIdleNonIdempotent limits the idle time of a connection that is used for a
	// request that is not idempotent. If the backend server closes an idle connection
	// just as the request is sent, it is unknown whether the request ran.
	maxIdleNonIdempotent = time.Second
	// connectTimeout limits dialing: a few round trips to a loaded server.
	connectTimeout = 700 * time.Millisecond
	// asyncBodyBytes is the size from which a request body is written while the
	// response is awaited, because a server may respond before it has read the body.
	asyncBodyBytes = 16 << 10
)

// HeaderNames holds the names of the headers exchanged with backend servers.
type HeaderNames struct {
	RequestID        string // echoed in responses
	Deadline         string // milliseconds left until the deadline
	ExpectedInstance string // the only instance that may run the request
	NotRun           string // present in responses to requests that did not run
	ServerStamp      string // present in responses of a backend server
	Leaving          string // present in responses of a backend server that is leaving
}

// ForwardRequest is a request that can be sent to any replica of a service. It is
// immutable.
type ForwardRequest struct {
	Head       []byte // request line and headers, without the Deadline and ExpectedInstance headers and the empty line
	Body       []byte
	ID         string
	Idempotent bool
	NoBody     bool // the response has no body, as for HEAD
}

// ReplyKind says what is known about a request after an attempt to send it.
type ReplyKind uint8

// Kinds of replies.
const (
	// ReplyUnknown means that the request, or a part of it, was sent and may have
	// run, but no complete response to it arrived.
	ReplyUnknown ReplyKind = iota
	// ReplyNotSent means that no byte of the request was sent.
	ReplyNotSent
	// ReplyNotRun means that the backend server reported that it did not run the
	// request.
	ReplyNotRun
	// ReplyWrongInstance means that the request did not run because another instance
	// uses the address.
	ReplyWrongInstance
	// ReplyAnswered means that a complete response arrived.
	ReplyAnswered
)

// Reply is the result of one attempt.
type Reply struct {
	Kind ReplyKind
	Resp *fasthttp.Response // set for ReplyAnswered, until Release
	Err  error              // why there is no response; may be nil

	Leaving        bool          // the instance is leaving and wants no more requests
	RetryAfter     time.Duration // time for which the instance wants no request; 0: none stated
	RetryAfterText string        // header from which RetryAfter was parsed, for the log

	body bodyReader
}

// TakeBody returns the body of the response. If the body counts towards
// MaxResponseMemory, it does so until release is called, also after Release; otherwise
// release is nil.
func (r *Reply) TakeBody() (body []byte, release func()) {
	body = r.Resp.Body()
	if r.body.reserved == 0 {
		return body, nil
	}
	b := r.body
	r.body = bodyReader{}
	return body, sync.OnceFunc(b.release)
}

// Release frees the response. It must be called once for every reply, after the last
// use of Resp.
func (r *Reply) Release() {
	if r.Resp != nil {
		fasthttp.ReleaseResponse(r.Resp)
		r.Resp = nil
	}
	r.body.release()
}

// Call lets another goroutine cancel one attempt. The zero value is ready for use.
type Call struct {
	mu        sync.Mutex
	tcp       *net.TCPConn
	cancelled bool
}

// Cancel ends the attempt and causes its connection to be closed, so that the
// backend server stops working on the request.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.tcp != nil {
		_ = c.tcp.SetDeadline(time.Unix(1, 0))
	}
}

// attach registers the connection that Cancel interrupts. It reports whether it did
// so; it does not if the call is already cancelled.
func (c *Call) attach(tcp *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return false
	}
	c.tcp = tcp
	return true
}

// detach removes the connection from the call and reports whether the call was
// cancelled.
func (c *Call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tcp = nil
	return c.cancelled
}

// idleConn is an idle connection.
type idleConn struct {
	cn    *conn
	since time.Time // when the connection became idle
	until time.Time // when the connection becomes too old to be used
}

// idleConns holds the idle connections to one instance.
type idleConns struct{ conns []idleConn }

// Forwarder sends complete requests to backend servers over persistent connections.
// It is safe for concurrent use.
type Forwarder struct {
	names      HeaderNames
	memory     memoryPool // of response bodies
	open       atomic.Int64
	beforeDial func() // nil: not called

	mu     sync.Mutex
	idle   map[dandeliongap.InstanceID]*idleConns
	closed bool
	dials  int64
	stale  int64
	broken int64
}

// NewForwarder returns a forwarder. It opens no connection before the first request.
func NewForwarder(names HeaderNames) *Forwarder {
	return &Forwarder{names: names, memory: memoryPool{limit: MaxResponseMemory}, idle: make(map[dandeliongap.InstanceID]*idleConns)}
}

// LimitMemory lowers the limit of MaxResponseMemory to bytes; 0 leaves it. It must be called
// before the first request.
func (f *Forwarder) LimitMemory(bytes int64) {
	if bytes > 0 {
		f.memory.limit = min(f.memory.limit, bytes)
	}
}

// BeforeDial sets a function that is called before a connection is opened, which Open then
// counts already. It must be set before the first request.
func (f *Forwarder) BeforeDial(fn func()) { f.beforeDial = fn }

// Open returns the number of open connections.
func (f *Forwarder) Open() int64 { return f.open.Load() }

// CloseIdle closes n idle connections, or all if there are fewer, those that have been idle for
// longest first.
func (f *Forwarder) CloseIdle(n int64) {
	if n <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var since []time.Time
	for _, list := range f.idle {
		for _, ic := range list.conns {
			since = append(since, ic.since)
		}
	}
	if len(since) == 0 {
		return
	}
	slices.SortFunc(since, time.Time.Compare)
	newest := since[min(n, int64(len(since)))-1]
	for _, list := range f.idle {
		// The connections of a list are in the order in which they became idle.
		i := 0
		for i < len(list.conns) && !list.conns[i].since.After(newest) {
			f.closeConn(list.conns[i].cn.tcp)
			i++
		}
		list.conns = slices.Delete(list.conns, 0, i)
	}
}

// closeConn closes an open connection.
func (f *Forwarder) closeConn(tcp *net.TCPConn) {
	f.open.Add(-1)
	_ = tcp.Close() // fails only if it is closed already
}

// ForwardStats holds counters of a Forwarder since its creation. Dials counts attempts
// to open a connection, Stale idle connections that were closed or too old when they
// were needed, and Broken responses that were missing, incomplete, malformed or for
// another request.
type ForwardStats struct{ Dials, Stale, Broken int64 }

// Stats returns the current counters.
func (f *Forwarder) Stats() ForwardStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ForwardStats{f.dials, f.stale, f.broken}
}

// Retain closes the idle connections to all instances that are not in ids.
func (f *Forwarder) Retain(ids map[dandeliongap.InstanceID]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, list := range f.idle {
		if ids[id] {
			continue
		}
		for _, ic := range list.conns {
			f.closeConn(ic.cn.tcp)
		}
		delete(f.idle, id)
	}
}

// Close closes all idle connections. Attempts in flight close their own connections
// when they end.
func (f *Forwarder) Close() error {
	f.mu.Lock()
	f.closed = true // from here on addIdle keeps no connection
	f.mu.Unlock()
	f.Retain(nil)
	return nil
}

// Send sends a request to one instance. It returns when the response is complete,
// or when the attempt failed, was cancelled or exceeded its deadline.
//
// The ID of the instance is a part of the head. One that is no name would end the head early, or
// let another instance run the request, so that nothing is sent.
func (f *Forwarder) Send(call *Call, in *dandeliongap.Instance, req *ForwardRequest, deadline time.Time) Reply {
	if err := dandeliongap.CheckName(string(in.ID)); err != nil {
		return Reply{Kind: ReplyNotSent, Err: fmt.Errorf("ID of the instance: %w", err)}
	}
	cn, err := f.acquire(in, req.Idempotent, deadline)
	if err != nil {
		return Reply{Kind: ReplyNotSent, Err: err}
	}
	// Set before Cancel knows the connection, as it would replace the deadline of Cancel.
	if err := cn.tcp.SetDeadline(deadline.Add(deadlineGrace)); err != nil {
		f.closeConn(cn.tcp)
		return Reply{Kind: ReplyNotSent, Err: err}
	}
	if !call.attach(cn.tcp) {
		f.addIdle(in.ID, cn, nil)
		return Reply{Kind: ReplyNotSent, Err: fmt.Errorf("attempt cancelled before the request was sent: %w", dandeliongap.ErrNotRun)}
	}
	reply := Reply{Resp: fasthttp.AcquireResponse(), body: bodyReader{pool: &f.memory}}
	reuse := f.exchange(cn, in, req, &reply, deadline)
	cancelled := call.detach()
	if cancelled && reply.Kind == ReplyNotSent {
		reply.Err = fmt.Errorf("attempt cancelled: %w: %w", reply.Err, dandeliongap.ErrNotRun)
	}
	if reply.Err != nil || !reuse || cancelled {
		f.closeConn(cn.tcp)
	} else {
		f.addIdle(in.ID, cn, reply.Resp)
	}
	if reply.Kind != ReplyAnswered {
		reply.Release()
	}
	return reply
}

// acquire returns a usable idle connection or dials a new one. It closes the idle
// connections that turn out to be closed or too old.
func (f *Forwarder) acquire(in *dandeliongap.Instance, idempotent bool, deadline time.Time) (*conn, error) {
	now := time.Now()
	for {
		ic, ok := f.takeIdle(in.ID)
		if !ok {
			break
		}
		if now.Before(ic.until) && (idempotent || now.Sub(ic.since) < maxIdleNonIdempotent) &&
			ic.cn.tcp.SetDeadline(deadline) == nil && ic.cn.alive() {
			return ic.cn, nil
		}
		f.closeConn(ic.cn.tcp)
		f.count(&f.stale)
	}
	f.count(&f.dials)
	f.open.Add(1)
	if f.beforeDial != nil {
		f.beforeDial()
	}
	d := net.Dialer{Timeout: min(connectTimeout, time.Until(deadline)), KeepAlive: -1}
	nc, err := d.Dial("tcp", in.Address)
	if err != nil {
		f.open.Add(-1)
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	dghttp.EnableDeadPeerDetection(tcp)
	cn, err := newConn(tcp)
	if err != nil {
		f.closeConn(tcp)
	}
	return cn, err
}

func (f *Forwarder) count(n *int64) {
	f.mu.Lock()
	*n++
	f.mu.Unlock()
}

func (f *Forwarder) takeIdle(id dandeliongap.InstanceID) (idleConn, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.idle[id]
	if list == nil || len(list.conns) == 0 {
		return idleConn{}, false
	}
	ic := list.conns[len(list.conns)-1]
	list.conns = list.conns[:len(list.conns)-1]
	return ic, true
}

// addIdle makes a connection available for other requests, or closes it if the
// forwarder is closed or the server allows no idle time. resp is the last response on
// the connection, or nil.
func (f *Forwarder) addIdle(id dandeliongap.InstanceID, cn *conn, resp *fasthttp.Response) {
	now := time.Now()
	timeout := defaultIdleTimeout
	if resp != nil {
		timeout = idleTimeout(string(resp.Header.Peek(fasthttp.HeaderKeepAlive)))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.idle[id]
	if list == nil {
		list = &idleConns{}
		f.idle[id] = list
	}
	if f.closed || timeout <= 0 {
		f.closeConn(cn.tcp)
		return
	}
	list.conns = append(list.conns, idleConn{cn: cn, since: now, until: now.Add(timeout)})
}

// idleTimeout returns how long a connection may stay idle given the value of a
// Keep-Alive header. It is four fifths of the announced timeout, so that a request
// sent at the end of it still reaches the server before the server closes the
// connection.
func idleTimeout(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s) * time.Second * 4 / 5
		}
	}
	return defaultIdleTimeout
}

// exchange writes the request and reads the response into reply. It reports whether the
// connection may carry another request.
func (f *Forwarder) exchange(cn *conn, in *dandeliongap.Instance, req *ForwardRequest, reply *Reply, deadline time.Time) (reuse bool) {
	left := time.Until(deadline)
	if left <= 0 {
		reply.Kind, reply.Err = ReplyNotSent, fmt.Errorf("deadline passed before the request was sent: %w", dandeliongap.ErrNotRun)
		return false
	}
	written := make(chan error, 1)
	before := cn.written
	f.writeHead(cn, in, req, left)
	if len(req.Body) >= asyncBodyBytes {
		go func() { written <- f.writeBody(cn, req) }()
	} else {
		if err := f.writeBody(cn, req); err != nil {
			reply.Kind, reply.Err = ReplyUnknown, err
			if cn.written == before {
				reply.Kind = ReplyNotSent
			}
			return false
		}
		written <- nil
	}
	reuse, framed := f.readResponse(cn, req, reply)
	if reply.Kind == ReplyAnswered && !framed && len(req.Body) > 0 {
		if err := cn.awaitReceipt(written, receiptTimeout); err != nil {
			f.count(&f.broken)
			reply.Kind, reply.Err = ReplyUnknown, wrapBroken(err)
		}
		return false
	}
	select {
	case err := <-written:
		return reuse && err == nil
	default: // the response arrived before the body was written
		_ = cn.tcp.SetDeadline(time.Unix(1, 0))
		<-written
		return false
	}
}

func (f *Forwarder) writeHead(cn *conn, in *dandeliongap.Instance, req *ForwardRequest, left time.Duration) {
	w := cn.bw
	_, _ = w.Write(req.Head) // writeBody reports a failed write: the error of a bufio.Writer is sticky
	_, _ = w.WriteString(f.names.Deadline)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(strconv.FormatInt(max(1, left.Milliseconds()), 10))
	_, _ = w.WriteString("\r\n")
	_, _ = w.WriteString(f.names.ExpectedInstance)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(string(in.ID))
	_, _ = w.WriteString("\r\n\r\n")
}

func (f *Forwarder) writeBody(cn *conn, req *ForwardRequest) error {
	if _, err := cn.bw.Write(req.Body); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// readResponse reads responses until the one to req arrives, at most
// maxMismatchedResponses of them. reuse reports whether the connection may carry another
// request, framed whether the response is not delimited by the end of the connection. A
// response without a request ID counts as the response to req if it says that the request
// did not run, or if its status is 300 or above.
func (f *Forwarder) readResponse(cn *conn, req *ForwardRequest, reply *Reply) (reuse, framed bool) {
	reuse = true
	for range maxMismatchedResponses {
		resp := reply.Resp
		resp.Reset()
		reply.body.release()
		var err error
		if framed, err = cn.receiveForward(resp, req.NoBody, &reply.body); err != nil {
			f.count(&f.broken)
			reply.Kind, reply.Err = ReplyUnknown, err
			return false, framed
		}
		echo := string(resp.Header.Peek(f.names.RequestID))
		status := resp.StatusCode()
		notRun := len(resp.Header.Peek(f.names.NotRun)) > 0 || status == fasthttp.StatusMisdirectedRequest
		if echo == req.ID || echo == "" && (notRun || status >= 300) {
			if status == fasthttp.StatusMisdirectedRequest {
				reply.Kind = ReplyWrongInstance
				return false, framed
			}
			f.readHints(reply, resp)
			if notRun {
				reply.Kind = ReplyNotRun
				return reuse && cn.reusable(resp), framed
			}
			reply.Kind = ReplyAnswered
			return reuse && framed && cn.reusable(resp), framed
		}
		f.count(&f.broken)
		reuse = false
		if !framed {
			break
		}
	}
	reply.Kind, reply.Err = ReplyUnknown, fmt.Errorf("received only responses to other requests: %w", errBroken)
	return false, framed
}
