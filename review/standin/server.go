package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a replica. It checks the expected instance, echoes the
// request's id and states its stamp, as the pages say.
type server struct {
	id, service, addr string
	born              int64
	ln                net.Listener
	log               *record
	// answer serves a request whose head is read. It reports whether the connection may
	// carry another request.
	answer func(s *server, c net.Conn, r *http.Request) (keep bool)

	mu   sync.Mutex
	runs map[string]int // by request id
}

func (s *server) start(ln net.Listener) {
	s.ln, s.addr, s.born = ln, ln.Addr().String(), time.Now().UnixMilli()
	s.runs = make(map[string]int)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

// entry is the registration of the replica.
func (s *server) entry(state string) string {
	return message("server", "service", s.service, "address", s.addr, "slots", "6", "state", state, "born", fmt.Sprint(s.born))
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 4096)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if want := r.Header.Get(headerExpected); want != "" && want != s.id {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, s.id)
			continue
		}
		if !s.answer(s, c, r) {
			return
		}
	}
}

// ran records that the replica began to work on a request.
func (s *server) ran(id string) {
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.log.line("run    %s at %s", id, s.id)
}

func (s *server) ranTimes(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) stamp(id string) string { return s.id + "." + id }
