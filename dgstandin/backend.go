package dgstandin

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/valyala/fasthttp"
)

// statusCancelled is the status of a request ended by a DELETE.
const statusCancelled = 499

// maxEarlyCancels is the number of IDs kept of requests that were cancelled before
// they arrived: a DELETE on one connection can overtake the POST on another.
// Beyond that, the oldest ID is dropped.
const maxEarlyCancels = 256

// maxHealthStates is the number of health states kept for BackendFaults.HealthLag.
const maxHealthStates = 64

// Backend is a stand-in for one backend server.
type Backend struct {
	opt BackendOptions
	srv tcpServer

	openConnections      atomic.Int64
	totalConnections     atomic.Int64
	peakConnections      atomic.Int64
	connectionViolations atomic.Int64

	mu            sync.Mutex
	rng           *rand.Rand
	serviceTime   ServiceTime
	faults        BackendFaults
	counters      BackendCounters
	coldStart     coldStart
	busy          int                 // admitted requests, running or waiting for a slot
	admitted      map[string]*request // by request ID
	earlyCancels  []string            // IDs that were cancelled while not in the server, oldest first
	waiting       []*request          // admitted requests without a slot, in order of arrival
	slotsTaken    int
	versions      map[dandeliongap.IndexVersion][]dandeliongap.PartID
	zoneOutSince  time.Time // zero if the zone is in service
	drainingSince time.Time // zero if not draining
	healthHistory []healthState
}

// request is an admitted request.
type request struct {
	id          string
	cancel      chan struct{} // closed by a DELETE
	slotGranted chan struct{} // closed when the request gets a slot
	slotFreed   chan struct{} // closed when the request has left the server and its slot is free
	canceled    bool
	hasSlot     bool
}

// healthState is the state and load that the health endpoint reports if no fault is
// set. It applies from time at until the next entry of Backend.healthHistory.
type healthState struct {
	at    time.Time
	state string
	load  int
}

// NewBackend creates a backend server and starts it.
func NewBackend(o BackendOptions) (*Backend, error) {
	o.setDefaults()
	b := &Backend{
		opt:         o,
		rng:         rand.New(rand.NewPCG(o.Seed, 2)),
		serviceTime: o.ServiceTime,
		admitted:    make(map[string]*request),
		versions:    map[dandeliongap.IndexVersion][]dandeliongap.PartID{0: {0}},
	}
	b.srv.addr = o.Address
	b.srv.handler = b.handle
	b.srv.admit = b.admitConnection
	b.srv.onClose = func() { b.openConnections.Add(-1) }
	if o.StartCold {
		b.coldStart.begin(o.WarmAfter, int(o.Replica.Slots), 0)
	}
	b.recordHealth()
	return b, b.srv.start()
}

// Address returns the address that the server listens on, as "IP:port".
func (b *Backend) Address() string {
	b.srv.mu.Lock()
	defer b.srv.mu.Unlock()
	return b.srv.addr
}

// Replica returns the replica that the server stands in for, with the address that
// it listens on.
func (b *Backend) Replica() dandeliongap.Replica {
	r := b.opt.Replica
	r.Address = b.Address()
	return r
}

// Close stops the server and waits for its handlers.
func (b *Backend) Close() error {
	b.srv.stop()
	return nil
}

// Stop simulates the loss of the server: it closes the listener and all
// connections and waits for the handlers. Requests in the server get no answer.
func (b *Backend) Stop() { b.srv.stop() }

// Start restarts a stopped server on the same address. The server is cold.
func (b *Backend) Start() error {
	b.TurnCold()
	return b.srv.start()
}

// TurnCold starts a cold start without announcing it to the VM that owns the
// server.
func (b *Backend) TurnCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldStart.begin(b.opt.WarmAfter, int(b.opt.Replica.Slots), b.busy)
	b.recordHealth()
}

// TurnWarm ends a cold start at once.
func (b *Backend) TurnWarm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldStart = coldStart{}
	b.recordHealth()
}

// Cold reports whether the server is in a cold start.
func (b *Backend) Cold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.coldStart.active
}

// SetDraining starts or ends draining. A draining server refuses new requests with
// Not-Run and finishes the ones already in it.
func (b *Backend) SetDraining(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drainingSince = periodStart(b.drainingSince, on)
	b.recordHealth()
}

// SetZoneOut sets whether operators have taken the server's availability zone out.
// The server still serves requests, but counts those that arrive after the grace
// period as violations.
func (b *Backend) SetZoneOut(out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zoneOutSince = periodStart(b.zoneOutSince, out)
}

// periodStart returns the start of a period that is switched on or off: the zero
// time if it is off, else start, or now if start is zero.
func periodStart(start time.Time, on bool) time.Time {
	switch {
	case !on:
		return time.Time{}
	case start.IsZero():
		return time.Now()
	default:
		return start
	}
}

// HoldVersion makes the server hold an index version with the given parts. A new
// server holds version 0 with part 0, for groups without a catalog entry.
func (b *Backend) HoldVersion(v dandeliongap.IndexVersion, parts []dandeliongap.PartID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions[v] = slices.Clone(parts)
}

