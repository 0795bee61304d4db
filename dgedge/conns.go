package dgedge

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dghttp"
	"dandeliongap.example/dandeliongap/dgmemory"
)

const (
	defaultIdleTimeout   = 60 * time.Second // if the configuration sets none
	defaultHeaderTimeout = 10 * time.Second // if the configuration sets none
	// writeTimeout is how long a caller may take to receive writeChunk bytes of a response.
	// A response that nobody reads would keep its memory for good.
	writeTimeout = 30 * time.Second
	writeChunk   = 64 << 10 // bytes
)

// Values of callerConn.firstByte.
const (
	firstByteAwaited int32 = iota
	firstByteRead
	firstByteUnwanted // closeIf has closed the connection
)

// callerConn is a connection of a caller. One goroutine of the HTTP server reads and writes.
// The shutdown of the server and callerListener may close the connection meanwhile.
type callerConn struct {
	*net.TCPConn
	listener     *callerListener // nil in tests
	limits       func() dandeliongap.CallerLimits
	events       connEvents
	closed       func() // releases the place in callerListener; called again, it does nothing
	writeTimeout time.Duration

	// Of the goroutine that reads and writes.
	timeoutStart time.Time // end of the last request, or arrival of the next one's first byte
	counted      int64     // held, as of the last call of hold
	received     int       // bytes received of the next request
	body         bool      // the head of the next request has arrived
	bodyReceived int64     // bytes received since then
	head, last   headSize  // what the next request's head has at most, and what the last Read brought
	bodyHeld     int64     // bytes held for the body of the current request
	sent         int       // bytes of the current response that the kernel accepted

	requestDone atomic.Bool // a request has ended since the last Read
	firstByte   atomic.Int32
	current     atomic.Pointer[activeRequest] // from the call of its handler until its response is written
	refused     atomic.Bool                   // its request is refused for lack of memory
	since       atomic.Int64                  // begin of what it does now, as an Instant
	progress    atomic.Int64                  // bytes received of the current request
	held        int64                         // beyond its fixed cost, in the account; guarded by listener.mu
	unreceived  atomic.Bool                   // the caller may not have received all that was written
	lingering   atomic.Bool                   // closed, but for what the caller has not received
}

// Write implements net.Conn. It fails if the caller stops receiving for writeTimeout.
func (c *callerConn) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		if err = c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			break
		}
		var n int
		n, err = c.TCPConn.Write(b[written:min(len(b), written+writeChunk)])
		written += n
	}
	c.sent += written
	c.unreceived.Store(err == nil)
	if r := c.current.Load(); err != nil && r != nil && c.events.writeFailed != nil {
		c.events.writeFailed(r, c.sent, err)
	}
	return written, err
}

// Close implements net.Conn. After a response it returns at once, and the connection lingers.
func (c *callerConn) Close() error {
	lingers := c.unreceived.Swap(false)
	c.lingering.Store(lingers)
	c.setSince(time.Now())
	c.endResponse()
	if lingers {
		go c.linger()
		return nil
	}
	defer c.closed()
	return c.TCPConn.Close()
}

// linger closes the connection once the caller has closed its side, or when its time is over.
func (c *callerConn) linger() {
	defer c.closed()
	// Both errors only tell how the caller has left.
	_ = dghttp.Linger(c.TCPConn, dgadmit.LingerTime, maxEntryBodyBytes)
	_ = c.TCPConn.Close()
}

// closeIf closes the connection if it is in a state for which closes returns true. A first
// byte that arrives meanwhile is either read before, or not at all.
func (c *callerConn) closeIf(closes func(dgadmit.ConnState) bool) {
	state := c.state()
	if !closes(state) || state == dgadmit.ConnUnused && !c.firstByte.CompareAndSwap(firstByteAwaited, firstByteUnwanted) {
		return
	}
	_ = c.TCPConn.Close() // fails only if it is closed already
}

func (c *callerConn) state() dgadmit.ConnState {
	switch {
	case c.lingering.Load():
		return dgadmit.ConnLingering
	case c.current.Load() != nil:
		return dgadmit.ConnAnswering
	case c.firstByte.Load() == firstByteRead:
		return dgadmit.ConnReceiving
	}
	return dgadmit.ConnUnused
}

// beginRequest records that the handler of a request has been called.
func (c *callerConn) beginRequest(r *activeRequest) {
	c.endResponse()
	c.sent = 0
	c.current.Store(r)
}

// endRequest records that the handler has ended, and that the response is written next.
// The next Read restarts the idle timeout.
func (c *callerConn) endRequest() { c.requestDone.Store(true) }

