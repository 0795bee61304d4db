package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	at                           time.Time
	id, server, service, account string
	request, body                string // method and path, and the body, as far as they are recorded
}

// server is a stand-in for a replica: sound, with a number of slots.
type server struct {
	id, service, zone string
	slots             chan struct{}
	ln                net.Listener
	work              time.Duration

	mu   *sync.Mutex // guards runs
	runs *[]run
}

func newServer(id, service, zone string, slots int, work time.Duration, mu *sync.Mutex, runs *[]run) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, slots: make(chan struct{}, slots), ln: ln, work: work, mu: mu, runs: runs}
	go func() { _ = http.Serve(ln, s) }() // ends with the process
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	if want := r.Header.Get(wire.ExpectedInstance); want != "" && want != s.id {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	*s.runs = append(*s.runs, run{at: time.Now(), id: id, server: s.id, service: s.service, account: r.Header.Get(wire.Account)})
	n := len(*s.runs)
	s.mu.Unlock()
	time.Sleep(s.work)
	body := fmt.Sprintf("%s %s\n", s.service, id)
	w.Header().Set(wire.Stamp, fmt.Sprintf("%s.%s.%d", s.id, id, n))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
