package dgedge

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgbalance"
	"dandeliongap.example/dandeliongap/dggather"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
)

// budgetRetryDelay is how long an extra request waits before it is tried again when the
// budget does not allow it.
const budgetRetryDelay = 20 * time.Millisecond

// cancelGrace is how long outstanding attempts may continue after the request has ended.
// The connections of those that end in time can be reused. Canceling the others frees
// their slots at the replicas for requests that still wait.
const cancelGrace = 20 * time.Millisecond

// freePartBytes is the size up to which the parts of an answer do not count towards the
// memory account.
const freePartBytes = 8 << 10

// attempt is one attempt at the sub-request to a shard, sent to one replica.
type attempt struct {
	shard      int
	extra      bool // retry or hedge, charged to the budget
	assignment dgbalance.Assignment
	call       dgbackend.Call
	ended      bool // its result has been handled
}

// result is the outcome of an attempt.
type result struct {
	attempt *attempt
	reply   dgbackend.Reply
}

// execution is the state of a request in progress.
type execution struct {
	e      *Edge
	req    *request
	gather *dggather.Gather
	inbox  *inbox
	places *reservation

	attempts     []*attempt
	firstCounted []bool          // by shard: its first request has been counted in the budget
	conn         *callerConn     // of the caller; nil if it is not counted
	parts        [][]byte        // bodies to merge
	partBytes    int64           // of parts
	stamps       []string        // stamp header of each part
	response     dgbackend.Reply // accepted response to a request without shards
	fallback     dgbackend.Reply // error response of a replica, passed on if no attempt succeeds
	sends        []dggather.Send // buffer reused by Step
	extras       int
	noBudget     int // number of times the budget did not allow an extra request
	verdict      dggather.Verdict
	interrupted  bool   // ended by Drain
	lastFailure  string // reason for the last failed attempt
}

// execute sends a request to replicas and writes the response.
func (e *Edge) execute(ctx *fasthttp.RequestCtx, req *request, active *activeRequest, places *reservation) {
	e.mu.Lock()
	typical := e.balancer.TypicalLatency(req.route.Name, 0)
	e.mu.Unlock()
	ex := &execution{
		e: e, req: req,
		gather:       dggather.New(dggather.Options{Route: req.route, Shards: req.shards, Arrived: req.arrived, Deadline: req.deadline, TypicalLatency: typical}),
		inbox:        newInbox(),
		places:       places,
		firstCounted: make([]bool, len(req.shards)),
	}
	ex.conn, _ = ctx.Conn().(*callerConn)
	disconnected := !ex.loop(active)
	ex.inbox.close()
	switch {
	case disconnected:
		if req.route.Idempotent {
			ex.cancelAttempts() // a request that is not idempotent must not be interrupted
		}
		ctx.SetConnectionClose()
	case ex.interrupted && !req.route.Idempotent:
		// The attempt may run on until the process ends.
	case ex.gather.Outstanding() > 0:
		time.AfterFunc(cancelGrace, ex.cancelAttempts)
	}
	if req.hasToken && (ex.verdict == dggather.NotRun || len(ex.attempts) == 0) {
		e.quotas.giveBack(req.token)
	}
	ex.writeResponse(ctx)
	ex.releaseResponses()
	took := e.now().Sub(req.arrived)
	ex.finish(ctx.Response.StatusCode(), took, disconnected)
}

// loop runs the request until there is a verdict or Drain ends it. It returns false if the
// caller has disconnected.
func (ex *execution) loop(active *activeRequest) bool {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		var wake dandeliongap.Instant
		now := ex.e.now()
		ex.sends, ex.verdict, wake = ex.gather.Step(now, ex.sends[:0])
		if ex.verdict != dggather.InProgress {
			return true
		}
		if len(ex.sends) > 0 {
			for _, s := range ex.sends {
				ex.send(s)
			}
			continue
		}
		t.Reset(max(0, wake.Sub(now)))
		select {
		case <-ex.inbox.arrived:
			for _, r := range ex.inbox.take() {
				ex.handleResult(r)
			}
		case <-t.C:
		case <-active.disconnected:
			return false
		case <-ex.e.endRequests:
			for _, r := range ex.inbox.take() {
				ex.handleResult(r)
			}
			ex.verdict, ex.interrupted = ex.gather.Interrupt(), true
			return true
		}
	}
}

