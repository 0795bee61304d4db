package dgclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// ConflictError reports that the configuration in force has another version than
// the one that a change was based on. It wraps dandeliongap.ErrConflict.
type ConflictError struct {
	Current dandeliongap.Version // version in force
	Given   dandeliongap.Version // version that the change was based on
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at version %d, change is based on version %d", e.Current, e.Given)
}

// Unwrap returns dandeliongap.ErrConflict.
func (e *ConflictError) Unwrap() error { return dandeliongap.ErrConflict }

// Status is the state of one VM: the JSON as received, and the fields of it that
// every version of the daemon sends.
type Status struct {
	Raw      json.RawMessage `json:"-"`
	Self     dandeliongap.MemberID
	Zone     dandeliongap.ZoneName
	Serving  bool
	Why      string               // reason for not serving
	Config   dandeliongap.Version // version of the configuration in force
	ZonesOut []dandeliongap.ZoneName
	Members  []dandeliongap.MemberID
}

// sendAuthorized sends an operator call with the token, and with failover to other
// addresses. It returns an error for every status but 200.
func (c *Client) sendAuthorized(ctx context.Context, q call) (reply, error) {
	c.prepareOperatorCall(&q)
	r := c.sendWithFailover(ctx, q, "")
	if r.err != nil || r.status != fasthttp.StatusOK {
		return r, r.failure(q)
	}
	return r, nil
}

// prepareOperatorCall sets the end of an operator call and adds the token to its
// header.
func (c *Client) prepareOperatorCall(q *call) {
	q.end = time.Now().Add(c.timeout)
	q.header = append(q.header, [2]string{fasthttp.HeaderAuthorization, "Bearer " + c.token})
}

// GetConfig returns the text and the version of the configuration in force.
func (c *Client) GetConfig(ctx context.Context) (string, dandeliongap.Version, error) {
	r, err := c.sendAuthorized(ctx, call{method: fasthttp.MethodGet, path: "/v1/config", repeatable: true})
	if err != nil {
		return "", 0, err
	}
	version, err := r.version()
	return string(r.body), version, err
}

// ApplyConfig replaces the configuration text if its version is still ifVersion
// (0: there is none) and returns the new version. If the version is another, the
// error wraps ErrConflict; it is a *ConflictError if the response can be decoded. The
// error wraps ErrInvalid if the text fails the checks. ApplyConfig does not retry
// once a byte was written: after ErrUnreachable the caller may repeat the call with
// the same changeID.
func (c *Client) ApplyConfig(ctx context.Context, text string, ifVersion dandeliongap.Version, changeID string) (dandeliongap.Version, error) {
	q := call{method: fasthttp.MethodPut, path: "/v1/config", body: func() ([]byte, error) { return []byte(text), nil }, header: [][2]string{
		{fasthttp.HeaderIfMatch, strconv.Quote(strconv.FormatUint(uint64(ifVersion), 10))},
		{"Change-Id", changeID},
	}}
	r, err := c.sendAuthorized(ctx, q)
	if r.err == nil && r.status == fasthttp.StatusConflict {
		return 0, trace.Wrap(conflict(r, ifVersion))
	}
	if err != nil {
		return 0, err
	}
	return r.version()
}

// conflict returns the error of a 409 response: a *ConflictError if the body can be
// decoded, otherwise an error that quotes the body.
func conflict(r reply, given dandeliongap.Version) error {
	e := ConflictError{Given: given}
	if err := json.Unmarshal(r.body, &e); err != nil {
		return fmt.Errorf("change is based on version %d: %s: %w", given, r.message(), dandeliongap.ErrConflict)
	}
	return &e
}

// Status returns the state of any one VM.
func (c *Client) Status(ctx context.Context) (Status, error) {
	q := call{method: fasthttp.MethodGet, path: "/v1/status", repeatable: true}
	r, err := c.sendAuthorized(ctx, q)
	if err != nil {
		return Status{}, err
	}
	return parseStatus(r)
}

// StatusAt returns the state of the VM at an address.
func (c *Client) StatusAt(ctx context.Context, addr string) (Status, error) {
	q := call{method: fasthttp.MethodGet, path: "/v1/status"}
	c.prepareOperatorCall(&q)
	r := c.sendTo(ctx, addr, q)
	if r.err != nil || r.status != fasthttp.StatusOK {
		return Status{}, r.failure(q)
	}
	return parseStatus(r)
}

// parseStatus decodes the typed fields of a status. A field whose JSON type differs,
// because the daemon has another version, stays zero.
func parseStatus(r reply) (Status, error) {
	s := Status{Raw: r.body}
	var other *json.UnmarshalTypeError
	if err := json.Unmarshal(r.body, &s); err != nil && !errors.As(err, &other) {
		return Status{}, trace.Wrap(fmt.Errorf("cannot decode the status from %s: %w: %w", r.addr, err, dandeliongap.ErrInvalid))
	}
	return s, nil
}

// SetZoneOut takes an availability zone out of service, or returns it to service if
// out is false. A repeat has no further effect.
func (c *Client) SetZoneOut(ctx context.Context, name dandeliongap.ZoneName, out bool) error {
	verb := "return"
	if out {
		verb = "take-out"
	}
	_, err := c.sendAuthorized(ctx, call{method: fasthttp.MethodPost, path: "/v1/zones/" + url.PathEscape(string(name)) + "/" + verb})
	return err
}

// version parses the configuration version in the ETag of a reply.
func (r reply) version() (dandeliongap.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil {
		return 0, trace.Wrap(fmt.Errorf("ETag %q from %s is not a configuration version: %w", r.etag, r.addr, dandeliongap.ErrUnreachable))
	}
	return dandeliongap.Version(n), nil
}
