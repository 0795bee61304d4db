package dgedge

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	defaultIdle   = 60 * time.Second // without a configured limit
	defaultHeader = 10 * time.Second // without a configured limit
	// bodyRate is the slowest rate at which a caller may send a body, bytes a
	// second.
	bodyRate = 16 << 10
)

// callerListener applies the limits of the current configuration to the
// connections of callers. fasthttp only knows fixed limits.
type callerListener struct {
	net.Listener
	limits func() dandeliongap.CallerLimits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &callerConn{TCPConn: tcp, limits: l.limits, since: time.Now()}, nil
}

// callerConn is a connection of a caller. Its reads belong to one goroutine.
type callerConn struct {
	*net.TCPConn
	limits func() dandeliongap.CallerLimits
	since  time.Time // end of the last request, or arrival of the next one's first byte
	got    int       // bytes of the next request
	over   atomic.Bool
}

// nextRequest marks the end of a request.
func (c *callerConn) nextRequest() { c.over.Store(true) }

// Read implements net.Conn. A wait that began under an earlier configuration ends
// under the present one.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.over.Swap(false) {
		c.since, c.got = time.Now(), 0
	}
	for {
		end := c.end()
		if err := c.SetReadDeadline(end); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			if c.got == 0 {
				c.since = time.Now()
			}
			c.got += n
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.end().After(time.Now()) {
			return n, err
		}
	}
}

// end returns the time until which the caller may be silent.
func (c *callerConn) end() time.Time {
	l := c.limits()
	if c.got == 0 {
		if l.IdleTimeout <= 0 {
			l.IdleTimeout = defaultIdle
		}
		return c.since.Add(l.IdleTimeout)
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeader
	}
	return c.since.Add(l.HeaderTimeout + time.Duration(c.got)*time.Second/bodyRate)
}
