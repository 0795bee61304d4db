package dgclient

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Options of a Client. Addresses is required.
type Options struct {
	Addresses []string      // "IP:port" of any VMs of the tier
	Token     string        // operator token; callers need none
	Timeout   time.Duration // of calls without a deadline of their own. Default: DefaultTimeout
}

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 10 * time.Second

// Hit is one result of a search.
type Hit struct {
	ID    string `json:"Id"`
	Score float64
	Text  string
}

// SearchRequest is one search. An empty Class and a zero Deadline mean the
// service's own.
type SearchRequest struct {
	Service     dandeliongap.ServiceName
	Query       string
	Class       string
	Deadline    time.Duration
	MinCoverage float64 // 0 to 1
}

// SearchResult is the tier's answer to a search.
type SearchResult struct {
	ID           string
	Outcome      dandeliongap.Outcome
	IndexVersion dandeliongap.IndexVersion
	Merged       int // parts of the index in the answer
	Total        int // parts of the index version
	Coverage     float64
	Hits         []Hit
	Reason       string
	RetryAfter   time.Duration
	Address      string // VM that was asked
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
	Address    string // VM that was asked
}

// ConflictError reports that the configuration has another version than the
// change was based on. It wraps dandeliongap.ErrConflict.
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

// Status is the state of one VM: the JSON as received and the part of it that
// every version has.
type Status struct {
	Raw      json.RawMessage `json:"-"`
	Self     dandeliongap.MemberID
	Zone     dandeliongap.ZoneName
	Serving  bool
	Why      string
	Config   dandeliongap.Version
	ZonesOut []dandeliongap.ZoneName
	Members  []dandeliongap.MemberID
}

// Client talks to the tier for callers and operators. It is safe for concurrent
// use.
type Client struct{}

// New returns a client; ErrInvalid if there is no address.
func New(o Options) (*Client, error) { _ = o; return &Client{}, nil }

// Search runs one search. The error wraps ErrNotRun, ErrInvalid or
// ErrUnreachable and agrees with Outcome.
func (c *Client) Search(ctx context.Context, r SearchRequest) (SearchResult, error) {
	panic("not implemented yet")
}

// Act makes one attempt of an action. A repeat with the same key is the caller's
// decision and goes to another address.
func (c *Client) Act(ctx context.Context, r ActionRequest) (ActionResult, error) {
	panic("not implemented yet")
}

// GetConfig returns the configuration text and its version.
func (c *Client) GetConfig(ctx context.Context) (string, dandeliongap.Version, error) {
	panic("not implemented yet")
}

// ApplyConfig replaces the configuration text if its version is still ifVersion
// and returns the new version; a *ConflictError otherwise.
func (c *Client) ApplyConfig(ctx context.Context, text string, ifVersion dandeliongap.Version, changeID string) (dandeliongap.Version, error) {
	panic("not implemented yet")
}

// Status returns the state of one VM.
func (c *Client) Status(ctx context.Context) (Status, error) { panic("not implemented yet") }

// Zone takes an availability zone out of service or returns it.
func (c *Client) Zone(ctx context.Context, name dandeliongap.ZoneName, out bool) error {
	panic("not implemented yet")
}

// Close closes all connections.
func (c *Client) Close() error { return nil }
