package dgedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dghttp"
	"dandeliongap.example/dandeliongap/dgmemory"
	"github.com/valyala/fasthttp"
)

const (
	// connBufferBytes is the receive and the send buffer of a connection to a listener, each
	// of which the kernel may double. Without it the kernel holds megabytes for a peer that
	// reads nothing.
	connBufferBytes = 32 << 10
	// defaultBodyBytes limits the body of a request before there is a configuration.
	defaultBodyBytes = 256 << 10
	// firstBodyBytes is the first size of the buffer for a body whose length is not announced,
	// and directBodyBytes the length up to which the buffer gets an announced length at once.
	firstBodyBytes  = 4 << 10
	directBodyBytes = 32 << 10
	// maxKeptHeadBytes is the size of a head from which the memory for parsed heads is not
	// used again.
	maxKeptHeadBytes = 2 << 10
	// memoryRetry is the Retry-After of a request refused for lack of memory: most of what
	// takes the memory ends within a second.
	memoryRetry = time.Second
)

// Limits of connections to the listeners other than that for callers.
const (
	maxAuxBodyBytes = 1 << 10
	maxAuxLines     = 128 // lines of one request
)

var (
	errBodyTooLarge = errors.New("request body too large")
	errNoMemory     = errors.New("no memory left for this request")
	errBodyNotKept  = errors.New("the VM was not ready when the body of the request began to arrive")
	errManyLines    = errors.New("too many lines in a request")
)

// vmLimits returns the limits of the VM from the settings and from the process.
func vmLimits(s Settings) dgmemory.Limits {
	l := dgmemory.Limits{MemoryBytes: int64(s.MemoryLimitMB * (1 << 20)), Sockets: int64(min(descriptorLimit(), math.MaxInt32))}
	if l.MemoryBytes <= 0 {
		var address syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_AS, &address) == nil && address.Cur < math.MaxInt64 {
			l.MemoryBytes = int64(address.Cur)
		}
	}
	if s.DescriptorLimit > 0 {
		own := dgmemory.SocketsOf(int64(s.DescriptorLimit))
		if l.Sockets <= 0 || own < l.Sockets {
			l.Sockets = own
		}
	}
	return l
}

// limitRuntime makes the runtime collect garbage within the plan. The limit holds for the
// whole process.
func limitRuntime(p dgmemory.Plan) {
	if p.RuntimeBytes > 0 {
		debug.SetMemoryLimit(p.RuntimeBytes)
	}
}

// listenSmall listens with small buffers of the kernel, which the connections inherit.
func listenSmall(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			for _, opt := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, opt, connBufferBytes) // the default is only larger
			}
		})
	}}
	return c.Listen(context.Background(), "tcp", addr)
}

// holders returns the open connections as dgmemory sees them. l.mu must be held.
func (l *callerListener) holders() ([]*callerConn, []dgmemory.Holder) {
	conns, holders := make([]*callerConn, 0, len(l.open)), make([]dgmemory.Holder, 0, len(l.open))
	for c := range l.open {
		conns, holders = append(conns, c), append(holders, c.holder())
	}
	return conns, holders
}

// makeRoom ends connections so that one more may be open, and reports whether it may be.
// l.mu must be held.
func (l *callerListener) makeRoom(now dandeliongap.Instant) bool {
	if l.makeSockets(now, l.missingForConn()); l.missingForConn() > 0 {
		return false
	}
	if missing := l.account.Missing(dgmemory.ConnBytes, 0); missing > 0 {
		conns, holders := l.holders()
		for _, i := range l.account.Victims(now, holders, -1, 0, missing) {
			l.end(conns[i], "M4")
		}
		return l.account.Missing(dgmemory.ConnBytes, 0) == 0
	}
	return true
}

// missingForConn returns the number of connections to end before one more may be open. l.mu
// must be held.
func (l *callerListener) missingForConn() int64 {
	missing := l.sockets.MissingForConn(int64(len(l.open)), l.places)
	if l.maxOpen > 0 {
		missing = max(missing, dgmemory.NewSockets(l.maxOpen).MissingForConn(int64(len(l.open)), 0))
	}
	return missing
}

// makeSockets ends n connections that do nothing (M7), or as many as there are. l.mu must be
// held.
func (l *callerListener) makeSockets(now dandeliongap.Instant, n int64) {
	if n <= 0 {
		return
	}
	conns, holders := l.holders()
	for _, i := range dgmemory.Oldest(now, holders, n) {
		l.end(conns[i], "M7")
	}
}

// hold makes c hold bytes beyond its fixed cost. It reports whether it may; with force it may
// always.
func (l *callerListener) hold(c *callerConn, bytes int64, force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.open[c]; !open || c.refused.Load() {
		return false
	}
	more := bytes - c.held
	if missing := l.account.Missing(more, bytes); more > 0 && !force && missing > 0 {
		conns, holders := l.holders()
		self := -1
		for i := range conns {
			if conns[i] == c {
				self = i
			}
		}
		for _, i := range l.account.Victims(c.now(), holders, self, bytes, missing) {
			l.end(conns[i], "M4")
		}
		if l.account.Missing(more, bytes) > 0 {
			c.refused.Store(true)
			return false
		}
	}
	l.account.Add(more)
	c.held = bytes
	return true
}

// end ends a connection for the given rule. One whose request is being received and holds
// much gets a refusal. l.mu must be held.
func (l *callerListener) end(c *callerConn, rule string) {
	l.ended(rule)
	if c.held > 0 && c.holder().Phase == dgmemory.Receiving {
		l.account.Add(-c.held)
		c.held = 0
		c.refuse()
		return
	}
	l.forget(c)
	_ = c.TCPConn.Close() // fails only if it is closed already
}

