package dgstandin

import (
	"maps"
	"sync"

	"dandeliongap.example/dandeliongap"
)

// RunCounts counts how often each action ran, by idempotency key, on all backend
// servers that share it. The zero value is ready for use.
type RunCounts struct {
	mu   sync.Mutex
	runs map[dandeliongap.IdempotencyKey]int
}

// Runs returns how often the action with the given key ran.
func (c *RunCounts) Runs(key dandeliongap.IdempotencyKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// All returns the run counts of all actions, by idempotency key.
func (c *RunCounts) All() map[dandeliongap.IdempotencyKey]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.runs)
}

// DuplicateRuns returns the number of actions that ran more than once.
func (c *RunCounts) DuplicateRuns() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n int64
	for _, runs := range c.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

func (c *RunCounts) record(key dandeliongap.IdempotencyKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = make(map[dandeliongap.IdempotencyKey]int)
	}
	c.runs[key]++
}
