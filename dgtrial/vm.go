package dgtrial

import (
	"math/rand/v2"

	dandeliongap "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
)

// vm is an entry VM that also owns replicas.
type vm struct {
	sim        *sim
	id         dandeliongap.MemberID
	entry      uint64 // Request.Entry of its searches
	zone       dandeliongap.ZoneName
	view       *dandeliongap.View
	planner    dgfanout.Planner
	rng        *rand.Rand
	actions    []dgfanout.Action
	lastNumber uint64
}

// search is the state of one search at its entry VM.
type search struct {
	vm              *vm
	q               *dgfanout.Query
	class           dandeliongap.Class
	started         dandeliongap.Instant
	deadline        dandeliongap.Instant
	timer           dandeliongap.Instant // next tick of the planner; 0 before the first is set
	answered        []uint64             // bit set of shards whose answer was delivered in time
	answeredParts   int
	startedAttempts int // attempts that a server started
	record          *record
}

// startSearch starts a search that a caller sent to the VM.
func (v *vm) startSearch(class dandeliongap.Class) {
	s := v.sim
	v.lastNumber++
	deadline := s.now.Add(s.group.Deadline)
	if class == dandeliongap.ClassArchive {
		deadline = s.now.Add(ArchiveDeadlineFactor * s.group.Deadline)
	}
	sr := &search{vm: v, class: class, started: s.now, deadline: deadline, answered: make([]uint64, (len(s.group.Leaves)+63)/64)}
	sr.record = &record{at: s.now, class: class, total: len(s.group.Leaves) * partsPerLeaf}
	s.tally.records = append(s.tally.records, sr.record)
	req := dgfanout.Request{Entry: v.entry, Number: v.lastNumber, Service: s.group.Name, Class: class, Deadline: deadline, Baseline: s.load.Baseline}
	if s.out != nil {
		s.trace("request service=%s class=%s deadline=%s", req.Service, class, deadline.Sub(s.now))
	}
	q, acts := v.planner.Start(s.now, v.view, req, v.rng, v.actions[:0])
	sr.q = q
	sr.record.firstAttempts = countSends(acts)
	v.applyActions(sr, acts)
}

func countSends(acts []dgfanout.Action) int {
	n := 0
	for i := range acts {
		if acts[i].Kind == dgfanout.Send {
			n++
		}
	}
	return n
}

// handleAnswer passes the result of an attempt to the planner.
func (v *vm) handleAnswer(sr *search, ans dgfanout.Answer) {
	s := v.sim
	if s.out != nil {
		s.trace("answer request=%s status=%q reason=%q", formatAttemptID(ans.ID), ans.Status, ans.Reason)
	}
	if shard := ans.ID.Shard; ans.Status == dandeliongap.SubAnswered && !sr.q.Done() && sr.answered[shard/64]&(1<<(shard%64)) == 0 {
		sr.answered[shard/64] |= 1 << (shard % 64)
		sr.answeredParts += len(ans.Parsed.Parts)
	}
	v.applyActions(sr, v.planner.HandleAnswer(s.now, v.view, sr.q, ans, v.rng, v.actions[:0]))
}

// tick runs the due timer of the query. It ignores an event that was scheduled for
// an earlier setting of the timer.
func (v *vm) tick(sr *search) {
	if v.sim.now < sr.timer || sr.q.Done() {
		return
	}
	sr.timer = never
	v.applyActions(sr, v.planner.Tick(v.sim.now, v.view, sr.q, v.rng, v.actions[:0]))
}

// applyActions carries out actions and sets the timer of the query.
func (v *vm) applyActions(sr *search, acts []dgfanout.Action) {
	for i := range acts {
		v.perform(sr, &acts[i])
	}
	v.actions = acts[:0]
	if sr.q.Done() {
		return
	}
	if next := max(sr.q.NextTick(), v.sim.now); sr.timer == 0 || next < sr.timer {
		sr.timer = next
		v.sim.schedule(next, func() { v.tick(sr) })
	}
}

func (v *vm) perform(sr *search, a *dgfanout.Action) {
	s := v.sim
	owned := s.replicas[a.Replica]
	switch a.Kind {
	case dgfanout.Send:
		if s.out != nil {
			s.trace("%s send request=%s replica=%s", a.Rule, formatAttemptID(a.ID), a.Replica)
		}
		sr.record.allAttempts++
		att := &attempt{action: *a, search: sr}
		s.deliver(v, owned.owner, func() { owned.submit(att) })
	case dgfanout.Cancel:
		if s.out != nil {
			s.trace("%s cancel request=%s replica=%s", a.Rule, formatAttemptID(a.ID), a.Replica)
		}
		id := a.ID
		s.deliver(v, owned.owner, func() { owned.cancel(id) })
	case dgfanout.Finish:
		v.finish(sr, a.Rule)
	}
}

// finish records the result of the search.
func (v *vm) finish(sr *search, rule dgfanout.Rule) {
	s := v.sim
	res := sr.q.Result()
	r := sr.record
	r.done, r.outcome, r.reason = true, res.Outcome, res.Reason
	r.merged = res.Merged
	r.latency = s.now.Sub(sr.started)
	r.late = s.now > sr.deadline
	if res.Outcome != dandeliongap.OutcomeAnswered {
		r.latency = max(r.latency, sr.deadline.Sub(sr.started))
	}
	r.inexact = res.Outcome == dandeliongap.OutcomeAnswered && res.Merged != sr.answeredParts
	if res.Outcome == dandeliongap.OutcomeNotRun {
		s.tally.refusals = append(s.tally.refusals, sr)
	}
	if s.out != nil {
		s.trace("%s finish outcome=%s reason=%q index=%d merged=%d total=%d", rule, res.Outcome, res.Reason, res.Index, res.Merged, res.Total)
	}
}
