package dgtrial

import (
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dggate"
)

// gateTimerFloor is the shortest time that the daemon sets a gate's timer to.
const gateTimerFloor = time.Millisecond

// attempt is a sub-request attempt at the owner of its replica.
type attempt struct {
	action   dgfanout.Action
	search   *search
	sent     dandeliongap.Instant // dispatch to the server
	deadline dandeliongap.Instant
	ended    bool // the owner has its result
	canceled bool // the cancellation reached the server before the attempt
}

// ownedReplica is a replica at its owner VM, with its gate and its fake server.
type ownedReplica struct {
	sim      *sim
	replica  dandeliongap.Replica
	owner    *vm
	gate     dggate.Gate
	server   server
	attempts map[dandeliongap.SubID]*attempt
	actions  []dggate.Action
	timer    dandeliongap.Instant // Never: not set
}

// submit submits an attempt that arrived from its entry VM.
func (s *ownedReplica) submit(w *attempt) {
	s.attempts[w.action.ID] = w
	a := &w.action
	s.applyActions(s.gate.Submit(s.sim.now, dggate.Request{ID: a.ID, Class: a.Class, Index: a.Index, Deadline: a.Deadline}, s.actions[:0]))
}

func (s *ownedReplica) cancel(id dandeliongap.SubID) {
	s.applyActions(s.gate.Cancel(s.sim.now, id, s.actions[:0]))
}

// setZoneOut takes the replica's zone out or returns it.
func (s *ownedReplica) setZoneOut(out bool) {
	s.applyActions(s.gate.SetZoneOut(s.sim.now, out, s.actions[:0]))
}

func (s *ownedReplica) tick() {
	if s.sim.now < s.timer {
		return
	}
	s.timer = dggate.Never
	s.applyActions(s.gate.Tick(s.sim.now, s.actions[:0]))
}

// applyActions carries out the actions of the gate and sets its timer.
func (s *ownedReplica) applyActions(actions []dggate.Action) {
	for i := range actions {
		s.perform(&actions[i])
	}
	s.actions = actions[:0]
	next := s.gate.Next()
	if next == dggate.Never {
		return
	}
	next = max(next, s.sim.now.Add(gateTimerFloor))
	if next < s.timer {
		s.timer = next
		s.sim.schedule(next, s.tick)
	}
}

func (s *ownedReplica) perform(a *dggate.Action) {
	w := s.attempts[a.ID]
	if w == nil {
		return
	}
	if s.sim.out != nil {
		s.sim.trace("%s %s request=%s replica=%s state=%q reason=%q", a.Rule, a.Kind, attemptName(a.ID), s.replica.ID, s.gate.State(), a.Reason)
	}
	zone := s.replica.Zone
	switch a.Kind {
	case dggate.Dispatch:
		now := s.sim.now
		w.sent, w.deadline = now, a.Deadline
		s.sim.schedule(s.sim.after(s.sim.delay(zone, zone)), func() { s.server.receive(w, now) })
	case dggate.Refuse:
		delete(s.attempts, a.ID)
		w.ended = true
		s.sendAnswer(w, dgfanout.Answer{Status: dandeliongap.SubNotRun, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case dggate.CancelInFlight:
		s.sim.schedule(s.sim.after(s.sim.delay(zone, zone)), func() { s.server.cancel(w) })
	}
}

// handleResult handles the result of a dispatched attempt.
func (s *ownedReplica) handleResult(w *attempt, res dggate.Result) {
	if w.ended {
		return
	}
	w.ended = true
	delete(s.attempts, w.action.ID)
	res.Latency = s.sim.now.Sub(w.sent)
	actions := s.gate.Done(s.sim.now, w.action.ID, res, s.actions[:0])
	s.sendAnswer(w, dgfanout.Answer{Status: res.Status, Reason: res.Reason, RetryAfter: res.RetryAfter})
	s.applyActions(actions)
}

// sendAnswer sends the result of an attempt to its entry VM.
func (s *ownedReplica) sendAnswer(w *attempt, ans dgfanout.Answer) {
	ans.ID, ans.Replica, ans.Load = w.action.ID, w.action.Replica, s.gate.Load()
	if ans.Status == dandeliongap.SubAnswered {
		ans.Index = w.action.Index
		ans.Parsed = &s.sim.bodies[w.action.ID.Shard]
	}
	s.sim.deliver(s.owner, w.search.vm, func() { w.search.vm.handleAnswer(w.search, ans) })
}
