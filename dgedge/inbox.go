package dgedge

import "sync"

// inbox passes the results of attempts to the goroutine that executes their request. A
// result that arrives after close is released, so that the memory of its response is
// not lost.
type inbox struct {
	arrived chan struct{} // has a value if results may be waiting

	mu      sync.Mutex
	results []result
	closed  bool
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

// put adds a result. It does not block.
func (b *inbox) put(r result) {
	b.mu.Lock()
	closed := b.closed
	if !closed {
		b.results = append(b.results, r)
	}
	b.mu.Unlock()
	if closed {
		r.reply.Release()
		return
	}
	select {
	case b.arrived <- struct{}{}:
	default:
	}
}

// take returns the results that have arrived since the last call.
func (b *inbox) take() []result {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.results
	b.results = nil
	return r
}

// close releases the results that nobody has taken, and all later ones.
func (b *inbox) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	for _, r := range b.take() {
		r.reply.Release()
	}
}
