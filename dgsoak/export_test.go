package dgsoak

import (
	"slices"
	"sync/atomic"

	"dandeliongap.example/dandeliongap"
)

// Exports for tests.
var (
	Content  = content
	Merge    = merge
	StampFor = stamp
)

// StartVM starts a process of a program as that of a VM and returns a function that ends it.
func StartVM(program, dir string, l *Ledger) (end func(), err error) {
	store, err := newProxy("127.0.0.1:1")
	if err != nil {
		return nil, err
	}
	var ending atomic.Bool
	v := &vm{
		name: "vm-0", zone: "z1", program: program, dir: dir, store: store, bounds: DefaultBounds(), ledger: l,
		now: func() dandeliongap.Instant { return 1 }, stopping: ending.Load,
	}
	return func() {
		ending.Store(true)
		v.kill()
		_ = store.Close()
	}, v.start(true)
}

// FoundSoFar returns what was found so far.
func (l *Ledger) FoundSoFar() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.Found)
}

// Path is a proxy or a relay.
type Path interface {
	SetFault(PathFault)
	Close() error
}

// SetFault exports setFault.
func (p *proxy) SetFault(f PathFault) { p.setFault(f) }

// SetFault exports setFault.
func (r *relay) SetFault(f PathFault) { r.setFault(f) }

// NewProxy starts a proxy.
func NewProxy(target string) (string, Path, error) {
	p, err := newProxy(target)
	if err != nil {
		return "", nil, err
	}
	return p.addr(), p, nil
}

// NewRelay starts a relay.
func NewRelay(target string) (string, Path, error) {
	addr, err := FreeAddress()
	if err != nil {
		return "", nil, err
	}
	r, err := newRelay(addr, target)
	return addr, r, err
}
