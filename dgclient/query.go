package dgclient

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/valyala/fasthttp"
)

// answerMargin is the time that the client waits beyond the deadline of a request,
// so that it still receives the tier's own report of a missed deadline.
const answerMargin = time.Second

// Hit is one result of a search.
type Hit struct {
	ID    string `json:"Id"`
	Score float64
	Text  string
}

// SearchRequest is one search. An empty Class and a zero Deadline stand for the
// defaults of the service.
type SearchRequest struct {
	Service     dandeliongap.ServiceName
	Query       string
	Class       string // name of a dandeliongap.Class
	Deadline    time.Duration
	MinCoverage float64 // lowest coverage to accept, 0 to 1
}

// SearchResult is the tier's answer to a search.
type SearchResult struct {
	ID           string
	Outcome      dandeliongap.Outcome
	IndexVersion dandeliongap.IndexVersion
	Merged       int // index parts that the answer covers
	Total        int // index parts of this index version
	Coverage     float64
	Hits         []Hit
	Reason       string
	RetryAfter   time.Duration
	Address      string // VM that was asked last
}

// ActionRequest is one request that may not be repeated.
type ActionRequest struct {
	Service  dandeliongap.ServiceName
	Key      dandeliongap.IdempotencyKey
	Body     string
	Deadline time.Duration
}

// ActionResult is the tier's answer to an action.
type ActionResult struct {
	ID         string
	Outcome    dandeliongap.Outcome
	Body       string
	Reason     string
	RetryAfter time.Duration
	Address    string // VM that was asked last
}

// answer is the JSON of the tier's answers to searches and actions.
type answer struct {
	ID           string `json:"Id"`
	Outcome      string
	IndexVersion dandeliongap.IndexVersion
	Merged       int
	Total        int
	Coverage     float64
	Hits         []Hit
	Body         string
	Reason       string
	RetryAfterMs int64
}

// vmOnlyReasons holds the refusal reasons that concern only the VM that was asked:
// another VM may serve the request.
var vmOnlyReasons = map[string]bool{
	dandeliongap.ReasonStopping.String(): true,
	dandeliongap.ReasonZoneOut.String():  true,
	dandeliongap.ReasonIsolated.String(): true,
	dandeliongap.ReasonLease.String():    true,
}

// Search runs one search. After a connection failure, or a refusal that concerns
// only the VM that was asked (it is stopping or isolated, for example), it is sent to
// another address within the deadline. The error agrees with Outcome: nil if the
// search was answered; ErrNotRun, ErrInvalid or ErrTooLarge if it did not run;
// ErrUnreachable if it is unknown whether it ran.
func (c *Client) Search(ctx context.Context, r SearchRequest) (SearchResult, error) {
	q := call{method: fasthttp.MethodPost, path: "/v1/search", end: c.endOf(r.Deadline), repeatable: true}
	q.body = func() ([]byte, error) {
		return json.Marshal(struct {
			Service     dandeliongap.ServiceName
			Query       string
			Class       string
			DeadlineMs  int64
			MinCoverage float64
		}{r.Service, r.Query, r.Class, remainingMs(r.Deadline, q.end), r.MinCoverage})
	}
	a, got, outcome, err := c.runWithFailover(ctx, q, "")
	return SearchResult{
		ID: a.ID, Outcome: outcome, IndexVersion: a.IndexVersion, Merged: a.Merged, Total: a.Total,
		Coverage: a.Coverage, Hits: a.Hits, Reason: a.Reason,
		RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond, Address: got.addr,
	}, err
}

