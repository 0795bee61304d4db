package dgnode

import (
	"sync"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
)

// mailbox collects the sub-answers of one query. ready has room for one signal,
// so that put never blocks.
type mailbox struct {
	ready chan struct{}

	mu      sync.Mutex
	answers []dgfanout.Answer
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (m *mailbox) put(a dgfanout.Answer) {
	m.mu.Lock()
	m.answers = append(m.answers, a)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the collected answers. The mailbox reuses the memory of
// spare for later answers.
func (m *mailbox) take(spare []dgfanout.Answer) []dgfanout.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	answers := m.answers
	m.answers = spare[:0]
	return answers
}

// mailboxes maps the numbers of running queries to their mailboxes.
type mailboxes struct {
	mu sync.RWMutex
	m  map[uint64]*mailbox
}

func (b *mailboxes) open(query uint64) *mailbox {
	box := newMailbox()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.m == nil {
		b.m = map[uint64]*mailbox{}
	}
	b.m[query] = box
	return box
}

func (b *mailboxes) close(query uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.m, query)
}

// put delivers an answer to its query. The answer is dropped if the query has ended.
func (b *mailboxes) put(a dgfanout.Answer) {
	b.mu.RLock()
	box := b.m[a.ID.Query]
	b.mu.RUnlock()
	if box != nil {
		box.put(a)
	}
}

// newAnswer converts the result of an attempt to the answer that dgfanout handles.
func newAnswer(id dandeliongap.SubID, replica dandeliongap.ReplicaID, a dandeliongap.BackendAnswer, load dandeliongap.ReplicaLoad) dgfanout.Answer {
	return dgfanout.Answer{
		ID:         id,
		Replica:    replica,
		Status:     a.Status,
		Reason:     a.Reason,
		Index:      a.Index,
		Load:       load,
		RetryAfter: a.RetryAfter,
		Body:       a.Body,
	}
}
