package dgstandin

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gofiber/fiber/v3"
)

// classifyCall returns the method and kind under which a request is counted.
func classifyCall(c fiber.Ctx) PlatformCall {
	call := PlatformCall{Method: strings.Clone(c.Method())}
	path := strings.TrimPrefix(string(c.Request().URI().PathOriginal()), "/")
	rest, isObjectPath := strings.CutPrefix(path, "objects/")
	if !isObjectPath {
		call.Kind = path
		return call
	}
	kind, _, hasName := strings.Cut(rest, "/")
	call.Kind = kind
	if hasName {
		return call
	}
	call.Method = "LIST"
	if c.Query("wait") != "" {
		call.Method = "WATCH"
	}
	return call
}

// applyFaults is middleware that counts each call and injects the faults of
// PlatformFaults, except Stale, which the handlers apply.
func (p *Platform) applyFaults(c fiber.Ctx) error {
	p.mu.Lock()
	p.calls[classifyCall(c)]++
	f := p.faults
	fail := p.rng.Float64() < f.FailShare
	p.mu.Unlock()
	if f.Delay > 0 && !p.sleep(f.Delay) {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	if f.Down != Up || f.ReadsDown && c.Method() == fiber.MethodGet {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	if fail {
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	if err := c.Next(); err != nil {
		return err
	}
	if p.losesAnswer() {
		return c.RequestCtx().Conn().Close()
	}
	return nil
}

// sleep waits for d and reports whether d passed before the platform stopped.
func (p *Platform) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.srv.stopping():
		return false
	}
}

// losesAnswer reports whether the answer of the current call is to be lost.
func (p *Platform) losesAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseNext > 0 {
		p.faults.LoseNext--
		return true
	}
	return p.rng.Float64() < p.faults.LoseShare
}

// parseObjectPath returns the kind and name of the object in a request's path. It
// reads the path as sent, because normalization would change names with escaped
// slashes or dots.
func parseObjectPath(c fiber.Ctx) (kind, name string, err error) {
	path := strings.TrimPrefix(string(c.Request().URI().PathOriginal()), "/objects/")
	kind, name, _ = strings.Cut(path, "/")
	name, err = url.PathUnescape(name)
	return kind, name, err
}

func (p *Platform) get(c fiber.Ctx) error {
	kind, name, err := parseObjectPath(c)
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	r := p.revisionAt(kind, name, p.readTime())
	p.mu.Unlock()
	if r.version == 0 || r.deleted {
		return c.SendStatus(fiber.StatusNotFound)
	}
	c.Set(fiber.HeaderETag, etag(r.version))
	return c.Send(r.body)
}

func (p *Platform) put(c fiber.Ctx) error {
	kind, name, err := parseObjectPath(c)
	if err != nil || name == "" {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	if len(c.Body()) > MaxValueBytes {
		return c.SendStatus(fiber.StatusRequestEntityTooLarge)
	}
	expected, ok := expectedVersion(c)
	if !ok {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentVersion(kind, name) != expected {
		return c.SendStatus(fiber.StatusPreconditionFailed)
	}
	c.Set(fiber.HeaderETag, etag(p.write(kind, name, slices.Clone(c.Body()), false)))
	return c.SendStatus(fiber.StatusOK)
}

func (p *Platform) delete(c fiber.Ctx) error {
	kind, name, err := parseObjectPath(c)
	expected, ok := expectedVersion(c)
	if err != nil || !ok || expected == 0 {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentVersion(kind, name) != expected {
		return c.SendStatus(fiber.StatusPreconditionFailed)
	}
	p.write(kind, name, nil, true)
	return c.SendStatus(fiber.StatusOK)
}

// currentVersion returns the current version of an object, or 0 if it does not
// exist. Callers hold mu.
func (p *Platform) currentVersion(kind, name string) dandeliongap.Version {
	r := p.revisionAt(kind, name, time.Time{})
	if r.deleted {
		return 0
	}
	return r.version
}

// expectedVersion returns the version that the condition of a write requires: the
// one in If-Match, or 0 for "If-None-Match: *", which requires that the object does
// not exist. The second result reports whether there is a valid condition.
func expectedVersion(c fiber.Ctx) (dandeliongap.Version, bool) {
	if c.Get(fiber.HeaderIfNoneMatch) == "*" {
		return 0, true
	}
	n, err := strconv.ParseUint(strings.Trim(c.Get(fiber.HeaderIfMatch), `"`), 10, 64)
	return dandeliongap.Version(n), err == nil && n > 0
}

func etag(v dandeliongap.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// listedObject is an object in the answer to a list or watch. encoding/json writes
// Body as base64.
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
	objects, version := p.waitForChanges(c.Params("kind"), dandeliongap.Version(since), time.Duration(wait)*time.Second)
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

// waitForChanges returns the changes of a kind after since and the version up to
// which they are complete. If there are none, it waits for one until wait has
// passed or the platform goes down or stops.
func (p *Platform) waitForChanges(kind string, since dandeliongap.Version, wait time.Duration) ([]listedObject, dandeliongap.Version) {
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
		done := false
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-p.srv.stopping():
			done = true
		}
		p.mu.Lock()
		p.watches--
		if done {
			return p.changesSince(kind, since)
		}
	}
}

// changesSince returns the objects of a kind that changed after since, ordered by
// version, and the version up to which they are complete. If since is 0, it leaves
// out deleted objects. Callers hold mu.
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
		r := lastRevisionAt(h, t)
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
	for _, vm := range p.visibleVMs() {
		state := "live"
		if vm.Leaving {
			state = "leaving"
		}
		entries = append(entries, entry{vm.Name, vm.Zone, state})
	}
	return c.JSON(entries)
}

// visibleVMs returns the newest VM list that is visible, given the lag of the list
// and PlatformFaults.Stale. The first list is always visible.
func (p *Platform) visibleVMs() []dandeliongap.ListedVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now().Add(-p.faults.Stale)
	for i := len(p.vmLists) - 1; i >= 0; i-- {
		if i == 0 || !p.vmLists[i].visibleFrom.After(now) {
			return p.vmLists[i].vms
		}
	}
	return nil
}
