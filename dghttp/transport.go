// Package dghttp sends HTTP requests over persistent connections to one address and
// never retries them. The clients of the platform and of the query tier use it. The
// client of backend servers manages connections itself, because it limits their
// number. The package also detects connections whose peer has closed them or is dead.
package dghttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/valyala/fasthttp"
)

// lengthIdentity is the content length that fasthttp reports for a body delimited
// by the end of the connection. Such a body cannot be distinguished from a truncated one.
const lengthIdentity = -2

// errNoLength means that the body of a response is delimited by the end of the
// connection.
var errNoLength = errors.New("response without length may be truncated")

// Transport sends each request once over persistent connections to one address. It
// replaces fasthttp's own client, which retries requests, cannot be cancelled and
// does not report whether a byte was written.
type Transport struct {
	addr             string
	maxIdle          int
	maxResponseBytes int // limit for the body of a response

	mu       sync.Mutex
	idle     []*conn
	open     map[*conn]struct{}
	closed   bool
	inFlight int
	wg       sync.WaitGroup
}

// New returns a transport for the address ("host:port"). It keeps up to maxIdle
// idle connections and rejects responses with a body of more than
// maxResponseBytes.
func New(addr string, maxIdle, maxResponseBytes int) *Transport {
	return &Transport{addr: addr, maxIdle: maxIdle, maxResponseBytes: maxResponseBytes, open: make(map[*conn]struct{})}
}

// conn is a connection. It carries one request at a time.
type conn struct {
	tcp     *net.TCPConn
	br      *bufio.Reader
	bw      *bufio.Writer
	written int64 // bytes that the kernel accepted
}

// Write writes to the connection and counts the bytes that the kernel accepted.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.tcp.Write(b)
	c.written += int64(n)
	return n, err
}

// alive reports whether an idle connection is open and has no byte to read. A byte to
// read would belong to the response to an earlier request. alive may consume it, so
// a connection that is not alive must be closed.
func (c *conn) alive() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil || c.br.Buffered() > 0 {
		return false
	}
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr = syscall.Read(int(fd), b[:])
		return true
	})
	return err == nil && n < 0 && errors.Is(readErr, syscall.EAGAIN)
}

// Do sends a request once and reads the complete response, at most until end or
// until ctx ends. It reports whether a byte of the request was written. The error is
// dandeliongap.ErrClosed if the transport was closed before the request had a
// connection, and wraps ctx.Err() if ctx ended while the request was in flight, and
// ErrStatus or ErrField if the response is not valid. All other errors are those of
// dialing, writing and reading.
func (t *Transport) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, end time.Time) (sent bool, err error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return false, dandeliongap.ErrClosed
	}
	t.inFlight++
	t.wg.Add(1)
	t.mu.Unlock()
	defer t.done()
	c, err := t.acquire(ctx, end)
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.tcp.SetDeadline(time.Now()) })
	before := c.written
	err = c.exchange(req, resp, t.maxResponseBytes)
	sent = c.written > before
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	if !stop() || err != nil || resp.ConnectionClose() {
		t.closeConn(c)
		return sent, err
	}
	t.release(c)
	return sent, nil
}

func (t *Transport) done() {
	t.mu.Lock()
	t.inFlight--
	t.mu.Unlock()
	t.wg.Done()
}

func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, limit int) error {
	if err := req.Write(c.bw); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	if err := ReadHeader(c.br, &resp.Header); err != nil {
		return err
	}
	length := resp.Header.ContentLength()
	if length == lengthIdentity {
		return errNoLength
	}
	if err := resp.ReadBody(c.br, limit); err != nil {
		return err
	}
	if length < 0 {
		return ReadTrailer(c.br, &resp.Header)
	}
	return nil
}

// acquire returns an idle connection that is still open, or a new one.
func (t *Transport) acquire(ctx context.Context, end time.Time) (*conn, error) {
	for {
		c := t.takeIdle()
		if c == nil {
			return t.dial(ctx, end)
		}
		if c.tcp.SetDeadline(end) == nil && c.alive() {
			return c, nil
		}
		t.closeConn(c)
	}
}

func (t *Transport) takeIdle() *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.idle)
	if n == 0 {
		return nil
	}
	c := t.idle[n-1]
	t.idle = t.idle[:n-1]
	return c
}

func (t *Transport) dial(ctx context.Context, end time.Time) (*conn, error) {
	d := net.Dialer{Deadline: end}
	nc, err := d.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, err
	}
	if err := nc.SetDeadline(end); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c := &conn{tcp: nc.(*net.TCPConn), br: bufio.NewReader(nc)}
	EnableDeadPeerDetection(c.tcp)
	c.bw = bufio.NewWriter(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = nc.Close()
		return nil, dandeliongap.ErrClosed
	}
	t.open[c] = struct{}{}
	return c, nil
}

func (t *Transport) release(c *conn) {
	t.mu.Lock()
	keep := !t.closed && len(t.idle) < t.maxIdle
	if keep {
		t.idle = append(t.idle, c)
	}
	t.mu.Unlock()
	if !keep {
		t.closeConn(c)
	}
}

func (t *Transport) closeConn(c *conn) {
	t.mu.Lock()
	delete(t.open, c)
	t.mu.Unlock()
	_ = c.tcp.Close()
}

// CloseIfUnused closes the transport if no request is in flight, and reports whether
// it did so.
func (t *Transport) CloseIfUnused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight > 0 {
		return false
	}
	t.closed = true
	for _, c := range t.idle {
		_ = c.tcp.Close()
	}
	t.idle = nil
	return true
}

// Close closes all connections, which makes requests in flight fail, and waits for
// these requests to return.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.idle = nil
	for c := range t.open {
		_ = c.tcp.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}
