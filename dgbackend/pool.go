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

// closeGrace is the time that a backend server has to close its end of a
// connection after its last request is over.
const closeGrace = time.Second

// pool holds the connections of one replica.
type pool struct {
	c    *Client
	addr string

	mu            sync.Mutex
	limit         int // Replica.Connections
	targetIdle    int // free connections to keep: Replica.Slots
	idle          []*conn
	open          int // connections that count against limit, idle ones included
	waiters       []chan struct{}
	preconnecting bool
	closing       int           // number of Disconnect and Close calls under way
	empty         chan struct{} // closed when open reaches 0; nil while nobody waits
}

func newPool(c *Client, addr string) *pool {
	return &pool{c: c, addr: addr}
}

// acquire returns a connection, or the reason why there is none: no byte was
// sent then. It waits for a place until deadline.
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

// take returns a free connection, a place for a new one, or a channel that tells
// when to try again.
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

// await waits for a turn. A turn that comes too late goes to the next one.
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

// wake lets the longest waiting request try again. Callers hold mu.
func (p *pool) wake() {
	if len(p.waiters) == 0 {
		return
	}
	close(p.waiters[0])
	p.waiters = p.waiters[1:]
}

// dial makes a connection in a place that was taken, or gives the place back. A
// connect goes on when its request is over, and its connection becomes free: the
// backend server may have accepted it already, so that giving the place back at
// once would break B1.
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

// connect returns a new connection; nil if there is none and the place was given
// back.
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

// releasePermit gives a place back.
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

// release makes a connection free after a whole answer and opens missing ones
// ahead (B6).
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

// preconnect opens connections until the pool has as many as it keeps. It stops
// at the first failure; the next answer starts it again. Callers took the first
// place and hold the client's wait group.
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

// preconnectOne opens one connection in a place that was taken and pays its cost.
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

// health asks GET /health on a connection and releases or retires it.
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

// roundTrip sends a request without a body on a connection, reads the whole answer
// and releases the connection, or retires it if anything went wrong.
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

// retire closes a connection and gives its place back when the backend server
// has closed its end, at the latest at end plus closeGrace (B1). Callers hold the
// client's wait group.
func (p *pool) retire(cn *conn, end time.Time) {
	p.c.wg.Add(1)
	go func() {
		defer p.c.wg.Done()
		cn.drain(end.Add(closeGrace), p.c.opt.MaxResponseBytes)
		p.releasePermit()
	}()
}

// shut refuses new requests and closes free connections. It returns a channel
// that is closed when the last connection is gone. Callers hold the client's
// wait group and call reopen later.
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

// reopen allows requests again.
func (p *pool) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing--
}

// counters are the atomic form of Stats.
type counters struct {
	requests, dials, dialFails, preconnects, cancels, broken, stale atomic.Int64
}
