package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	machineFds   = 4100 // MaxFds
	usualClients = 2450 // each keeps one connection open
	burstFactor  = 1.7
	burstTime    = 3 * time.Second
	// usualPause is the time between two requests of a client on its open connection.
	usualPause = 10 * time.Second
	// newEvery is the time between two requests on new connections.
	newEvery = 200 * time.Millisecond
	// calmAfter is the time after the burst from which on requests count.
	calmAfter   = 10 * time.Second
	countedTime = 15 * time.Second
	// routeTimeout is TimeoutMs, and lateBy how much later an answer is missing.
	routeTimeout, lateBy = 2 * time.Second, 500 * time.Millisecond
)

func init() { cases["crowd"] = playCrowd }

// playCrowd plays a burst of users beside the usual ones, which keep their connections
// open. Afterwards it checks whether requests on new connections are answered.
func playCrowd(s *stage) (held bool, err error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3*machineFds/2 {
		return false, fmt.Errorf("the stand-in may open only %d files", limit.Cur)
	}
	s.maxFds = machineFds
	st := newStore()
	for i := range 4 {
		ln, err := net.Listen("tcp", loopbackIP(9)+":0")
		if err != nil {
			return false, err
		}
		rep := &server{id: fmt.Sprintf("i-%d", i), service: "ledger", log: s.log, answer: func(rep *server, c net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(headerID)
			rep.ran(id)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 3\r\n\r\nok\n", headerID, id, headerStamp, rep.stamp(id))
			return err == nil
		}}
		rep.start(ln)
		st.put("servers", rep.id, rep.entry("ready"))
	}
	st.put("config", "main", oneRoute("1", "ledger", "ledger", "unsafe", routeTimeout))
	if err := s.startTier(1, st); err != nil {
		return false, err
	}
	v := s.vms[0]
	connected := make(chan bool, usualClients)
	done := make(chan struct{})
	var usual sync.WaitGroup
	for n := range usualClients {
		usual.Go(func() {
			// All connect within three seconds.
			time.Sleep(3 * time.Second * time.Duration(n) / usualClients)
			s.keepOpen(v.entry, n, done, connected)
		})
	}
	for range usualClients {
		if !<-connected {
			return false, fmt.Errorf("a usual client was not served")
		}
	}
	s.log.line("%d clients keep a connection open", usualClients)
	if s.trouble {
		s.burst(v.entry)
	} else {
		time.Sleep(burstTime)
	}
	time.Sleep(calmAfter)
	var wg sync.WaitGroup
	var mu sync.Mutex
	open, missing := 0, 0 // requests without an answer at the timeout, and lateBy after it
	sent := int(countedTime / newEvery)
	for n := range sent {
		wg.Go(func() {
			out := sendNew(v.entry, fmt.Sprintf("new-%d", n))
			took := out.doneAt.Sub(out.sentAt)
			s.log.line("client new-%d status %d after %.0f ms, error %v", n, out.status, took.Seconds()*1000, out.err)
			mu.Lock()
			defer mu.Unlock()
			if out.status == 0 && took > routeTimeout {
				open++
				if took > routeTimeout+lateBy {
					missing++
				}
			}
		})
		time.Sleep(newEvery)
	}
	wg.Wait()
	ready, _ := get("http://" + v.ready + wire["ready_path"])
	close(done)
	usual.Wait()
	s.log.line("requests on new connections: %d, unanswered at the timeout: %d, still %v later: %d; readiness check: %d", sent, open, lateBy, missing, ready)
	fmt.Printf("requests on new connections %d, unanswered at the timeout %d, still %v later %d; readiness check %d\n", sent, open, lateBy, missing, ready)
	return 2*missing <= open, nil
}

// keepOpen sends requests on one connection until done is closed. It reports whether the
// first one was served.
func (s *stage) keepOpen(addr string, n int, done chan struct{}, connected chan bool) {
	c, err := dialClient(addr)
	if err != nil {
		connected <- false
		return
	}
	defer c.Close()
	for k := 0; ; k++ {
		out, keep := c.send(fmt.Sprintf("usual-%d-%d", n, k), http.MethodPost, "/ledger/x", "one", callerTimeout)
		if k == 0 {
			connected <- out.status == http.StatusOK
		}
		if !keep {
			return
		}
		select {
		case <-done:
			return
		case <-time.After(usualPause):
		}
	}
}

// burst lets further clients come at once and leave after burstTime.
func (s *stage) burst(addr string) {
	more := int((burstFactor - 1) * usualClients)
	s.log.line("burst of %d more clients begins", more)
	end := time.Now().Add(burstTime)
	var wg sync.WaitGroup
	for n := range more {
		wg.Go(func() {
			c, err := dialClient(addr)
			if err != nil {
				return
			}
			defer c.Close()
			time.AfterFunc(time.Until(end), func() { _ = c.Close() })
			c.send(fmt.Sprintf("burst-%d", n), http.MethodPost, "/ledger/x", "one", callerTimeout)
			time.Sleep(time.Until(end))
		})
	}
	wg.Wait()
	s.log.line("burst is over, its connections are closed")
}

func sendNew(addr, id string) call {
	c, err := dialClient(addr)
	if err != nil {
		return call{id: id, sentAt: time.Now(), doneAt: time.Now(), err: err}
	}
	defer c.Close()
	out, _ := c.send(id, http.MethodPost, "/ledger/x", "one", callerTimeout)
	return out
}
