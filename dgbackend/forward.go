package dgbackend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/valyala/fasthttp"
)

const (
	// maxMismatchedResponses is the number of answers to other requests that are dropped
	// before a connection is given up.
	maxMismatchedResponses = 3
	// deadlineGrace is the time after a request's deadline in which the backend
	// server's own answer to it may arrive.
	deadlineGrace = 200 * time.Millisecond
	// defaultIdleTimeout is how long a free connection is kept without a hint.
	defaultIdleTimeout = 20 * time.Second
	// maxIdleNonIdempotent is the longest time that a connection was free before it carries a
	// request that may not be repeated: a server that closes it at that moment
	// leaves open whether the request ran.
	maxIdleNonIdempotent = time.Second
	// connectTimeout bounds a connect: a few round trips of a loaded server.
	connectTimeout = 700 * time.Millisecond
	// asyncBodyBytes is the size from which a request body is written while the
	// answer is awaited, since a server may answer before it has read the body.
	asyncBodyBytes = 16 << 10
)

// HeaderNames are the names of the headers that a backend server understands.
type HeaderNames struct {
	RequestID        string // echoed in answers
	Deadline         string // milliseconds left
	ExpectedInstance string // instance that alone may run the request
	NotRun           string // present in answers to requests that did not run
	ServerStamp      string // present in answers of a backend server
}

// ForwardRequest is a request as it goes to any replica of a service. It is immutable.
type ForwardRequest struct {
	Head       []byte // request line and headers, without deadline, instance and the empty line
	Body       []byte
	ID         string
	Idempotent bool
	NoBody     bool // the answer has no body (HEAD)
}

// ReplyKind tells what is known after an attempt.
type ReplyKind uint8

// Kinds of replies.
const (
	// ReplyUnknown: the request was sent and may have run; there is no answer.
	ReplyUnknown ReplyKind = iota
	// ReplyNotSent: no byte of the request was sent.
	ReplyNotSent
	// ReplyNotRun: the backend server said that it did not run the request.
	ReplyNotRun
	// ReplyWrongInstance: the same, since another instance has the address now.
	ReplyWrongInstance
	// ReplyAnswered: a whole answer of the backend server.
	ReplyAnswered
)

// Reply is the result of one attempt.
type Reply struct {
	Kind ReplyKind
	Resp *fasthttp.Response // of ReplyAnswered; the receiver releases it
	Err  error              // why there is no answer
}

// Call allows to cancel one attempt. The zero value is ready for use.
type Call struct {
	mu        sync.Mutex
	tcp       *net.TCPConn
	cancelled bool
}

// Cancel ends the attempt and closes its connection, so that the backend server
// stops work on it.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.tcp != nil {
		_ = c.tcp.SetDeadline(time.Unix(1, 0))
	}
}

// attach ties a connection to the call; false if the call was cancelled before.
func (c *Call) attach(tcp *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return false
	}
	c.tcp = tcp
	return true
}

// detach unties the connection and tells whether the call was cancelled.
func (c *Call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tcp = nil
	return c.cancelled
}

// idleConn is a free connection.
type idleConn struct {
	cn    *conn
	since time.Time
	until time.Time
}

// idleConns holds the idleConns connections of one instance.
type idleConns struct{ conns []idleConn }

// Forwarder sends whole requests to backend servers over kept connections. It is
// safe for concurrent use.
type Forwarder struct {
	names HeaderNames

	mu     sync.Mutex
	idle   map[dandeliongap.InstanceID]*idleConns
	closed bool
	dials  int64
	stale  int64
	broken int64
}

// NewForwarder returns a forwarder without connections.
func NewForwarder(names HeaderNames) *Forwarder {
	return &Forwarder{names: names, idle: make(map[dandeliongap.InstanceID]*idleConns)}
}

// ForwardStats are counters since the forwarder was created.
type ForwardStats struct{ Dials, Stale, Broken int64 }

