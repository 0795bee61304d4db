package dgedge

import (
	"net"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
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

// auxListener is a listener for others than callers. It knows its open connections, so that
// these can be closed when a stop is over.
type auxListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*auxConn]struct{}
}

// Accept implements net.Listener.
func (l *auxListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &auxConn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*auxConn]struct{})
	}
	l.open[conn] = struct{}{}
	return conn, nil
}

// closeAll closes the open connections.
func (l *auxListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Conn.Close()
	}
}

type auxConn struct {
	net.Conn
	listener *auxListener
}

// Close implements net.Conn.
func (c *auxConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
