package dgedge

import (
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap/dghttp"
)

// disconnectCheckInterval is the time between two checks of the connections with a
// request in progress, and the age from which a request is checked. It limits how long
// replicas work on an idempotent request after its caller has disconnected; for a
// request younger than that, the limit is twice as long.
const disconnectCheckInterval = 100 * time.Millisecond

// activeRequest is a request whose caller waits for the response.
type activeRequest struct {
	id           string
	raw          syscall.RawConn // nil if the connection cannot be checked
	startedAt    time.Time
	disconnected chan struct{} // closed when the caller has disconnected
	closed       bool          // disconnected is closed
}

// activeSet holds the requests whose callers do not have the whole response yet. The zero
// value is an empty set.
type activeSet struct {
	mu  sync.Mutex
	set map[*activeRequest]struct{}
}

func (a *activeSet) add(c net.Conn, id string) *activeRequest {
	r := &activeRequest{id: id, startedAt: time.Now(), disconnected: make(chan struct{})}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.set == nil {
		a.set = make(map[*activeRequest]struct{})
	}
	a.set[r] = struct{}{}
	return r
}

func (a *activeSet) remove(r *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.set, r)
}

func (a *activeSet) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.set)
}

// oldest returns the n requests that have been in the set for longest, oldest first.
func (a *activeSet) oldest(n int) []*activeRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := slices.SortedFunc(maps.Keys(a.set), func(x, y *activeRequest) int { return x.startedAt.Compare(y.startedAt) })
	return all[:min(n, len(all))]
}

// checkConnections finds the requests whose caller has closed the connection, and
// closes their disconnected channels.
func (a *activeSet) checkConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := range a.set {
		if r.raw == nil || r.closed || time.Since(r.startedAt) < disconnectCheckInterval {
			continue
		}
		if dghttp.ClosedByPeer(r.raw) {
			r.closed = true
			close(r.disconnected)
		}
	}
}

// watchDisconnects checks the connections of callers until e stops. The HTTP server
// does not read from a connection while its handler runs, so it does not detect that
// the caller has disconnected.
func (e *Edge) watchDisconnects() {
	t := time.NewTicker(disconnectCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
			e.tick()
			e.active.checkConnections()
		}
	}
}

// tick records that the process runs.
func (e *Edge) tick() {
	e.stallMu.Lock()
	stalled := e.stalls.Tick(time.Since(e.start))
	e.stallMu.Unlock()
	if stalled > 0 {
		e.stats.add("Stalls")
		e.log.event("stalled").Dur("For", stalled).Send()
	}
}
