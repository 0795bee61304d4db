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

// refusal is the answer to a request that was not admitted.
type refusal struct {
	status     int
	retryAfter time.Duration
}

// plan describes how an admitted request runs and is answered.
type plan struct {
	request         *request
	key             string // idempotency key of an action, "" for a search
	withinColdLimit bool   // not above the cold limit (C1)
	serviceTime     time.Duration
	deadline        time.Time                 // zero if none
	version         dandeliongap.IndexVersion // version to report in the answer
	parts           []dandeliongap.PartID     // parts held of the requested version
	truncateBody    bool
	wrongRequestID  bool
	loseAnswer      bool
}

// serveQuery serves POST /query: it admits the request, runs it, frees its slot and
// sends the answer.
func (b *Backend) serveQuery(ctx *fasthttp.RequestCtx) {
	id := requestHeader(ctx, "Request-Id")
	ctx.Response.Header.Set("Request-Id", id)
	p, refused := b.admitOrRefuse(ctx, id)
	if refused != nil {
		b.refuse(ctx, refused)
		return
	}
	status := b.execute(p)
	b.finish(p, status)
	b.answer(ctx, p, status)
}

// admitOrRefuse counts a request and either admits it and returns its plan, or
// returns its refusal.
func (b *Backend) admitOrRefuse(ctx *fasthttp.RequestCtx, id string) (*plan, *refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.counters.Received++
	b.countGraceViolations(now)
	p := &plan{
		key:     requestHeader(ctx, "Idempotency-Key"),
		version: dandeliongap.IndexVersion(requestHeaderInt(ctx, "Index-Version")),
	}
	if ms := requestHeaderInt(ctx, "Deadline-Unix-Ms"); ms > 0 {
		p.deadline = time.UnixMilli(ms)
	}
	slots := int(b.opt.Replica.Slots)
	if b.busy >= slots {
		b.counters.SlotViolations++
	}
	if refused := b.checkRefusal(p, id, now); refused != nil {
		return nil, refused
	}
	aboveLimit, excused := b.coldStart.classify(b.busy+1, int(b.opt.Replica.ColdLimit))
	if excused {
		b.counters.ColdUnannounced++
	} else if aboveLimit {
		b.counters.ColdViolations++
	}
	full := b.busy >= slots+b.opt.Queue
	// One request above the cold limit runs, slowed down by ColdFactor; further
	// ones are shed.
	overloaded := aboveLimit && b.busy >= int(b.opt.Replica.ColdLimit)+1
	if full || overloaded || faultApplies(&b.faults.ShedNext, b.faults.ShedShare, b.rng) {
		b.counters.Shed++
		return nil, &refusal{fasthttp.StatusServiceUnavailable, b.opt.RetryAfter}
	}
	b.admitRequest(p, id, !aboveLimit)
	return p, nil
}

// countGraceViolations counts a new request as a violation if it arrives more than
// BackendOptions.Grace after the availability zone was taken out or draining began.
// Callers hold mu.
func (b *Backend) countGraceViolations(now time.Time) {
	if !b.zoneOutSince.IsZero() && now.Sub(b.zoneOutSince) > b.opt.Grace {
		b.counters.ZoneViolations++
	}
	if !b.drainingSince.IsZero() && now.Sub(b.drainingSince) > b.opt.Grace {
		b.counters.LeavingViolations++
	}
}

// checkRefusal returns the refusal of a request that must not run even if slots are
// free: it was cancelled before it arrived, its deadline has passed, the server is
// draining or does not hold the index version of a search. For other requests, it
// sets the parts of the plan and returns nil. Callers hold mu.
func (b *Backend) checkRefusal(p *plan, id string, now time.Time) *refusal {
	if i := slices.Index(b.earlyCancels, id); i >= 0 {
		b.earlyCancels = slices.Delete(b.earlyCancels, i, i+1)
		b.counters.Cancelled++
		return &refusal{status: statusCancelled}
	}
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		b.counters.LateArrivals++
		return &refusal{status: fasthttp.StatusGatewayTimeout}
	}
	if !b.drainingSince.IsZero() {
		b.counters.RefusedDraining++
		return &refusal{fasthttp.StatusServiceUnavailable, b.opt.RetryAfter}
	}
	parts, held := b.versions[p.version]
	if p.key == "" && !held {
		b.counters.VersionGone++
		return &refusal{status: fasthttp.StatusGone}
	}
	p.parts = parts
	return nil
}

// admitRequest completes the plan of a request and gives it a slot, or queues it
// if none is free. Callers hold mu.
func (b *Backend) admitRequest(p *plan, id string, withinColdLimit bool) {
	p.withinColdLimit = withinColdLimit
	p.serviceTime = b.serviceTime.sample(b.rng)
	if b.faults.ServiceTimeFactor > 0 {
		p.serviceTime = time.Duration(float64(p.serviceTime) * b.faults.ServiceTimeFactor)
	}
	if !withinColdLimit {
		p.serviceTime = time.Duration(float64(p.serviceTime) * b.opt.ColdFactor)
	}
	p.truncateBody = faultApplies(&b.faults.TruncateNext, b.faults.TruncateShare, b.rng)
	p.wrongRequestID = faultApplies(&b.faults.WrongRequestIDNext, b.faults.WrongRequestIDShare, b.rng)
	p.loseAnswer = faultApplies(&b.faults.LoseNext, b.faults.LoseShare, b.rng)
	if faultApplies(&b.faults.WrongVersionNext, b.faults.WrongVersionShare, b.rng) {
		p.version++
	}
	p.request = &request{id: id, cancel: make(chan struct{}), slotGranted: make(chan struct{}), slotFreed: make(chan struct{})}
	b.admitted[id] = p.request
	b.busy++
	b.counters.MostAtOnce = max(b.counters.MostAtOnce, int64(b.busy))
	if b.slotsTaken < int(b.opt.Replica.Slots) {
		b.grantSlot(p.request)
		return
	}
	b.waiting = append(b.waiting, p.request)
}

