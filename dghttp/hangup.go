package dghttp

import "syscall"

// ClosedByPeer tells whether the peer of a connection closed or reset it. It looks
// at the next byte of the socket without taking it.
func ClosedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return closed || err != nil
}
