package dgnode

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connTracker is a listener that tracks its open connections, so that they can be closed
// at shutdown. The HTTP servers alone do not suffice: their shutdown waits 5 s for the
// first request of a connection, and fasthttp goes on serving connections that are still
// open after its shutdown.
type connTracker struct {
	net.Listener

	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	closed bool
}

// trackedConn is a connection of a connTracker. It embeds the TCP connection because
// watchDisconnect needs its SyscallConn method.
type trackedConn struct {
	*net.TCPConn
	tracker    *connTracker
	unreadData atomic.Bool // a request was refused before it was read to the end
}

// lingerTimeout bounds how long the rest of a refused request is read and discarded.
const lingerTimeout = 500 * time.Millisecond

func newConnTracker(l net.Listener) *connTracker {
	return &connTracker{Listener: l, open: map[*trackedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *connTracker) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	tcp, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	c := &trackedConn{TCPConn: tcp, tracker: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = tcp.Close()
		return c, nil
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Close implements net.Conn. It first reads the rest of a refused request: closing a
// connection with unread bytes resets it, and the client could lose the refusal.
func (c *trackedConn) Close() error {
	if c.unreadData.Load() && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.TCPConn)
	}
	c.tracker.mu.Lock()
	delete(c.tracker.open, c)
	c.tracker.mu.Unlock()
	return c.TCPConn.Close()
}

// closeAll closes the open connections and returns their number. Connections that are
// accepted later are closed at once.
func (l *connTracker) closeAll() int {
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
