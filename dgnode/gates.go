package dgnode

import (
	"context"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
	"github.com/sourcegraph/conc"
)

// replyFunc receives the result of one attempt. It is called with the gate's lock
// held, so it must neither block nor call the gate.
type replyFunc func(dandeliongap.BackendAnswer, dandeliongap.ReplicaLoad)

// attempt is one sub-request that is queued at a gate or in flight.
type attempt struct {
	req    dandeliongap.BackendRequest
	reply  replyFunc
	cancel context.CancelFunc // nil until the attempt is dispatched
}

// gates holds one gate for each replica that this VM owns, waits to own or owned
// earlier.
type gates struct {
	clock     clock
	backend   dandeliongap.BackendClient
	decisions *decisionLog
	wg        conc.WaitGroup
	onDrained func(dandeliongap.ReplicaID) // called without any gate lock held

	mu          sync.RWMutex
	gates       map[dandeliongap.ReplicaID]*gate
	rightsUntil dandeliongap.Instant // when this VM's rights expire
	// rightsUntilWall is rightsUntil as wall-clock time. It is converted once, when
	// rightsUntil is set: the monotonic clock can stand still while a VM is
	// suspended, and a conversion after that would give a later time.
	rightsUntilWall time.Time
	closed          bool // rights are never extended again
}

func newGates(c clock, backend dandeliongap.BackendClient, l *decisionLog, drained func(dandeliongap.ReplicaID)) *gates {
	return &gates{
		clock:     c,
		backend:   backend,
		decisions: l,
		onDrained: drained,
		gates:     map[dandeliongap.ReplicaID]*gate{},
	}
}

// gate connects the admission decisions of one replica (dggate) with timers and
// the backend server.
type gate struct {
	gates *gates

	mu       sync.Mutex
	core     dggate.Gate
	replica  dandeliongap.Replica
	attempts map[dandeliongap.SubID]*attempt
	actions  []dggate.Action
	timer    *time.Timer
	revoking bool // revoked, but gates.onDrained was not called yet
}

// get returns the gate of a replica, or nil if there is none.
func (gs *gates) get(id dandeliongap.ReplicaID) *gate {
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	return gs.gates[id]
}

// configure returns the gate of a replica, which it creates if necessary, after
// applying the replica's settings and the state of its zone.
func (gs *gates) configure(r *dandeliongap.Replica, zoneOut bool) *gate {
	gs.mu.Lock()
	g := gs.gates[r.ID]
	if g == nil {
		g = &gate{gates: gs, attempts: map[dandeliongap.SubID]*attempt{}}
		g.timer = time.AfterFunc(time.Hour, g.tick)
		g.timer.Stop()
		gs.gates[r.ID] = g
	}
	gs.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.replica != *r {
		g.replica = *r
		g.core.Configure(*r)
	}
	g.performAll(g.core.SetZoneOut(gs.clock.now(), zoneOut, g.actions[:0]))
	return g
}

// all returns a snapshot of the gates.
func (gs *gates) all() []*gate {
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	all := make([]*gate, 0, len(gs.gates))
	for _, g := range gs.gates {
		all = append(all, g)
	}
	return all
}

// setRightsEnd sets when this VM's rights expire, for all replicas; 0 ends them
// at once.
func (gs *gates) setRightsEnd(end dandeliongap.Instant) {
	gs.mu.Lock()
	if gs.closed {
		end = 0
	}
	changed := gs.rightsUntil != end
	gs.rightsUntil = end
	if changed {
		gs.rightsUntilWall = gs.clock.wall(end).Round(0)
	}
	gs.mu.Unlock()
	if !changed {
		return
	}
	for _, g := range gs.all() {
		g.mu.Lock()
		g.core.SetRightsEnd(end)
		g.performAll(g.core.Tick(gs.clock.now(), g.actions[:0]))
		g.mu.Unlock()
	}
}

// deadline returns the wall-clock deadline of an attempt. It is never later than
// the end of the rights, so that a backend server refuses a request that is sent
// after a suspension (M5).
func (gs *gates) deadline(t dandeliongap.Instant) time.Time {
	wall := gs.clock.wall(t)
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	if wall.After(gs.rightsUntilWall) {
		return gs.rightsUntilWall
	}
	return wall
}

func (gs *gates) rightsEnd() dandeliongap.Instant {
	gs.mu.RLock()
	defer gs.mu.RUnlock()
	return gs.rightsUntil
}

// close ends all rights, so that no further attempt is sent, and waits for the
// attempts in flight.
func (gs *gates) close() {
	gs.mu.Lock()
	gs.closed = true
	gs.mu.Unlock()
	gs.setRightsEnd(0)
	gs.wg.Wait()
	for _, g := range gs.all() {
		g.mu.Lock()
		g.timer.Stop()
		g.mu.Unlock()
	}
}

// awaitGrant makes the gate queue requests until the replica is granted, because the
// placement table names this VM as its owner under epoch.
func (g *gate) awaitGrant(epoch dandeliongap.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Await(g.gates.clock.now(), epoch)
}

