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

// rawServer is a stand-in for a replica that writes its responses itself, so that it can send
// additional bytes after a complete one.
type rawServer struct {
	id, service, zone string
	ln                net.Listener
	slots             chan struct{}
	work              time.Duration
	stray             func() bool   // tells whether stray bytes follow a response; nil: never
	strayText         string        // these bytes
	strayAfter        time.Duration // how long after the response they follow
	s                 *scenario
}

func newRawServer(s *scenario, id, service, zone string, slots int, work time.Duration) (*rawServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rawServer{id: id, service: service, zone: zone, ln: ln, slots: make(chan struct{}, slots), work: work, s: s}
	return r, nil
}

// start begins to accept connections.
func (r *rawServer) start() {
	go func() {
		for {
			c, err := r.ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
}

// serve serves a connection. No write begins before the last one is whole.
func (r *rawServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var mu sync.Mutex
	write := func(text string) bool {
		mu.Lock()
		defer mu.Unlock()
		_, err := io.WriteString(c, text)
		return err == nil
	}
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		received, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get(wire.RequestID)
		if want := req.Header.Get(wire.ExpectedInstance); want != "" && want != r.id {
			if !write(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.RequestID, id, wire.NotRun)) {
				return
			}
			continue
		}
		r.slots <- struct{}{}
		r.s.ran(run{id: id, server: r.id, service: r.service, request: req.Method + " " + req.URL.RequestURI(), body: string(received)})
		time.Sleep(r.work)
		<-r.slots
		body := r.service + " " + id + "\n"
		if !write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s", wire.RequestID, id, wire.Stamp, r.id, id, len(body), body)) {
			return
		}
		if r.stray != nil && r.stray() {
			time.AfterFunc(r.strayAfter, func() {
				if write(r.strayText) {
					r.s.log("%s sent stray bytes %s after its response to %s", r.id, r.strayAfter, id)
				}
			})
		}
	}
}
