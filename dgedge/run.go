package dgedge

import (
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

// budgetRetry is the wait after an extra request for which there was no budget.
const budgetRetry = 20 * time.Millisecond

// leftoverGrace is how long sub-requests may go on after the answer went out: those
// about to end keep their connections, and the others give their slots to searches
// that still wait.
const leftoverGrace = 20 * time.Millisecond

// attempt is one sub-request under way.
type attempt struct {
	shard  int
	extra  bool
	ticket dgbalance.Assignment
	call   dgbackend.Call
	ended  bool // its result was taken
}

// result is the end of an attempt.
type result struct {
	a     *attempt
	reply dgbackend.Reply
}

// course is a request that is under way.
type course struct {
	e       *Edge
	c       *call
	g       *dggather.Gather
	results chan result
	over    chan struct{} // closed when nobody takes results any more

	attempts []*attempt
	counted  []bool // first requests in the budget
	parts    [][]byte
	stamps   []string
	single   *fasthttp.Response // answer to a request without shards
	fallback *fasthttp.Response // a replica's own failure, if nothing better comes
	sends    []dggather.Send
	extras   int
	noBudget int // extra requests that the budget did not allow
	verdict  dggather.Verdict
	why      string // of the last lost attempt
}

// run serves a request and writes its answer.
func (e *Edge) run(ctx *fasthttp.RequestCtx, c *call, w *waiting) {
	e.mu.Lock()
	typical := e.bal.TypicalLatency(c.route.Name, 0)
	e.mu.Unlock()
	co := &course{
		e: e, c: c,
		g:       dggather.New(dggather.Options{Route: c.route, Shards: c.shards, Arrived: c.arrived, Deadline: c.deadline, TypicalLatency: typical}),
		results: make(chan result, 2*len(c.shards)),
		over:    make(chan struct{}),
		counted: make([]bool, len(c.shards)),
	}
	left := !co.loop(w)
	close(co.over)
	switch {
	case left:
		if c.route.Idempotent {
			co.abandon() // what may not be repeated is not cut off halfway
		}
		ctx.SetConnectionClose()
	case co.g.Outstanding() > 0:
		time.AfterFunc(leftoverGrace, co.abandon)
	}
	co.write(ctx)
	co.release()
	took := e.now().Sub(c.arrived)
	co.finish(ctx.Response.StatusCode(), took, left)
}

// loop drives the request to its end; false if the caller left.
func (co *course) loop(w *waiting) bool {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		var wake dandeliongap.Instant
		now := co.e.now()
		co.sends, co.verdict, wake = co.g.Step(now, co.sends[:0])
		if co.verdict != dggather.InProgress {
			return true
		}
		if len(co.sends) > 0 {
			for _, s := range co.sends {
				co.send(s)
			}
			continue
		}
		t.Reset(max(0, wake.Sub(now)))
		select {
		case r := <-co.results:
			co.take(r)
		case <-t.C:
		case <-w.gone:
			return false
		}
	}
}

// send starts one attempt, or tells the decisions why it cannot.
func (co *course) send(s dggather.Send) {
	e, service := co.e, co.c.shards[s.Shard]
	now := e.now()
	e.mu.Lock()
	if s.Extra && !e.budget.Reserve(now, service) {
		e.mu.Unlock()
		e.stats.add("NoBudget")
		co.noBudget++
		co.g.AttemptNotStarted(s.Shard, now.Add(budgetRetry))
		return
	}
	ticket, retry, err := e.bal.Pick(now, co.c.route.Name, service, co.g.ExcludedReplicas(s.Shard), co.g.FailedReplicas(s.Shard))
	switch {
	case err != nil && s.Extra:
		e.budget.Release(now, service)
	case err == nil && !s.Extra && !co.counted[s.Shard]:
		co.counted[s.Shard] = true
		e.budget.CountFirst(now, service)
	}
	e.mu.Unlock()
	if err != nil {
		co.g.AttemptNotStarted(s.Shard, retry)
		return
	}
	a := &attempt{shard: s.Shard, extra: s.Extra, ticket: ticket}
	co.attempts = append(co.attempts, a)
	co.g.AttemptStarted(now, s.Shard, ticket.Instance.ID, ticket.Probe)
	e.stats.add("Attempts")
	if s.Extra {
		co.extras++
		e.stats.add("Extra")
		e.log.request("extra", co.c.id).Str("Rule", "G2").Str("Service", string(service)).Str("Replica", string(ticket.Instance.ID)).
			Float64("Cost", ticket.Cost).Int("Usable", ticket.Candidates).Dur("After", now.Sub(co.c.arrived)).Send()
	}
	go co.attempt(a)
}

