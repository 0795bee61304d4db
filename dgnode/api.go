package dgnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dgonce"
	"github.com/gofiber/fiber/v3"
)

const (
	// keepAddresses is how long callers may keep the list of addresses.
	keepAddresses = 5 * time.Second
	// maxDeadline bounds the deadline of one request.
	maxDeadline = time.Minute
	// maxKey bounds an idempotency key, in bytes.
	maxKey = 256
)

// searchRequest is the body of POST /v1/search.
type searchRequest struct {
	Service     dandeliongap.ServiceName
	Query       string
	Class       string
	DeadlineMs  int64
	MinCoverage float64
}

// actionRequest is the body of POST /v1/actions.
type actionRequest struct {
	Service    dandeliongap.ServiceName
	Key        dandeliongap.IdempotencyKey
	Body       string
	Class      string
	DeadlineMs int64
}

// callerRoutes adds what callers use.
func (n *Node) callerRoutes(app *fiber.App) {
	app.Get("/v1/addresses", n.getAddresses)
	app.Post("/v1/search", n.postSearch)
	app.Post("/v1/actions", n.postAction)
}

// getAddresses tells callers which VMs to use, in an order that differs from
// call to call so that callers spread evenly.
func (n *Node) getAddresses(c fiber.Ctx) error {
	v := n.view.Load()
	var addresses []string
	for _, m := range v.Members {
		if m.State != dandeliongap.MemberLive || v.ZonesOut[m.Zone] {
			continue
		}
		if m.ID == v.Self && (n.busy() || n.stopping.Load()) {
			continue
		}
		addresses = append(addresses, m.CallerAddress)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if len(addresses) == 0 {
		addresses = []string{n.settings.CallerAnnounce}
	}
	return c.JSON(struct {
		Addresses []string
		KeepMs    int64
	}{addresses, keepAddresses.Milliseconds()})
}

// busy tells whether this VM is near its limit of requests in flight.
func (n *Node) busy() bool {
	return n.inFlight.Load() > int64(n.settings.Limits.Requests)*8/10
}

// begin counts a request in flight. It refuses when the VM stops, its zone is
// taken out or too many requests are in flight.
func (n *Node) begin() (end func(), why dandeliongap.Reason) {
	if n.inFlight.Add(1) > int64(n.settings.Limits.Requests) {
		n.inFlight.Add(-1)
		return nil, dandeliongap.ReasonOverload
	}
	end = func() { n.inFlight.Add(-1) }
	v := n.view.Load()
	switch {
	case n.draining.Load():
		why = dandeliongap.ReasonStopping
	case v.ZonesOut[n.settings.Zone] && n.clock.now() > n.zoneOutSince().Add(keepAddresses):
		// Callers may keep an address for a while after it left the list.
		why = dandeliongap.ReasonZoneOut
	case !v.Serving:
		why = v.Why
	default:
		return end, dandeliongap.ReasonNone
	}
	end()
	return nil, why
}

// deadlineOf returns the deadline of a request, the service's own if it names
// none.
func (n *Node) deadlineOf(service dandeliongap.ServiceName, ms int64) (dandeliongap.Instant, error) {
	if ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, badRequest("DeadlineMs must be between 0 and " + strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	d := time.Duration(ms) * time.Millisecond
	if d == 0 {
		if v := n.view.Load(); v.Deployment != nil && v.Deployment.Services[service] != nil {
			d = v.Deployment.Services[service].Deadline
		}
	}
	if d == 0 {
		d = time.Second
	}
	return n.clock.now().Add(d), nil
}

func badRequest(message string) error { return fiber.NewError(fiber.StatusBadRequest, message) }

// classOf returns the class of a request, the service's own if it names none.
func (n *Node) classOf(service dandeliongap.ServiceName, name string) (dandeliongap.Class, error) {
	if v := n.view.Load(); name == "" && v.Deployment != nil && v.Deployment.Services[service] != nil {
		return v.Deployment.Services[service].Class, nil
	}
	class, err := dandeliongap.ParseClass(name)
	if err != nil {
		return 0, badRequest("Class must be urgent, ordinary or archive")
	}
	return class, nil
}

func (n *Node) postSearch(c fiber.Ctx) error {
	var req searchRequest
	if err := c.Bind().JSON(&req); err != nil {
		return badRequest("body is not a search: " + err.Error())
	}
	if req.Service == "" || req.MinCoverage < 0 || req.MinCoverage > 1 {
		return badRequest("Service must be given and MinCoverage be between 0 and 1")
	}
	class, err := n.classOf(req.Service, req.Class)
	if err != nil {
		return err
	}
	deadline, err := n.deadlineOf(req.Service, req.DeadlineMs)
	if err != nil {
		return err
	}
	end, why := n.begin()
	if end == nil {
		return n.refuse(c, why)
	}
	defer end()
	started := n.clock.now()
	ctx, stop := watchHangUp(context.Background(), c.RequestCtx().Conn())
	defer stop()
	r := n.entry.run(ctx, dgfanout.Request{
		Service:     req.Service,
		Class:       class,
		MinCoverage: req.MinCoverage,
		Deadline:    deadline,
		Plain:       n.plain,
	}, []byte(req.Query))
	now := n.clock.now()
	n.stats.observe(now, req.Service, r.Outcome, now.Sub(started), r.Merged, r.Total)
	return writeSearch(c, n.requestID(), r)
}

func writeSearch(c fiber.Ctx, id string, r dgfanout.Result) error {
	body := struct {
		ID           string `json:"Id"`
		Outcome      string
		IndexVersion dandeliongap.IndexVersion
		Merged       int
		Total        int
		Coverage     float64
		Hits         []dgfanout.Hit
		Reason       string `json:",omitempty"`
		RetryAfterMs int64  `json:",omitempty"`
	}{
		ID:           id,
		Outcome:      r.Outcome.String(),
		IndexVersion: r.Index,
		Merged:       r.Merged,
		Total:        r.Total,
		Reason:       r.Reason.String(),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	if r.Total > 0 {
		body.Coverage = float64(r.Merged) / float64(r.Total)
	}
	if r.Outcome == dandeliongap.OutcomeAnswered {
		body.Hits = dgfanout.Merge(r.Accepted)
	} else {
		// A refusal carries no hits, so that it claims no coverage either.
		body.Merged, body.Coverage = 0, 0
	}
	return c.Status(statusOf(r.Outcome)).JSON(body)
}

func statusOf(o dandeliongap.Outcome) int {
	switch o {
	case dandeliongap.OutcomeAnswered:
		return fiber.StatusOK
	case dandeliongap.OutcomeNotRun:
		return fiber.StatusServiceUnavailable
	default:
		return fiber.StatusGatewayTimeout
	}
}

// refuse answers a request that was not started.
func (n *Node) refuse(c fiber.Ctx, why dandeliongap.Reason) error {
	n.log.Info("refuse", "Rule", "E1", "Path", c.Path(), "Reason", why)
	return c.Status(fiber.StatusServiceUnavailable).JSON(struct {
		ID           string `json:"Id"`
		Outcome      string
		Reason       string
		RetryAfterMs int64
	}{n.requestID(), dandeliongap.OutcomeNotRun.String(), why.String(), refuseRetry.Milliseconds()})
}

// refuseRetry is the advice of a refusal at the door: another VM can serve.
const refuseRetry = 100 * time.Millisecond

func (n *Node) requestID() string {
	return strconv.FormatUint(n.entry.incarnation, 16) + "-" + strconv.FormatUint(n.requestNumber.Add(1), 10)
}

func (n *Node) postAction(c fiber.Ctx) error {
	var req actionRequest
	if err := c.Bind().JSON(&req); err != nil {
		return badRequest("body is not an action: " + err.Error())
	}
	if req.Service == "" || req.Key == "" || len(req.Key) > maxKey {
		return badRequest("Service and Key must be given, Key with at most " + strconv.Itoa(maxKey) + " bytes")
	}
	if v := n.view.Load(); v.Deployment != nil && v.Deployment.Services[req.Service] != nil && !v.Deployment.Services[req.Service].Actions {
		return badRequest("service " + string(req.Service) + " accepts no actions")
	}
	class, err := n.classOf(req.Service, req.Class)
	if err != nil {
		return err
	}
	deadline, err := n.deadlineOf(req.Service, req.DeadlineMs)
	if err != nil {
		return err
	}
	end, why := n.begin()
	if end == nil {
		return n.refuse(c, why)
	}
	defer end()
	started := n.clock.now()
	ctx, stop := watchHangUp(context.Background(), c.RequestCtx().Conn())
	defer stop()
	r := n.actor.run(ctx, dgonce.Request{
		Service:  req.Service,
		Key:      req.Key,
		Body:     []byte(req.Body),
		Deadline: deadline,
	}, class)
	now := n.clock.now()
	n.stats.observe(now, req.Service, r.outcome, now.Sub(started), 0, 0)
	status := statusOf(r.outcome)
	if r.reason == dandeliongap.ReasonDuplicate && r.outcome == dandeliongap.OutcomeNotRun {
		// Only another body is certain not to have run. The same body may be
		// running for another caller: unknown.
		status = fiber.StatusConflict
	}
	return c.Status(status).JSON(struct {
		ID           string `json:"Id"`
		Outcome      string
		Body         string
		Reason       string `json:",omitempty"`
		RetryAfterMs int64  `json:",omitempty"`
	}{n.requestID(), r.outcome.String(), string(r.body), r.reason.String(), r.retryAfter.Milliseconds()})
}

// errorBody writes errors of handlers and of the router as JSON.
func errorBody(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
	}
	if conn, ok := c.RequestCtx().Conn().(*openConn); ok && (status == fiber.StatusRequestEntityTooLarge || status == fiber.StatusRequestHeaderFieldsTooLarge) {
		conn.unread.Store(true)
	}
	return c.Status(status).JSON(struct{ Error string }{err.Error()})
}
