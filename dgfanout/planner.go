package dgfanout

import (
	"math/rand/v2"

	dandeliongap "dandeliongap.example/dandeliongap"
)

// Planner is what a VM learns over all its queries. The zero value is ready for
// use. Its methods must not be called at the same time.
type Planner struct{}

// Query is the state of one query.
type Query struct {
	next   dandeliongap.Instant
	done   bool
	result Result
}

// Start decides the first step of a query: its snapshot and one attempt for each
// shard. It appends its actions to dst.
func (p *Planner) Start(_ dandeliongap.Instant, _ *dandeliongap.View, _ Request, _ *rand.Rand, dst []Action) (*Query, []Action) {
	q := &Query{done: true, result: Result{Reason: dandeliongap.ReasonUnknownName}}
	return q, append(dst, Action{Kind: Finish, Rule: RuleAdmission})
}

// Answer takes the result of an attempt. An answer for an unknown, answered or
// cancelled attempt, or with a nil q, only updates what the Planner knows of the
// replica.
func (p *Planner) Answer(_ dandeliongap.Instant, _ *dandeliongap.View, _ *Query, _ Answer, _ *rand.Rand, dst []Action) []Action {
	return dst
}

// Tick takes the decisions that are due, at Query.Next or later.
func (p *Planner) Tick(_ dandeliongap.Instant, _ *dandeliongap.View, _ *Query, _ *rand.Rand, dst []Action) []Action {
	return dst
}

// HangUp ends a query whose caller disconnected.
func (p *Planner) HangUp(_ dandeliongap.Instant, _ *Query, dst []Action) []Action { return dst }

// Next returns the instant at which Tick is due.
func (q *Query) Next() dandeliongap.Instant { return q.next }

// Done reports whether the query has finished.
func (q *Query) Done() bool { return q.done }

// Result returns the answer to the caller once Done.
func (q *Query) Result() Result { return q.result }
