package dgbackend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/valyala/fasthttp"
)

// closeGrace is how long a backend server may take to close its end of a connection
// after the last request on it has ended.
const closeGrace = time.Second

// pool holds the connections to one replica. There are limit permits. Every
// connection holds one of them, also while it is being dialed or closed.
type pool struct {
	c    *Client
	addr string

	mu            sync.Mutex
	limit         int // Replica.Connections
	targetIdle    int // idle connections to keep: Replica.Slots, at most limit
	idle          []*conn
	open          int // permits in use, idle connections included
	waiters       []chan struct{}
	preconnecting bool
	closing       int           // calls of shut that reopen has not undone
	empty         chan struct{} // closed when open reaches 0; nil if no call waits for that
}

func newPool(c *Client, addr string) *pool {
	return &pool{c: c, addr: addr}
}

// acquire returns a connection, or the reason why there is none; in that case no byte
// of the request was sent. It waits for an idle connection, a permit or a new
// connection until deadline or until ctx ends.
func (p *pool) acquire(ctx context.Context, r *dandeliongap.Replica, deadline time.Time) (*conn, dandeliongap.Reason) {
	for {
		cn, permit, wait, reason := p.take(r)
		switch {
		case reason != dandeliongap.ReasonNone:
			return nil, reason
		case cn != nil:
			if cn.tcp.SetDeadline(deadline) == nil && cn.alive() {
				return cn, dandeliongap.ReasonNone
			}
			p.c.stats.stale.Add(1)
			p.retire(cn, time.Now())
		case permit:
			return p.dial(ctx, deadline)
		default:
			if reason := p.await(ctx, wait, deadline); reason != dandeliongap.ReasonNone {
				return nil, reason
			}
		}
	}
}

// take returns an idle connection, or a permit for a new one, or a channel that is
// closed when the caller should try again. It returns only a reason if the pool is
// shut. It first updates limit and targetIdle from r.
func (p *pool) take(r *dandeliongap.Replica) (cn *conn, permit bool, wait chan struct{}, reason dandeliongap.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing > 0 {
		return nil, false, nil, dandeliongap.ReasonNotOwner
	}
	p.limit, p.targetIdle = max(1, r.Connections), min(int(r.Slots), max(1, r.Connections))
	if n := len(p.idle); n > 0 {
		cn = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return cn, false, nil, dandeliongap.ReasonNone
	}
	if p.open < p.limit {
		p.open++
		return nil, true, nil, dandeliongap.ReasonNone
	}
	wait = make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return nil, false, wait, dandeliongap.ReasonNone
}

// await waits until wait is closed, ctx ends or the deadline passes. In the last two
// cases wait may have been closed at the same time. The wake-up is then passed on to
// the next waiter.
func (p *pool) await(ctx context.Context, wait chan struct{}, deadline time.Time) dandeliongap.Reason {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	reason := dandeliongap.ReasonDeadline
	select {
	case <-wait:
		return dandeliongap.ReasonNone
	case <-ctx.Done():
		reason = dandeliongap.ReasonCancelled
	case <-t.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return reason
		}
	}
	p.wake()
	return reason
}

// wake makes the caller of acquire that has waited longest try again. The caller of
// wake must hold mu.
func (p *pool) wake() {
	if len(p.waiters) == 0 {
		return
	}
	close(p.waiters[0])
	p.waiters = p.waiters[1:]
}

// dial opens a connection with a permit that the caller has taken. If dialing fails,
// the permit is released. If the request ends first, dialing continues and the
// connection becomes idle. The backend server may already have accepted it, so
// releasing the permit at once would violate B1.
func (p *pool) dial(ctx context.Context, deadline time.Time) (*conn, dandeliongap.Reason) {
	dialed, abandoned := make(chan *conn), make(chan struct{})
	p.c.wg.Add(1)
	go func() {
		defer p.c.wg.Done()
		cn := p.connect()
		select {
		case dialed <- cn:
		case <-abandoned:
			if cn != nil {
				p.release(cn)
			}
		}
	}()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	reason := dandeliongap.ReasonDeadline
	select {
	case cn := <-dialed:
		if cn == nil {
			return nil, dandeliongap.ReasonConnection
		}
		return cn, dandeliongap.ReasonNone
	case <-ctx.Done():
		reason = dandeliongap.ReasonCancelled
	case <-t.C:
	}
	close(abandoned)
	return nil, reason
}