// Act runs an action. To avoid running it twice, it is sent to another address only
// if no byte was written, or if a VM refused it as not run for a reason that concerns
// only that VM. The caller decides whether to retry with the same key; a retry goes
// to another address. The errors are those of Search, and ErrConflict with the
// outcome "not run" if the key was used with another body.
func (c *Client) Act(ctx context.Context, r ActionRequest) (ActionResult, error) {
	q := call{method: fasthttp.MethodPost, path: "/v1/actions", end: c.endOf(r.Deadline)}
	q.body = func() ([]byte, error) {
		return json.Marshal(struct {
			Service    dandeliongap.ServiceName
			Key        dandeliongap.IdempotencyKey
			Body       string
			DeadlineMs int64
		}{r.Service, r.Key, r.Body, remainingMs(r.Deadline, q.end)})
	}
	a, got, outcome, err := c.runWithFailover(ctx, q, c.book.lastAddress(r.Key))
	if got.sent {
		c.book.recordAttempt(r.Key, got.addr)
	}
	return ActionResult{
		ID: a.ID, Outcome: outcome, Body: a.Body, Reason: a.Reason,
		RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond, Address: got.addr,
	}, err
}

// endOf returns the time at which the client aborts a request: answerMargin after
// its deadline, or after the client's timeout if it has no deadline.
func (c *Client) endOf(deadline time.Duration) time.Time {
	if deadline <= 0 {
		return time.Now().Add(c.timeout)
	}
	return time.Now().Add(deadline + answerMargin)
}

// remainingMs returns the milliseconds left of a deadline: 0 if there is none, and
// at least 1 otherwise, since 0 would select the default of the service.
func remainingMs(deadline time.Duration, end time.Time) int64 {
	if deadline <= 0 {
		return 0
	}
	return max(1, time.Until(end.Add(-answerMargin)).Milliseconds())
}

// runWithFailover sends a request, and sends it to another address within the
// deadline if a VM refused it for a reason that concerns only that VM. Connection
// failures are left to sendWithFailover.
func (c *Client) runWithFailover(ctx context.Context, q call, avoid string) (answer, reply, dandeliongap.Outcome, error) {
	for attempt := 1; ; attempt++ {
		a, got, outcome, err := c.run(ctx, q, avoid)
		if outcome != dandeliongap.OutcomeNotRun || !vmOnlyReasons[a.Reason] || attempt >= maxAddresses || !time.Now().Before(q.end) {
			return a, got, outcome, err
		}
		c.book.markFailed(got.addr)
		avoid = got.addr
	}
}

// run sends a search or action and decodes its answer. A refusal by one VM does not
// rule out that an earlier address, which did not answer, ran the request: the outcome
// is then unknown.
func (c *Client) run(ctx context.Context, q call, avoid string) (answer, reply, dandeliongap.Outcome, error) {
	r := c.sendWithFailover(ctx, q, avoid)
	if r.err != nil {
		err := r.failure(q)
		if errors.Is(err, dandeliongap.ErrNotRun) {
			return answer{}, r, dandeliongap.OutcomeNotRun, err
		}
		return answer{}, r, dandeliongap.OutcomeUnknown, err
	}
	var a answer
	if err := json.Unmarshal(r.body, &a); err != nil {
		a = answer{}
	}
	outcome := outcomeOf(r.status, a.Outcome)
	if r.sentBefore && outcome == dandeliongap.OutcomeNotRun {
		outcome = dandeliongap.OutcomeUnknown
	}
	switch outcome {
	case dandeliongap.OutcomeAnswered:
		return a, r, outcome, nil
	case dandeliongap.OutcomeUnknown:
		return a, r, outcome, r.refusal(q, dandeliongap.ErrUnreachable)
	default:
		return a, r, outcome, r.failure(q)
	}
}

// outcomeOf returns the outcome on which the HTTP status and the outcome reported in
// the body agree, and OutcomeUnknown if they differ. The statuses 400, 409 and 413
// mean OutcomeNotRun whatever the body reports.
func outcomeOf(status int, reported string) dandeliongap.Outcome {
	switch status {
	case fasthttp.StatusOK:
		if reported == dandeliongap.OutcomeAnswered.String() {
			return dandeliongap.OutcomeAnswered
		}
	case fasthttp.StatusServiceUnavailable:
		if reported == dandeliongap.OutcomeNotRun.String() {
			return dandeliongap.OutcomeNotRun
		}
	case fasthttp.StatusBadRequest, fasthttp.StatusConflict, fasthttp.StatusRequestEntityTooLarge:
		return dandeliongap.OutcomeNotRun
	}
	return dandeliongap.OutcomeUnknown
}