// Stats returns the counters.
func (f *Forwarder) Stats() ForwardStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ForwardStats{f.dials, f.stale, f.broken}
}

// Retain closes the free connections of all instances that are not listed.
func (f *Forwarder) Retain(ids map[dandeliongap.InstanceID]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, fr := range f.idle {
		if ids[id] {
			continue
		}
		for _, k := range fr.conns {
			_ = k.cn.tcp.Close()
		}
		delete(f.idle, id)
	}
}

// Close closes all free connections. Attempts under way close theirs.
func (f *Forwarder) Close() error {
	f.mu.Lock()
	f.closed = true // from here on no connection becomes free
	f.mu.Unlock()
	f.Retain(nil)
	return nil
}

// Send sends a request to one instance and returns when its answer is whole, the
// attempt failed, was cancelled or is past its deadline.
func (f *Forwarder) Send(call *Call, in *dandeliongap.Instance, req *ForwardRequest, deadline time.Time) Reply {
	cn, err := f.acquire(in, req.Idempotent, deadline)
	if err != nil {
		return Reply{Kind: ReplyNotSent, Err: err}
	}
	if !call.attach(cn.tcp) {
		f.addIdle(in.ID, cn, nil)
		return Reply{Kind: ReplyNotSent, Err: fmt.Errorf("cancelled before it was sent: %w", dandeliongap.ErrNotRun)}
	}
	resp := fasthttp.AcquireResponse()
	kind, reuse, err := f.exchange(cn, in, req, resp, deadline)
	cancelled := call.detach()
	if err != nil || !reuse || cancelled {
		_ = cn.tcp.Close()
	} else {
		f.addIdle(in.ID, cn, resp)
	}
	if kind == ReplyAnswered {
		return Reply{Kind: kind, Resp: resp}
	}
	fasthttp.ReleaseResponse(resp)
	return Reply{Kind: kind, Err: err}
}

