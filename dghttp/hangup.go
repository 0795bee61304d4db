package dghttp

import "syscall"

// ClosedByPeer reports whether the peer has closed or reset a connection. It peeks at
// the next byte of the socket without consuming it. It also returns true if the
// socket can no longer be used on this side.
func ClosedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return closed || err != nil
}
