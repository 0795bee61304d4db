package dghttp

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Tracker is a listener that tracks its open connections, so that they can be closed at
// shutdown. The HTTP servers alone do not suffice: their shutdown waits 5 s for the first
// request of a connection, and fasthttp goes on serving connections that are still open
// after its shutdown.
type Tracker struct {
	net.Listener

	mu     sync.Mutex
	open   map[*TrackedConn]struct{}
	closed bool
}

// TrackedConn is a connection of a Tracker. It embeds the TCP connection for its SyscallConn
// method.
type TrackedConn struct {
	*net.TCPConn
	tracker *Tracker
	lingers atomic.Bool
}

// trackedLinger bounds how long the rest of a refused request is read and discarded.
const trackedLinger = 500 * time.Millisecond

// Accept implements net.Listener.
func (l *Tracker) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	tcp, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	c := &TrackedConn{TCPConn: tcp, tracker: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = tcp.Close()
		return c, nil
	}
	if l.open == nil {
		l.open = make(map[*TrackedConn]struct{})
	}
	l.open[c] = struct{}{}
	return c, nil
}

// LingerOnClose makes Close read the rest of a refused request first.
func (c *TrackedConn) LingerOnClose() { c.lingers.Store(true) }

// Close implements net.Conn.
func (c *TrackedConn) Close() error {
	if c.lingers.Load() {
		_ = Linger(c.TCPConn, trackedLinger, 0) // the connection is closed in any case
	}
	c.tracker.mu.Lock()
	delete(c.tracker.open, c)
	c.tracker.mu.Unlock()
	return c.TCPConn.Close()
}

// CloseAll closes the open connections and returns their number. Connections that are
// accepted later are closed at once.
func (l *Tracker) CloseAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	n := len(l.open)
	for c := range l.open {
		_ = c.TCPConn.Close()
	}
	clear(l.open)
	return n
}

// Linger tells the peer that no more bytes follow, and reads until the peer has closed its
// side, for at most timeout and up to maxBytes bytes; 0 means any number. The kernel resets a
// connection that is closed with unread bytes, or that gets bytes after its close, and drops
// what it has not delivered yet. The error tells why the peer has not closed its side.
func Linger(tcp *net.TCPConn, timeout time.Duration, maxBytes int64) error {
	if err := tcp.CloseWrite(); err != nil {
		return err
	}
	if err := tcp.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var r io.Reader = tcp
	if maxBytes > 0 {
		r = io.LimitReader(tcp, maxBytes)
	}
	_, err := io.Copy(io.Discard, r)
	return err
}