// acquire returns a free acquire or a new one.
func (f *Forwarder) acquire(in *dandeliongap.Instance, repeatable bool, deadline time.Time) (*conn, error) {
	now := time.Now()
	for {
		k, ok := f.takeIdle(in.ID)
		if !ok {
			break
		}
		if now.Before(k.until) && (repeatable || now.Sub(k.since) < maxIdleNonIdempotent) &&
			k.cn.tcp.SetDeadline(deadline) == nil && k.cn.alive() {
			return k.cn, nil
		}
		_ = k.cn.tcp.Close()
		f.count(&f.stale)
	}
	f.count(&f.dials)
	d := net.Dialer{Timeout: min(connectTimeout, time.Until(deadline)), KeepAlive: -1}
	nc, err := d.Dial("tcp", in.Address)
	if err != nil {
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	dghttp.EnableDeadPeerDetection(tcp)
	cn, err := newConn(tcp)
	if err != nil {
		_ = tcp.Close()
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
	fr := f.idle[id]
	if fr == nil || len(fr.conns) == 0 {
		return idleConn{}, false
	}
	k := fr.conns[len(fr.conns)-1]
	fr.conns = fr.conns[:len(fr.conns)-1]
	return k, true
}

// addIdle makes a connection free. resp is the last answer on it, if any.
func (f *Forwarder) addIdle(id dandeliongap.InstanceID, cn *conn, resp *fasthttp.Response) {
	now := time.Now()
	life := defaultIdleTimeout
	if resp != nil {
		life = idleTimeout(string(resp.Header.Peek(fasthttp.HeaderKeepAlive)))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fr := f.idle[id]
	if fr == nil {
		fr = &idleConns{}
		f.idle[id] = fr
	}
	if f.closed || life <= 0 {
		_ = cn.tcp.Close()
		return
	}
	fr.conns = append(fr.conns, idleConn{cn: cn, since: now, until: now.Add(life)})
}

// idleTimeout returns how long a connection may stay free under a Keep-Alive header:
// four fifths of the announced time, which leaves the way of a request.
func idleTimeout(hint string) time.Duration {
	for part := range strings.SplitSeq(hint, ",") {
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

// exchange writes the request and reads its answer.
func (f *Forwarder) exchange(cn *conn, in *dandeliongap.Instance, req *ForwardRequest, resp *fasthttp.Response, deadline time.Time) (kind ReplyKind, reuse bool, err error) {
	left := time.Until(deadline)
	if left <= 0 {
		return ReplyNotSent, true, fmt.Errorf("deadline passed: %w", dandeliongap.ErrNotRun)
	}
	if err := cn.tcp.SetDeadline(deadline.Add(deadlineGrace)); err != nil {
		return ReplyNotSent, false, err
	}
	written := make(chan error, 1)
	before := cn.written
	f.writeHead(cn, in, req, left)
	if len(req.Body) >= asyncBodyBytes {
		go func() { written <- f.writeBody(cn, req) }()
	} else {
		if err := f.writeBody(cn, req); err != nil {
			if cn.written == before {
				return ReplyNotSent, false, err
			}
			return ReplyUnknown, false, err
		}
		written <- nil
	}
	kind, whole, err := f.readResponse(cn, req, resp)
	select {
	case werr := <-written:
		whole = whole && werr == nil
	default: // answered before the body was written
		whole = false
		_ = cn.tcp.SetDeadline(time.Unix(1, 0))
		<-written
	}
	return kind, whole, err
}

func (f *Forwarder) writeHead(cn *conn, in *dandeliongap.Instance, req *ForwardRequest, left time.Duration) {
	w := cn.bw
	_, _ = w.Write(req.Head) // a failed write is reported by Flush
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

// readResponse reads answers until the one to this request. It tells whether the
// connection may carry another request.
func (f *Forwarder) readResponse(cn *conn, req *ForwardRequest, resp *fasthttp.Response) (kind ReplyKind, reuse bool, err error) {
	reuse = true
	for range maxMismatchedResponses {
		resp.Reset()
		framed, err := cn.receiveForward(resp, req.NoBody)
		if err != nil {
			f.count(&f.broken)
			return ReplyUnknown, false, err
		}
		echo := string(resp.Header.Peek(f.names.RequestID))
		status := resp.StatusCode()
		notRun := len(resp.Header.Peek(f.names.NotRun)) > 0 || status == fasthttp.StatusMisdirectedRequest
		if echo == req.ID || echo == "" && (notRun || status >= 300) {
			switch {
			case status == fasthttp.StatusMisdirectedRequest:
				return ReplyWrongInstance, false, nil
			case notRun:
				return ReplyNotRun, reuse && cn.reusable(resp), nil
			}
			return ReplyAnswered, reuse && framed && cn.reusable(resp), nil
		}
		f.count(&f.broken)
		reuse = false
		if !framed {
			break
		}
	}
	return ReplyUnknown, false, fmt.Errorf("answers to other requests: %w", errBroken)
}

// receiveForward reads one whole answer. framed is false if it ended with the
// connection.
func (c *conn) receiveForward(resp *fasthttp.Response, noBody bool) (framed bool, err error) {
	if err := resp.Header.Read(c.br); err != nil {
		return false, headerError(err)
	}
	status := resp.StatusCode()
	if status < firstFinalStatus {
		return false, errBroken
	}
	if noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return true, nil
	}
	length := resp.Header.ContentLength()
	if err := resp.ReadBody(c.br, maxForwardResponseBytes); err != nil {
		return false, wrapBroken(err)
	}
	if length == lengthChunked {
		if err := resp.Header.ReadTrailer(c.br); err != nil && !errors.Is(err, io.EOF) {
			return false, wrapBroken(err)
		}
	}
	return length != lengthIdentity, nil
}

// lengthChunked is what fasthttp reports for a body in chunks.
const lengthChunked = -1

// maxForwardResponseBytes bounds the body of an answer, so that a faulty backend server
// cannot exhaust the memory of a VM.
const maxForwardResponseBytes = 8 << 20
