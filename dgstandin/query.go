package dgstandin

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/valyala/fasthttp"
)

// refusal is an answer to a request that did not run.
type refusal struct {
	status     int
	retryAfter time.Duration
}

// plan is how an admitted request runs and is answered.
type plan struct {
	run      *run
	key      string
	within   bool // not above the cold limit
	time     time.Duration
	deadline time.Time
	version  dandeliongap.IndexVersion
	parts    []dandeliongap.PartID
	truncate bool
	cross    bool
	lose     bool
}

// query serves POST /query.
func (b *Backend) query(ctx *fasthttp.RequestCtx) {
	id := header(ctx, "Request-Id")
	ctx.Response.Header.Set("Request-Id", id)
	p, no := b.accept(ctx, id)
	if no != nil {
		b.refuse(ctx, no)
		return
	}
	status := b.execute(p)
	b.finish(p, status)
	b.answer(ctx, p, status)
}

// accept counts a request and admits or refuses it.
func (b *Backend) accept(ctx *fasthttp.RequestCtx, id string) (*plan, *refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.count.Received++
	b.countLate(now)
	p := &plan{
		key:     header(ctx, "Idempotency-Key"),
		version: dandeliongap.IndexVersion(headerInt(ctx, "Index-Version")),
	}
	if ms := headerInt(ctx, "Deadline-Unix-Ms"); ms > 0 {
		p.deadline = time.UnixMilli(ms)
	}
	slots := int(b.opt.Replica.Slots)
	if b.busy >= slots {
		b.count.SlotViolations++
	}
	if no := b.refusal(p, id, now); no != nil {
		return nil, no
	}
	above, excused := b.cold.start(b.busy+1, int(b.opt.Replica.ColdLimit))
	if excused {
		b.count.ColdUnannounced++
	} else if above {
		b.count.ColdViolations++
	}
	full := b.busy >= slots+b.opt.Queue
	overloaded := above && b.busy >= int(b.opt.Replica.ColdLimit)+1
	if full || overloaded || hits(&b.faults.ShedNext, b.faults.ShedShare, b.rng) {
		b.count.Shed++
		return nil, &refusal{fasthttp.StatusServiceUnavailable, b.opt.RetryAfter}
	}
	b.admitRun(p, id, !above)
	return p, nil
}

// countLate counts new work after the grace of a taken-out zone or of draining.
// Callers hold mu.
func (b *Backend) countLate(now time.Time) {
	if !b.zoneOut.IsZero() && now.Sub(b.zoneOut) > b.opt.Grace {
		b.count.ZoneViolations++
	}
	if !b.draining.IsZero() && now.Sub(b.draining) > b.opt.Grace {
		b.count.LeavingViolations++
	}
}

// refusal returns why a request may not run whatever the load. Callers hold mu.
func (b *Backend) refusal(p *plan, id string, now time.Time) *refusal {
	if i := slices.Index(b.early, id); i >= 0 {
		b.early = slices.Delete(b.early, i, i+1)
		b.count.Cancelled++
		return &refusal{status: statusCancelled}
	}
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		b.count.LateArrivals++
		return &refusal{status: fasthttp.StatusGatewayTimeout}
	}
	if !b.draining.IsZero() {
		b.count.RefusedDraining++
		return &refusal{fasthttp.StatusServiceUnavailable, b.opt.RetryAfter}
	}
	parts, held := b.versions[p.version]
	if p.key == "" && !held {
		b.count.VersionGone++
		return &refusal{status: fasthttp.StatusGone}
	}
	p.parts = parts
	return nil
}

// admitRun puts a request into the server, with a slot or waiting for one.
// Callers hold mu.
func (b *Backend) admitRun(p *plan, id string, within bool) {
	p.within = within
	p.time = b.service.draw(b.rng)
	if b.faults.ServiceTimeFactor > 0 {
		p.time = time.Duration(float64(p.time) * b.faults.ServiceTimeFactor)
	}
	if !within {
		p.time = time.Duration(float64(p.time) * b.opt.ColdFactor)
	}
	p.truncate = hits(&b.faults.TruncateNext, b.faults.TruncateShare, b.rng)
	p.cross = hits(&b.faults.WrongRequestIDNext, b.faults.WrongRequestIDShare, b.rng)
	p.lose = hits(&b.faults.LoseNext, b.faults.LoseShare, b.rng)
	if hits(&b.faults.WrongVersionNext, b.faults.WrongVersionShare, b.rng) {
		p.version++
	}
	p.run = &run{id: id, cancel: make(chan struct{}), slot: make(chan struct{}), free: make(chan struct{})}
	b.running[id] = p.run
	b.busy++
	b.count.MostAtOnce = max(b.count.MostAtOnce, int64(b.busy))
	if b.slots < int(b.opt.Replica.Slots) {
		b.grant(p.run)
		return
	}
	b.waiting = append(b.waiting, p.run)
}

// grant gives a request a slot. Callers hold mu.
func (b *Backend) grant(r *run) {
	b.slots++
	r.granted = true
	close(r.slot)
}

// hits tells whether a fault applies: to the next ones, or by its share.
func hits(next *int, share float64, rng *rand.Rand) bool {
	if *next > 0 {
		*next--
		return true
	}
	return share > 0 && rng.Float64() < share
}

