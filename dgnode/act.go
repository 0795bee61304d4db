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

// recordTimeout bounds the work on an idempotency record after the request's
// deadline.
const recordTimeout = 30 * time.Second

// actionRunner runs actions: requests that must not run twice.
type actionRunner struct {
	clock clock
	vm    dandeliongap.VMName
	entry *entry
	store dandeliongap.ObjectStore
	log   *log.Logger
	// recordPlatformCall counts a call to the platform and records whether the
	// platform answered.
	recordPlatformCall func(error)
	wg                 conc.WaitGroup
}

// actionResult is the outcome that the caller receives.
type actionResult struct {
	outcome    dandeliongap.Outcome
	reason     dandeliongap.Reason
	retryAfter time.Duration
	body       []byte
}

// run returns the outcome of a request as soon as it is known. The idempotency
// record is completed in the background; Node.Close waits for wg, unless it cuts
// requests off.
func (a *actionRunner) run(ctx context.Context, req dgonce.Request, class dandeliongap.Class) actionResult {
	req.VM = a.vm
	req.AttemptID = fmt.Sprintf("%016x-%d", a.entry.incarnation, a.entry.lastNumber.Add(1))
	m := &actionDriver{
		a:      a,
		ctx:    ctx,
		req:    req,
		class:  class,
		events: make(chan func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action, 1),
		result: make(chan actionResult, 1),
	}
	a.wg.Go(m.run)
	return <-m.result
}

// actionDriver executes one action: it connects the decisions of dgonce with the
// object store, the entry and the caller.
type actionDriver struct {
	a      *actionRunner
	ctx    context.Context
	req    dgonce.Request
	class  dandeliongap.Class
	once   dgonce.Once
	events chan func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action
	result chan actionResult
}

func (m *actionDriver) run() {
	limit := m.a.clock.wall(m.req.Deadline).Add(recordTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	m.perform(ctx, m.once.Start(m.a.clock.now(), m.req, nil))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	disconnected := m.ctx.Done()
	for !m.once.Settled() && ctx.Err() == nil {
		if next := m.once.Next(); next != dgonce.Never {
			timer.Reset(max(next.Sub(m.a.clock.now()), 0))
		}
		select {
		case event := <-m.events:
			m.perform(ctx, event(m.a.clock.now(), nil))
		case <-timer.C:
			m.perform(ctx, m.once.Tick(m.a.clock.now(), nil))
		case <-disconnected:
			disconnected = nil
			m.perform(ctx, m.once.Abandon(m.a.clock.now(), dandeliongap.ReasonCancelled, nil))
		case <-ctx.Done():
		}
	}
}

func (m *actionDriver) perform(ctx context.Context, actions []dgonce.Action) {
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
			m.result <- actionResult{outcome: act.Outcome, reason: act.Reason, retryAfter: act.RetryAfter, body: act.Body}
		}
	}
}

type event = func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action

// async runs one call in the background and queues its event. At most one call is in
// progress at a time, so sending to the channel never blocks.
func (m *actionDriver) async(call func() event) {
	m.a.wg.Go(func() { m.events <- call() })
}

func (m *actionDriver) put(ctx context.Context, act dgonce.Action) event {
	v, err := m.a.store.Put(ctx, act.Name, act.Body, act.IfVersion)
	m.a.recordPlatformCall(err)
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return m.once.PutDone(now, v, err, dst)
	}
}

func (m *actionDriver) get(ctx context.Context, act dgonce.Action) event {
	obj, err := m.a.store.Get(ctx, act.Name)
	m.a.recordPlatformCall(err)
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return m.once.GetDone(now, obj, err, dst)
	}
}

// send runs the request at a backend server. It continues if the caller
// disconnects, so that its outcome can be recorded.
func (m *actionDriver) send(act dgonce.Action) event {
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
