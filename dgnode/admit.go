package dgnode

import (
	"context"
	"strconv"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gofiber/fiber/v3"
)

// callerRequest is an admitted request of a caller.
type callerRequest struct {
	ctx      context.Context // ends when the caller disconnects
	class    dandeliongap.Class
	deadline dandeliongap.Instant
	started  dandeliongap.Instant
	close    func()
}

// admit admits a request of a caller or refuses it (E1). It returns nil and an error
// if the request is invalid. For a refused request it writes the response itself and
// returns nil with the error of that write.
func (n *Node) admit(c fiber.Ctx, service dandeliongap.ServiceName, className string, deadlineMs int64) (*callerRequest, error) {
	class, err := n.classOf(service, className)
	if err != nil {
		return nil, err
	}
	deadline, err := n.deadlineOf(service, deadlineMs)
	if err != nil {
		return nil, err
	}
	end, reason := n.beginRequest()
	if end == nil {
		return nil, n.refuse(c, reason)
	}
	ctx, stop := watchDisconnect(context.Background(), c.RequestCtx().Conn())
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

// overloaded reports whether more than 80 % of the permitted requests are in flight.
func (n *Node) overloaded() bool {
	return n.inFlight.Load() > int64(n.settings.Limits.Requests)*8/10
}

// beginRequest counts a request as in flight until end is called. It returns a nil
// end and the reason if the VM is stopping or not serving, its zone was taken out of
// service, or too many requests are in flight.
func (n *Node) beginRequest() (end func(), reason dandeliongap.Reason) {
	if n.inFlight.Add(1) > int64(n.settings.Limits.Requests) {
		n.inFlight.Add(-1)
		return nil, dandeliongap.ReasonOverload
	}
	end = func() { n.inFlight.Add(-1) }
	v := n.view.Load()
	switch {
	case n.draining.Load():
		reason = dandeliongap.ReasonStopping
	case v.ZonesOut[n.settings.Zone] && n.clock.now() > n.zoneOutSince().Add(addressLifetime+addressLifetimeMargin):
		// Callers may still use an address for addressLifetime after it left the
		// list.
		reason = dandeliongap.ReasonZoneOut
	case !v.Serving:
		reason = v.NotServingReason
	default:
		return end, dandeliongap.ReasonNone
	}
	end()
	return nil, reason
}

// deadlineOf returns the deadline of a request that may take ms milliseconds. If ms
// is 0, the request may take as long as the service's default, or 1 s if there is no
// default.
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

// classOf returns the class with the given name, or the service's default class if
// name is empty.
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

// refuse writes the response to a request that was not admitted.
func (n *Node) refuse(c fiber.Ctx, reason dandeliongap.Reason) error {
	n.stats.count(dandeliongap.OutcomeNotRun, false)
	n.log.Info("refuse", "Rule", "E1", "Path", c.Path(), "Reason", reason)
	return c.Status(fiber.StatusServiceUnavailable).JSON(struct {
		ID           string `json:"Id"`
		Outcome      string
		Reason       string
		RetryAfterMs int64
	}{n.requestID(), dandeliongap.OutcomeNotRun.String(), reason.String(), refusalRetryAfter.Milliseconds()})
}

// refusalRetryAfter is the retry-after of a request that was not admitted. It is
// short because another VM can serve the request.
const refusalRetryAfter = 100 * time.Millisecond
