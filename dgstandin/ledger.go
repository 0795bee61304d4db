package dgstandin

import (
	"maps"
	"sync"

	"dandeliongap.example/dandeliongap"
)

// RunCounts counts the runs of each action by its idempotency key, over all
// backend servers that share it. The zero value is ready for use.
type RunCounts struct {
	mu   sync.Mutex
	runs map[dandeliongap.IdempotencyKey]int
}

// Runs returns how often the action with the key ran.
func (l *RunCounts) Runs(key dandeliongap.IdempotencyKey) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// All returns the runs of all actions.
func (l *RunCounts) All() map[dandeliongap.IdempotencyKey]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// DuplicateRuns returns the number of actions that ran more than once.
func (l *RunCounts) DuplicateRuns() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n int64
	for _, runs := range l.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

func (l *RunCounts) ran(key dandeliongap.IdempotencyKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[dandeliongap.IdempotencyKey]int)
	}
	l.runs[key]++
}
