package dgnode

import (
	"crypto/subtle"
	"errors"
	"expvar"
	"strconv"
	"strings"

	"dandeliongap.example/dandeliongap"
	"github.com/gofiber/fiber/v3"
)

// operatorRoutes registers the endpoints for operators. Each call needs the operator
// token.
func (n *Node) operatorRoutes(app *fiber.App) {
	app.Get("/v1/config", n.requireOperator, n.getConfig)
	app.Put("/v1/config", n.requireOperator, n.putConfig)
	app.Get("/v1/status", n.requireOperator, n.getStatus)
	app.Post("/v1/zones/:name/:verb", n.requireOperator, n.postZone)
	app.Get("/debug/vars", n.requireOperator, n.getVars)
}

// requireOperator refuses a call without the operator token (E2). The response does
// not say what was wrong. A VM without a configured token refuses all calls.
func (n *Node) requireOperator(c fiber.Ctx) error {
	given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	token := string(n.settings.OperatorToken)
	if ok && token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(token)) == 1 {
		return c.Next()
	}
	n.log.Warn("refuse", "Rule", "E2", "Path", c.Path(), "From", c.IP(), "Reason", "unauthorized")
	return c.SendStatus(fiber.StatusUnauthorized)
}

func (n *Node) getConfig(c fiber.Ctx) error {
	text, version := n.control.deploymentText()
	if version == 0 {
		return fiber.NewError(fiber.StatusNotFound, "no configuration was accepted yet")
	}
	c.Set(fiber.HeaderETag, etag(version))
	return c.SendString(text)
}

func etag(v dandeliongap.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func (n *Node) putConfig(c fiber.Ctx) error {
	given, err := strconv.ParseUint(strings.Trim(c.Get(fiber.HeaderIfMatch), `"`), 10, 64)
	if err != nil {
		return badRequest(`If-Match must hold the version that the change is based on, "0" for none`)
	}
	id := c.Get("Change-Id")
	if id == "" || len(id) > maxKeyBytes {
		return badRequest("Change-Id must be given, with at most " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	version, err := n.control.apply(c.Context(), string(c.Body()), dandeliongap.Version(given), id)
	return n.writeChange(c, version, dandeliongap.Version(given), err)
}

// writeChange writes the response to an operator's change.
func (n *Node) writeChange(c fiber.Ctx, version, given dandeliongap.Version, err error) error {
	body := struct {
		Version dandeliongap.Version `json:",omitempty"` // version after the change
		Current dandeliongap.Version `json:",omitempty"` // version found instead of Given, on a conflict
		Given   dandeliongap.Version `json:",omitempty"`
		Error   string               `json:",omitempty"`
	}{Given: given}
	if err == nil {
		body.Version = version
		c.Set(fiber.HeaderETag, etag(version))
		return c.JSON(body)
	}
	body.Error = err.Error()
	status := fiber.StatusGatewayTimeout
	switch {
	case errors.Is(err, dandeliongap.ErrConflict):
		status = fiber.StatusConflict
		body.Current = version
	case errors.Is(err, dandeliongap.ErrInvalid):
		status = fiber.StatusBadRequest
	case errors.Is(err, dandeliongap.ErrTooLarge):
		status = fiber.StatusRequestEntityTooLarge
	case errors.Is(err, dandeliongap.ErrNotFound):
		status = fiber.StatusNotFound
	case errors.Is(err, dandeliongap.ErrNotRun):
		status = fiber.StatusServiceUnavailable
	}
	return c.Status(status).JSON(body)
}

func (n *Node) postZone(c fiber.Ctx) error {
	out := c.Params("verb") == "take-out"
	if !out && c.Params("verb") != "return" {
		return fiber.NewError(fiber.StatusNotFound, "the verbs are take-out and return")
	}
	version, err := n.control.setZoneOut(c.Context(), dandeliongap.ZoneName(c.Params("name")), out)
	return n.writeChange(c, version, 0, err)
}

func (n *Node) getVars(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.SendString(`{"dandeliongap": ` + n.stats.vars.String() + `, "memstats": ` + expvar.Get("memstats").String() + "}")
}