// execute waits for a slot and runs a request. It returns the status: 200, 499
// when a DELETE ended it, 504 at its deadline, 0 when the server stopped.
func (b *Backend) execute(p *plan) int {
	var expired <-chan time.Time
	if !p.deadline.IsZero() {
		t := time.NewTimer(time.Until(p.deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-p.run.slot:
	case <-p.run.cancel:
		return statusCancelled
	case <-expired:
		return fasthttp.StatusGatewayTimeout
	case <-b.srv.halt():
		return 0
	}
	b.mu.Lock()
	b.count.Runs++
	b.mu.Unlock()
	if p.key != "" {
		b.opt.RunCounts.ran(dandeliongap.IdempotencyKey(p.key))
	}
	if p.time <= 0 {
		return fasthttp.StatusOK
	}
	t := time.NewTimer(p.time)
	defer t.Stop()
	select {
	case <-t.C:
		return fasthttp.StatusOK
	case <-p.run.cancel:
		return statusCancelled
	case <-expired:
		return fasthttp.StatusGatewayTimeout
	case <-b.srv.halt():
		return 0
	}
}

// finish frees the slot, which happens before the answer is sent, and gives it
// to the next waiting request.
func (b *Backend) finish(p *plan, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running, p.run.id)
	b.busy--
	if p.run.granted {
		b.slots--
	} else if i := slices.Index(b.waiting, p.run); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	if len(b.waiting) > 0 && b.slots < int(b.opt.Replica.Slots) {
		b.grant(b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	switch status {
	case fasthttp.StatusOK:
		b.count.Answered++
		if p.within {
			b.cold.answered()
		}
	case statusCancelled:
		b.count.Cancelled++
	case fasthttp.StatusGatewayTimeout:
		b.count.DeadlineGiveUps++
	}
	close(p.run.free)
}

// mark adds the headers that report the server's state.
func (b *Backend) mark(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	cold, draining := b.cold.cold, !b.draining.IsZero()
	b.mu.Unlock()
	state := "warm"
	if cold {
		state = "cold"
	}
	ctx.Response.Header.Set("Load-State", state)
	if draining {
		ctx.Response.Header.Set("Draining", "true")
	}
}

func (b *Backend) refuse(ctx *fasthttp.RequestCtx, no *refusal) {
	b.mark(ctx)
	ctx.Response.Header.Set("Not-Run", "true")
	if no.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After-Ms", strconv.FormatInt(no.retryAfter.Milliseconds(), 10))
	}
	ctx.SetStatusCode(no.status)
}

// answer sends the answer of a request that left the server.
func (b *Backend) answer(ctx *fasthttp.RequestCtx, p *plan, status int) {
	if status == 0 || p.lose {
		_ = ctx.Conn().Close()
		return
	}
	b.mark(ctx)
	ctx.SetStatusCode(status)
	if status != fasthttp.StatusOK {
		if !p.run.granted {
			ctx.Response.Header.Set("Not-Run", "true")
		}
		return
	}
	if p.cross {
		ctx.Response.Header.Set("Request-Id", "0-0-0-0")
	}
	ctx.Response.Header.Set("Index-Version", strconv.FormatUint(uint64(p.version), 10))
	body := b.body(ctx.PostBody(), p)
	if p.truncate {
		truncate(ctx, body)
		return
	}
	ctx.Response.SetBodyRaw(body)
}

// truncate writes a header that announces the whole body and half of the body,
// and closes the connection.
func truncate(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.Response.Header.SetContentLength(len(body))
	head := ctx.Response.Header.Header()
	conn := ctx.Conn()
	_, _ = conn.Write(slices.Concat(head, body[:len(body)/2]))
	_ = conn.Close()
}

// body returns the JSON of an answer: the parts of the version with hits that
// depend on the query and the part only, or the result of an action.
func (b *Backend) body(query []byte, p *plan) []byte {
	h := fnv.New32a()
	_, _ = h.Write(query)
	sum := h.Sum32()
	if p.key != "" {
		return append(strconv.AppendUint([]byte(`{"Done":`), uint64(sum), 10), '}')
	}
	body := append(make([]byte, 0, 64+96*len(p.parts)), `{"Parts":[`...)
	for i, part := range p.parts {
		if i > 0 {
			body = append(body, ',')
		}
		body = b.appendPart(body, sum, part, p.version)
	}
	return append(body, "]}"...)
}

func (b *Backend) appendPart(body []byte, sum uint32, part dandeliongap.PartID, version dandeliongap.IndexVersion) []byte {
	body = append(body, `{"Part":`...)
	body = strconv.AppendUint(body, uint64(part), 10)
	body = append(body, `,"Hits":[`...)
	for n := range max(0, b.opt.HitsPerPart) {
		if n > 0 {
			body = append(body, ',')
		}
		body = appendHit(body, sum, part, version, n)
	}
	return append(body, "]}"...)
}

func appendHit(body []byte, sum uint32, part dandeliongap.PartID, version dandeliongap.IndexVersion, n int) []byte {
	score := (sum ^ uint32(part)*2654435761 + uint32(n)*40503) % 1000
	body = append(body, `{"Id":"`...)
	body = strconv.AppendUint(body, uint64(part), 10)
	body = append(body, '-')
	body = strconv.AppendUint(body, uint64(sum), 16)
	body = append(body, '-')
	body = strconv.AppendInt(body, int64(n), 10)
	body = append(body, `","Score":0.`...)
	body = append(body, byte('0'+score/100), byte('0'+score/10%10), byte('0'+score%10))
	body = append(body, `,"Text":"v`...)
	body = strconv.AppendUint(body, uint64(version), 10)
	return append(body, `"}`...)
}
