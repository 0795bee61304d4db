package dgplacement

import (
	"dandeliongap.example/dandeliongap"
)

// Moves records when the rows of the table moved last, on the clock of this VM. The zero
// value is ready to use.
type Moves struct {
	rows map[dandeliongap.ReplicaID]move
}

// move is the latest known epoch of a row and the time at which this VM saw it first.
type move struct {
	epoch dandeliongap.Epoch
	at    dandeliongap.Instant
}

// Observe records which rows of a newly adopted table have moved. A row that was not in
// the table before counts as moved.
func (m *Moves) Observe(now dandeliongap.Instant, rows []dandeliongap.Placement) {
	next := make(map[dandeliongap.ReplicaID]move, len(rows))
	for _, r := range rows {
		last, ok := m.rows[r.Replica]
		if !ok || last.epoch != r.Epoch {
			last = move{epoch: r.Epoch, at: now}
		}
		next[r.Replica] = last
	}
	m.rows = next
}

// settled reports whether a row has not moved within the last MinMoveInterval.
func (m *Moves) settled(now dandeliongap.Instant, r dandeliongap.ReplicaID) bool {
	if m == nil {
		return true
	}
	last, ok := m.rows[r]
	return !ok || now.Sub(last.at) >= MinMoveInterval
}