// send starts an attempt, or tells ex.gather when to try again if the budget or the
// balancer does not allow one.
func (ex *execution) send(s dggather.Send) {
	e, service := ex.e, ex.req.shards[s.Shard]
	now := e.now()
	if !ex.places.start(!s.Extra) {
		e.stats.add("NoPlace")
		ex.gather.AttemptNotStarted(s.Shard, now.Add(budgetRetryDelay))
		return
	}
	e.mu.Lock()
	if s.Extra && !e.budget.Reserve(now, service) {
		e.mu.Unlock()
		ex.places.end(true)
		e.stats.add("NoBudget")
		ex.noBudget++
		ex.gather.AttemptNotStarted(s.Shard, now.Add(budgetRetryDelay))
		return
	}
	assignment, retryAt, err := e.balancer.PickAmong(now, ex.req.route.Name, service, e.rolloutGroups(now, service, s.Extra), ex.gather.ExcludedReplicas(s.Shard), ex.gather.FailedReplicas(s.Shard))
	switch {
	case err != nil && s.Extra:
		e.budget.Release(now, service)
	case err == nil && !s.Extra && !ex.firstCounted[s.Shard]:
		ex.firstCounted[s.Shard] = true
		e.budget.CountFirst(now, service)
	}
	if err == nil {
		e.rolloutSent(&assignment.Instance)
	}
	e.mu.Unlock()
	if err != nil {
		ex.places.end(true)
		ex.gather.AttemptNotStarted(s.Shard, retryAt)
		return
	}
	a := &attempt{shard: s.Shard, extra: s.Extra, assignment: assignment}
	ex.attempts = append(ex.attempts, a)
	ex.gather.AttemptStarted(now, s.Shard, assignment.Instance.ID, assignment.Probe)
	e.stats.add("Attempts")
	e.attempts.Add(1)
	if s.Extra {
		ex.extras++
		e.stats.add("Extra")
		e.log.request("extra", ex.req.id).Str("Rule", "G2").Str("Service", string(service)).Str("Replica", string(assignment.Instance.ID)).
			Float64("Cost", assignment.Cost).Int("Usable", assignment.Candidates).Dur("After", now.Sub(ex.req.arrived)).Send()
	}
	go ex.runAttempt(a)
}

// runAttempt sends the request to the assigned replica and reports the outcome to the
// balancer and to loop.
func (ex *execution) runAttempt(a *attempt) {
	e := ex.e
	deadline := e.start.Add(time.Duration(ex.req.deadline))
	var reply dgbackend.Reply
	if r := panics.Try(func() { reply = e.forward.Send(&a.call, &a.assignment.Instance, ex.req.forward, deadline) }); r != nil {
		e.log.event("panic").Str("Request", ex.req.id).Str("Value", r.String()).Send()
		reply = dgbackend.Reply{Err: r.AsError()}
	}
	ex.places.end(reply.Kind != dgbackend.ReplyAnswered)
	now := e.now()
	e.mu.Lock()
	hint := e.balancer.Heed(now, &a.assignment.Instance, dgbalance.Hints{Leaving: reply.Leaving, RetryAfter: reply.RetryAfter})
	outcome := ex.classify(&reply, now)
	change := e.balancer.Done(now, ex.req.route.Name, &a.assignment, outcome)
	ex.rolloutEnded(now, a, &reply, outcome)
	if reply.Kind == dgbackend.ReplyNotSent && a.extra {
		e.budget.Release(a.assignment.Start, ex.req.shards[a.shard])
	}
	e.mu.Unlock()
	e.logReplicaChange(change, a, &reply)
	e.logReplicaChange(hint, a, &reply)
	ex.inbox.put(result{a, reply})
}

// logReplicaChange logs that the outcome of an attempt changed the state of its replica.
func (e *Edge) logReplicaChange(change dgbalance.Change, a *attempt, reply *dgbackend.Reply) {
	var msg, rule string
	switch change {
	case dgbalance.WentDown:
		msg, rule = "replica down", "R5"
	case dgbalance.Recovered:
		msg, rule = "replica back", "R5"
	case dgbalance.AddressReassigned:
		msg, rule = "replica moved", "R8"
	case dgbalance.StartedLeaving:
		msg, rule = "replica leaving", "R9"
	case dgbalance.Paused:
		msg, rule = "replica paused", "R10"
	default:
		return
	}
	e.log.event(msg).Str("Rule", rule).Str("Service", string(a.assignment.Instance.Service)).Str("Replica", string(a.assignment.Instance.ID)).
		Str("Address", a.assignment.Instance.Address).AnErr("Why", reply.Err).Dur("RetryAfter", reply.RetryAfter).
		Str("RetryAfterText", clip(reply.RetryAfterText)).Send()
}

