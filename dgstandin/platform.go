package dgstandin

import (
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gofiber/fiber/v3"
)

// MaxValue is the platform's limit for one value in bytes.
const MaxValue = 1 << 20

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

// callOf names the call of a request.
func callOf(c fiber.Ctx) PlatformCall {
	call := PlatformCall{Method: strings.Clone(c.Method())}
	path := strings.TrimPrefix(string(c.Request().URI().PathOriginal()), "/")
	rest, isObject := strings.CutPrefix(path, "objects/")
	if !isObject {
		call.Kind = path
		return call
	}
	kind, _, named := strings.Cut(rest, "/")
	call.Kind = kind
	if named {
		return call
	}
	call.Method = "LIST"
	if c.Query("wait") != "" {
		call.Method = "WATCH"
	}
	return call
}

// guard counts each call and applies the faults around it.
func (p *Platform) guard(c fiber.Ctx) error {
	p.mu.Lock()
	p.calls[callOf(c)]++
	f := p.faults
	fail := p.rng.Float64() < f.FailShare
	p.mu.Unlock()
	if f.Delay > 0 && !p.pause(f.Delay) {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	if f.Down != Up {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	if fail {
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	if err := c.Next(); err != nil {
		return err
	}
	if p.loses() {
		return c.RequestCtx().Conn().Close()
	}
	return nil
}

// pause waits for d; false if the server stopped meanwhile.
func (p *Platform) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.srv.halt():
		return false
	}
}

func (p *Platform) loses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseNext > 0 {
		p.faults.LoseNext--
		return true
	}
	return p.rng.Float64() < p.faults.LoseShare
}

// objectOf returns the kind and name that a request's path names. The name is
// taken from the path as sent, because the normalized path would change names
// with escaped slashes or dots.
func objectOf(c fiber.Ctx) (kind, name string, err error) {
	path := strings.TrimPrefix(string(c.Request().URI().PathOriginal()), "/objects/")
	kind, name, _ = strings.Cut(path, "/")
	name, err = url.PathUnescape(name)
	return kind, name, err
}

func (p *Platform) get(c fiber.Ctx) error {
	kind, name, err := objectOf(c)
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	r := p.at(kind, name, p.readTime())
	p.mu.Unlock()
	if r.version == 0 || r.deleted {
		return c.SendStatus(fiber.StatusNotFound)
	}
	c.Set(fiber.HeaderETag, etag(r.version))
	return c.Send(r.body)
}

func (p *Platform) put(c fiber.Ctx) error {
	kind, name, err := objectOf(c)
	if err != nil || name == "" {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	if len(c.Body()) > MaxValue {
		return c.SendStatus(fiber.StatusRequestEntityTooLarge)
	}
	want, ok := condition(c)
	if !ok {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current(kind, name) != want {
		return c.SendStatus(fiber.StatusPreconditionFailed)
	}
	c.Set(fiber.HeaderETag, etag(p.write(kind, name, slices.Clone(c.Body()), false)))
	return c.SendStatus(fiber.StatusOK)
}

func (p *Platform) delete(c fiber.Ctx) error {
	kind, name, err := objectOf(c)
	want, ok := condition(c)
	if err != nil || !ok || want == 0 {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current(kind, name) != want {
		return c.SendStatus(fiber.StatusPreconditionFailed)
	}
	p.write(kind, name, nil, true)
	return c.SendStatus(fiber.StatusOK)
}

// current returns the version of an object, 0 if it does not exist. Callers
// hold mu.
func (p *Platform) current(kind, name string) dandeliongap.Version {
	r := p.at(kind, name, time.Time{})
	if r.deleted {
		return 0
	}
	return r.version
}

// condition returns the version that a write asks for, 0 for "does not exist".
func condition(c fiber.Ctx) (dandeliongap.Version, bool) {
	if c.Get(fiber.HeaderIfNoneMatch) == "*" {
		return 0, true
	}
	n, err := strconv.ParseUint(strings.Trim(c.Get(fiber.HeaderIfMatch), `"`), 10, 64)
	return dandeliongap.Version(n), err == nil && n > 0
}

func etag(v dandeliongap.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// listedObject is an object as list and watch answers carry it. Body is base64
// by the rules of encoding/json.
type listedObject struct {
	Name    string
	Version dandeliongap.Version
	Deleted bool
	Body    []byte
}

func (p *Platform) list(c fiber.Ctx) error {
	since, err := queryUint(c, "since")
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	wait, err := queryUint(c, "wait")
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	objects, version := p.await(c.Params("kind"), dandeliongap.Version(since), time.Duration(wait)*time.Second)
	p.mu.Lock()
	down := p.faults.Down != Up
	p.mu.Unlock()
	if down {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(struct {
		Version dandeliongap.Version
		Objects []listedObject
	}{version, objects})
}

func queryUint(c fiber.Ctx, name string) (uint64, error) {
	s := c.Query(name)
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 32)
}

// await returns the changes of a kind after since. It waits for the first one,
// at most wait; the platform going down or stopping ends the wait.
func (p *Platform) await(kind string, since dandeliongap.Version, wait time.Duration) ([]listedObject, dandeliongap.Version) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		objects, version := p.changesSince(kind, since)
		if len(objects) > 0 || wait == 0 || p.faults.Down != Up {
			return objects, version
		}
		changed := p.changed
		p.watches++
		p.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-p.srv.halt():
			expired = true
		}
		p.mu.Lock()
		p.watches--
		if expired {
			return p.changesSince(kind, since)
		}
	}
}

// changesSince returns the objects of a kind that changed after since, by
// version, and the version up to which the answer is complete. A list from 0
// leaves out deleted objects. Callers hold mu.
func (p *Platform) changesSince(kind string, since dandeliongap.Version) ([]listedObject, dandeliongap.Version) {
	t := p.readTime()
	version := since
	if t.IsZero() {
		version = p.version
	}
	objects := []listedObject{}
	k := p.kinds[kind]
	if k == nil {
		return objects, version
	}
	for name, h := range k.objects {
		r := lastAt(h, t)
		version = max(version, r.version)
		if r.version <= since || r.deleted && since == 0 {
			continue
		}
		objects = append(objects, listedObject{Name: name, Version: r.version, Deleted: r.deleted, Body: r.body})
	}
	slices.SortFunc(objects, func(a, b listedObject) int { return int(a.Version) - int(b.Version) })
	return objects, version
}

func (p *Platform) listVMs(c fiber.Ctx) error {
	type entry struct {
		Name  dandeliongap.VMName
		Zone  dandeliongap.ZoneName
		State string
	}
	entries := []entry{}
	for _, vm := range p.shownVMs() {
		state := "live"
		if vm.Leaving {
			state = "leaving"
		}
		entries = append(entries, entry{vm.Name, vm.Zone, state})
	}
	return c.JSON(entries)
}

// shownVMs returns the VM list as the lag lets it show.
func (p *Platform) shownVMs() []dandeliongap.ListedVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now().Add(-p.faults.Stale)
	for i := len(p.vms) - 1; i >= 0; i-- {
		if i == 0 || !p.vms[i].shows.After(now) {
			return p.vms[i].vms
		}
	}
	return nil
}
