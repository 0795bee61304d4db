package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	indentedServers = 2
	indentedRate    = 100 // requests a second
	indentedTime    = 12 * time.Second
	// indentedWork is the time that a request takes at a replica. Several are in flight at a
	// time, so that the VM needs both replicas.
	indentedWork = 30 * time.Millisecond
)

func init() { cases["indented"] = playIndented }

// playIndented removes the entry of a replica, at a store that formats its answers with
// line breaks. The replica goes on serving.
func playIndented(s *stage) (held bool, err error) {
	st := newStore()
	st.indent = true
	var mu sync.Mutex
	arrived := make(map[string]time.Time) // by request: at the replica that leaves
	var leaving *server
	for i := range indentedServers {
		ln, err := net.Listen("tcp", loopbackIP(9)+":0")
		if err != nil {
			return false, err
		}
		rep := &server{id: fmt.Sprintf("i-%d", i), service: "ledger", log: s.log, answer: func(rep *server, c net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(headerID)
			rep.ran(id)
			if rep.id == "i-0" {
				mu.Lock()
				arrived[id] = time.Now()
				mu.Unlock()
			}
			time.Sleep(indentedWork)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 3\r\n\r\nok\n", headerID, id, headerStamp, rep.stamp(id))
			return err == nil
		}}
		rep.start(ln)
		if i == 0 {
			leaving = rep
		}
		st.put("servers", rep.id, rep.entry("ready"))
	}
	st.put("config", "main", oneRoute("1", "ledger", "ledger", "unsafe", 2*time.Second))
	if err := s.startTier(1, st); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if s.trouble {
		st.remove("servers", leaving.id)
		s.log.line("entry of %s removed", leaving.id)
	}
	removedAt := time.Now()
	p := newPool(s.vms[0].entry)
	late, served := 0, 0
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / indentedRate)
	defer tick.Stop()
	for n := 0; time.Since(removedAt) < indentedTime; n++ {
		<-tick.C
		wg.Go(func() {
			id := fmt.Sprintf("%016x", n)
			begin := time.Now()
			out := p.send(id, http.MethodPost, "/ledger/x", "one", 2*time.Second)
			s.log.line("client %s sent %.0f ms after the removal, status %d", id, begin.Sub(removedAt).Seconds()*1000, out.status)
			mu.Lock()
			defer mu.Unlock()
			if out.status == http.StatusOK {
				served++
			}
			if _, there := arrived[id]; there && s.trouble && begin.Sub(removedAt) > drainTime {
				late++
				s.log.line("LATE   %s reached %s", id, leaving.id)
			}
		})
	}
	wg.Wait()
	fmt.Printf("served %d, of these at the removed replica later than %v %d\n", served, drainTime, late)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return late == 0, nil
}
