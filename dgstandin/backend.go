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

// statusCancelled is the status of a request that a DELETE ended.
const statusCancelled = 499

// earlyCancels is the number of cancelled ids that are remembered because their
// request has not arrived yet: a DELETE on one connection can overtake the POST
// on another.
const earlyCancels = 256

// healthKept is the number of health states kept for HealthLag.
const healthKept = 64

// Backend is a stand-in for one backend server.
type Backend struct {
	opt BackendOptions
	srv tcpServer

	open            atomic.Int64
	connections     atomic.Int64
	mostConnections atomic.Int64
	connViolations  atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	service  ServiceTime
	faults   BackendFaults
	count    BackendCounters
	cold     coldStart
	busy     int // requests in the server, running or waiting for a slot
	running  map[string]*run
	early    []string
	waiting  []*run
	slots    int // slots taken
	versions map[dandeliongap.IndexVersion][]dandeliongap.PartID
	zoneOut  time.Time // zero: in service
	draining time.Time // zero: not draining
	health   []healthState
}

// run is one request in the server.
type run struct {
	id       string
	cancel   chan struct{} // closed by a DELETE
	slot     chan struct{} // closed when a waiting request gets its slot
	free     chan struct{} // closed when the slot is free again
	canceled bool
	granted  bool
}

// healthState is what the health endpoint would have reported at a time.
type healthState struct {
	at    time.Time
	state string
	load  int
}

// NewBackend starts a backend server.
func NewBackend(o BackendOptions) (*Backend, error) {
	o.setDefaults()
	b := &Backend{
		opt:      o,
		rng:      rand.New(rand.NewPCG(o.Seed, 2)),
		service:  o.ServiceTime,
		running:  make(map[string]*run),
		versions: map[dandeliongap.IndexVersion][]dandeliongap.PartID{0: {0}},
	}
	b.srv.addr = o.Address
	b.srv.handler = b.handle
	b.srv.admit = b.admit
	b.srv.gone = func() { b.open.Add(-1) }
	if o.StartCold {
		b.cold.turn(o.WarmAfter, int(o.Replica.Slots), 0)
	}
	b.note()
	return b, b.srv.start()
}

// Address returns the "IP:port" that the server listens on.
func (b *Backend) Address() string {
	b.srv.mu.Lock()
	defer b.srv.mu.Unlock()
	return b.srv.addr
}

// Replica returns the description of the server with its true address.
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

// Stop closes the listener and all connections, as when the server is lost, and
// waits for its handlers. Requests that run get no answer.
func (b *Backend) Stop() { b.srv.stop() }

// Start listens again on the same address, cold.
func (b *Backend) Start() error {
	b.TurnCold()
	return b.srv.start()
}

// TurnCold makes the server cold without warning.
func (b *Backend) TurnCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.turn(b.opt.WarmAfter, int(b.opt.Replica.Slots), b.busy)
	b.note()
}

// TurnWarm ends a cold start at once.
func (b *Backend) TurnWarm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold = coldStart{}
	b.note()
}

// Cold tells whether the server is in cold start.
func (b *Backend) Cold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold.cold
}

// SetDraining begins or ends draining. A draining server refuses new requests as not
// run and lets the ones in it finish.
func (b *Backend) SetDraining(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = since(b.draining, on)
	b.note()
}

// SetZoneOut tells the server whether operators have taken its zone out, so that it
// counts new work after the grace. It serves as before.
func (b *Backend) SetZoneOut(out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zoneOut = since(b.zoneOut, out)
}

// since returns the start of a period that is on or off.
func since(start time.Time, on bool) time.Time {
	switch {
	case !on:
		return time.Time{}
	case start.IsZero():
		return time.Now()
	default:
		return start
	}
}

// HoldVersion makes the server hold an index version with the given parts. A new server
// holds version 0 with part 0, for groups without a catalog entry.
func (b *Backend) HoldVersion(v dandeliongap.IndexVersion, parts []dandeliongap.PartID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions[v] = slices.Clone(parts)
}