// attempt carries one attempt out.
func (co *course) attempt(a *attempt) {
	e := co.e
	deadline := e.start.Add(time.Duration(co.c.deadline))
	var reply dgbackend.Reply
	if r := panics.Try(func() { reply = e.forward.Send(&a.call, &a.ticket.Instance, co.c.forward, deadline) }); r != nil {
		e.log.event("panic").Str("Request", co.c.id).Str("Value", r.String()).Send()
		reply = dgbackend.Reply{Err: r.AsError()}
	}
	now := e.now()
	e.mu.Lock()
	change := e.bal.Done(now, co.c.route.Name, &a.ticket, co.tells(&reply, now))
	if reply.Kind == dgbackend.ReplyUnreached && a.extra {
		e.budget.Release(a.ticket.Start, co.c.shards[a.shard])
	}
	e.mu.Unlock()
	e.noteReplica(change, a, &reply)
	select {
	case co.results <- result{a, reply}:
	case <-co.over:
		if reply.Resp != nil {
			fasthttp.ReleaseResponse(reply.Resp)
		}
	}
}

// noteReplica logs what an attempt changed about its replica.
func (e *Edge) noteReplica(change dgbalance.Change, a *attempt, reply *dgbackend.Reply) {
	var msg, rule string
	switch change {
	case dgbalance.WentDown:
		msg, rule = "replica down", "R5"
	case dgbalance.Recovered:
		msg, rule = "replica back", "R5"
	case dgbalance.AddressReassigned:
		msg, rule = "replica moved", "R8"
	default:
		return
	}
	e.log.event(msg).Str("Rule", rule).Str("Service", string(a.ticket.Instance.Service)).Str("Replica", string(a.ticket.Instance.ID)).
		Str("Address", a.ticket.Instance.Address).AnErr("Why", reply.Err).Send()
}

// tells maps a reply to what it tells about the replica.
func (co *course) tells(r *dgbackend.Reply, now dandeliongap.Instant) dgbalance.Result {
	switch r.Kind {
	case dgbackend.ReplyAnswer:
		if r.Resp.StatusCode() >= fasthttp.StatusInternalServerError {
			return dgbalance.Failed
		}
		return dgbalance.Answered
	case dgbackend.ReplyNotRun:
		return dgbalance.Refused
	case dgbackend.ReplyMoved:
		return dgbalance.WrongInstance
	case dgbackend.ReplyUnreached:
		if errors.Is(r.Err, dandeliongap.ErrNotRun) {
			return dgbalance.Abandoned
		}
		return dgbalance.ConnectFailed
	default:
		if errors.Is(r.Err, os.ErrDeadlineExceeded) || now >= co.c.deadline {
			return dgbalance.Abandoned
		}
		return dgbalance.Failed
	}
}

// take gives a result to the decisions.
func (co *course) take(r result) {
	now := co.e.now()
	r.a.ended = true
	switch {
	case r.reply.Kind == dgbackend.ReplyUnreached:
		co.lost(now, r, false, false)
	case r.reply.Kind != dgbackend.ReplyAnswer:
		co.lost(now, r, true, r.reply.Kind == dgbackend.ReplyUnknown)
	case co.usable(r.reply.Resp):
		co.accept(r)
	default:
		co.keep(r.reply.Resp)
		co.lost(now, r, true, true)
	}
}

// usable tells whether an answer ends its sub-request.
func (co *course) usable(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	stamped := len(resp.Header.Peek(co.e.opt.Dialect.Backend.Stamp)) > 0
	if status/100 == 2 {
		return stamped
	}
	return !co.c.merged() && stamped && status < fasthttp.StatusInternalServerError && !promises(status)
}

// promises tells whether a status says that the request did not run. A replica's
// own answer with such a status is not passed on: it did run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (co *course) accept(r result) {
	resp := r.reply.Resp
	if !co.g.PartReceived(r.a.shard) {
		fasthttp.ReleaseResponse(resp)
		return
	}
	if !co.c.merged() {
		co.single = resp
		return
	}
	co.parts = append(co.parts, append([]byte(nil), resp.Body()...))
	co.stamps = append(co.stamps, string(resp.Header.Peek(co.e.opt.Dialect.Backend.Stamp)))
	fasthttp.ReleaseResponse(resp)
}

// keep holds a replica's failure for the caller of a request without shards.
func (co *course) keep(resp *fasthttp.Response) {
	if co.c.merged() || co.fallback != nil || promises(resp.StatusCode()) || len(resp.Header.Peek(co.e.opt.Dialect.Backend.Stamp)) == 0 || resp.StatusCode()/100 == 2 {
		fasthttp.ReleaseResponse(resp)
		return
	}
	co.fallback = resp
}

