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

// addressTimeout bounds the question for addresses at one VM.
const addressTimeout = time.Second

const (
	// refreshTimeout bounds the questions of one refresh.
	refreshTimeout = 2 * time.Second
	// refreshPause is the time between a failed refresh and the next one.
	refreshPause = time.Second
)

// Bounds of the time that a list of addresses is kept.
const (
	minKeep = 100 * time.Millisecond
	maxKeep = 10 * time.Minute
)

// keptKeys is the number of idempotency keys without an answer whose last
// address is remembered.
const keptKeys = 1024

// addressBook chooses the VM for each request.
//
// Rules:
//
//	A1: The list comes from /v1/addresses of any VM and is kept for its KeepMs.
//	    VMs of the last list are asked first, then the addresses of the options.
//	A2: Requests take the addresses of the list in turn, from a random start.
//	A3: An address that failed is passed over until the next list, and a new list
//	    is asked for at once. When all failed, all are tried again.
//	A4: A repeat with the same idempotency key goes to another address than the
//	    last attempt, if there is one.
type addressBook struct {
	seeds []string

	refresh sync.Mutex // held by the one that asks for a new list

	mu     sync.Mutex
	list   []string
	until  time.Time
	failed map[string]bool
	next   int
	keys   []dandeliongap.IdempotencyKey // oldest first
	last   map[dandeliongap.IdempotencyKey]string
}

// due tells whether a new list is needed, and whether there is none at all.
func (a *addressBook) due() (due, none bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !time.Now().Before(a.until), len(a.list) == 0
}

// sources returns the addresses to ask for a list, best first.
func (a *addressBook) sources() []string {
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

// set keeps a new list.
func (a *addressBook) set(list []string, keep time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
	a.until = time.Now().Add(min(max(keep, minKeep), maxKeep))
	clear(a.failed)
}

// postpone keeps the old list for a while after no VM gave a new one, so that an
// outage does not make each request ask all of them.
func (a *addressBook) postpone() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until = time.Now().Add(refreshPause)
}

// fail passes an address over.
func (a *addressBook) fail(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed[addr] = true
	a.until = time.Time{}
}

// pick returns the next address that is none of tried, or "" if there is none.
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

// lastOf returns the address of the last attempt with a key.
func (a *addressBook) lastOf(key dandeliongap.IdempotencyKey) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last[key]
}

// attempted remembers the address of an attempt with a key.
func (a *addressBook) attempted(key dandeliongap.IdempotencyKey, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.last[key]; !known {
		if len(a.keys) == keptKeys {
			delete(a.last, a.keys[0])
			a.keys = slices.Delete(a.keys, 0, 1)
		}
		a.keys = append(a.keys, key)
	}
	a.last[key] = addr
}

// Addresses returns the addresses that the tier currently gives out.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	err := c.refresh(ctx)
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if len(c.book.list) == 0 {
		return nil, trace.Wrap(errors.Join(err, dandeliongap.ErrUnreachable))
	}
	return slices.Clone(c.book.list), nil
}

// refresh asks for a new list of addresses if the kept one is too old (A1).
// Requests that have a list do not wait for another one's question.
func (c *Client) refresh(ctx context.Context) error {
	due, none := c.book.due()
	if !due {
		return nil
	}
	if none {
		c.book.refresh.Lock()
	} else if !c.book.refresh.TryLock() {
		return nil
	}
	defer c.book.refresh.Unlock()
	if due, _ := c.book.due(); !due {
		return nil
	}
	end := time.Now().Add(refreshTimeout)
	last := error(dandeliongap.ErrUnreachable)
	for _, addr := range c.book.sources() {
		last = c.askAddresses(ctx, addr)
		if last == nil || ctx.Err() != nil || !time.Now().Before(end) {
			break
		}
	}
	if last != nil {
		c.book.postpone()
	}
	return last
}

func (c *Client) askAddresses(ctx context.Context, addr string) error {
	q := call{method: fasthttp.MethodGet, path: "/v1/addresses", end: time.Now().Add(addressTimeout)}
	r := c.ask(ctx, addr, q)
	if r.err != nil {
		return r.failure(q)
	}
	var answer struct {
		Addresses []string
		KeepMs    int64
	}
	if err := json.Unmarshal(r.body, &answer); err != nil || r.status != fasthttp.StatusOK || len(answer.Addresses) == 0 {
		return r.failure(q)
	}
	keep := min(max(answer.KeepMs, 0), maxKeep.Milliseconds())
	c.book.set(answer.Addresses, time.Duration(keep)*time.Millisecond)
	c.trim(answer.Addresses)
	return nil
}
