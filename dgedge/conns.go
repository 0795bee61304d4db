package dgedge

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	defaultIdleTimeout   = 60 * time.Second // if the configuration sets none
	defaultHeaderTimeout = 10 * time.Second // if the configuration sets none
	// minReceiveRate is the lowest rate at which a caller may send a request, in bytes
	// per second. Each byte received extends the header timeout accordingly.
	minReceiveRate = 16 << 10
	// writeTimeout is how long a caller may take to receive writeChunk bytes of a response.
	// A response that nobody reads would keep its memory for good.
	writeTimeout = 30 * time.Second
	writeChunk   = 64 << 10 // bytes
	// lingerTime is how long a connection is read after its last response, at most.
	lingerTime = time.Second
	// maxLingerBytes limits what is read in that time.
	maxLingerBytes = maxEntryBodyBytes
)

// callerListener applies the timeouts of the current configuration to the
// connections of callers. The timeouts of a fasthttp server cannot change while it
// runs. It also limits the number of these connections (dgadmit A7).
type callerListener struct {
	net.Listener
	limits   func() dandeliongap.CallerLimits
	maxOpen  int64  // connections open at the same time; 0: no limit
	rejected func() // called for each connection that is closed because of maxOpen
	events   connEvents

	mu      sync.Mutex
	open    map[*callerConn]struct{}
	closing bool          // connections without a request are closed
	allDone chan struct{} // closed when the last connection is removed; nil: nobody waits
}

// connEvents are called by connections of callers. Fields that are nil are not called.
type connEvents struct {
	// responded is called when a response has been written, or cannot be.
	responded func(*activeRequest)
	// writeFailed is called when a response cannot be written. sent is the number of bytes
	// that the kernel accepted, the head included.
	writeFailed func(r *activeRequest, sent int, err error)
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if conn := l.add(tcp); conn != nil {
			return conn, nil
		}
		_ = tcp.Close()
	}
}

// add returns the connection as the HTTP server uses it, or nil if it is not accepted.
func (l *callerListener) add(tcp *net.TCPConn) *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return nil
	}
	if l.maxOpen > 0 && int64(len(l.open)) >= l.maxOpen {
		l.rejected()
		return nil
	}
	c := &callerConn{TCPConn: tcp, limits: l.limits, timeoutStart: time.Now(), writeTimeout: writeTimeout, events: l.events}
	c.closed = func() { l.remove(c) }
	if l.open == nil {
		l.open = make(map[*callerConn]struct{})
	}
	l.open[c] = struct{}{}
	return c
}

// len returns the number of open connections.
func (l *callerListener) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if len(l.open) == 0 && l.allDone != nil {
		close(l.allDone)
		l.allDone = nil
	}
}

// wait waits until no connection is open. At end it closes those that linger. It must be
// called once, after the HTTP server has ended.
func (l *callerListener) wait(end time.Time) {
	l.mu.Lock()
	if len(l.open) == 0 {
		l.mu.Unlock()
		return
	}
	done := make(chan struct{})
	l.allDone = done
	l.mu.Unlock()
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case <-done:
		return
	case <-t.C:
	}
	l.mu.Lock()
	for c := range l.open {
		_ = c.TCPConn.Close()
	}
	l.mu.Unlock()
	<-done
}

// closeUnused closes the connections on which no byte has arrived, also those that are
// accepted later. A shutdown of the HTTP server waits for them for seconds.
func (l *callerListener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.open {
		if c.use.CompareAndSwap(connUnused, connAbandoned) {
			_ = c.TCPConn.Close()
		}
	}
}

// closeInactive closes the connections that have no request in progress, but for those that
// linger.
func (l *callerListener) closeInactive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.current.Load() == nil && !c.lingering.Load() {
			_ = c.TCPConn.Close()
		}
	}
}

// States of a connection of a caller.
const (
	connUnused    int32 = iota // no byte has arrived
	connUsed                   // a byte has arrived
	connAbandoned              // closed by closeUnused
)

// callerConn is a connection of a caller. Only one goroutine may read from it.
type callerConn struct {
	*net.TCPConn
	limits       func() dandeliongap.CallerLimits
	timeoutStart time.Time   // end of the last request, or arrival of the next one's first byte
	received     int         // bytes received of the next request
	requestDone  atomic.Bool // a request has ended since the last Read
	use          atomic.Int32
	current      atomic.Pointer[activeRequest] // from the call of its handler until its response is written
	sent         int                           // bytes of the current response that the kernel accepted
	unreceived   atomic.Bool                   // the caller may not have received all that was written
	lingering    atomic.Bool                   // closed, but for what the caller has not received
	events       connEvents
	closed       func() // releases the place in callerListener; called again, it does nothing
	writeTimeout time.Duration
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

// Close implements net.Conn. After a response, it goes on reading in the background: the
// kernel resets a connection that is closed with unread bytes, or that gets more bytes
// later, and drops what it has not delivered yet.
func (c *callerConn) Close() error {
	lingers := c.unreceived.Swap(false)
	c.lingering.Store(lingers)
	c.endResponse()
	if lingers && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	err := c.TCPConn.Close()
	c.closed()
	return err
}

// linger reads until the caller has closed the connection, or its time is over.
func (c *callerConn) linger() {
	if c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}
	_ = c.TCPConn.Close()
	c.closed()
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
		c.timeoutStart, c.received = time.Now(), 0
	}
	for {
		end := c.readDeadline()
		if err := c.SetReadDeadline(end); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			if c.use.CompareAndSwap(connUnused, connUsed); c.use.Load() == connAbandoned {
				return 0, net.ErrClosed
			}
			if c.received == 0 {
				c.timeoutStart = time.Now()
			}
			c.received += n
			return n, err
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
	return c.timeoutStart.Add(l.HeaderTimeout + time.Duration(c.received)*time.Second/minReceiveRate)
}