// endResponse records that no more of the current response is written. The HTTP server
// reads from a connection, or closes it, only after that.
func (c *callerConn) endResponse() {
	if r := c.current.Swap(nil); r != nil && c.events.responded != nil {
		c.events.responded(r)
	}
}

// Read implements net.Conn. It re-evaluates the deadline when it expires, so that a
// new configuration also applies to a Read that is already waiting.
func (c *callerConn) Read(b []byte) (int, error) {
	c.endResponse()
	c.unreceived.Store(false)
	if c.requestDone.Swap(false) {
		c.nextRequest()
	}
	for {
		end := c.readDeadline()
		if err := c.SetReadDeadline(end); err != nil {
			return 0, err
		}
		if c.refused.Load() {
			return 0, errNoMemory
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			if c.firstByte.CompareAndSwap(firstByteAwaited, firstByteRead); c.firstByte.Load() == firstByteUnwanted {
				return 0, net.ErrClosed
			}
			if c.received == 0 {
				c.timeoutStart = time.Now()
				c.setSince(c.timeoutStart)
			}
			c.received += n
			c.progress.Store(int64(c.received))
			if !c.count(b[:n]) {
				return 0, errNoMemory
			}
			return n, err
		}
		if c.refused.Load() {
			return 0, errNoMemory
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.readDeadline().After(time.Now()) {
			return n, err
		}
	}
}

// readDeadline returns the time at which Read fails if the caller has sent nothing more.
func (c *callerConn) readDeadline() time.Time {
	l := c.limits()
	if c.received == 0 {
		if l.IdleTimeout <= 0 {
			l.IdleTimeout = defaultIdleTimeout
		}
		return c.timeoutStart.Add(l.IdleTimeout)
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	return c.timeoutStart.Add(dgmemory.ReceiveTime(l.HeaderTimeout, c.bodyReceived))
}

// headSize is the size of a head, or of a part of it.
type headSize struct{ bytes, lines int }

func countLines(b []byte) int { return bytes.Count(b, []byte{'\n'}) }

// nextRequest prepares for the next request. Nothing is held until more of it arrives. The
// last Read may have brought a part of its head, which counts from then on.
func (c *callerConn) nextRequest() {
	c.timeoutStart, c.received = time.Now(), 0
	c.body, c.bodyReceived, c.bodyHeld, c.head = false, 0, 0, headSize{}
	c.progress.Store(0)
	c.setSince(c.timeoutStart)
	c.hold(0, true)
	c.head = c.last
}

// count counts what a Read has brought, and reports whether the memory for it is there. The
// memory for a body is counted by holdBody.
func (c *callerConn) count(b []byte) bool {
	c.last = headSize{len(b), countLines(b)}
	if c.body {
		c.bodyReceived += int64(len(b))
		return true
	}
	c.head.bytes += c.last.bytes
	c.head.lines += c.last.lines
	return c.hold(0, false)
}

// beginBody records that the head of a request has arrived.
func (c *callerConn) beginBody() {
	c.body = true
	c.bodyReceived = 0
}

// holdBody reports whether the memory for a body buffer of size bytes is there.
func (c *callerConn) holdBody(size int) bool {
	c.bodyHeld = dgmemory.BodyBytes(size)
	return c.hold(0, false)
}

// hold counts what the connection holds beyond its fixed cost: the request so far, and more
// bytes. It reports whether the memory is there; with force it is counted in any case.
func (c *callerConn) hold(more int64, force bool) bool {
	bytes := dgmemory.HeadBytes(c.head.bytes, c.head.lines) + c.bodyHeld + more
	if c.listener == nil || bytes == c.counted {
		return true
	}
	if !c.listener.hold(c, bytes, force) {
		return false
	}
	c.counted = bytes
	return true
}

// refuse makes the Read that waits, or the next one, fail for lack of memory.
func (c *callerConn) refuse() {
	c.refused.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed already
}

func (c *callerConn) now() dandeliongap.Instant { return c.instant(time.Now()) }

func (c *callerConn) instant(t time.Time) dandeliongap.Instant {
	if c.listener == nil {
		return 0
	}
	return dandeliongap.Instant(t.Sub(c.listener.start))
}

func (c *callerConn) setSince(t time.Time) { c.since.Store(int64(c.instant(t))) }

// holder returns the connection as dgmemory sees it. listener.mu must be held.
func (c *callerConn) holder() dgmemory.Holder {
	h := dgmemory.Holder{Held: c.held, Since: dandeliongap.Instant(c.since.Load()), Received: c.progress.Load()}
	switch {
	case c.lingering.Load():
		h.Phase = dgmemory.Lingering
	case c.current.Load() != nil:
		h.Phase = dgmemory.Running
	case h.Received > 0:
		h.Phase = dgmemory.Receiving
	}
	return h
}
