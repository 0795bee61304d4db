package dgnode

import (
	"context"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gofiber/fiber/v3"
)

// callerRequest is one request of a caller that was let in.
type callerRequest struct {
	ctx      context.Context // ends when the caller hangs up
	class    dandeliongap.Class
	deadline dandeliongap.Instant
	started  dandeliongap.Instant
	close    func()
}

// open lets a request of a caller in (E1). It returns nil if the request is
// faulty, with an error, or if it was refused, which is answered here.
func (n *Node) open(c fiber.Ctx, service dandeliongap.ServiceName, className string, deadlineMs int64) (*callerRequest, error) {
	class, err := n.classOf(service, className)
	if err != nil {
		return nil, err
	}
	deadline, err := n.deadlineOf(service, deadlineMs)
	if err != nil {
		return nil, err
	}
	end, why := n.begin()
	if end == nil {
		return nil, n.refuse(c, why)
	}
	ctx, stop := watchHangUp(context.Background(), c.RequestCtx().Conn())
	return &callerRequest{
		ctx:      ctx,
		class:    class,
		deadline: deadline,
		started:  n.clock.now(),
		close: func() {
			stop()
			end()
		},
	}, nil
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
	case v.ZonesOut[n.settings.Zone] && n.clock.now() > n.zoneOutSince().Add(keepAddresses+keepMargin):
		// Callers may keep an address for a while after it left the list.
		why = dandeliongap.ReasonZoneOut
	case !v.Serving:
		why = v.NotServingReason
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

// refuse answers a request that was not started.
func (n *Node) refuse(c fiber.Ctx, why dandeliongap.Reason) error {
	n.stats.count(dandeliongap.OutcomeNotRun, false)
	n.log.Info("refuse", "Rule", "E1", "Path", c.Path(), "Reason", why)
	return c.Status(fiber.StatusServiceUnavailable).JSON(struct {
		ID           string `json:"Id"`
		Outcome      string
		Reason       string
		RetryAfterMs int64
	}{n.requestID(), dandeliongap.OutcomeNotRun.String(), why.String(), refuseRetry.Milliseconds()})
}

// refuseRetry is the retry-after of a request that was not let in: another VM can serve.
const refuseRetry = 100 * time.Millisecond
