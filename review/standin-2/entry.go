package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	entryTime = 8 * time.Second
	entryGap  = 20 * time.Millisecond // between two requests of clients
	orderPath = "/dispatch/"
)

// oddEntry sends orders that may run once at most, while one of the entries of the servers comes
// from another writer: it is that of a server, but its name ends with a line break. It looks
// whether a server runs what no client sent.
func oddEntry(s *scenario) (bool, error) {
	zones := []string{"lk-west-a", "lk-west-b", "lk-west-c"}
	for i := range 4 {
		r, err := newRawServer(s, fmt.Sprintf("i-%d", i), "billing-ledger", zones[i%2], 6, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.start()
		entry := registration(r.service, r.ln, r.zone, cap(r.slots))
		s.store.put("servers", r.id, entry)
		if s.trouble && i == 0 {
			s.store.put("servers", r.id+"\n", entry)
			s.log("another writer wrote an entry with the name %q", r.id+"\n")
		}
	}
	s.store.put("config", "main", json.RawMessage(strayConfig))
	if err := s.startTier(zones, "front-a-1", "front-b-1", "front-c-1"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wg sync.WaitGroup
	var mu sync.Mutex
	orders, answers := make(map[string]string), make(map[string]string)
	for i, end := 0, time.Now().Add(entryTime); time.Now().Before(end); i++ {
		v, id := s.vms[i%len(s.vms)], fmt.Sprintf("e%05d", i)
		order := fmt.Sprintf("%d sleepers to yard %d", 100+i%900, i%30)
		mu.Lock()
		orders[id] = order
		mu.Unlock()
		wg.Go(func() {
			answer := "no answer"
			if resp, err := client.Do(newRequest(http.MethodPost, "http://"+v.entry+orderPath+id, id, "5000", order)); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				answer = resp.Status
			}
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
		})
		time.Sleep(entryGap)
	}
	wg.Wait()
	return s.judgeOrders(orders, answers), nil
}

// judgeOrders reports whether a server ran a request with another path or body than a client sent.
func (s *scenario) judgeOrders(orders, answers map[string]string) bool {
	s.mu.Lock()
	runs := append([]run(nil), s.runs...)
	s.mu.Unlock()
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].id < runs[j].id })
	changed := 0
	for _, r := range runs {
		note := ""
		if order, ok := orders[r.id]; !ok || r.request != http.MethodPost+" "+orderPath+r.id || r.body != order {
			changed++
			note = " UNASKED"
		}
		s.log("%s: sent %q, answered %s, run by %s as %s %q%s", r.id, orders[r.id], answers[r.id], r.server, r.request, r.body, note)
	}
	s.log("%d requests sent, %d run, %d run with another path or body", len(orders), len(runs), changed)
	return changed > 0
}
