package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	workTime      = 2 * time.Second // that each request takes at a replica
	callerRate    = 10              // requests a second
	callerTimeout = 5 * time.Second
	quietTime     = 5 * time.Second // traffic before the stop
	// excusedUntil is the time after SIGTERM up to which a request that the replica still
	// works on at the end may be cut off.
	excusedUntil = 3 * time.Second
)

func init() { cases["shutdown"] = playShutdown }

// playShutdown stops a VM in a planned way while clients go on sending requests that take
// long but much less than they may.
func playShutdown(s *stage) (held bool, err error) {
	st := newStore()
	var reps []*server
	for i := range 4 {
		ln, err := net.Listen("tcp", loopbackIP(9)+":0")
		if err != nil {
			return false, err
		}
		rep := &server{id: fmt.Sprintf("i-%d", i), service: "orders", log: s.log, answer: func(rep *server, c net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(headerID)
			rep.ran(id)
			time.Sleep(workTime)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 3\r\n\r\nok\n", headerID, id, headerStamp, rep.stamp(id))
			return err == nil
		}}
		rep.start(ln)
		reps = append(reps, rep)
		st.put("servers", rep.id, rep.entry("ready"))
	}
	st.put("config", "main", oneRoute("1", "orders", "orders", "unsafe", callerTimeout))
	if err := s.startTier(1, st); err != nil {
		return false, err
	}
	v := s.vms[0]
	begin := time.Now()
	stopAt := begin.Add(quietTime)
	var mu sync.Mutex
	var calls []call
	var wg sync.WaitGroup
	var stopped time.Time
	wg.Go(func() {
		time.Sleep(time.Until(stopAt))
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		if !s.trouble {
			return
		}
		s.log.line("SIGTERM to %s", v.name)
		v.signal(syscall.SIGTERM)
		select {
		case <-v.exited:
			s.log.line("%s ended by itself", v.name)
		case <-time.After(graceS * time.Second):
			s.log.line("SIGKILL to %s", v.name)
			v.kill()
		}
	})
	end := stopAt.Add((graceS + 1) * time.Second)
	d := &directoryCache{vm: v}
	wg.Go(func() { d.keep(s.log, end) })
	p := newPool(v.entry)
	tick := time.NewTicker(time.Second / callerRate)
	defer tick.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-tick.C
		if !d.names() {
			continue
		}
		wg.Go(func() {
			out := p.send(fmt.Sprintf("%016x", n), http.MethodPost, "/orders/x", "one", callerTimeout)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, out)
		})
	}
	wg.Wait()
	held = true
	for _, c := range calls {
		runs := 0
		for _, rep := range reps {
			runs += rep.ranTimes(c.id)
		}
		after := c.sentAt.Sub(stopped)
		took := c.doneAt.Sub(c.sentAt)
		lost := c.status == 0 && runs > 0 && c.closedByPeer && took < callerTimeout && after > excusedUntil
		if lost {
			held = false
		}
		s.log.line("client %s sent %+.0f ms after SIGTERM, runs %d, status %d after %.0f ms, error %v, lost %t", c.id, after.Seconds()*1000, runs, c.status, took.Seconds()*1000, c.err, lost)
	}
	return held, nil
}

// directoryCache holds what clients know from the directory.
type directoryCache struct {
	vm   *vm
	mu   sync.Mutex
	gone bool // the newest answer does not name the VM
}

// keep asks the directory again whenever the time of the last answer is over. Clients keep
// an answer for longer if they cannot get a new one.
func (d *directoryCache) keep(log *record, end time.Time) {
	for time.Now().Before(end) {
		addrs, ttl, err := resolve(d.vm.directory)
		log.line("directory names %v for %g s, error %v", addrs, ttl, err)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		d.mu.Lock()
		d.gone = !slices.Contains(addrs, d.vm.entry)
		d.mu.Unlock()
		time.Sleep(time.Duration(ttl * float64(time.Second)))
	}
}

// names reports whether clients may use the address of the VM.
func (d *directoryCache) names() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.gone
}

// pool holds the open connections of clients to one address.
type pool struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

func newPool(addr string) *pool { return &pool{addr: addr} }

// send sends a request on an open connection, if there is one, or on a new one.
func (p *pool) send(id, method, path, body string, deadline time.Duration) call {
	p.mu.Lock()
	var c *clientConn
	if n := len(p.idle); n > 0 {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
	}
	p.mu.Unlock()
	if c == nil {
		var err error
		if c, err = dialClient(p.addr); err != nil {
			return call{id: id, sentAt: time.Now(), doneAt: time.Now(), err: err}
		}
	}
	out, keep := c.send(id, method, path, body, deadline)
	if !keep {
		_ = c.Close()
		return out
	}
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	return out
}
