package dgedge

import (
	"errors"
	"io"
	"net"
	"os"
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

// States of a connection of a caller.
const (
	connUnused    int32 = iota // no byte has arrived
	connUsed                   // a byte has arrived
	connAbandoned              // closed by closeUnused
)

// callerConn is a connection of a caller. One goroutine of the HTTP server reads and writes.
// The shutdown of the server and callerListener may close the connection meanwhile.
type callerConn struct {
	*net.TCPConn
	limits       func() dandeliongap.CallerLimits
	events       connEvents
	closed       func() // releases the place in callerListener; called again, it does nothing
	writeTimeout time.Duration

	// Of the goroutine that reads and writes.
	timeoutStart time.Time // end of the last request, or arrival of the next one's first byte
	received     int       // bytes received of the next request
	sent         int       // bytes of the current response that the kernel accepted

	requestDone atomic.Bool // a request has ended since the last Read
	use         atomic.Int32
	current     atomic.Pointer[activeRequest] // from the call of its handler until its response is written
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
