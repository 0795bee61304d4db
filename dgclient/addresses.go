package dgclient

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// fetchTimeout bounds one request for the address list to one VM.
const fetchTimeout = time.Second

const (
	// refreshTimeout is the time after which a refresh asks no further VM.
	refreshTimeout = 2 * time.Second
	// refreshPause is the delay after a failed refresh before the next one.
	refreshPause = time.Second
)

// Bounds of the time for which an address list is used.
const (
	minListTTL = 100 * time.Millisecond
	maxListTTL = 10 * time.Minute
)

// maxRememberedKeys is the number of idempotency keys whose last address is
// remembered. When it is exceeded, the oldest key is dropped.
const maxRememberedKeys = 1024

// addressBook chooses the VM for each request.
//
// Rules:
//
//	A1: The list comes from /v1/addresses of any VM and is used for its KeepMs.
//	    VMs of the last list are asked first, then the addresses in Options.
//	A2: Requests use the addresses of the list in round-robin order, from a
//	    random start.
//	A3: An address that failed is skipped until the next list, and the next
//	    request fetches a new list. When all failed, they are tried again.
//	A4: A retry with the same idempotency key goes to a different address than
//	    the previous attempt, if there is one.
type addressBook struct {
	seeds []string // Options.Addresses

	refreshMu sync.Mutex // held while a new list is fetched

	mu       sync.Mutex
	list     []string
	expires  time.Time                              // of the list
	failed   map[string]bool                        // addresses that failed since the list was fetched
	next     int                                    // round-robin counter over the list
	keys     []dandeliongap.IdempotencyKey          // oldest first
	lastAddr map[dandeliongap.IdempotencyKey]string // address of the last attempt
}

// refreshNeeded reports whether the list has expired, and whether there is no list
// at all.
func (a *addressBook) refreshNeeded() (expired, empty bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !time.Now().Before(a.expires), len(a.list) == 0
}

// refreshSources returns the addresses to fetch a list from: the current list, then
// the seeds, with the failed addresses of both at the end.
func (a *addressBook) refreshSources() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var good, bad []string
	for _, addr := range slices.Concat(a.list, a.seeds) {
		switch {
		case slices.Contains(good, addr), slices.Contains(bad, addr):
		case a.failed[addr]:
			bad = append(bad, addr)
		default:
			good = append(good, addr)
		}
	}
	return append(good, bad...)
}

// replaceList stores a new list, which expires after ttl (at least minListTTL, at
// most maxListTTL), and clears the failure marks.
func (a *addressBook) replaceList(list []string, ttl time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
	a.expires = time.Now().Add(min(max(ttl, minListTTL), maxListTTL))
	clear(a.failed)
}

// postponeRefresh delays the next refresh after no VM returned a list, so that during
// an outage not every request asks all VMs.
func (a *addressBook) postponeRefresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expires = time.Now().Add(refreshPause)
}

// markFailed excludes an address until the next list and expires the current list
// (A3).
func (a *addressBook) markFailed(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed[addr] = true
	a.expires = time.Time{}
}

// pick returns the next address of the list (of the seeds if there is no list) that
// is not in tried, or "" if there is none. It returns a failed address only if no
// other is left.
func (a *addressBook) pick(tried []string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.list
	if len(list) == 0 {
		list = a.seeds
	}
	fallback := ""
	for range list {
		a.next++
		addr := list[a.next%len(list)]
		switch {
		case slices.Contains(tried, addr):
		case a.failed[addr]:
			fallback = addr
		default:
			return addr
		}
	}
	return fallback
}

// lastAddress returns the address of the last attempt with a key, or "".
func (a *addressBook) lastAddress(key dandeliongap.IdempotencyKey) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastAddr[key]
}

// recordAttempt stores the address of an attempt with a key (A4).
func (a *addressBook) recordAttempt(key dandeliongap.IdempotencyKey, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.lastAddr[key]; !known {
		if len(a.keys) == maxRememberedKeys {
			delete(a.lastAddr, a.keys[0])
			a.keys = slices.Delete(a.keys, 0, 1)
		}
		a.keys = append(a.keys, key)
	}
	a.lastAddr[key] = addr
}

// Addresses returns the tier's current address list. If no new list can be fetched,
// it returns the previous one.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	err := c.refresh(ctx)
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if len(c.book.list) == 0 {
		return nil, trace.Wrap(errors.Join(err, dandeliongap.ErrUnreachable))
	}
	return slices.Clone(c.book.list), nil
}

// refresh fetches a new address list if the current one has expired (A1). A request
// that has a list does not wait for a refresh that another request started.
func (c *Client) refresh(ctx context.Context) error {
	expired, empty := c.book.refreshNeeded()
	if !expired {
		return nil
	}
	if empty {
		c.book.refreshMu.Lock()
	} else if !c.book.refreshMu.TryLock() {
		return nil
	}
	defer c.book.refreshMu.Unlock()
	if expired, _ := c.book.refreshNeeded(); !expired {
		return nil
	}
	end := time.Now().Add(refreshTimeout)
	err := error(dandeliongap.ErrUnreachable)
	for _, addr := range c.book.refreshSources() {
		err = c.fetchAddresses(ctx, addr)
		if err == nil || ctx.Err() != nil || !time.Now().Before(end) {
			break
		}
	}
	if err != nil {
		c.book.postponeRefresh()
	}
	return err
}

// fetchAddresses fetches the address list from one VM, stores it, and closes the
// unused transports for addresses that are not in it.
func (c *Client) fetchAddresses(ctx context.Context, addr string) error {
	q := call{method: fasthttp.MethodGet, path: "/v1/addresses", end: time.Now().Add(fetchTimeout)}
	r := c.sendTo(ctx, addr, q)
	if r.err != nil {
		return r.failure(q)
	}
	var list struct {
		Addresses []string
		KeepMs    int64
	}
	if err := json.Unmarshal(r.body, &list); err != nil || r.status != fasthttp.StatusOK || len(list.Addresses) == 0 {
		return r.failure(q)
	}
	ttlMs := min(max(list.KeepMs, 0), maxListTTL.Milliseconds())
	c.book.replaceList(list.Addresses, time.Duration(ttlMs)*time.Millisecond)
	c.closeUnlisted(list.Addresses)
	return nil
}
