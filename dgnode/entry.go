package dgnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dgpeer"
	"dandeliongap.example/dandeliongap/dgwire"
)

// entry runs the queries that callers send to this VM: it sends their
// sub-requests to the owners of the replicas and collects the answers.
type entry struct {
	clock       clock
	incarnation uint64
	view        *atomic.Pointer[dandeliongap.View]
	gates       *gates
	peers       *dgpeer.Sender
	decisions   *decisionLog
	stats       *stats

	lastNumber atomic.Uint64 // last number given to a query or to an attempt id of an action
	mailboxes  mailboxes

	mu      sync.Mutex // guards planner and rng
	planner dgfanout.Planner
	rng     *rand.Rand
}

// run executes one query and returns its result. The end of ctx means that the
// caller has disconnected.
func (e *entry) run(ctx context.Context, req dgfanout.Request, body []byte) dgfanout.Result {
	req.Entry = e.incarnation
	req.Number = e.lastNumber.Add(1)
	box := e.mailboxes.open(req.Number)
	defer e.mailboxes.close(req.Number)
	d := &queryDriver{e: e, req: req, body: body, box: box}
	return d.run(ctx)
}

// queryDriver executes one query.
type queryDriver struct {
	e    *entry
	req  dgfanout.Request
	body []byte
	box  *mailbox
	view *dandeliongap.View // loaded anew for each event
	q    *dgfanout.Query

	started dandeliongap.Instant

	actions []dgfanout.Action // those of the current event
	spare   []dgfanout.Answer // memory that the mailbox reuses
}

func (d *queryDriver) run(ctx context.Context) dgfanout.Result {
	d.started = d.e.clock.now()
	d.decide(func(now dandeliongap.Instant) {
		d.q, d.actions = d.e.planner.Start(now, d.view, d.req, d.e.rng, d.actions)
	})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.q.Done() {
		timer.Reset(max(d.q.NextTick().Sub(d.e.clock.now()), 0))
		select {
		case <-d.box.ready:
			d.handleAnswers()
		case <-timer.C:
			d.decide(func(now dandeliongap.Instant) {
				d.actions = d.e.planner.Tick(now, d.view, d.q, d.e.rng, d.actions)
			})
		case <-ctx.Done():
			d.decide(func(now dandeliongap.Instant) {
				d.actions = d.e.planner.HandleDisconnect(now, d.q, d.actions)
			})
		}
	}
	return d.q.Result()
}

// handleAnswers passes the answers in the mailbox to the planner.
func (d *queryDriver) handleAnswers() {
	answers := d.box.take(d.spare)
	d.spare = answers
	if !d.req.NonIdempotent {
		parseBodies(answers)
	}
	for i := range answers {
		d.decide(func(now dandeliongap.Instant) {
			d.actions = d.e.planner.HandleAnswer(now, d.view, d.q, answers[i], d.e.rng, d.actions)
		})
	}
}

// parseBodies decodes the bodies of answers. It runs outside of the planner's lock,
// which all queries of this VM share.
func parseBodies(answers []dgfanout.Answer) {
	for i := range answers {
		if answers[i].Status != dandeliongap.SubAnswered {
			continue
		}
		body, err := dgfanout.ParseBody(answers[i].Body)
		if err == nil {
			answers[i].Parsed = &body
		}
	}
}

// decide handles one event under the planner's lock and then carries out the
// actions that the planner returned.
func (d *queryDriver) decide(event func(now dandeliongap.Instant)) {
	d.view = d.e.view.Load()
	d.actions = d.actions[:0]
	d.e.mu.Lock()
	event(d.e.clock.now())
	d.e.mu.Unlock()
	for i := range d.actions {
		d.perform(&d.actions[i])
	}
}

func (d *queryDriver) perform(a *dgfanout.Action) {
	d.logDecision(a)
	switch a.Kind {
	case dgfanout.Send:
		d.send(a)
	case dgfanout.Cancel:
		d.cancel(a)
	}
}

func (d *queryDriver) send(a *dgfanout.Action) {
	if a.Owner == d.view.Self {
		d.sendLocal(a)
		return
	}
	d.e.stats.remote.Add(1)
	d.e.peers.Submit(d.view.Members[a.Owner].PeerAddress, &dgwire.SubRequest{
		Id:             dgwire.FromSubID(a.ID),
		Replica:        string(a.Replica),
		Class:          dgwire.FromClass(a.Class),
		Index:          uint64(a.Index),
		Action:         d.req.NonIdempotent,
		Key:            string(d.req.Key),
		DeadlineUnixMs: d.e.clock.wall(a.Deadline).UnixMilli(),
	}, d.body)
}

func (d *queryDriver) sendLocal(a *dgfanout.Action) {
	id, replica, box := a.ID, a.Replica, d.box
	d.e.stats.local.Add(1)
	put := func(answer dandeliongap.BackendAnswer, load dandeliongap.ReplicaLoad) {
		box.put(newAnswer(id, replica, answer, load))
	}
	g := d.e.gates.get(a.Replica)
	if g == nil {
		put(dandeliongap.BackendAnswer{
			Status: dandeliongap.SubNotRun,
			Reason: dandeliongap.ReasonNotOwner,
		}, dandeliongap.ReplicaLoad{})
		return
	}
	g.submit(&attempt{
		req: dandeliongap.BackendRequest{
			ID:     a.ID,
			Class:  a.Class,
			Index:  a.Index,
			Action: d.req.NonIdempotent,
			Key:    d.req.Key,
			Body:   d.body,
		},
		reply: put,
	}, a.Class, a.Deadline)
}

func (d *queryDriver) cancel(a *dgfanout.Action) {
	if a.Owner != d.view.Self {
		d.e.peers.Cancel(d.view.Members[a.Owner].PeerAddress, a.ID, a.Replica)
		return
	}
	if g := d.e.gates.get(a.Replica); g != nil {
		g.cancel(a.ID)
	}
}

func (d *queryDriver) logDecision(a *dgfanout.Action) {
	if a.Kind != dgfanout.Finish {
		d.e.decisions.routing(a)
		return
	}
	r := d.q.Result()
	d.e.decisions.finish(a.Rule, &d.req, &r, d.e.clock.now().Sub(d.started))
}

// handleSubmitFailure ends a sub-request that could not be delivered to the owner of
// its replica. notRun means that it certainly did not run.
func (e *entry) handleSubmitFailure(id dandeliongap.SubID, replica dandeliongap.ReplicaID, notRun bool) {
	status := dandeliongap.SubUnknown
	if notRun {
		status = dandeliongap.SubNotRun
	}
	e.mailboxes.put(dgfanout.Answer{ID: id, Replica: replica, Status: status, Reason: dandeliongap.ReasonConnection})
}