// grantSlot gives a free slot to a request. Callers hold mu.
func (b *Backend) grantSlot(r *request) {
	b.slotsTaken++
	r.hasSlot = true
	close(r.slotGranted)
}

// faultApplies reports whether a fault applies to the current request. As long as
// *next is positive, the fault applies and *next is decremented; otherwise the fault
// applies with probability share.
func faultApplies(next *int, share float64, rng *rand.Rand) bool {
	if *next > 0 {
		*next--
		return true
	}
	return share > 0 && rng.Float64() < share
}

// execute waits for a slot and runs a request. It returns the status of the answer:
// 200, 499 after a DELETE, 504 at the deadline, or 0 if the server stopped.
func (b *Backend) execute(p *plan) int {
	var expired <-chan time.Time
	if !p.deadline.IsZero() {
		t := time.NewTimer(time.Until(p.deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-p.request.slotGranted:
	case <-p.request.cancel:
		return statusCancelled
	case <-expired:
		return fasthttp.StatusGatewayTimeout
	case <-b.srv.stopping():
		return 0
	}
	b.mu.Lock()
	b.counters.Runs++
	b.mu.Unlock()
	if p.key != "" {
		b.opt.RunCounts.record(dandeliongap.IdempotencyKey(p.key))
	}
	if p.serviceTime <= 0 {
		return fasthttp.StatusOK
	}
	t := time.NewTimer(p.serviceTime)
	defer t.Stop()
	select {
	case <-t.C:
		return fasthttp.StatusOK
	case <-p.request.cancel:
		return statusCancelled
	case <-expired:
		return fasthttp.StatusGatewayTimeout
	case <-b.srv.stopping():
		return 0
	}
}

// finish removes a request from the server and gives its slot to the next waiting
// request. It is called before the answer is sent, so that a client that has the
// answer finds the slot free.
func (b *Backend) finish(p *plan, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.admitted, p.request.id)
	b.busy--
	if p.request.hasSlot {
		b.slotsTaken--
	} else if i := slices.Index(b.waiting, p.request); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	if len(b.waiting) > 0 && b.slotsTaken < int(b.opt.Replica.Slots) {
		b.grantSlot(b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	switch status {
	case fasthttp.StatusOK:
		b.counters.Answered++
		if p.withinColdLimit {
			b.coldStart.answered()
		}
	case statusCancelled:
		b.counters.Cancelled++
	case fasthttp.StatusGatewayTimeout:
		b.counters.DeadlineGiveUps++
	}
	close(p.request.slotFreed)
}

// setStateHeaders sets Load-State and, while the server drains, Draining.
func (b *Backend) setStateHeaders(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	cold, draining := b.coldStart.active, !b.drainingSince.IsZero()
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

func (b *Backend) refuse(ctx *fasthttp.RequestCtx, refused *refusal) {
	b.setStateHeaders(ctx)
	ctx.Response.Header.Set("Not-Run", "true")
	if refused.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After-Ms", strconv.FormatInt(refused.retryAfter.Milliseconds(), 10))
	}
	ctx.SetStatusCode(refused.status)
}

// answer sends the answer to a request that has left the server, or closes the
// connection without an answer if the server stopped or a fault loses the answer.
func (b *Backend) answer(ctx *fasthttp.RequestCtx, p *plan, status int) {
	if status == 0 || p.loseAnswer {
		_ = ctx.Conn().Close()
		return
	}
	b.setStateHeaders(ctx)
	ctx.SetStatusCode(status)
	if status != fasthttp.StatusOK {
		if !p.request.hasSlot {
			ctx.Response.Header.Set("Not-Run", "true")
		}
		return
	}
	if p.wrongRequestID {
		ctx.Response.Header.Set("Request-Id", "0-0-0-0")
	}
	ctx.Response.Header.Set("Index-Version", strconv.FormatUint(uint64(p.version), 10))
	body := b.body(ctx.PostBody(), p)
	if p.truncateBody {
		truncate(ctx, body)
		return
	}
	ctx.Response.SetBodyRaw(body)
}

// truncate writes a response header with the length of the whole body, followed by
// only the first half of the body, and closes the connection.
func truncate(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.Response.Header.SetContentLength(len(body))
	head := ctx.Response.Header.Header()
	conn := ctx.Conn()
	_, _ = conn.Write(slices.Concat(head, body[:len(body)/2]))
	_ = conn.Close()
}

// body returns the JSON body of an answer: for an action, its result; for a search,
// the parts of the index version. The IDs and scores of hits depend only on the
// query, the part and the position of the hit; their text names the index version.
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

// appendHit appends hit n of a part. The score is a hash of the query's checksum, the
// part and n, from 0.000 to 0.999.
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
