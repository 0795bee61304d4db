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
	d := &actionDriver{
		runner: a,
		ctx:    ctx,
		req:    req,
		class:  class,
		events: make(chan func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action, 1),
		result: make(chan actionResult, 1),
	}
	a.wg.Go(d.run)
	return <-d.result
}

// actionDriver executes one action: it connects the decisions of dgonce with the
// object store, the entry and the caller.
type actionDriver struct {
	runner *actionRunner
	ctx    context.Context // ends when the caller disconnects
	req    dgonce.Request
	class  dandeliongap.Class
	once   dgonce.Once
	events chan func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action
	result chan actionResult
}

func (d *actionDriver) run() {
	limit := d.runner.clock.wall(d.req.Deadline).Add(recordTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	d.perform(ctx, d.once.Start(d.runner.clock.now(), d.req, nil))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	disconnected := d.ctx.Done()
	for !d.once.Settled() && ctx.Err() == nil {
		if next := d.once.Next(); next != dgonce.Never {
			timer.Reset(max(next.Sub(d.runner.clock.now()), 0))
		}
		select {
		case event := <-d.events:
			d.perform(ctx, event(d.runner.clock.now(), nil))
		case <-timer.C:
			d.perform(ctx, d.once.Tick(d.runner.clock.now(), nil))
		case <-disconnected:
			disconnected = nil
			d.perform(ctx, d.once.Abandon(d.runner.clock.now(), dandeliongap.ReasonCancelled, nil))
		case <-ctx.Done():
		}
	}
}

func (d *actionDriver) perform(ctx context.Context, actions []dgonce.Action) {
	for _, act := range actions {
		d.runner.log.Info("idempotency", "Rule", act.Rule, "Choice", act.Kind, "Service", d.req.Service, "Attempt", d.req.AttemptID,
			"Outcome", act.Outcome, "Reason", act.Reason, "IfVersion", act.IfVersion)
		switch act.Kind {
		case dgonce.Put:
			d.async(func() event { return d.put(ctx, act) })
		case dgonce.Get:
			d.async(func() event { return d.get(ctx, act) })
		case dgonce.Run:
			d.async(func() event { return d.send(act) })
		case dgonce.Finish:
			d.result <- actionResult{outcome: act.Outcome, reason: act.Reason, retryAfter: act.RetryAfter, body: act.Body}
		}
	}
}

// event passes the result of one call to dgonce and returns the actions that follow.
type event = func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action

// async runs one call in the background and queues its event. At most one call is in
// progress at a time, so sending to the channel never blocks.
func (d *actionDriver) async(call func() event) {
	d.runner.wg.Go(func() { d.events <- call() })
}

func (d *actionDriver) put(ctx context.Context, act dgonce.Action) event {
	v, err := d.runner.store.Put(ctx, act.Name, act.Body, act.IfVersion)
	d.runner.recordPlatformCall(err)
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return d.once.PutDone(now, v, err, dst)
	}
}

func (d *actionDriver) get(ctx context.Context, act dgonce.Action) event {
	obj, err := d.runner.store.Get(ctx, act.Name)
	d.runner.recordPlatformCall(err)
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return d.once.GetDone(now, obj, err, dst)
	}
}

// send runs the request at a backend server. It continues if the caller
// disconnects, so that its outcome can be recorded.
func (d *actionDriver) send(act dgonce.Action) event {
	r := d.runner.entry.run(context.Background(), dgfanout.Request{
		Service:       d.req.Service,
		Class:         d.class,
		NonIdempotent: true,
		Key:           d.req.Key,
		Deadline:      act.Deadline,
	}, d.req.Body)
	var body []byte
	if len(r.Accepted) > 0 {
		body = r.Accepted[0].Raw
	}
	return func(now dandeliongap.Instant, dst []dgonce.Action) []dgonce.Action {
		return d.once.RunDone(now, r.Outcome, r.Reason, r.RetryAfter, body, dst)
	}
}
