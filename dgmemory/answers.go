package dgmemory

import "slices"

// BodyID identifies the body of an answer with control state.
type BodyID uint64

// DeliveryID identifies the delivery of an answer.
type DeliveryID uint64

// Answers counts the answers with control state that are being delivered (M8). Its zero value
// has no limit. It is not safe for concurrent use.
type Answers struct {
	limit, used int64
	last        DeliveryID
	open        []delivery // oldest first
}

type delivery struct {
	id   DeliveryID
	body BodyID
	size int64
}

// NewAnswers returns Answers with a limit in bytes; 0 means none.
func NewAnswers(limit int64) Answers { return Answers{limit: limit} }

// Used returns the bytes of the answers that are being delivered.
func (a *Answers) Used() int64 { return a.used }

// Begin adds the delivery of an answer, and returns the deliveries to end.
func (a *Answers) Begin(body BodyID, size int64) (id DeliveryID, ended []DeliveryID) {
	if !a.delivers(body) {
		a.used += size
	}
	a.last++
	for i := 0; a.limit > 0 && a.used > a.limit && i < len(a.open); {
		if d := a.open[i]; d.body != body {
			ended = append(ended, d.id)
			a.End(d.id)
		} else {
			i++
		}
	}
	a.open = append(a.open, delivery{a.last, body, size})
	return a.last, ended
}

// End removes a delivery, if it has not been removed.
func (a *Answers) End(id DeliveryID) {
	i := slices.IndexFunc(a.open, func(d delivery) bool { return d.id == id })
	if i < 0 {
		return
	}
	d := a.open[i]
	a.open = slices.Delete(a.open, i, i+1)
	if !a.delivers(d.body) {
		a.used -= d.size
	}
}

// delivers reports whether a body is being delivered.
func (a *Answers) delivers(body BodyID) bool {
	return slices.ContainsFunc(a.open, func(d delivery) bool { return d.body == body })
}