// classify maps a reply to the result that the balancer records for the replica.
func (ex *execution) classify(r *dgbackend.Reply, now dandeliongap.Instant) dgbalance.Result {
	switch r.Kind {
	case dgbackend.ReplyAnswered:
		switch {
		case ex.rejected(r.Resp):
			return dgbalance.Rejected
		case r.Resp.StatusCode() >= fasthttp.StatusInternalServerError:
			return ex.failure()
		}
		return dgbalance.Answered
	case dgbackend.ReplyNotRun:
		return dgbalance.Refused
	case dgbackend.ReplyWrongInstance:
		return dgbalance.WrongInstance
	case dgbackend.ReplyNotSent:
		if errors.Is(r.Err, dandeliongap.ErrNotRun) {
			return dgbalance.Abandoned
		}
		return dgbalance.ConnectFailed
	default:
		if errors.Is(r.Err, os.ErrDeadlineExceeded) || now >= ex.req.deadline {
			return dgbalance.Abandoned
		}
		if errors.Is(r.Err, dgbackend.ErrResponseMemory) {
			return dgbalance.Rejected // the memory is that of this VM
		}
		return ex.failure()
	}
}

// handleResult accepts the response that an attempt brought, or records that the attempt
// failed.
func (ex *execution) handleResult(r result) {
	now := ex.e.now()
	r.attempt.ended = true
	switch {
	case r.reply.Kind == dgbackend.ReplyNotSent:
		ex.attemptFailed(now, r, false, false)
	case r.reply.Kind != dgbackend.ReplyAnswered:
		ex.attemptFailed(now, r, true, r.reply.Kind == dgbackend.ReplyUnknown)
	case ex.usable(r.reply.Resp):
		ex.accept(r)
	default:
		ex.keepFallback(r.reply)
		ex.attemptFailed(now, r, true, true)
	}
}

// usable reports whether a response can be passed on or merged. A response without the
// stamp header cannot: it does not come from a backend server.
func (ex *execution) usable(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	stamped := len(resp.Header.Peek(ex.e.opt.Dialect.Backend.ServerStamp)) > 0
	if status/100 == 2 {
		return stamped
	}
	return !ex.req.sharded() && stamped && status < fasthttp.StatusInternalServerError && !impliesNotRun(status)
}

// impliesNotRun reports whether callers take a status code to mean that the request did
// not run. A replica's response with such a code is not passed on, because the replica
// did run the request.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// accept stores a usable response if its shard still needs one.
func (ex *execution) accept(r result) {
	if !ex.gather.PartReceived(r.attempt.shard) {
		r.reply.Release()
		return
	}
	if !ex.req.sharded() {
		ex.response = r.reply
		return
	}
	resp := r.reply.Resp
	// Only the greatest records of a part can be in the response: the rest is not kept.
	part := dggather.Merge([][]byte{resp.Body()}, ex.req.route.TopK)
	ex.parts = append(ex.parts, part)
	ex.partBytes += int64(len(part))
	if ex.conn != nil && ex.partBytes > freePartBytes {
		ex.conn.hold(ex.partBytes, true)
	}
	ex.stamps = append(ex.stamps, string(resp.Header.Peek(ex.e.opt.Dialect.Backend.ServerStamp)))
	r.reply.Release()
}

// keepFallback keeps the first error response of a replica to a request without shards.
// The caller gets it if no attempt succeeds. Responses without a stamp, or whose status
// implies that the request did not run, are not kept.
func (ex *execution) keepFallback(reply dgbackend.Reply) {
	resp := reply.Resp
	if ex.req.sharded() || ex.fallback.Resp != nil || impliesNotRun(resp.StatusCode()) || len(resp.Header.Peek(ex.e.opt.Dialect.Backend.ServerStamp)) == 0 || resp.StatusCode()/100 == 2 {
		reply.Release()
		return
	}
	ex.fallback = reply
}

// attemptFailed records a failed attempt. reached tells whether the replica received the
// request, mayHaveRun whether it may have run it.
func (ex *execution) attemptFailed(now dandeliongap.Instant, r result, reached, mayHaveRun bool) {
	ex.gather.AttemptFailed(now, r.attempt.shard, r.attempt.assignment.Instance.ID, reached, mayHaveRun)
	ex.lastFailure = "not run"
	switch {
	case r.reply.Err != nil:
		ex.lastFailure = r.reply.Err.Error()
	case mayHaveRun:
		ex.lastFailure = "failed"
	}
	ex.e.stats.add("Lost")
	ex.e.log.request("attempt lost", ex.req.id).Str("Rule", "G3").Str("Service", string(ex.req.shards[r.attempt.shard])).
		Str("Replica", string(r.attempt.assignment.Instance.ID)).Str("Address", r.attempt.assignment.Instance.Address).
		Bool("Reached", reached).Bool("Ran", mayHaveRun).Str("Why", ex.lastFailure).Dur("After", now.Sub(r.attempt.assignment.Start)).Send()
}

// describeMissing lists the missing shards for the log, each with the replicas that
// have not answered yet and the age of these attempts in milliseconds.
func (ex *execution) describeMissing() []string {
	var out []string
	now := ex.e.now()
	for _, i := range ex.gather.MissingShards() {
		text := string(ex.req.shards[i])
		for _, a := range ex.attempts {
			if a.shard == i && !a.ended {
				text += fmt.Sprintf(" %s:%d", a.assignment.Instance.ID, now.Sub(a.assignment.Start).Milliseconds())
			}
		}
		out = append(out, text)
	}
	return out
}

