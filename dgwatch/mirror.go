package dgwatch

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"dandeliongap.example/dandeliongap"
)

// removalsKept is the number of removals of one kind that a Mirror remembers: more
// than a release of all backend servers of a tier makes within a few seconds.
const removalsKept = 4096

// State is a part of the control state of one kind, as one VM passes it on to another.
type State struct {
	Full    bool // all objects; otherwise what changed
	Version dandeliongap.Version
	Objects []dandeliongap.Object
}

// Mirror keeps the objects of each kind as they were read. The zero value is empty.
// It is safe for concurrent use.
type Mirror struct {
	mu    sync.Mutex
	kinds map[string]*mirrored
}

type mirrored struct {
	version  dandeliongap.Version // all changes up to here are in
	floor    dandeliongap.Version // removals up to here may be missing (W4)
	objects  map[dandeliongap.ObjectName]dandeliongap.Object
	removals []dandeliongap.Object // oldest first
}

// Apply adds what was read. Changes of a kind without a whole state, and objects
// without a name, which cannot be distinguished, are left out.
func (m *Mirror) Apply(kind string, s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k == nil && !s.Full {
		return
	}
	if s.Full {
		k = &mirrored{floor: s.Version, objects: make(map[dandeliongap.ObjectName]dandeliongap.Object)}
		if m.kinds == nil {
			m.kinds = make(map[string]*mirrored)
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

func (k *mirrored) put(o dandeliongap.Object) {
	if !o.Deleted {
		k.objects[o.Name] = o
		return
	}
	delete(k.objects, o.Name)
	k.removals = append(k.removals, o)
	if over := len(k.removals) - removalsKept; over > 0 {
		k.floor = max(k.floor, k.removals[over-1].Version)
		k.removals = slices.Delete(k.removals, 0, over)
	}
}

// Since returns what changed after a version, or the whole state if that cannot be
// determined (W4); false if nothing of the kind was read yet.
func (m *Mirror) Since(kind string, since dandeliongap.Version) (State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k == nil {
		return State{}, false
	}
	s := State{Version: k.version, Full: since == 0 || since < k.floor}
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
