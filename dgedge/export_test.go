package dgedge

import "io"

// WriteRequestLines writes n lines of a request as a VM does, for the benchmark of their
// cost.
func WriteRequestLines(w io.Writer, n int) {
	l := newEventLog(w, "vm-1")
	l.limit.SetLimit(1e12)
	l.limit.SetBurst(n)
	for range n {
		l.request("done", "9c41d07be2a35f68").Strs("Missing", nil).Int("NoBudget", 0).Str("Route", "r-q43ptvy").Uint64("Config", 155).
			Str("Verdict", "complete").Int("Status", 200).Int("Merged", 20).Int("Total", 20).
			Int("Attempts", 21).Int("Extra", 1).Str("Why", "").Dur("Left", 1).Dur("Took", 1).Send()
	}
	l.close()
}

// NextWatchDelay is how long a follower waits after an answer of the store.
var NextWatchDelay = waitAfter
