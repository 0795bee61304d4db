package dgtrial

import (
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dggate"
)

// minGateTimer is the shortest delay of a gate's timer, the same as in the daemon.
const minGateTimer = time.Millisecond

// attempt is a sub-request attempt at the owner of its replica.
type attempt struct {
	action   dgfanout.Action
	search   *search
	sent     dandeliongap.Instant // dispatch to the server
	deadline dandeliongap.Instant
	ended    bool // the owner has the result
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
	timer    dandeliongap.Instant // dggate.Never: not set
}

// submit passes an attempt that arrived from its entry VM to the gate.
func (o *ownedReplica) submit(att *attempt) {
	o.attempts[att.action.ID] = att
	a := &att.action
	o.applyActions(o.gate.Submit(o.sim.now, dggate.Request{ID: a.ID, Class: a.Class, Index: a.Index, Deadline: a.Deadline}, o.actions[:0]))
}

func (o *ownedReplica) cancel(id dandeliongap.SubID) {
	o.applyActions(o.gate.Cancel(o.sim.now, id, o.actions[:0]))
}

// setZoneOut sets whether the gate treats the zone of the replica as out.
func (o *ownedReplica) setZoneOut(out bool) {
	o.applyActions(o.gate.SetZoneOut(o.sim.now, out, o.actions[:0]))
}

// tick runs the due timer of the gate. It ignores an event that was scheduled for
// an earlier setting of the timer.
func (o *ownedReplica) tick() {
	if o.sim.now < o.timer {
		return
	}
	o.timer = dggate.Never
	o.applyActions(o.gate.Tick(o.sim.now, o.actions[:0]))
}

// applyActions carries out the actions of the gate and sets its timer.
func (o *ownedReplica) applyActions(actions []dggate.Action) {
	for i := range actions {
		o.perform(&actions[i])
	}
	o.actions = actions[:0]
	next := o.gate.Next()
	if next == dggate.Never {
		return
	}
	next = max(next, o.sim.now.Add(minGateTimer))
	if next < o.timer {
		o.timer = next
		o.sim.schedule(next, o.tick)
	}
}

func (o *ownedReplica) perform(a *dggate.Action) {
	att := o.attempts[a.ID]
	if att == nil {
		return
	}
	if o.sim.out != nil {
		o.sim.trace("%s %s request=%s replica=%s state=%q reason=%q", a.Rule, a.Kind, formatAttemptID(a.ID), o.replica.ID, o.gate.State(), a.Reason)
	}
	zone := o.replica.Zone
	switch a.Kind {
	case dggate.Dispatch:
		now := o.sim.now
		att.sent, att.deadline = now, a.Deadline
		o.sim.schedule(o.sim.after(o.sim.delay(zone, zone)), func() { o.server.receive(att, now) })
	case dggate.Refuse:
		delete(o.attempts, a.ID)
		att.ended = true
		o.sendAnswer(att, dgfanout.Answer{Status: dandeliongap.SubNotRun, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case dggate.CancelInFlight:
		o.sim.schedule(o.sim.after(o.sim.delay(zone, zone)), func() { o.server.cancel(att) })
	}
}

// handleResult passes the result of a dispatched attempt to the gate and to the
// entry VM. It ignores the result of an attempt that has already ended.
func (o *ownedReplica) handleResult(att *attempt, res dggate.Result) {
	if att.ended {
		return
	}
	att.ended = true
	delete(o.attempts, att.action.ID)
	res.Latency = o.sim.now.Sub(att.sent)
	actions := o.gate.Done(o.sim.now, att.action.ID, res, o.actions[:0])
	o.sendAnswer(att, dgfanout.Answer{Status: res.Status, Reason: res.Reason, RetryAfter: res.RetryAfter})
	o.applyActions(actions)
}

// sendAnswer sends the result of an attempt to its entry VM.
func (o *ownedReplica) sendAnswer(att *attempt, ans dgfanout.Answer) {
	ans.ID, ans.Replica, ans.Load = att.action.ID, att.action.Replica, o.gate.Load()
	if ans.Status == dandeliongap.SubAnswered {
		ans.Index = att.action.Index
		ans.Parsed = &o.sim.bodies[att.action.ID.Shard]
	}
	o.sim.deliver(o.owner, att.search.vm, func() { att.search.vm.handleAnswer(att.search, ans) })
}
