package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	strayShare = 0.03                  // garble of krs-search: how = "extra late", x = 0.03
	strayAfter = 40 * time.Millisecond // the next request on the connection is at work then
	strayTime  = 5 * time.Second       // for_s = 5.0
	calmBefore = 2 * time.Second
	calmAfter  = 2 * time.Second
	orderWork  = 60 * time.Millisecond
	orderGap   = 6 * time.Millisecond // between two requests of clients
)

// strayText is the one reply of a replica that bears no request id: that to a request without one.
var strayText = "HTTP/1.1 400 Bad Request\r\n" + wire.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// strayRejection sends requests that may run once at most, while replicas send additional bytes
// after some of their responses, and counts how often each request runs.
func strayRejection(s *scenario) (bool, error) {
	zones := []string{"lk-west-a", "lk-west-b", "lk-west-c"}
	var strayFrom, strayTo time.Time
	strayKnown := make(chan struct{}) // closed when strayFrom and strayTo are set
	stray := func() bool {
		<-strayKnown
		now := time.Now()
		return now.After(strayFrom) && now.Before(strayTo) && rand.Float64() < strayShare
	}
	for i := range 4 {
		r, err := newRawServer(s, fmt.Sprintf("i-%d", i), "billing-ledger", zones[i%2], 6, orderWork)
		if err != nil {
			return false, err
		}
		if s.trouble && i < 2 { // garble of krs-search: share = 0.6
			r.stray, r.strayText, r.strayAfter = stray, strayText, strayAfter
		}
		r.start()
		s.store.put("servers", r.id, registration(r.service, r.ln, r.zone, cap(r.slots)))
	}
	s.store.put("config", "main", json.RawMessage(strayConfig))
	if err := s.startTier(zones, "front-a-1", "front-b-1", "front-c-1"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]string)
	begin := time.Now()
	strayFrom, strayTo = begin.Add(calmBefore), begin.Add(calmBefore+strayTime)
	close(strayKnown)
	for i, end := 0, strayTo.Add(calmAfter); time.Now().Before(end); i++ {
		v, id := s.vms[i%len(s.vms)], fmt.Sprintf("d%05d", i)
		wg.Go(func() {
			req := newRequest(http.MethodPost, "http://"+v.entry+"/dispatch/"+id, id, "5000", "one lorry")
			answer := "no answer"
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				answer = resp.Status + ", stamp " + resp.Header.Get(wire.Stamp)
			}
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
		})
		time.Sleep(orderGap)
	}
	wg.Wait()
	return s.judgeRuns(answers), nil
}

// judgeRuns reports whether a request ran more than once, or ran although it was refused.
func (s *scenario) judgeRuns(answers map[string]string) bool {
	s.mu.Lock()
	byID := make(map[string][]run)
	for _, r := range s.runs {
		byID[r.id] = append(byID[r.id], r)
	}
	s.mu.Unlock()
	var ids []string
	for id := range answers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	twice, refused := 0, 0
	for _, id := range ids {
		var runs []string
		for _, r := range byID[id] {
			runs = append(runs, fmt.Sprintf("%s at %.3f", r.server, r.at.Sub(s.begin).Seconds()))
		}
		note := ""
		if len(runs) > 1 {
			twice++
			note = " TWICE"
		}
		if answer := answers[id]; len(runs) > 0 && (strings.HasPrefix(answer, "503") || strings.HasPrefix(answer, "429")) {
			refused++
			note += " REFUSED"
		}
		s.log("%s: answered %s; run by %s%s", id, answers[id], strings.Join(runs, ", "), note)
	}
	s.log("%d requests, %d ran more than once, %d ran although they were refused", len(ids), twice, refused)
	return twice > 0 || refused > 0
}
