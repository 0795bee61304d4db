package dgnode

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// openConns is a listener that knows its open connections. The HTTP servers wait
// 5 s for the first request of a connection, and fasthttp serves connections on
// that are open after its shutdown, so that the last ones are closed here.
type openConns struct {
	net.Listener

	mu     sync.Mutex
	open   map[*openConn]struct{}
	closed bool
}

// openConn is one connection. Embedding keeps what watchHangUp needs.
type openConn struct {
	*net.TCPConn
	owner  *openConns
	unread atomic.Bool // the request was refused before it was read
}

// lingerLimit bounds how long a refused request is read and dropped.
const lingerLimit = 500 * time.Millisecond

func newOpenConns(l net.Listener) *openConns {
	return &openConns{Listener: l, open: map[*openConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *openConns) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	tcp, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	c := &openConn{TCPConn: tcp, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = tcp.Close()
		return c, nil
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Close implements net.Conn. What is left of a refused request is read first: a
// close with unread bytes resets the connection, and the refusal could be lost.
func (c *openConn) Close() error {
	if c.unread.Load() && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerLimit)) == nil {
		_, _ = io.Copy(io.Discard, c.TCPConn)
	}
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.TCPConn.Close()
}

// closeConns closes all connections, now and to come, and returns their number.
func (l *openConns) closeConns() int {
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
