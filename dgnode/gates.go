package dgnode

import (
	"context"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
	"github.com/sourcegraph/conc"
)

// reply takes the result of one attempt. It must not block or call the gate.
type reply func(dandeliongap.BackendAnswer, dandeliongap.ReplicaLoad)

// work is one attempt that waits or runs at a gate.
type work struct {
	req    dandeliongap.BackendRequest
	reply  reply
	cancel context.CancelFunc // of a dispatched attempt
}

// gates holds one gate per replica that this VM has rights for or once had.
type gates struct {
	clock     clock
	backend   dandeliongap.BackendClient
	decisions *decisionLog
	wg        conc.WaitGroup
	drained   func(dandeliongap.ReplicaID) // called outside of gate locks

	mu     sync.RWMutex
	gates  map[dandeliongap.ReplicaID]*gate
	rights dandeliongap.Instant // end of this VM's rights
	// rightsWall is the same end by the wall clock of the moment when it was
	// set. Monotonic clocks can stand still while a VM is suspended.
	rightsWall time.Time
	closed     bool // there are no rights any more
}

func newGates(c clock, backend dandeliongap.BackendClient, l *decisionLog, drained func(dandeliongap.ReplicaID)) *gates {
	return &gates{
		clock:     c,
		backend:   backend,
		decisions: l,
		drained:   drained,
		gates:     map[dandeliongap.ReplicaID]*gate{},
	}
}

// gate drives the decisions of one replica.
type gate struct {
	owner *gates

	mu       sync.Mutex
	decide   dggate.Gate
	replica  dandeliongap.Replica
	work     map[dandeliongap.SubID]*work
	actions  []dggate.Action
	timer    *time.Timer
	revoking bool
}

// get returns the gate of a replica, nil if there is none.
func (gs *gates) get(id dandeliongap.ReplicaID) *gate {
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	return gs.gates[id]
}

// configure returns the gate of a replica with its present limits.
func (gs *gates) configure(r *dandeliongap.Replica, zoneOut bool) *gate {
	gs.mu.Lock()
	g := gs.gates[r.ID]
	if g == nil {
		g = &gate{owner: gs, work: map[dandeliongap.SubID]*work{}}
		g.timer = time.AfterFunc(time.Hour, g.tick)
		g.timer.Stop()
		gs.gates[r.ID] = g
	}
	gs.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.replica != *r {
		g.replica = *r
		g.decide.Configure(*r)
	}
	g.settle(g.decide.SetZoneOut(gs.clock.now(), zoneOut, g.actions[:0]))
	return g
}

// all returns the gates at this moment.
func (gs *gates) all() []*gate {
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	all := make([]*gate, 0, len(gs.gates))
	for _, g := range gs.gates {
		all = append(all, g)
	}
	return all
}

// setRights extends or ends this VM's rights for all replicas.
func (gs *gates) setRights(end dandeliongap.Instant) {
	gs.mu.Lock()
	if gs.closed {
		end = 0
	}
	changed := gs.rights != end
	gs.rights = end
	if changed {
		gs.rightsWall = gs.clock.wall(end).Round(0)
	}
	gs.mu.Unlock()
	if !changed {
		return
	}
	for _, g := range gs.all() {
		g.mu.Lock()
		g.decide.SetRightsEnd(end)
		g.settle(g.decide.Tick(gs.clock.now(), g.actions[:0]))
		g.mu.Unlock()
	}
}

// deadline returns the wall-clock deadline of an attempt, at most the end of the
// rights, so that a backend server refuses what is sent after a suspension (M5).
func (gs *gates) deadline(t dandeliongap.Instant) time.Time {
	wall := gs.clock.wall(t)
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	if wall.After(gs.rightsWall) {
		return gs.rightsWall
	}
	return wall
}

func (gs *gates) rightsEnd() dandeliongap.Instant {
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	return gs.rights
}

// close ends all rights, so that nothing more is sent, and waits for the attempts
// under way.
func (gs *gates) close() {
	gs.mu.Lock()
	gs.closed = true
	gs.mu.Unlock()
	gs.setRights(0)
	gs.wg.Wait()
	for _, g := range gs.all() {
		g.mu.Lock()
		g.timer.Stop()
		g.mu.Unlock()
	}
}

// await queues requests until grant, because the placement row names this VM.
func (g *gate) await(epoch dandeliongap.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide.Await(g.owner.clock.now(), epoch)
}

// giveUp refuses what waits for rights that go to another VM before this one
// had them.
func (g *gate) giveUp(epoch dandeliongap.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.decide.State() == dggate.NotHeld && !g.revoking {
		g.settle(g.decide.Revoke(g.owner.clock.now(), epoch, g.actions[:0]))
	}
}

