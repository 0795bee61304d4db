package dghttp

import (
	"net"
	"syscall"
	"time"
)

// peerTimeout is the time after which a connection whose peer acknowledges
// nothing counts as lost.
const peerTimeout = 2 * time.Second

// EnableDeadPeerDetection makes the kernel give up a connection whose peer is silent, also
// while nothing is sent. A failure only makes that slower.
func EnableDeadPeerDetection(tcp *net.TCPConn) {
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: peerTimeout / 2, Interval: peerTimeout / 2, Count: 2})
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			const userTimeout = 18 // TCP_USER_TIMEOUT, which package syscall lacks
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(peerTimeout/time.Millisecond))
		})
	}
}
