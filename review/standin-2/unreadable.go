package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	unreadableTime = 6 * time.Second
	unreadableGap  = 20 * time.Millisecond // between two requests of clients
)

// unreadableName sends requests for one service, while one of the entries of the servers comes from
// another writer: its name cannot be read, and its address is that of a server of another service.
// It looks whether that server runs them.
func unreadableName(s *scenario) (bool, error) {
	zones := []string{"lk-west-a", "lk-west-b", "lk-west-c"}
	for i, service := range []string{"billing-ledger", "billing-ledger", "fleet-track"} {
		srv, err := newServer(fmt.Sprintf("i-%d", i), service, zones[i], 6, 5*time.Millisecond, &s.mu, &s.runs)
		if err != nil {
			return false, err
		}
		s.store.put("servers", srv.id, registration(service, srv.ln, srv.zone, cap(srv.slots)))
		if s.trouble && service == "fleet-track" {
			s.store.put("servers", rawByte+"odd", registration("billing-ledger", srv.ln, srv.zone, cap(srv.slots)))
			s.log("another writer wrote an entry whose name begins with the byte %x, for billing-ledger at the address of %s", rawByte, srv.id)
		}
	}
	s.store.put("config", "main", json.RawMessage(unreadableConfig))
	if err := s.startTier(zones, "front-a-1", "front-b-1", "front-c-1"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	client := &http.Client{Timeout: 6 * time.Second}
	sent, astray := 0, 0
	for end := time.Now().Add(unreadableTime); time.Now().Before(end); time.Sleep(unreadableGap) {
		v, id := s.vms[sent%len(s.vms)], fmt.Sprintf("u%05d", sent)
		sent++
		resp, err := client.Do(newRequest(http.MethodGet, "http://"+v.entry+"/invoice/"+id, id, "5000", ""))
		if err != nil {
			s.log("%s: %v", id, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.mu.Lock()
		var ran []string
		wrong := false
		for _, r := range s.runs {
			if r.id == id {
				ran = append(ran, r.server+" of "+r.service)
				wrong = wrong || r.service != "billing-ledger"
			}
		}
		s.mu.Unlock()
		note := ""
		if wrong {
			astray++
			note = " ROUTE"
		}
		s.log("%s: answered %d %q, run by %q%s", id, resp.StatusCode, body, ran, note)
	}
	s.log("%d requests for billing-ledger sent, %d run by another service", sent, astray)
	return astray > 0, nil
}
