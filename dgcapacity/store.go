package dgcapacity

import (
	"slices"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
)

// call is one kind of platform call.
type call int

const (
	callWriteLease call = iota
	callDeleteLease
	callReadLease
	callWriteState
	callList
	callWatch
	callReadVMs
	callCount
)

var callNames = [callCount]string{"lease writes", "lease deletions", "lease reads", "state writes", "list reads", "watches", "VM list reads"}

// calls counts platform calls by kind.
type calls [callCount]int

func (c calls) total() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

func (c calls) minus(o calls) calls {
	for i := range c {
		c[i] -= o[i]
	}
	return c
}

// store is the platform's object API in memory. Its methods take effect at once;
// the cluster adds the time of a call.
type store struct {
	version  dandeliongap.Version
	objects  map[dandeliongap.ObjectName]dandeliongap.Object
	calls    calls
	watchers []*watcher
	// replaced holds the writes of relayed objects, for the size of differences.
	replaced []replacedObject
}

// replacedObject is one write of a relayed object.
type replacedObject struct{ before, after dandeliongap.Object }

// watcher is one waiting watch of the kind "state".
type watcher struct {
	since dandeliongap.Version
	done  bool
	reply func(objs []dandeliongap.Object, version dandeliongap.Version)
}

func newStore() *store { return &store{objects: map[dandeliongap.ObjectName]dandeliongap.Object{}} }

func isState(name dandeliongap.ObjectName) bool { return strings.HasPrefix(string(name), "state/") }

func (s *store) get(name dandeliongap.ObjectName) (dandeliongap.Object, bool) {
	s.calls[callReadLease]++
	obj, ok := s.objects[name]
	return obj, ok && !obj.Deleted
}

// put returns false if the version is another one.
func (s *store) put(name dandeliongap.ObjectName, body []byte, ifVersion dandeliongap.Version) (dandeliongap.Version, bool) {
	if isState(name) {
		s.calls[callWriteState]++
	} else {
		s.calls[callWriteLease]++
	}
	if s.present(name) != ifVersion {
		return 0, false
	}
	s.set(dandeliongap.Object{Name: name, Body: body})
	return s.version, true
}

func (s *store) present(name dandeliongap.ObjectName) dandeliongap.Version {
	if obj, ok := s.objects[name]; ok && !obj.Deleted {
		return obj.Version
	}
	return 0
}

func (s *store) delete(name dandeliongap.ObjectName, ifVersion dandeliongap.Version) bool {
	s.calls[callDeleteLease]++
	if ifVersion == 0 || s.present(name) != ifVersion {
		return false
	}
	s.set(dandeliongap.Object{Name: name, Deleted: true})
	return true
}

func (s *store) set(obj dandeliongap.Object) {
	s.version++
	obj.Version = s.version
	if isState(obj.Name) {
		s.replaced = append(s.replaced, replacedObject{s.objects[obj.Name], obj})
	}
	s.objects[obj.Name] = obj
	if !isState(obj.Name) {
		return
	}
	waiting := s.watchers
	s.watchers = nil
	for _, w := range waiting {
		s.answer(w)
	}
}

// list returns the objects of the kind "state".
func (s *store) list() ([]dandeliongap.Object, dandeliongap.Version) {
	s.calls[callList]++
	return s.changed(0, false), s.version
}

func (s *store) changed(since dandeliongap.Version, deleted bool) []dandeliongap.Object {
	var objs []dandeliongap.Object
	for name, obj := range s.objects {
		if isState(name) && obj.Version > since && (deleted || !obj.Deleted) {
			objs = append(objs, obj)
		}
	}
	slices.SortFunc(objs, func(a, b dandeliongap.Object) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return objs
}

// watch answers w at once if something changed, else with the next change.
func (s *store) watch(w *watcher) {
	s.calls[callWatch]++
	if len(s.changed(w.since, true)) > 0 {
		s.answer(w)
		return
	}
	s.watchers = append(s.watchers, w)
}

func (s *store) answer(w *watcher) {
	if w.done {
		return
	}
	w.done = true
	w.reply(s.changed(w.since, true), s.version)
}

// expire ends a watch whose time has passed.
func (s *store) expire(w *watcher) {
	s.watchers = slices.DeleteFunc(s.watchers, func(o *watcher) bool { return o == w })
	s.answer(w)
}

// Times of calls, without failures.
const (
	platformTime = 5 * time.Millisecond
	// peerTime is the time of a message between two VMs, half of the round trip
	// between zones of one region.
	peerTime = 750 * time.Microsecond
	// callLimit is the time after which a lost call is given up, as in dgnode.
	callLimit = 2 * time.Second
	// dialTimeout is the time after which a connection to a VM that crashed is
	// given up, as in dgpeer.
	dialTimeout = 500 * time.Millisecond
)
