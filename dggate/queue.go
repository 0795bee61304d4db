package dggate

import "dandeliongap.example/dandeliongap"

// item is a queued request. Items with equal deadlines are ordered by seq.
type item struct {
	Request
	seq uint64
}

func (a *item) before(b *item) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.seq < b.seq
}

// queue is a binary heap, earliest deadline first. container/heap is not used
// because it allocates for each item.
type queue []item

func (q *queue) push(it item) {
	*q = append(*q, it)
	q.up(len(*q) - 1)
}

// remove removes and returns the item at index i. Index 0 has the earliest
// deadline.
func (q *queue) remove(i int) item {
	h := *q
	it := h[i]
	last := len(h) - 1
	h[i] = h[last]
	*q = h[:last]
	if i < last {
		q.down(i)
		q.up(i)
	}
	return it
}

func (q queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q[i].before(&q[parent]) {
			return
		}
		q[i], q[parent] = q[parent], q[i]
		i = parent
	}
}

func (q queue) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(q); c++ {
			if q[c].before(&q[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		q[i], q[least] = q[least], q[i]
		i = least
	}
}

func (q queue) indexOf(id dandeliongap.SubID) int {
	for i := range q {
		if q[i].ID == id {
			return i
		}
	}
	return -1
}

// countBefore returns the number of items that precede a new one with this
// deadline.
func (q queue) countBefore(deadline dandeliongap.Instant) int {
	n := 0
	for i := range q {
		if q[i].Deadline <= deadline {
			n++
		}
	}
	return n
}