// ReleaseVersion drops an index version. The server then answers searches of that
// version with 410.
func (b *Backend) ReleaseVersion(v dandeliongap.IndexVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.versions, v)
}

// SetFaults replaces all faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// SetServiceTime sets the service time of requests admitted from now on.
func (b *Backend) SetServiceTime(t ServiceTime) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceTime = t
}

// Counters returns the server's counters.
func (b *Backend) Counters() BackendCounters {
	b.mu.Lock()
	c := b.counters
	b.mu.Unlock()
	c.Connections = b.totalConnections.Load()
	c.MostConnections = b.peakConnections.Load()
	c.ConnectionViolations = b.connectionViolations.Load()
	c.DuplicateRuns = b.opt.RunCounts.DuplicateRuns()
	return c
}

// Busy returns the number of requests in the server, running or waiting for a
// slot.
func (b *Backend) Busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

// OpenConnections returns the number of open connections.
func (b *Backend) OpenConnections() int { return int(b.openConnections.Load()) }

// RunCounts returns the run counts of actions, which other servers may share.
func (b *Backend) RunCounts() *RunCounts { return b.opt.RunCounts }

// admitConnection reports whether a new connection is within the limit, and counts
// the connection.
func (b *Backend) admitConnection() bool {
	n := b.openConnections.Add(1)
	b.totalConnections.Add(1)
	limit := int64(b.opt.Replica.Connections)
	if limit > 0 && n > limit {
		b.connectionViolations.Add(1)
		b.openConnections.Add(-1)
		return false
	}
	for {
		peak := b.peakConnections.Load()
		if n <= peak || b.peakConnections.CompareAndSwap(peak, n) {
			return true
		}
	}
}

// handle serves one HTTP request. The first request on a connection is delayed by
// Replica.ConnectCost.
func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	if cost := b.opt.Replica.ConnectCost; cost > 0 && ctx.ConnRequestNum() == 1 && !b.sleep(cost) {
		return
	}
	path := string(ctx.Path())
	switch {
	case ctx.IsPost() && path == "/query":
		b.serveQuery(ctx)
	case ctx.IsDelete() && strings.HasPrefix(path, "/query/"):
		b.serveCancel(ctx, strings.TrimPrefix(path, "/query/"))
	case ctx.IsGet() && path == "/health":
		b.serveHealth(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// sleep waits for d and reports whether d passed before the server stopped.
func (b *Backend) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.srv.stopping():
		return false
	}
}

// recordHealth adds the current health state to healthHistory. While the state is
// unchanged, it only updates the load of the last entry. Callers hold mu.
func (b *Backend) recordHealth() {
	state := "warm"
	switch {
	case !b.drainingSince.IsZero():
		state = "draining"
	case b.coldStart.active:
		state = "cold"
	}
	if n := len(b.healthHistory); n > 0 && b.healthHistory[n-1].state == state {
		b.healthHistory[n-1].load = b.busy
		return
	}
	if len(b.healthHistory) == maxHealthStates {
		b.healthHistory = slices.Delete(b.healthHistory, 0, 1)
	}
	b.healthHistory = append(b.healthHistory, healthState{at: time.Now(), state: state, load: b.busy})
}

func (b *Backend) serveHealth(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	b.counters.HealthCalls++
	b.recordHealth()
	f := b.faults
	h := b.healthHistory[0]
	for _, s := range b.healthHistory {
		if !s.at.After(time.Now().Add(-f.HealthLag)) {
			h = s
		}
	}
	b.mu.Unlock()
	switch f.Health {
	case HealthAlwaysWarm:
		h = healthState{state: "warm"}
	case HealthAlwaysDraining:
		h = healthState{state: "draining"}
	case HealthError:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(struct {
		State string
		Load  int
	}{h.state, h.load})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// serveCancel serves DELETE /query/ID: it cancels the request and answers 200 once
// its slot is free. If the request is not in the server, it answers 404 and
// remembers the ID, so that the request does not run if it arrives later.
func (b *Backend) serveCancel(ctx *fasthttp.RequestCtx, id string) {
	b.mu.Lock()
	b.counters.Cancels++
	r := b.admitted[id]
	if r == nil {
		if len(b.earlyCancels) == maxEarlyCancels {
			b.earlyCancels = slices.Delete(b.earlyCancels, 0, 1)
		}
		b.earlyCancels = append(b.earlyCancels, id)
		b.mu.Unlock()
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !r.canceled {
		r.canceled = true
		close(r.cancel)
	}
	b.mu.Unlock()
	<-r.slotFreed
}

// requestHeader returns the value of a request header, or "" if it is absent.
func requestHeader(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.Request.Header.Peek(name))
}

// requestHeaderInt returns the value of a request header as a number, or 0 if it
// is absent or not a number.
func requestHeaderInt(ctx *fasthttp.RequestCtx, name string) int64 {
	n, err := strconv.ParseInt(requestHeader(ctx, name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
