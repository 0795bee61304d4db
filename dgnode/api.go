package dgnode

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgfanout"
	"dandeliongap.example/dandeliongap/dghttp"
	"dandeliongap.example/dandeliongap/dgonce"
	"github.com/gofiber/fiber/v3"
)

const (
	// addressLifetime is how long callers may keep the list of addresses. A zone
	// that was taken out of service accepts no new request once this time and the
	// margin have passed. Their sum is within the 3 s that operators are promised.
	addressLifetime = 2 * time.Second
	// addressLifetimeMargin covers the time that the list takes to reach the caller
	// and that a request takes to reach the VM.
	addressLifetimeMargin = 500 * time.Millisecond
	// maxDeadline bounds the deadline of one request.
	maxDeadline = time.Minute
	// maxKeyBytes bounds an idempotency key, in bytes.
	maxKeyBytes = 256
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

// callerRoutes registers the endpoints for callers.
func (n *Node) callerRoutes(app *fiber.App) {
	app.Get("/v1/addresses", n.getAddresses)
	app.Post("/v1/search", n.postSearch)
	app.Post("/v1/actions", n.postAction)
}

// maxAddresses bounds the list of addresses. A caller needs only a few to choose
// from, and a list of 610 addresses would take 12 KB in each response.
const maxAddresses = 16

// getAddresses returns the addresses of the VMs that callers can use, in random
// order so that the load spreads evenly. Overloaded VMs are left out unless all VMs
// are overloaded.
func (n *Node) getAddresses(c fiber.Ctx) error {
	v := n.view.Load()
	var free, all []string
	for _, m := range v.Members {
		if m.State != dandeliongap.MemberLive || v.ZonesOut[m.Zone] || m.ID == v.Self && n.leaving() {
			continue
		}
		all = append(all, m.CallerAddress)
		overloaded := n.control.memberOverloaded(m.ID)
		if m.ID == v.Self {
			overloaded = n.overloaded()
		}
		if !overloaded {
			free = append(free, m.CallerAddress)
		}
	}
	addresses := free
	if len(addresses) == 0 {
		addresses = all
	}
	if len(addresses) == 0 {
		addresses = []string{n.settings.CallerAnnounce}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return c.JSON(struct {
		Addresses []string
		KeepMs    int64
	}{addresses[:min(len(addresses), maxAddresses)], addressLifetime.Milliseconds()})
}

// leaving reports whether this VM is stopping or is about to be stopped.
func (n *Node) leaving() bool { return n.stopping.Load() || n.control.vmLeaving.Load() }

func (n *Node) postSearch(c fiber.Ctx) error {
	var req searchRequest
	if err := c.Bind().JSON(&req); err != nil {
		return badRequest("body is not a search: " + err.Error())
	}
	if req.Service == "" || req.MinCoverage < 0 || req.MinCoverage > 1 {
		return badRequest("Service must be given and MinCoverage be between 0 and 1")
	}
	r, err := n.admit(c, req.Service, req.Class, req.DeadlineMs)
	if r == nil {
		return err
	}
	defer r.close()
	res := n.entry.run(r.ctx, dgfanout.Request{
		Service:     req.Service,
		Class:       r.class,
		MinCoverage: req.MinCoverage,
		Deadline:    r.deadline,
		Baseline:    n.baseline,
	}, []byte(req.Query))
	now := n.clock.now()
	n.stats.observe(now, req.Service, res.Outcome, now.Sub(r.started), res.Merged, res.Total)
	return writeSearch(c, n.requestID(), res)
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
		// Without hits the response must not report any coverage.
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

func (n *Node) requestID() string {
	return strconv.FormatUint(n.entry.incarnation, 16) + "-" + strconv.FormatUint(n.requestNumber.Add(1), 10)
}

func (n *Node) postAction(c fiber.Ctx) error {
	var req actionRequest
	if err := c.Bind().JSON(&req); err != nil {
		return badRequest("body is not an action: " + err.Error())
	}
	if req.Service == "" || req.Key == "" || len(req.Key) > maxKeyBytes {
		return badRequest("Service and Key must be given, Key with at most " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	if v := n.view.Load(); v.Deployment != nil && v.Deployment.Services[req.Service] != nil && !v.Deployment.Services[req.Service].Actions {
		return badRequest("service " + string(req.Service) + " accepts no actions")
	}
	r, err := n.admit(c, req.Service, req.Class, req.DeadlineMs)
	if r == nil {
		return err
	}
	defer r.close()
	res := n.actions.run(r.ctx, dgonce.Request{
		Service:  req.Service,
		Key:      req.Key,
		Body:     []byte(req.Body),
		Deadline: r.deadline,
	}, r.class)
	now := n.clock.now()
	n.stats.observe(now, req.Service, res.outcome, now.Sub(r.started), 0, 0)
	status := statusOf(res.outcome)
	if res.reason == dandeliongap.ReasonDuplicate && res.outcome == dandeliongap.OutcomeNotRun {
		// The key was used with a different body, so this body certainly did not
		// run. With the same body the outcome is unknown instead, because the
		// request may be running for another caller.
		status = fiber.StatusConflict
	}
	return c.Status(status).JSON(struct {
		ID           string `json:"Id"`
		Outcome      string
		Body         string
		Reason       string `json:",omitempty"`
		RetryAfterMs int64  `json:",omitempty"`
	}{n.requestID(), res.outcome.String(), string(res.body), res.reason.String(), res.retryAfter.Milliseconds()})
}

// writeError writes an error of a handler or of the router as JSON.
func writeError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
	}
	if conn, ok := c.RequestCtx().Conn().(*dghttp.TrackedConn); ok && (status == fiber.StatusRequestEntityTooLarge || status == fiber.StatusRequestHeaderFieldsTooLarge) {
		conn.LingerOnClose()
	}
	return c.Status(status).JSON(struct{ Error string }{err.Error()})
}
