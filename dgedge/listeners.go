package dgedge

import (
	"net"
	"sync"
)

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