// connect opens a connection with a permit that the caller has taken. If that fails,
// it releases the permit and returns nil.
func (p *pool) connect() *conn {
	p.c.stats.dials.Add(1)
	nc, err := net.DialTimeout("tcp", p.addr, p.c.opt.DialTimeout)
	if err == nil {
		var cn *conn
		if cn, err = newConn(nc.(*net.TCPConn)); err == nil {
			return cn
		}
		_ = nc.Close()
	}
	p.c.stats.dialFails.Add(1)
	p.releasePermit()
	return nil
}

// releasePermit returns the permit of a closed connection or of a failed dial.
func (p *pool) releasePermit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wake()
	if p.open == 0 && p.empty != nil {
		close(p.empty)
		p.empty = nil
	}
}

// release makes a connection idle after a complete response, or closes it if it is
// not needed, and opens missing connections in advance (B6).
func (p *pool) release(cn *conn) {
	p.mu.Lock()
	if p.closing > 0 || len(p.idle) >= p.targetIdle || p.open > p.limit {
		p.mu.Unlock()
		p.retire(cn, time.Now())
		return
	}
	p.idle = append(p.idle, cn)
	p.wake()
	start := !p.preconnecting && p.open < p.targetIdle
	if start {
		p.preconnecting = true
		p.open++
		p.c.wg.Add(1)
	}
	p.mu.Unlock()
	if start {
		go p.preconnect()
	}
}

// preconnect opens connections until targetIdle permits are in use. It stops at the
// first failure; the next response starts it again. The caller has taken the first
// permit and added this call to the client's wait group.
func (p *pool) preconnect() {
	defer p.c.wg.Done()
	for p.preconnectOne() {
		p.mu.Lock()
		more := p.open < p.targetIdle && p.closing == 0
		if more {
			p.open++
		} else {
			p.preconnecting = false
		}
		p.mu.Unlock()
		if !more {
			return
		}
	}
	p.mu.Lock()
	p.preconnecting = false
	p.mu.Unlock()
}

// preconnectOne opens a connection with a permit that the caller has taken and sends
// a health check on it, so that no request is slowed by being the first on the
// connection (B6). It reports whether the health check succeeded.
func (p *pool) preconnectOne() bool {
	cn := p.connect()
	if cn == nil {
		return false
	}
	if _, err := p.health(cn, time.Now().Add(p.c.opt.DialTimeout)); err != nil {
		return false
	}
	p.c.stats.preconnects.Add(1)
	return true
}

// health sends GET /health on a connection, which it releases or retires, and
// returns the body of the response.
func (p *pool) health(cn *conn, end time.Time) ([]byte, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := p.roundTrip(cn, fasthttp.MethodGet, "/health", resp, end); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, statusError(resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// roundTrip sends a request without a body on a connection and reads the complete
// response. It then releases the connection, or retires it if the exchange failed or
// the connection cannot be reused.
func (p *pool) roundTrip(cn *conn, method, path string, resp *fasthttp.Response, end time.Time) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(p.addr)
	_, err := cn.send(req, end)
	if err == nil {
		err = cn.receive(resp, p.c.opt.MaxResponseBytes)
	}
	if err != nil {
		p.c.stats.broken.Add(1)
		p.retire(cn, end)
		return err
	}
	if !cn.reusable(resp) {
		p.retire(cn, time.Now())
		return nil
	}
	p.release(cn)
	return nil
}

// retire closes a connection in the background and releases its permit when the
// backend server has closed its end, at the latest closeGrace after end (B1). end is
// the time by which the last request on the connection is over. The caller must be
// registered in the client's wait group.
func (p *pool) retire(cn *conn, end time.Time) {
	p.c.wg.Add(1)
	go func() {
		defer p.c.wg.Done()
		cn.drain(end.Add(closeGrace), p.c.opt.MaxResponseBytes)
		p.releasePermit()
	}()
}

// shut refuses new requests and closes idle connections. It returns a channel that
// is closed when no connection is left. The caller must be registered in the
// client's wait group. The pool accepts requests again when reopen has been called
// once for each call of shut.
func (p *pool) shut() <-chan struct{} {
	p.mu.Lock()
	p.closing++
	idle := p.idle
	p.idle = nil
	if p.empty == nil {
		p.empty = make(chan struct{})
		if p.open == 0 {
			close(p.empty)
		}
	}
	empty := p.empty
	if p.open == 0 {
		p.empty = nil
	}
	p.mu.Unlock()
	for _, cn := range idle {
		p.retire(cn, time.Now())
	}
	return empty
}

// reopen undoes one call of shut.
func (p *pool) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing--
}

// counters holds the cumulative counters of Stats.
type counters struct {
	requests, dials, dialFails, preconnects, cancels, broken, stale atomic.Int64
}
