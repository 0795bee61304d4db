package dgnode

import (
	"context"
	"net"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap/dghttp"
)

// disconnectPollInterval is the time between two checks of a caller's connection. A
// caller that disconnected occupies its slots for at most this long.
const disconnectPollInterval = 20 * time.Millisecond

// watchDisconnect returns a context that ends when the caller closes conn. The HTTP
// server does not read from the connection while a handler runs and so does not detect
// this itself. stop must be called before the handler returns.
func watchDisconnect(parent context.Context, conn net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(disconnectPollInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				if dghttp.ClosedByPeer(raw) {
					cancel()
					return
				}
			}
		}
	}()
	return ctx, func() {
		cancel()
		<-done
	}
}