func (co *course) lost(now dandeliongap.Instant, r result, reached, ran bool) {
	co.g.AttemptFailed(now, r.a.shard, r.a.ticket.Instance.ID, reached, ran)
	co.why = "not run"
	switch {
	case r.reply.Err != nil:
		co.why = r.reply.Err.Error()
	case ran:
		co.why = "failed"
	}
	co.e.stats.add("Lost")
	co.e.log.request("attempt lost", co.c.id).Str("Rule", "G3").Str("Service", string(co.c.shards[r.a.shard])).
		Str("Replica", string(r.a.ticket.Instance.ID)).Str("Address", r.a.ticket.Instance.Address).
		Bool("Reached", reached).Bool("Ran", ran).Str("Why", co.why).Dur("After", now.Sub(r.a.ticket.Start)).Send()
}

// missing names the shards that are not in the answer, with the replicas that
// still had their sub-requests and for how long, in milliseconds.
func (co *course) missing() []string {
	var out []string
	now := co.e.now()
	for _, i := range co.g.MissingShards() {
		text := string(co.c.shards[i])
		for _, a := range co.attempts {
			if a.shard == i && !a.ended {
				text += fmt.Sprintf(" %s:%d", a.ticket.Instance.ID, now.Sub(a.ticket.Start).Milliseconds())
			}
		}
		out = append(out, text)
	}
	return out
}

// sent names the replicas that got sub-requests, in order, with the cost that
// decided and the age of what was known of the replica, in milliseconds.
func (co *course) sent() []string {
	out := make([]string, len(co.attempts))
	for i, a := range co.attempts {
		b := append(make([]byte, 0, 40), a.ticket.Instance.ID...)
		b = append(b, ' ')
		b = strconv.AppendFloat(b, a.ticket.Cost, 'f', 1, 64)
		b = append(b, ' ')
		b = strconv.AppendInt(b, a.ticket.EstimateAge.Milliseconds(), 10)
		out[i] = string(b)
	}
	return out
}

// abandon cancels the attempts under way: their results serve nobody.
func (co *course) abandon() {
	for _, a := range co.attempts {
		a.call.Cancel()
	}
}

func (co *course) release() {
	for _, resp := range []*fasthttp.Response{co.single, co.fallback} {
		if resp != nil {
			fasthttp.ReleaseResponse(resp)
		}
	}
}

// write writes the final answer.
func (co *course) write(ctx *fasthttp.RequestCtx) {
	switch {
	case co.single != nil:
		passOn(ctx, co.single)
	case co.verdict == dggather.Complete || co.verdict == dggather.Partial:
		in, total := co.g.Coverage()
		ctx.SetStatusCode(fasthttp.StatusOK)
		ctx.Response.Header.Set(co.e.opt.Dialect.Backend.RequestID, co.c.id)
		ctx.Response.Header.Set(co.e.opt.Dialect.ShardStampsHeader, strings.Join(co.stamps, ", "))
		ctx.Response.Header.Set(co.e.opt.Dialect.MissingShardsHeader, strconv.Itoa(total-in))
		ctx.SetBody(dggather.Merge(co.parts, co.c.route.TopK))
	case co.fallback != nil:
		passOn(ctx, co.fallback)
	case co.verdict == dggather.NotRun:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds(notRunRetry))
	case co.verdict == dggather.DeadlineExceeded:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds(notRunRetry))
	}
}

// notRunRetry is the wait after all replicas refused: about one service time.
const notRunRetry = 50 * time.Millisecond

// passOn writes a replica's answer unchanged, but for what concerns the
// connection to the replica.
func passOn(ctx *fasthttp.RequestCtx, resp *fasthttp.Response) {
	h := &ctx.Response.Header
	resp.Header.CopyTo(h)
	for name := range connectionHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
	ctx.Response.SetBodyRaw(append([]byte(nil), resp.Body()...))
}

// finish records the end of a request.
func (co *course) finish(status int, took time.Duration, left bool) {
	in, total := co.g.Coverage()
	verdict := co.verdict.String()
	if left {
		verdict = "caller left"
	}
	co.e.stats.add("Done." + strconv.Itoa(status))
	if status == fasthttp.StatusOK {
		co.e.stats.observe(string(co.c.route.Name), took)
	}
	line := co.e.log.request("done", co.c.id)
	if line == nil {
		return
	}
	line.Strs("Sent", co.sent()).Strs("Missing", co.missing()).Int("NoBudget", co.noBudget).Str("Route", string(co.c.route.Name)).Uint64("Config", uint64(co.c.version)).
		Str("Verdict", verdict).Int("Status", status).Int("Merged", in).Int("Total", total).
		Int("Attempts", len(co.attempts)).Int("Extra", co.extras).Str("Why", co.why).
		Dur("Left", co.c.deadline.Sub(co.c.arrived)-took).Dur("Took", took).Send()
}
