package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	configTime = 5 * time.Second // the time for a version in mprc-search-grown
	// calmTime is how long all VMs have been calm before the change, and how long requests are
	// sent after configTime.
	calmTime  = 6 * time.Second
	keptRate  = 19                     // requests per second of the second tenant, if its limit stays
	noLimit   = 0                      // its rate, if its limit is lifted
	lookEvery = 500 * time.Millisecond // keeps the tenants within their limits
)

// lookup is a request whose handling tells which version is in force.
type lookup struct{ path, key, what string }

var lookups = []lookup{
	{"/reprint/", "new-key-of-scheme-1", "route moved from statement-print to audit-trail"},
	{"/audit/", "key-of-scheme-2", "route added"},
	{"/reprint/", "old-key-of-scheme-1", "key removed"},
}

// liftedLimit publishes a version that moves a route, adds one and removes a key. With the
// disruption it also lifts the limit of a tenant, whose burst stays. It looks whether requests are
// handled as only the version before allows.
func liftedLimit(s *scenario) (bool, error) {
	zones := []string{"kochi", "thrissur", "tvm"}
	for i, service := range []string{"statement-print", "audit-trail", "statement-print", "audit-trail"} {
		srv, err := newServer(fmt.Sprintf("i-%d", i), service, zones[i%len(zones)], 4, 2*time.Millisecond, &s.mu, &s.runs)
		if err != nil {
			return false, err
		}
		s.store.put("servers", srv.id, registration(srv.service, srv.ln, srv.zone, cap(srv.slots)))
	}
	s.store.put("config", "main", json.RawMessage(liftBefore))
	if err := s.startTier(zones, "front-kochi-1", "front-thrissur-1", "front-tvm-1"); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	s.lookAll("before", false)
	rate := keptRate
	if s.trouble {
		rate = noLimit
	}
	s.store.put("config", "main", json.RawMessage(fmt.Sprintf(string(liftAfter), rate)))
	s.log("version 4 is confirmed, with a rate of %d for scheme-2", rate)
	time.Sleep(configTime + lookEvery)
	older := 0
	for end := time.Now().Add(calmTime); time.Now().Before(end); time.Sleep(lookEvery) {
		older += s.lookAll("after", true)
	}
	s.log("%d requests were handled as only version 1 allows", older)
	return older > 0, nil
}

// lookAll sends each lookup to each VM. It returns how many of them were handled as only the
// first version allows, if the second one is due.
func (s *scenario) lookAll(when string, due bool) (older int) {
	client := &http.Client{Timeout: 3 * time.Second}
	for _, v := range s.vms {
		for _, l := range lookups {
			s.mu.Lock()
			before := len(s.runs)
			s.mu.Unlock()
			id := fmt.Sprintf("l%d", time.Now().UnixNano())
			req := newRequest(http.MethodGet, "http://"+v.entry+l.path+"1", id, "2000", "")
			req.Header.Set("Authorization", "Bearer "+l.key)
			resp, err := client.Do(req)
			if err != nil {
				s.log("%s, %s, %s: %v", when, v.name, l.what, err)
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			var services []string
			s.mu.Lock()
			for _, r := range s.runs[before:] {
				if r.id == id {
					services = append(services, r.service)
				}
			}
			s.mu.Unlock()
			ranBy := strings.Join(services, ", ")
			old := false
			switch l.path + l.key {
			case "/audit/key-of-scheme-2":
				old = resp.StatusCode == http.StatusNotFound
			case "/reprint/old-key-of-scheme-1":
				old = ranBy != ""
			default:
				old = strings.Contains(ranBy, "statement-print")
			}
			note := ""
			if old && due {
				older++
				note = ", as only version 1 allows"
			}
			s.log("%s, %s, %s: request %s answered %d, run by %q%s", when, v.name, l.what, id, resp.StatusCode, ranBy, note)
		}
	}
	return older
}
