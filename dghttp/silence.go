package dghttp

import (
	"net"
	"syscall"
	"time"
)

// peerTimeout is the time after which a connection counts as lost if the peer
// acknowledges nothing.
const peerTimeout = 2 * time.Second

// EnableDeadPeerDetection makes the kernel close a connection whose peer has stopped
// acknowledging, also while nothing is sent. Errors are ignored: without these
// options a dead peer is only detected later.
func EnableDeadPeerDetection(tcp *net.TCPConn) {
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: peerTimeout / 2, Interval: peerTimeout / 2, Count: 2})
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			const userTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not define
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(peerTimeout/time.Millisecond))
		})
	}
}