// refuseWaiting refuses the requests that wait for a grant, because the placement
// table assigned the replica to another VM before this VM was granted it. It does
// nothing if the replica is granted or still being revoked.
func (g *gate) refuseWaiting(epoch dandeliongap.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core.State() == dggate.NotHeld && !g.revoking {
		g.performAll(g.core.Revoke(g.gates.clock.now(), epoch, g.actions[:0]))
	}
}

func (g *gate) grant(epoch dandeliongap.Epoch, h dggate.Handover) {
	end := g.gates.rightsEnd()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoking = false
	g.core.SetRightsEnd(end)
	g.performAll(g.core.Grant(g.gates.clock.now(), epoch, h, g.actions[:0]))
}

// revoke ends the rights for the replica. gates.onDrained is called once no
// attempt is in flight.
func (g *gate) revoke(epoch dandeliongap.Epoch) {
	g.mu.Lock()
	g.revoking = true
	g.performAll(g.core.Revoke(g.gates.clock.now(), epoch, g.actions[:0]))
	drained := g.takeDrained()
	g.mu.Unlock()
	if drained {
		g.gates.onDrained(g.replica.ID)
	}
}

// takeDrained reports whether a revoked gate has no attempt left in flight. It
// returns true once for each revocation.
func (g *gate) takeDrained() bool {
	if !g.revoking || !g.core.Drained() {
		return false
	}
	g.revoking = false
	return true
}

func (g *gate) handover() dggate.Handover {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Handover()
}

func (g *gate) setDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.performAll(g.core.SetDraining(g.gates.clock.now(), draining, g.actions[:0]))
}

// state returns the state of the gate and the load of its replica.
func (g *gate) state() (dggate.State, dandeliongap.ReplicaLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.State(), g.core.Load()
}

// submit queues or dispatches one attempt. Its reply function is called exactly
// once, unless the gate already has an attempt with the same id: then the call is
// ignored.
func (g *gate) submit(attempt *attempt, class dandeliongap.Class, deadline dandeliongap.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.attempts[attempt.req.ID] != nil {
		return
	}
	g.attempts[attempt.req.ID] = attempt
	g.performAll(g.core.Submit(g.gates.clock.now(), dggate.Request{
		ID:            attempt.req.ID,
		Class:         class,
		NonIdempotent: attempt.req.Action,
		Index:         attempt.req.Index,
		Deadline:      deadline,
	}, g.actions[:0]))
}

func (g *gate) cancel(id dandeliongap.SubID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.performAll(g.core.Cancel(g.gates.clock.now(), id, g.actions[:0]))
}

func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.performAll(g.core.Tick(g.gates.clock.now(), g.actions[:0]))
}

// performAll carries out actions and resets the timer. g.mu must be held.
func (g *gate) performAll(actions []dggate.Action) {
	for i := range actions {
		g.perform(&actions[i])
	}
	g.actions = actions[:0]
	next := g.core.Next()
	if next == dggate.Never {
		g.timer.Stop()
		return
	}
	g.timer.Reset(max(next.Sub(g.gates.clock.now()), time.Millisecond))
}

func (g *gate) perform(a *dggate.Action) {
	attempt := g.attempts[a.ID]
	if attempt == nil {
		return
	}
	g.gates.decisions.admission(a, g.replica.ID, g.core.Load())
	switch a.Kind {
	case dggate.Dispatch:
		ctx, cancel := context.WithCancel(context.Background())
		attempt.cancel = cancel
		attempt.req.Deadline = g.gates.deadline(a.Deadline)
		replica := g.replica
		g.gates.wg.Go(func() { g.send(ctx, &replica, attempt) })
	case dggate.Refuse:
		delete(g.attempts, a.ID)
		attempt.reply(dandeliongap.BackendAnswer{
			Status:     dandeliongap.SubNotRun,
			Reason:     a.Reason,
			RetryAfter: a.RetryAfter,
		}, g.core.Load())
	case dggate.CancelInFlight:
		if attempt.cancel != nil {
			attempt.cancel()
		}
	}
}

// send sends one attempt to the backend server and handles its answer.
func (g *gate) send(ctx context.Context, r *dandeliongap.Replica, attempt *attempt) {
	started := g.gates.clock.now()
	answer := g.gates.backend.Send(ctx, r, &attempt.req)
	attempt.cancel()
	now := g.gates.clock.now()
	g.mu.Lock()
	delete(g.attempts, attempt.req.ID)
	actions := g.core.Done(now, attempt.req.ID, dggate.Result{
		Status:     answer.Status,
		Reason:     answer.Reason,
		Cold:       answer.Cold,
		Draining:   answer.Draining,
		RetryAfter: answer.RetryAfter,
		Latency:    now.Sub(started),
		Index:      answer.Index,
	}, g.actions[:0])
	attempt.reply(answer, g.core.Load())
	g.performAll(actions)
	drained := g.takeDrained()
	g.mu.Unlock()
	if drained {
		g.gates.onDrained(g.replica.ID)
	}
}

// configuredReplica returns the replica with its settings from the
// configuration.
func (g *gate) configuredReplica() dandeliongap.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replica
}
