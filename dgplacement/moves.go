package dgplacement

import (
	"dandeliongap.example/dandeliongap"
)

// Moves notes when rows moved. The zero value is ready to use.
type Moves struct {
	rows map[dandeliongap.ReplicaID]move
}

type move struct {
	epoch dandeliongap.Epoch
	at    dandeliongap.Instant
}

// Observe notes which rows of a newly adopted table moved.
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

func (m *Moves) settled(now dandeliongap.Instant, r dandeliongap.ReplicaID) bool {
	if m == nil {
		return true
	}
	last, ok := m.rows[r]
	return !ok || now.Sub(last.at) >= MinMoveInterval
}
