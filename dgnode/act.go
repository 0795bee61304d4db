package dgnode

import (
	"context"
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dgonce"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
)

// settleLimit bounds the work on an idempotency record after the caller was
// told the outcome.
const settleLimit = 30 * time.Second

// actor runs requests that may not be repeated.
type actor struct {
	clock clock
	vm    dandeliongap.VMName
	entry *entry
	store dandeliongap.ObjectStore
	log   *log.Logger
	// platform counts the result of a call to the platform.
	platform func(error)
	wg       conc.WaitGroup
}

// actResult is what the caller is told.
type actResult struct {
	outcome    dandeliongap.Outcome
	reason     dandeliongap.Reason
	retryAfter time.Duration
	body       []byte
}

// run returns when the caller can be told the outcome. The record is finished in
// the background; close waits for it.
func (a *actor) run(ctx context.Context, req dgonce.Request, class dandeliongap.Class) actResult {
	req.VM = a.vm
	req.AttemptID = fmt.Sprintf("%016x-%d", a.entry.incarnation, a.entry.numbers.Add(1))
	m := &machine{
		a:      a,
		ctx:    ctx,
		req:    req,
		class:  class,
		events: make(chan func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action, 1),
		result: make(chan actResult, 1),
	}
	a.wg.Go(m.run)
	return <-m.result
}

// machine drives one request that may not be repeated.
type machine struct {
	a      *actor
	ctx    context.Context
	req    dgonce.Request
	class  dandeliongap.Class
	once   dgonce.Once
	events chan func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action
	result chan actResult
}

func (m *machine) run() {
	limit := m.a.clock.wall(m.req.Deadline).Add(settleLimit)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	m.perform(ctx, m.once.Start(m.a.clock.now(), m.req, nil))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	hangUp := m.ctx.Done()
	for !m.once.Settled() && ctx.Err() == nil {
		if next := m.once.Next(); next != dgonce.Never {
			timer.Reset(max(next.Sub(m.a.clock.now()), 0))
		}
		select {
		case event := <-m.events:
			m.perform(ctx, event(m.a.clock.now(), nil))
		case <-timer.C:
			m.perform(ctx, m.once.Tick(m.a.clock.now(), nil))
		case <-hangUp:
			hangUp = nil
			m.perform(ctx, m.once.Abandon(m.a.clock.now(), dandeliongap.ReasonCancelled, nil))
		case <-ctx.Done():
		}
	}
}

func (m *machine) perform(ctx context.Context, actions []dgonce.Action) {
	for _, act := range actions {
		m.a.log.Info("idempotency", "Rule", act.Rule, "Choice", act.Kind, "Service", m.req.Service, "Attempt", m.req.AttemptID,
			"Outcome", act.Outcome, "Reason", act.Reason, "IfVersion", act.IfVersion)
		switch act.Kind {
		case dgonce.Put:
			m.async(func() event { return m.put(ctx, act) })
		case dgonce.Get:
			m.async(func() event { return m.get(ctx, act) })
		case dgonce.Run:
			m.async(func() event { return m.send(act) })
		case dgonce.Finish:
			m.result <- actResult{outcome: act.Outcome, reason: act.Reason, retryAfter: act.RetryAfter, body: act.Body}
		}
	}
}

type event = func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action

// async runs one call; at most one is under way at a time, so that the channel
// never blocks.
func (m *machine) async(call func() event) {
	m.a.wg.Go(func() { m.events <- call() })
}

func (m *machine) put(ctx context.Context, act dgonce.Action) event {
	v, err := m.a.store.Put(ctx, act.Name, act.Body, act.IfVersion)
	m.a.platform(err)
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return m.once.PutDone(now, v, err, dst)
	}
}

func (m *machine) get(ctx context.Context, act dgonce.Action) event {
	obj, err := m.a.store.Get(ctx, act.Name)
	m.a.platform(err)
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return m.once.GetDone(now, obj, err, dst)
	}
}

// send runs the request at a backend server. The caller's hang-up does not
// cancel it, so that its outcome can be recorded.
func (m *machine) send(act dgonce.Action) event {
	r := m.a.entry.run(context.Background(), dgfanout.Request{
		Service:       m.req.Service,
		Class:         m.class,
		NonIdempotent: true,
		Key:           m.req.Key,
		Deadline:      act.Deadline,
	}, m.req.Body)
	var body []byte
	if len(r.Accepted) > 0 {
		body = r.Accepted[0].Raw
	}
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return m.once.RunDone(now, r.Outcome, r.Reason, r.RetryAfter, body, dst)
	}
}
