package dghttp

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the time between two attempts to accept a connection while they
// fail.
const acceptRetryDelay = 20 * time.Millisecond

// RetryListener goes on accepting after a failure that leaves the listener open, such as
// a lack of file descriptors. The server of fasthttp ends at the first failure, while the
// kernel goes on completing connections that nobody serves.
type RetryListener struct {
	net.Listener
	// Failed, if set, is called for each failure.
	Failed func(error)
}

// Accept implements net.Listener. It returns an error only once the listener is closed.
func (l *RetryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if l.Failed != nil {
			l.Failed(err)
		}
		time.Sleep(acceptRetryDelay)
	}
}
