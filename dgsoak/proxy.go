package dgsoak

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// PathFault is how a path through a proxy misbehaves.
type PathFault struct {
	// Delay is how late each piece of data arrives.
	Delay time.Duration
	// SilentThere and SilentBack hold up all data towards the server and back, for as long
	// as the fault lasts; connections stay open.
	SilentThere, SilentBack bool
	// Loss is the share of the datagrams that are lost.
	Loss float64
}

const (
	// pieceBytes is the size of the pieces in which a proxy passes data on.
	pieceBytes = 4 << 10
	// holdCheckInterval is the time between two checks whether a path is still silent.
	holdCheckInterval = 10 * time.Millisecond
	proxyDialTimeout  = time.Second
)

// proxy passes TCP connections on to a server.
type proxy struct {
	ln net.Listener
	wg conc.WaitGroup

	mu     sync.Mutex
	target string
	fault  PathFault
	conns  map[net.Conn]bool // both ends of all connections
	closed bool
}

// newProxy starts a proxy on a port of its own.
func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) setTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

func (p *proxy) setFault(f PathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close closes all connections and waits for the goroutines of the proxy.
func (p *proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	err := p.ln.Close()
	p.reset()
	p.wg.Wait()
	return err
}

// add records a connection. It returns false if the proxy is closed.
func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !p.add(c) {
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

func (p *proxy) serve(near net.Conn) {
	defer p.remove(near)
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if !p.hold(func(f PathFault) bool { return f.SilentThere }) {
		return
	}
	far, err := net.DialTimeout("tcp", target, proxyDialTimeout)
	if err != nil || !p.add(far) {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as from a port without a listener
		}
		return
	}
	defer p.remove(far)
	var wg conc.WaitGroup
	wg.Go(func() { p.pass(far, near, func(f PathFault) bool { return f.SilentThere }) })
	wg.Go(func() { p.pass(near, far, func(f PathFault) bool { return f.SilentBack }) })
	wg.Wait()
}

// hold waits while the path is silent. It returns false when the proxy is closed.
func (p *proxy) hold(silent func(PathFault) bool) bool {
	for {
		p.mu.Lock()
		f, closed := p.fault, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !silent(f) {
			return true
		}
		time.Sleep(holdCheckInterval)
	}
}

// pass copies data from one end to the other until one of them ends.
func (p *proxy) pass(dst, src net.Conn, silent func(PathFault) bool) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.mu.Lock()
			delay := p.fault.Delay
			p.mu.Unlock()
			time.Sleep(delay)
			if !p.hold(silent) {
				break
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := dst.(*net.TCPConn); ok && n == 0 {
			_ = tcp.CloseWrite() // the other direction may still have data
			return
		}
		break
	}
	_ = dst.Close()
	_ = src.Close()
}
