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
}

// Apply adds a state or changes that were read. It ignores changes of a kind until the
// whole state of the kind was read, and objects whose name is empty after the kind,
// because they cannot be distinguished.
func (m *Mirror) Apply(kind string, s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k == nil && !s.Full {
		return
	}
	if s.Full {
		k = &kindState{removalsDroppedTo: s.Version, objects: make(map[dandeliongap.ObjectName]dandeliongap.Object)}
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
	s := State{Version: k.version, Full: since == 0 || since < k.removalsDroppedTo}
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