// ReleaseVersion makes the server answer 410 for an index version.
func (b *Backend) ReleaseVersion(v dandeliongap.IndexVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.versions, v)
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// SetServiceTime replaces the service time of the requests to come.
func (b *Backend) SetServiceTime(t ServiceTime) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service = t
}

// Counters returns what the server received.
func (b *Backend) Counters() BackendCounters {
	b.mu.Lock()
	c := b.count
	b.mu.Unlock()
	c.Connections = b.connections.Load()
	c.MostConnections = b.mostConnections.Load()
	c.ConnectionViolations = b.connViolations.Load()
	c.DuplicateRuns = b.opt.RunCounts.DuplicateRuns()
	return c
}

// Busy returns the number of requests in the server.
func (b *Backend) Busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

// OpenConnections returns the number of connections that are open.
func (b *Backend) OpenConnections() int { return int(b.open.Load()) }

// RunCounts returns the counts of runs by idempotency key.
func (b *Backend) RunCounts() *RunCounts { return b.opt.RunCounts }

// admit counts a new connection; one above the limit is closed at once.
func (b *Backend) admit() bool {
	n := b.open.Add(1)
	b.connections.Add(1)
	limit := int64(b.opt.Replica.Connections)
	if limit > 0 && n > limit {
		b.connViolations.Add(1)
		b.open.Add(-1)
		return false
	}
	for {
		most := b.mostConnections.Load()
		if n <= most || b.mostConnections.CompareAndSwap(most, n) {
			return true
		}
	}
}

// handle serves one request. The first request on a connection waits for the
// cost of a new connection.
func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	if cost := b.opt.Replica.ConnectCost; cost > 0 && ctx.ConnRequestNum() == 1 && !b.sleep(cost) {
		return
	}
	path := string(ctx.Path())
	switch {
	case ctx.IsPost() && path == "/query":
		b.query(ctx)
	case ctx.IsDelete() && strings.HasPrefix(path, "/query/"):
		b.cancel(ctx, strings.TrimPrefix(path, "/query/"))
	case ctx.IsGet() && path == "/health":
		b.serveHealth(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// sleep waits for d; false if the server stopped meanwhile.
func (b *Backend) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.srv.halt():
		return false
	}
}

// note keeps the health state for HealthLag. Callers hold mu.
func (b *Backend) note() {
	state := "warm"
	switch {
	case !b.draining.IsZero():
		state = "draining"
	case b.cold.cold:
		state = "cold"
	}
	if n := len(b.health); n > 0 && b.health[n-1].state == state {
		b.health[n-1].load = b.busy
		return
	}
	if len(b.health) == healthKept {
		b.health = slices.Delete(b.health, 0, 1)
	}
	b.health = append(b.health, healthState{at: time.Now(), state: state, load: b.busy})
}

func (b *Backend) serveHealth(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	b.count.HealthCalls++
	b.note()
	f := b.faults
	h := b.health[0]
	for _, s := range b.health {
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

// cancel ends a request and answers when its slot is free: 200, or 404 if no
// such request is in the server.
func (b *Backend) cancel(ctx *fasthttp.RequestCtx, id string) {
	b.mu.Lock()
	b.count.Cancels++
	r := b.running[id]
	if r == nil {
		if len(b.early) == earlyCancels {
			b.early = slices.Delete(b.early, 0, 1)
		}
		b.early = append(b.early, id)
		b.mu.Unlock()
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !r.canceled {
		r.canceled = true
		close(r.cancel)
	}
	b.mu.Unlock()
	<-r.free
}

// header returns a request header as a string.
func header(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.Request.Header.Peek(name))
}

// headerInt returns a request header as a number, 0 if it is absent or none.
func headerInt(ctx *fasthttp.RequestCtx, name string) int64 {
	n, err := strconv.ParseInt(header(ctx, name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