func (g *gate) grant(epoch dandeliongap.Epoch, h dggate.Handover) {
	end := g.owner.rightsEnd()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoking = false
	g.decide.SetRightsEnd(end)
	g.settle(g.decide.Grant(g.owner.clock.now(), epoch, h, g.actions[:0]))
}

// revoke ends the rights; gates.drained is called when nothing is in flight.
func (g *gate) revoke(epoch dandeliongap.Epoch) {
	g.mu.Lock()
	g.revoking = true
	g.settle(g.decide.Revoke(g.owner.clock.now(), epoch, g.actions[:0]))
	drained := g.takeDrained()
	g.mu.Unlock()
	if drained {
		g.owner.drained(g.replica.ID)
	}
}

// takeDrained reports once that a revoked gate has nothing in flight.
func (g *gate) takeDrained() bool {
	if !g.revoking || !g.decide.Drained() {
		return false
	}
	g.revoking = false
	return true
}

func (g *gate) handover() dggate.Handover {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decide.Handover()
}

func (g *gate) setDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.decide.SetDraining(g.owner.clock.now(), draining, g.actions[:0]))
}

// state returns the state and the mark of the replica.
func (g *gate) state() (dggate.State, dandeliongap.ReplicaLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decide.State(), g.decide.Load()
}

// offer submits one attempt. reply is called exactly once, unless an attempt
// with the same id is here already: then the call is ignored.
func (g *gate) offer(w *work, class dandeliongap.Class, deadline dandeliongap.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.work[w.req.ID] != nil {
		return
	}
	g.work[w.req.ID] = w
	g.settle(g.decide.Submit(g.owner.clock.now(), dggate.Request{
		ID:            w.req.ID,
		Class:         class,
		NonIdempotent: w.req.Action,
		Index:         w.req.Index,
		Deadline:      deadline,
	}, g.actions[:0]))
}

func (g *gate) cancel(id dandeliongap.SubID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.decide.Cancel(g.owner.clock.now(), id, g.actions[:0]))
}

func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.decide.Tick(g.owner.clock.now(), g.actions[:0]))
}

// settle carries out actions and sets the timer. The lock is held.
func (g *gate) settle(actions []dggate.Action) {
	for i := range actions {
		g.perform(&actions[i])
	}
	g.actions = actions[:0]
	next := g.decide.Next()
	if next == dggate.Never {
		g.timer.Stop()
		return
	}
	g.timer.Reset(max(next.Sub(g.owner.clock.now()), time.Millisecond))
}

func (g *gate) perform(a *dggate.Action) {
	w := g.work[a.ID]
	if w == nil {
		return
	}
	g.owner.decisions.admission(a, g.replica.ID, g.decide.Load())
	switch a.Kind {
	case dggate.Dispatch:
		ctx, cancel := context.WithCancel(context.Background())
		w.cancel = cancel
		w.req.Deadline = g.owner.deadline(a.Deadline)
		replica := g.replica
		g.owner.wg.Go(func() { g.send(ctx, &replica, w) })
	case dggate.Refuse:
		delete(g.work, a.ID)
		w.reply(dandeliongap.BackendAnswer{
			Status:     dandeliongap.SubNotRun,
			Reason:     a.Reason,
			RetryAfter: a.RetryAfter,
		}, g.decide.Load())
	case dggate.CancelInFlight:
		if w.cancel != nil {
			w.cancel()
		}
	}
}

// send runs one attempt at the backend server.
func (g *gate) send(ctx context.Context, r *dandeliongap.Replica, w *work) {
	started := g.owner.clock.now()
	answer := g.owner.backend.Send(ctx, r, &w.req)
	w.cancel()
	now := g.owner.clock.now()
	g.mu.Lock()
	delete(g.work, w.req.ID)
	actions := g.decide.Done(now, w.req.ID, dggate.Result{
		Status:     answer.Status,
		Reason:     answer.Reason,
		Cold:       answer.Cold,
		Draining:   answer.Draining,
		RetryAfter: answer.RetryAfter,
		Latency:    now.Sub(started),
		Index:      answer.Index,
	}, g.actions[:0])
	w.reply(answer, g.decide.Load())
	g.settle(actions)
	drained := g.takeDrained()
	g.mu.Unlock()
	if drained {
		g.owner.drained(g.replica.ID)
	}
}

// describe returns the replica as the configuration describes it.
func (g *gate) describe() dandeliongap.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replica
}
