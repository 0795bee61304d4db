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

// MaxValueBytes is the largest value of an object that the platform accepts.
const MaxValueBytes = 1 << 20

// DefaultVMLag is the default delay until a change shows in the VM list.
const DefaultVMLag = 30 * time.Second

// historyRetention is how long the platform keeps a revision of an object after it
// was replaced, for reads with PlatformFaults.Stale. Stale reads from further back
// may not find an object that existed then.
const historyRetention = 2 * time.Minute

// DownMode selects whether the platform is available and, if not, how calls fail.
type DownMode uint8

// Values of DownMode.
const (
	Up          DownMode = iota // the platform is available
	Refused                     // connections are refused
	Unavailable                 // every call is answered with 503
)

// PlatformFaults lists the faults that a Platform injects. The zero value injects
// none.
type PlatformFaults struct {
	// Down makes the whole platform unavailable.
	Down DownMode
	// ReadsDown answers every read, list and watch, and calls for the VM list,
	// with 503; writes still work.
	ReadsDown bool
	// Delay is the time by which every call is delayed before it takes effect.
	Delay time.Duration
	// LoseNext is the number of next calls whose answer is lost: the call takes
	// effect, then the connection is closed without an answer.
	LoseNext int
	// LoseShare is the share of calls whose answer is lost in this way, 0 to 1.
	LoseShare float64
	// FailShare is the share of calls answered with 500 without effect, 0 to 1.
	FailShare float64
	// Stale makes reads, lists, watches and the VM list return the state as it was
	// this long ago. Conditions of writes see the current state.
	Stale time.Duration
}

// PlatformOptions configures a Platform. The zero value uses the defaults.
type PlatformOptions struct {
	Address string        // default: a free port of 127.0.0.1
	VMLag   time.Duration // default: DefaultVMLag; negative: none
	Seed    uint64        // seeds the random source of the faults given as shares
}

// PlatformCall identifies a type of call by its method and the kind of object. The
// kind of the VM list is "vms". Lists and watches of objects have the methods
// "LIST" and "WATCH".
type PlatformCall struct {
	Method string
	Kind   string
}

// Platform is a stand-in for the platform's object API and VM list.
type Platform struct {
	srv   tcpServer
	vmLag time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	faults  PlatformFaults
	version dandeliongap.Version // of the last write to any object
	kinds   map[string]*objectKind
	vmLists []vmListState // oldest first
	calls   map[PlatformCall]int64
	watches int           // watches that are waiting
	changed chan struct{} // closed and replaced when an object or the faults change
}

// revision is the state of an object from one write to the next.
type revision struct {
	at      time.Time
	version dandeliongap.Version
	deleted bool
	body    []byte
}

// objectKind holds the objects of one kind, each with its revisions, oldest first.
type objectKind struct {
	objects map[string][]revision
}

// vmListState is a state of the VM list and the time from which it is visible.
type vmListState struct {
	visibleFrom time.Time
	vms         []dandeliongap.ListedVM
}

// NewPlatform creates a platform and starts it.
func NewPlatform(o PlatformOptions) (*Platform, error) {
	p := &Platform{
		vmLag:   o.VMLag,
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		kinds:   make(map[string]*objectKind),
		calls:   make(map[PlatformCall]int64),
		changed: make(chan struct{}),
	}
	if o.VMLag == 0 {
		p.vmLag = DefaultVMLag
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
	app.Use(p.applyFaults)
	app.Get("/vms", p.listVMs)
	app.Get("/objects/:kind", p.list)
	app.Get("/objects/:kind/*", p.get)
	app.Put("/objects/:kind/*", p.put)
	app.Delete("/objects/:kind/*", p.delete)
	return app
}

// Address returns the address that the platform listens on, as "IP:port".
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

// SetFaults replaces all faults. Waiting watches end if the platform goes down.
// SetFaults returns an error if the platform cannot listen again after Refused.
func (p *Platform) SetFaults(f PlatformFaults) error {
	p.mu.Lock()
	p.faults = f
	p.notifyWatches()
	p.mu.Unlock()
	if f.Down == Refused {
		p.srv.stop()
		return nil
	}
	return p.srv.start()
}

// SetVMs replaces the VM list. The first list is visible at once, later ones after
// PlatformOptions.VMLag.
func (p *Platform) SetVMs(vms []dandeliongap.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := vmListState{visibleFrom: time.Now(), vms: slices.Clone(vms)}
	if len(p.vmLists) > 0 && p.vmLag > 0 {
		s.visibleFrom = s.visibleFrom.Add(p.vmLag)
	}
	p.vmLists = append(p.vmLists, s)
}

// Calls returns the number of calls received, by method and kind. A watch is one
// call however long it waits. Calls that fail or whose answer is lost count too.
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

// Watches returns the number of watches that are currently waiting.
func (p *Platform) Watches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watches
}

// Object returns the current state of an object, regardless of faults, or
// ErrNotFound if there is none. The call is not counted.
func (p *Platform) Object(name dandeliongap.ObjectName) (dandeliongap.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, localName, _ := strings.Cut(string(name), "/")
	r := p.revisionAt(kind, localName, time.Time{})
	if r.version == 0 || r.deleted {
		return dandeliongap.Object{}, dandeliongap.ErrNotFound
	}
	return dandeliongap.Object{Name: name, Version: r.version, Body: slices.Clone(r.body)}, nil
}

// Set writes an object as another user of the platform would and returns its new
// version. Conditions and faults do not apply, and the call is not counted.
func (p *Platform) Set(name dandeliongap.ObjectName, body []byte) dandeliongap.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, localName, _ := strings.Cut(string(name), "/")
	return p.write(kind, localName, slices.Clone(body), false)
}

// Remove deletes an object as another user of the platform would. Conditions and
// faults do not apply, and the call is not counted.
func (p *Platform) Remove(name dandeliongap.ObjectName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, localName, _ := strings.Cut(string(name), "/")
	p.write(kind, localName, nil, true)
}

// notifyWatches makes all waiting watches look for changes again. Callers hold mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// write appends a revision of an object and returns its version. It drops the
// revisions of the object that were replaced more than historyRetention ago.
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
	for len(h) > 1 && now.Sub(h[1].at) > historyRetention {
		h = h[1:]
	}
	k.objects[name] = h
	p.notifyWatches()
	return p.version
}

// revisionAt returns the revision of an object at time t, or the zero revision if
// there was none. The zero time means now. Callers hold mu.
func (p *Platform) revisionAt(kind, name string, t time.Time) revision {
	k := p.kinds[kind]
	if k == nil {
		return revision{}
	}
	return lastRevisionAt(k.objects[name], t)
}

// lastRevisionAt returns the last of the revisions h, ordered from oldest to newest,
// that was written by time t, or the zero revision if there is none. The zero time
// means now.
func lastRevisionAt(h []revision, t time.Time) revision {
	for i := len(h) - 1; i >= 0; i-- {
		if t.IsZero() || !h[i].at.After(t) {
			return h[i]
		}
	}
	return revision{}
}

// readTime returns the time as of which reads see the objects; the zero time means
// now. Callers hold mu.
func (p *Platform) readTime() time.Time {
	if p.faults.Stale <= 0 {
		return time.Time{}
	}
	return time.Now().Add(-p.faults.Stale)
}
