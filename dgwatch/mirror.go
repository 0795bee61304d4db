package dgwatch

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"dandeliongap.example/dandeliongap"
)

// maxRemovals is the number of removals of one kind that a Mirror keeps. A release
// that replaces all backend servers of a tier causes fewer within a few seconds.
const maxRemovals = 4096

// State is the whole control state of one kind or the changes to it, as one VM
// passes it on to another.
type State struct {
	Full    bool // Objects is the whole state; otherwise only changes
	Version dandeliongap.Version
	Objects []dandeliongap.Object

	generation uint64
}

// Generation returns a number that changes whenever a Mirror would return another state for
// the same version.
func (s State) Generation() uint64 { return s.generation }

// Follows reports whether a state may be taken by a VM that has all changes up to since, 0 if
// it has none (W6).
func (s State) Follows(since dandeliongap.Version) bool {
	if s.Full {
		return s.Version.Era() >= since.Era()
	}
	return s.Version.Era() == since.Era()
}

// Newest returns the version of the newest change in a state. The begin of the era of a whole
// state is one (W6).
func (s State) Newest() (newest dandeliongap.Version) {
	if s.Full {
		newest = s.Version.Era().Start()
	}
	for _, o := range s.Objects {
		newest = max(newest, o.Version)
	}
	return newest
}

// WithoutEras returns the state with bare revisions (W7).
func (s State) WithoutEras() State {
	if s.Version.Era() == 0 {
		return s
	}
	s.Version = dandeliongap.Version(s.Version.Revision())
	s.Objects = slices.Clone(s.Objects)
	for i, o := range s.Objects {
		s.Objects[i].Version = dandeliongap.Version(o.Version.Revision())
	}
	return s
}

// Mirror is a copy of the control state that was read, by kind. The zero value is
// empty. It is safe for concurrent use.
type Mirror struct {
	mu    sync.Mutex
	kinds map[string]*kindState
}

type kindState struct {
	version           dandeliongap.Version // all changes up to this one are included
	removalsDroppedTo dandeliongap.Version // removals up to this version may be missing (W4)
	objects           map[dandeliongap.ObjectName]dandeliongap.Object
	removals          []dandeliongap.Object // oldest first
	generation        uint64                // number of calls of Keep
}

// Apply adds a state or changes that were read. It ignores changes of a kind until the
// whole state of the kind was read, those that W6 excludes, and objects whose name is empty
// after the kind, because they cannot be distinguished.
func (m *Mirror) Apply(kind string, s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k == nil && !s.Full || k != nil && !s.Follows(k.version) {
		return
	}
	if s.Full {
		generation := uint64(0)
		if k != nil {
			generation = k.generation
		}
		k = &kindState{removalsDroppedTo: s.Version, objects: make(map[dandeliongap.ObjectName]dandeliongap.Object), generation: generation}
		if m.kinds == nil {
			m.kinds = make(map[string]*kindState)
		}
		m.kinds[kind] = k
	}
	k.version = max(k.version, s.Version)
	for _, o := range s.Objects {
		if strings.HasSuffix(string(o.Name), "/") {
			continue
		}
		k.put(o)
	}
}

// Keep puts an object in place of the one of its name, without a change of the version: the
// one that this VM uses although the store has another.
func (m *Mirror) Keep(kind string, o dandeliongap.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[kind]; k != nil {
		k.objects[o.Name] = o
		k.generation++
	}
}

func (k *kindState) put(o dandeliongap.Object) {
	if !o.Deleted {
		k.objects[o.Name] = o
		return
	}
	delete(k.objects, o.Name)
	k.removals = append(k.removals, o)
	if over := len(k.removals) - maxRemovals; over > 0 {
		k.removalsDroppedTo = max(k.removalsDroppedTo, k.removals[over-1].Version)
		k.removals = slices.Delete(k.removals, 0, over)
	}
}

// Since returns the changes after a version, or the whole state if the changes are
// not known completely (W4). It returns false if the kind has not been read yet.
func (m *Mirror) Since(kind string, since dandeliongap.Version) (State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k == nil {
		return State{}, false
	}
	s := State{Version: k.version, Full: since == 0 || since < k.removalsDroppedTo, generation: k.generation}
	for _, o := range k.objects {
		if s.Full || o.Version > since {
			s.Objects = append(s.Objects, o)
		}
	}
	if !s.Full {
		for _, o := range k.removals {
			if o.Version > since {
				s.Objects = append(s.Objects, o)
			}
		}
	}
	slices.SortFunc(s.Objects, func(a, b dandeliongap.Object) int { return cmp.Compare(a.Version, b.Version) })
	return s, true
}

// SinceRevision returns the changes after a revision for a VM that knows no eras (W7), as Since
// does.
func (m *Mirror) SinceRevision(kind string, since uint64) (State, bool) {
	s, ok := m.Since(kind, m.era(kind).Version(since))
	return s.WithoutEras(), ok
}

// era returns the era of the state of a kind.
func (m *Mirror) era(kind string) dandeliongap.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[kind]; k != nil {
		return k.version.Era()
	}
	return 0
}
