package dgsoak

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/sourcegraph/conc"
)

// maxDatagramBytes is the size of the largest datagram that UDP carries.
const maxDatagramBytes = 64 << 10

// relay passes datagrams on to a server, and what the server sends back to their senders.
type relay struct {
	conn   *net.UDPConn
	target netip.AddrPort
	wg     conc.WaitGroup

	mu    sync.Mutex
	fault PathFault
	// back has the socket from which the datagrams of a sender are passed on, so that
	// replies find their way back to it.
	back   map[netip.AddrPort]*net.UDPConn
	closed bool
}

// newRelay starts a relay that listens on addr.
func newRelay(addr, target string) (*relay, error) {
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	r := &relay{conn: conn, target: to, back: make(map[netip.AddrPort]*net.UDPConn)}
	r.wg.Go(func() { r.pass(conn, r.there) })
	return r, nil
}

func (r *relay) setFault(f PathFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Close closes all sockets and waits for the goroutines of the relay.
func (r *relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.conn.Close()
	for _, c := range r.back {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

// pass calls fn with the datagrams that arrive at a socket, until it is closed.
func (r *relay) pass(conn *net.UDPConn, fn func(datagram []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			fn(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// there passes a datagram on to the server, unless the path loses it.
func (r *relay) there(datagram []byte, from netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.fault.SilentThere || rand.Float64() < r.fault.Loss {
		return
	}
	c := r.back[from]
	if c == nil {
		var err error
		if c, err = listenFree(); err != nil {
			return // as if the datagram was lost
		}
		r.back[from] = c
		r.wg.Go(func() {
			r.pass(c, func(reply []byte, _ netip.AddrPort) {
				r.mu.Lock()
				lost := r.fault.SilentBack || rand.Float64() < r.fault.Loss
				r.mu.Unlock()
				if !lost {
					_, _ = r.conn.WriteToUDPAddrPort(reply, from) // datagrams may be lost
				}
			})
		})
	}
	_, _ = c.WriteToUDPAddrPort(datagram, r.target) // datagrams may be lost
}

// listenFree opens a socket on a port that no listener for TCP has either: a VM that gets
// heartbeats from it may pull changes from the same port.
func listenFree() (*net.UDPConn, error) {
	addr, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
}