// describeSent lists the attempts for the log in the order sent: the replica, the cost
// by which it was chosen, and the age in milliseconds of the estimates behind the cost.
func (ex *execution) describeSent() []string {
	out := make([]string, len(ex.attempts))
	for i, a := range ex.attempts {
		b := append(make([]byte, 0, 40), a.assignment.Instance.ID...)
		b = append(b, ' ')
		b = strconv.AppendFloat(b, a.assignment.Cost, 'f', 1, 64)
		b = append(b, ' ')
		b = strconv.AppendInt(b, a.assignment.EstimateAge.Milliseconds(), 10)
		out[i] = string(b)
	}
	return out
}

// cancelAttempts cancels the outstanding attempts, whose results are no longer needed.
func (ex *execution) cancelAttempts() {
	for _, a := range ex.attempts {
		a.call.Cancel()
	}
}

func (ex *execution) releaseResponses() {
	ex.response.Release()
	ex.fallback.Release()
}

// writeResponse sets the response to the caller: a replica's response, the merged parts,
// a replica's error response or, if there is none of these, an error status that depends
// on the verdict.
func (ex *execution) writeResponse(ctx *fasthttp.RequestCtx) {
	switch {
	case ex.response.Resp != nil:
		copyResponse(ctx, &ex.response)
	case ex.verdict == dggather.Complete || ex.verdict == dggather.Partial:
		in, total := ex.gather.Coverage()
		ctx.SetStatusCode(fasthttp.StatusOK)
		ctx.Response.Header.Set(ex.e.opt.Dialect.Backend.RequestID, ex.req.id)
		ctx.Response.Header.Set(ex.e.opt.Dialect.ShardStampsHeader, strings.Join(ex.stamps, ", "))
		ctx.Response.Header.Set(ex.e.opt.Dialect.MissingShardsHeader, strconv.Itoa(total-in))
		ctx.SetBody(dggather.Merge(ex.parts, ex.req.route.TopK))
	case ex.fallback.Resp != nil:
		copyResponse(ctx, &ex.fallback)
	case ex.verdict == dggather.NotRun:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		retry := max(notRunRetryAfter, ex.e.checkCoverage(ex.req).RetryAfter)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(retry))
	case ex.verdict == dggather.DeadlineExceeded:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(notRunRetryAfter))
	}
}

// notRunRetryAfter is the Retry-After value when all replicas refused or failed. It is
// about the service time of one request.
const notRunRetryAfter = 50 * time.Millisecond

// copyResponse copies a replica's response to the caller, except for the headers that
// apply only to the connection to the replica. The memory of a long body stays reserved
// until the caller has received it.
func copyResponse(ctx *fasthttp.RequestCtx, reply *dgbackend.Reply) {
	h := &ctx.Response.Header
	reply.Resp.Header.CopyTo(h)
	for name := range connectionHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
	body, release := reply.TakeBody()
	if release == nil {
		ctx.Response.SetBodyRaw(bytes.Clone(body))
		return
	}
	ctx.Response.SetBodyStream(&reservedBody{Reader: bytes.NewReader(body), release: release}, len(body))
}

// reservedBody is a body that counts towards the memory for responses until it is closed.
type reservedBody struct {
	*bytes.Reader
	release func()
}

// Close implements io.Closer.
func (b *reservedBody) Close() error {
	b.release()
	return nil
}

// finish updates the metrics and logs the end of a request.
func (ex *execution) finish(status int, took time.Duration, disconnected bool) {
	in, total := ex.gather.Coverage()
	verdict := ex.verdict.String()
	if disconnected {
		verdict = "caller left"
	}
	ex.e.stats.add("Done." + strconv.Itoa(status))
	if status == fasthttp.StatusOK {
		ex.e.stats.observe(string(ex.req.route.Name), took)
	}
	line := ex.e.log.request("done", ex.req.id)
	if line == nil {
		return
	}
	if ex.req.account != "" {
		line = line.Str("Account", string(ex.req.account))
	}
	line.Strs("Sent", ex.describeSent()).Strs("Missing", ex.describeMissing()).Int("NoBudget", ex.noBudget).Str("Route", string(ex.req.route.Name)).Uint64("Config", uint64(ex.req.version)).
		Str("Verdict", verdict).Int("Status", status).Int("Merged", in).Int("Total", total).
		Int("Attempts", len(ex.attempts)).Int("Extra", ex.extras).Str("Why", ex.lastFailure).
		Dur("Left", ex.req.deadline.Sub(ex.req.arrived)-took).Dur("Took", took).Send()
}
