package dgtrial

import (
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dggate"
)

// gateTimerFloor is the shortest time that the daemon sets a gate's timer to.
const gateTimerFloor = time.Millisecond

// work is one attempt at its owner.
type work struct {
	action   dgfanout.Action
	search   *search
	sent     dandeliongap.Instant // dispatch to the server
	deadline dandeliongap.Instant
	ended    bool // the owner has its result
	canceled bool // at the server, before it arrived there
}

// site is a replica at its owner VM: the gate and the fake server behind it.
type site struct {
	sim     *sim
	replica dandeliongap.Replica
	owner   *vm
	gate    dggate.Gate
	server  server
	work    map[dandeliongap.SubID]*work
	actions []dggate.Action
	timer   dandeliongap.Instant // Never: not set
}

// offer submits an attempt that arrived from its entry VM.
func (s *site) offer(w *work) {
	s.work[w.action.ID] = w
	a := &w.action
	s.settle(s.gate.Submit(s.sim.now, dggate.Request{ID: a.ID, Class: a.Class, Index: a.Index, Deadline: a.Deadline}, s.actions[:0]))
}

func (s *site) cancel(id dandeliongap.SubID) {
	s.settle(s.gate.Cancel(s.sim.now, id, s.actions[:0]))
}

// setZoneOut takes the replica's zone out or returns it.
func (s *site) setZoneOut(out bool) {
	s.settle(s.gate.SetZoneOut(s.sim.now, out, s.actions[:0]))
}

func (s *site) tick() {
	if s.sim.now < s.timer {
		return
	}
	s.timer = dggate.Never
	s.settle(s.gate.Tick(s.sim.now, s.actions[:0]))
}

// settle carries out actions and sets the timer.
func (s *site) settle(actions []dggate.Action) {
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
		s.sim.at(next, s.tick)
	}
}

func (s *site) perform(a *dggate.Action) {
	w := s.work[a.ID]
	if w == nil {
		return
	}
	if s.sim.out != nil {
		s.sim.trace("%s %s request=%s replica=%s state=%q reason=%q", a.Rule, a.Kind, name(a.ID), s.replica.ID, s.gate.State(), a.Reason)
	}
	zone := s.replica.Zone
	switch a.Kind {
	case dggate.Dispatch:
		now := s.sim.now
		w.sent, w.deadline = now, a.Deadline
		s.sim.at(s.sim.after(s.sim.delay(zone, zone)), func() { s.server.receive(w, now) })
	case dggate.Refuse:
		delete(s.work, a.ID)
		w.ended = true
		s.answer(w, dgfanout.Answer{Status: dandeliongap.SubNotRun, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case dggate.CancelInFlight:
		s.sim.at(s.sim.after(s.sim.delay(zone, zone)), func() { s.server.cancel(w) })
	}
}

// done takes the end of a dispatched attempt.
func (s *site) done(w *work, res dggate.Result) {
	if w.ended {
		return
	}
	w.ended = true
	delete(s.work, w.action.ID)
	res.Latency = s.sim.now.Sub(w.sent)
	actions := s.gate.Done(s.sim.now, w.action.ID, res, s.actions[:0])
	s.answer(w, dgfanout.Answer{Status: res.Status, Reason: res.Reason, RetryAfter: res.RetryAfter})
	s.settle(actions)
}

// answer sends the result of an attempt to its entry VM.
func (s *site) answer(w *work, ans dgfanout.Answer) {
	ans.ID, ans.Replica, ans.Load = w.action.ID, w.action.Replica, s.gate.Load()
	if ans.Status == dandeliongap.SubAnswered {
		ans.Index = w.action.Index
		ans.Parsed = &s.sim.bodies[w.action.ID.Shard]
	}
	s.sim.message(s.owner, w.search.vm, func() { w.search.vm.answer(w.search, ans) })
}
