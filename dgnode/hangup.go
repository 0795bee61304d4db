package dgnode

import (
	"context"
	"net"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap/dghttp"
)

// hangUpEvery is the time between two looks at a caller's connection. A caller
// that hung up keeps its slots for at most this long.
const hangUpEvery = 20 * time.Millisecond

// watchHangUp returns a context that ends when the peer of conn closes the
// connection. The HTTP server reads nothing while a handler runs, so that it
// does not notice by itself. stop must be called before the handler returns.
func watchHangUp(parent context.Context, conn net.Conn) (ctx context.Context, stop func()) {
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
		tick := time.NewTicker(hangUpEvery)
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
