package dgedge

import (
	"net"
	"sync"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap/dghttp"
)

// hangUpEvery is the time between two looks at the connections of callers that
// wait: a caller that left keeps replicas busy for at most this long.
const hangUpEvery = 100 * time.Millisecond

// waiting is a request whose caller waits for its answer.
type waiting struct {
	raw   syscall.RawConn
	since time.Time
	gone  chan struct{}
	left  bool
}

// activeSet holds the requests under way. The zero value is empty.
type activeSet struct {
	mu  sync.Mutex
	set map[*waiting]struct{}
}

func (a *activeSet) add(c net.Conn) *waiting {
	w := &waiting{since: time.Now(), gone: make(chan struct{})}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.set == nil {
		a.set = make(map[*waiting]struct{})
	}
	a.set[w] = struct{}{}
	return w
}

func (a *activeSet) remove(w *waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.set, w)
}

func (a *activeSet) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.set)
}

// sweep finds the callers that closed their connection.
func (a *activeSet) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.set {
		if w.raw == nil || w.left || time.Since(w.since) < hangUpEvery {
			continue
		}
		if dghttp.ClosedByPeer(w.raw) {
			w.left = true
			close(w.gone)
		}
	}
}

// sweep runs until the edge stops. The HTTP server reads nothing while a handler
// runs, so that it does not notice by itself that a caller left.
func (e *Edge) sweep() {
	t := time.NewTicker(hangUpEvery)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
			e.active.sweep()
		}
	}
}
