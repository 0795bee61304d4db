package dgstandin

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gofiber/fiber/v3"
)

// MaxValueBytes is the platform's limit for one value in bytes.
const MaxValueBytes = 1 << 20

// DefaultVMLag is the time that a change takes to show in the VM list.
const DefaultVMLag = 30 * time.Second

// historyKept is how long the platform remembers earlier states for
// PlatformFaults.Stale.
const historyKept = 2 * time.Minute

// DownMode tells how the platform is down.
type DownMode uint8

// Modes of being down.
const (
	Up          DownMode = iota
	Refused              // connections are refused
	Unavailable          // every call is answered with 503
)

// PlatformFaults are the faults that a Platform shows. The zero value is none.
type PlatformFaults struct {
	Down DownMode
	// ReadsDown answers every read, list and watch with 503; writes go on.
	ReadsDown bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// LoseNext is the number of next answers that are lost after the change
	// took effect: the connection is closed without an answer.
	LoseNext int
	// LoseShare is the share of answers lost in this way, 0 to 1.
	LoseShare float64
	// FailShare is the share of calls answered with 500 without effect, 0 to 1.
	FailShare float64
	// Stale serves reads from the state of this time ago.
	Stale time.Duration
}

// PlatformOptions configure a Platform. The zero value uses the defaults.
type PlatformOptions struct {
	Address string        // default: a free port of 127.0.0.1
	VMLag   time.Duration // default: DefaultVMLag; negative: none
	Seed    uint64        // of the random source behind the shares
}

// PlatformCall names what a call was: its method and the kind of object.
// The VM list has the kind "vms"; a list or watch has the method "LIST" or
// "WATCH".
type PlatformCall struct {
	Method string
	Kind   string
}

// Platform is a stand-in for the platform's object API and VM list.
type Platform struct {
	srv tcpServer
	lag time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	faults  PlatformFaults
	version dandeliongap.Version
	kinds   map[string]*objectKind
	vms     []vmChange
	calls   map[PlatformCall]int64
	watches int
	changed chan struct{} // closed when an object or the faults change
}

// revision is one state of an object.
type revision struct {
	at      time.Time
	version dandeliongap.Version
	deleted bool
	body    []byte
}

// objectKind holds the histories of the objects of one kind, oldest first.
type objectKind struct {
	objects map[string][]revision
}

// vmChange is a state of the VM list and the time from which it shows.
type vmChange struct {
	shows time.Time
	vms   []dandeliongap.ListedVM
}

// NewPlatform starts a platform.
func NewPlatform(o PlatformOptions) (*Platform, error) {
	p := &Platform{
		lag:     o.VMLag,
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		kinds:   make(map[string]*objectKind),
		calls:   make(map[PlatformCall]int64),
		changed: make(chan struct{}),
	}
	if o.VMLag == 0 {
		p.lag = DefaultVMLag
	}
	p.srv.addr = o.Address
	if o.Address == "" {
		p.srv.addr = "127.0.0.1:0"
	}
	p.srv.handler = p.routes().Handler()
	return p, p.srv.start()
}

func (p *Platform) routes() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxRequestBytes, CaseSensitive: true})
	app.Use(p.guard)
	app.Get("/vms", p.listVMs)
	app.Get("/objects/:kind", p.list)
	app.Get("/objects/:kind/*", p.get)
	app.Put("/objects/:kind/*", p.put)
	app.Delete("/objects/:kind/*", p.delete)
	return app
}

// Address returns the platform's "IP:port".
func (p *Platform) Address() string {
	p.srv.mu.Lock()
	defer p.srv.mu.Unlock()
	return p.srv.addr
}

// Close stops the platform and waits for its handlers.
func (p *Platform) Close() error {
	p.srv.stop()
	return nil
}

// SetFaults replaces the faults. Waiting watches end when the platform goes
// down. The error is that of listening again after Refused.
func (p *Platform) SetFaults(f PlatformFaults) error {
	p.mu.Lock()
	p.faults = f
	p.wake()
	p.mu.Unlock()
	if f.Down == Refused {
		p.srv.stop()
		return nil
	}
	return p.srv.start()
}

// SetVMs replaces the VM list. The change shows after the lag; the first list
// shows at once.
func (p *Platform) SetVMs(vms []dandeliongap.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := vmChange{shows: time.Now(), vms: slices.Clone(vms)}
	if len(p.vms) > 0 && p.lag > 0 {
		c.shows = c.shows.Add(p.lag)
	}
	p.vms = append(p.vms, c)
}

// Calls returns the number of calls received, by method and kind. A watch counts
// as one call however long it waits. Calls that fail or are lost count too.
func (p *Platform) Calls() map[PlatformCall]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[PlatformCall]int64, len(p.calls))
	for c, n := range p.calls {
		m[c] = n
	}
	return m
}

// TotalCalls returns the number of calls received.
func (p *Platform) TotalCalls() int64 {
	var total int64
	for _, n := range p.Calls() {
		total += n
	}
	return total
}

// Watches returns the number of watches that wait at the moment.
func (p *Platform) Watches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watches
}

// Object returns the current state of an object, past all faults;
// ErrNotFound if there is none.
func (p *Platform) Object(name dandeliongap.ObjectName) (dandeliongap.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, short, _ := strings.Cut(string(name), "/")
	r := p.at(kind, short, time.Time{})
	if r.version == 0 || r.deleted {
		return dandeliongap.Object{}, dandeliongap.ErrNotFound
	}
	return dandeliongap.Object{Name: name, Version: r.version, Body: slices.Clone(r.body)}, nil
}

// Set writes an object past all conditions, faults and counts, as another user
// of the platform would, and returns its version.
func (p *Platform) Set(name dandeliongap.ObjectName, body []byte) dandeliongap.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, short, _ := strings.Cut(string(name), "/")
	return p.write(kind, short, slices.Clone(body), false)
}

// Remove deletes an object in the same way.
func (p *Platform) Remove(name dandeliongap.ObjectName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, short, _ := strings.Cut(string(name), "/")
	p.write(kind, short, nil, true)
}

// wake ends the waits of all watches. Callers hold mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// write appends a revision and forgets the ones that no stale read can ask for.
// Callers hold mu.
func (p *Platform) write(kind, name string, body []byte, deleted bool) dandeliongap.Version {
	k := p.kinds[kind]
	if k == nil {
		k = &objectKind{objects: make(map[string][]revision)}
		p.kinds[kind] = k
	}
	p.version++
	now := time.Now()
	h := append(k.objects[name], revision{at: now, version: p.version, deleted: deleted, body: body})
	for len(h) > 1 && now.Sub(h[1].at) > historyKept {
		h = h[1:]
	}
	k.objects[name] = h
	p.wake()
	return p.version
}

// at returns the revision of an object at the given time; the zero time means
// now, and the zero revision that there was none. Callers hold mu.
func (p *Platform) at(kind, name string, t time.Time) revision {
	k := p.kinds[kind]
	if k == nil {
		return revision{}
	}
	return lastAt(k.objects[name], t)
}

func lastAt(h []revision, t time.Time) revision {
	for i := len(h) - 1; i >= 0; i-- {
		if t.IsZero() || !h[i].at.After(t) {
			return h[i]
		}
	}
	return revision{}
}

// readTime returns the time whose state reads see. Callers hold mu.
func (p *Platform) readTime() time.Time {
	if p.faults.Stale <= 0 {
		return time.Time{}
	}
	return time.Now().Add(-p.faults.Stale)
}
