package dgbackend

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiptTimeout limits the wait for the receipt of a request whose response has ended
	// with the connection. A reset takes a few round trips to arrive.
	receiptTimeout = 250 * time.Millisecond
	// receiptPollInterval is the time between two checks for the receipt.
	receiptPollInterval = time.Millisecond
)

// awaitReceipt waits until the backend server has received the whole request, after a
// response without a length has ended. written delivers the result of writing the request.
// It returns an error if the connection was reset instead: the backend server closed it
// before it had read the request, and may have broken off the response. The end of the
// stream alone does not tell:
//
//   - The kernel reports a reset to one call only. If that was the write, a read returns
//     io.EOF.
//   - A backend server that has read all bytes that have arrived, but not the whole request,
//     ends its stream in an orderly way when it closes. The reset follows when further bytes
//     of the request arrive.
//
// If neither happens within timeout, the server has ended its own direction only, and the
// response is whole.
func (c *conn) awaitReceipt(written <-chan error, timeout time.Duration) error {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case err := <-written:
		if err != nil {
			return err
		}
	case <-t.C:
		_ = c.tcp.SetDeadline(time.Unix(1, 0))
		if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		return nil
	}
	poll := time.NewTicker(receiptPollInterval)
	defer poll.Stop()
	for {
		if n, err := c.unreceived(); n == 0 || err != nil {
			return err
		}
		select {
		case <-poll.C:
		case <-t.C:
			return nil
		}
	}
}

// unreceived returns the number of bytes that were written and that the peer has not
// acknowledged, or 0 if the system does not tell. The error is that of the connection.
func (c *conn) unreceived() (n int, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		var code int
		if code, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			err = syscall.Errno(code)
		}
		if err == nil {
			n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	return n, errors.Join(controlErr, err)
}
