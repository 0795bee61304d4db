package dgnode

import (
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
	// keepAddresses is how long callers may keep the list of addresses. A zone
	// that is taken out accepts nothing new after this time, within the 3 s that
	// operators are promised.
	keepAddresses = 2 * time.Second
	// keepMargin covers the way of the list to the caller and of a request to
	// the VM.
	keepMargin = 500 * time.Millisecond
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

// maxAddresses bounds the list of addresses. A caller needs a few to choose from,
// and 610 would take 12 KB each time.
const maxAddresses = 16

// getAddresses tells callers which VMs to use, in an order that differs from
// call to call so that callers spread evenly. Overloaded VMs are left out unless
// all are.
func (n *Node) getAddresses(c fiber.Ctx) error {
	v := n.view.Load()
	var free, all []string
	for _, m := range v.Members {
		if m.State != dandeliongap.MemberLive || v.ZonesOut[m.Zone] || m.ID == v.Self && n.leaving() {
			continue
		}
		all = append(all, m.CallerAddress)
		overloaded := n.control.overloadedMember(m.ID)
		if m.ID == v.Self {
			overloaded = n.busy()
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
	}{addresses[:min(len(addresses), maxAddresses)], keepAddresses.Milliseconds()})
}

// leaving tells whether this VM is about to stop.
func (n *Node) leaving() bool { return n.stopping.Load() || n.control.vmLeaving.Load() }

func (n *Node) postSearch(c fiber.Ctx) error {
	var req searchRequest
	if err := c.Bind().JSON(&req); err != nil {
		return badRequest("body is not a search: " + err.Error())
	}
	if req.Service == "" || req.MinCoverage < 0 || req.MinCoverage > 1 {
		return badRequest("Service must be given and MinCoverage be between 0 and 1")
	}
	r, err := n.open(c, req.Service, req.Class, req.DeadlineMs)
	if r == nil {
		return err
	}
	defer r.close()
	res := n.entry.run(r.ctx, dgfanout.Request{
		Service:     req.Service,
		Class:       r.class,
		MinCoverage: req.MinCoverage,
		Deadline:    r.deadline,
		Baseline:    n.plain,
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
	r, err := n.open(c, req.Service, req.Class, req.DeadlineMs)
	if r == nil {
		return err
	}
	defer r.close()
	res := n.actor.run(r.ctx, dgonce.Request{
		Service:  req.Service,
		Key:      req.Key,
		Body:     []byte(req.Body),
		Deadline: r.deadline,
	}, r.class)
	now := n.clock.now()
	n.stats.observe(now, req.Service, res.outcome, now.Sub(r.started), 0, 0)
	status := statusOf(res.outcome)
	if res.reason == dandeliongap.ReasonDuplicate && res.outcome == dandeliongap.OutcomeNotRun {
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
	}{n.requestID(), res.outcome.String(), string(res.body), res.reason.String(), res.retryAfter.Milliseconds()})
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