// forget removes a connection. l.mu must be held.
func (l *callerListener) forget(c *callerConn) {
	if _, open := l.open[c]; open {
		delete(l.open, c)
		l.account.Add(-c.held - dgmemory.ConnBytes)
		c.held = 0
	}
}

// used returns the bytes in the account.
func (l *callerListener) used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account.Used()
}

// receiveBody reads the body of a request within the limits of the configuration in force. A
// body that is not needed because the VM is not ready is not kept; the error is
// errBodyNotKept then.
func (e *Edge) receiveBody(ctx *fasthttp.RequestCtx, conn *callerConn) ([]byte, error) {
	r := ctx.RequestBodyStream()
	if r == nil {
		return nil, nil
	}
	limit := e.bodyLimit()
	length := ctx.Request.Header.ContentLength()
	if length > limit {
		return nil, errBodyTooLarge
	}
	if conn != nil {
		conn.beginBody()
	}
	if !e.view.Load().ready {
		n, err := io.Copy(io.Discard, io.LimitReader(r, int64(limit)+1))
		if err == nil && n > int64(limit) {
			err = errBodyTooLarge
		}
		if err == nil && n > 0 {
			err = errBodyNotKept
		}
		return nil, err
	}
	body, err := readBody(r, length, limit, func(size int) bool { return conn == nil || conn.holdBody(size) })
	if err == nil && length < 0 {
		ctx.Request.Header.SetContentLength(len(body))
	}
	return body, err
}

// bodyLimit returns the limit in bytes for the body of a request.
func (e *Edge) bodyLimit() int {
	t := e.view.Load().table
	switch {
	case t == nil:
		return defaultBodyBytes
	case t.Config.Limits.BodyBytes > 0:
		return min(t.Config.Limits.BodyBytes, maxEntryBodyBytes)
	}
	return maxEntryBodyBytes
}

// readBody reads a body of the announced length, or of any up to limit if that is negative.
// It asks hold before it takes a buffer. A long one grows with what arrives, so that a length
// that is only announced does not take it.
func readBody(r io.Reader, length, limit int, hold func(size int) bool) ([]byte, error) {
	most := limit + 1 // one more shows that a body is too long
	if length >= 0 {
		most = length
	}
	first := min(most, firstBodyBytes)
	if length >= 0 && length <= directBodyBytes {
		first = length
	}
	if !hold(first) {
		return nil, errNoMemory
	}
	buf := make([]byte, 0, first)
	for {
		if len(buf) == cap(buf) && len(buf) < most {
			size := min(most, 2*cap(buf))
			if !hold(size) {
				return nil, errNoMemory
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		if len(buf) == most {
			break
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	switch {
	case length >= 0 && len(buf) < length:
		return nil, io.ErrUnexpectedEOF
	case len(buf) > limit:
		return nil, errBodyTooLarge
	}
	return buf, nil
}

// dropHead makes the memory of a long parsed head garbage, which the HTTP server would keep
// for later requests. Nothing of the request may be used after it.
func dropHead(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.RawHeaders()) > maxKeptHeadBytes {
		ctx.Request.Header = fasthttp.RequestHeader{}
	}
}

// auxListener is a listener for others than callers. It bounds the number of connections,
// and what each of them may send.
type auxListener struct {
	*dghttp.Tracker
	maxOpen int
	ended   func()

	mu   sync.Mutex
	open []*auxConn // oldest first
}

// auxConn is a connection of an auxListener.
type auxConn struct {
	*dghttp.TrackedConn
	l     *auxListener
	lines int // of the current request, used by the goroutine that serves the connection
}

// Accept implements net.Listener. If too many connections are open, it closes the oldest one:
// a request to these listeners takes milliseconds.
func (l *auxListener) Accept() (net.Conn, error) {
	c, err := l.Tracker.Accept()
	tracked, ok := c.(*dghttp.TrackedConn)
	if err != nil || !ok {
		return c, err
	}
	conn := &auxConn{TrackedConn: tracked, l: l}
	l.mu.Lock()
	var oldest *auxConn
	if len(l.open) >= l.maxOpen {
		oldest = l.open[0]
		l.open = append(l.open[:0], l.open[1:]...)
	}
	l.open = append(l.open, conn)
	l.mu.Unlock()
	if oldest != nil {
		l.ended()
		_ = oldest.TrackedConn.Close() // fails only if it is closed already
	}
	return conn, nil
}

// Close implements net.Conn.
func (c *auxConn) Close() error {
	c.l.mu.Lock()
	for i, o := range c.l.open {
		if o == c {
			c.l.open = append(c.l.open[:i], c.l.open[i+1:]...)
			break
		}
	}
	c.l.mu.Unlock()
	return c.TrackedConn.Close()
}

// Read implements net.Conn.
func (c *auxConn) Read(b []byte) (int, error) {
	n, err := c.TrackedConn.Read(b)
	if c.lines += countLines(b[:n]); c.lines > maxAuxLines {
		return 0, errManyLines
	}
	return n, err
}

// auxServer returns the HTTP server of an auxListener.
func auxServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if c, ok := ctx.Conn().(*auxConn); ok {
				c.lines = 0
			}
			h(ctx)
		},
		NoDefaultServerHeader: true, IdleTimeout: auxIdleTimeout, ReadTimeout: auxIdleTimeout, WriteTimeout: auxIdleTimeout,
		MaxRequestBodySize: maxAuxBodyBytes, Logger: discardLogger{},
	}
}

// noMemory is the refusal of a request for lack of memory.
func noMemory() dgadmit.Refusal {
	return dgadmit.Refusal{Status: http.StatusServiceUnavailable, Rule: "M4", Reason: "Memory", Text: fmt.Sprint("not run: ", errNoMemory), RetryAfter: memoryRetry}
}
