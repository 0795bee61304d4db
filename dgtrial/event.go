package dgtrial

import dandeliongap "dandeliongap.example/dandeliongap"

// event is a function that runs at an instant of virtual time. Events at the same
// instant run in the order in which they were scheduled.
type event struct {
	at  dandeliongap.Instant
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// eventQueue is a binary heap, earliest first. container/heap would allocate for
// each event.
type eventQueue struct {
	heap []event
	seq  uint64
}

func (q *eventQueue) push(at dandeliongap.Instant, do func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	h := q.heap
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(&h[parent]) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (q *eventQueue) pop() event {
	h := q.heap
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	q.heap = h
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
