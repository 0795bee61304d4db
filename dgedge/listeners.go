package dgedge

import (
	"net"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dgmemory"
)

// callerListener applies the timeouts of the current configuration to the
// connections of callers. The timeouts of a fasthttp server cannot change while it
// runs. It also bounds the number of these connections (dgadmit A7) and what they hold
// (dgmemory).
type callerListener struct {
	net.Listener
	limits   func() dandeliongap.CallerLimits
	maxOpen  int64             // connections open at the same time; 0: no limit
	rejected func()            // called for each connection that is not accepted for lack of room
	ended    func(rule string) // called for each connection that is ended to make room
	start    time.Time         // origin of the Instants of connections
	accepted func(open int64)  // called for each connection that is accepted; nil: not called
	events   connEvents

	mu      sync.Mutex
	account dgmemory.Account
	sockets dgmemory.Sockets
	places  int64 // of sub-requests (dgmemory M9)
	open    map[*callerConn]struct{}
	closing bool // no more connections are accepted
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
			if l.accepted != nil {
				l.accepted(int64(l.len()))
			}
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
	now := time.Now()
	if !l.makeRoom(dandeliongap.Instant(now.Sub(l.start))) {
		l.rejected()
		return nil
	}
	c := &callerConn{TCPConn: tcp, listener: l, limits: l.limits, timeoutStart: now, writeTimeout: writeTimeout, events: l.events}
	c.setSince(now)
	c.closed = func() { l.remove(c) }
	if l.open == nil {
		l.open = make(map[*callerConn]struct{})
	}
	l.open[c] = struct{}{}
	l.account.Add(dgmemory.ConnBytes)
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
	l.forget(c)
}

// sweep closes the connections in a state for which closes returns true, and those that are
// accepted from now on.
func (l *callerListener) sweep(closes func(dgadmit.ConnState) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.open {
		c.closeIf(closes)
	}
}
