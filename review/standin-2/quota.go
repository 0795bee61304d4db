package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The tenant, as quota.json has it: its name, key, rate and burst.
	tenant     = "scheme-1"
	tenantKey  = "key-of-scheme-1"
	tenantRate = 100.0 // requests per second
	burst      = 200.0 // requests

	// The bounds of the rule, as the sheet of mprc-search-grown has them.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0

	freezeTime = 4 * time.Second        // node_freeze of krs-search: for_s = 4.0, count = 1
	floodLead  = 400 * time.Millisecond // the flood begins so long before the VM wakes
	floodTime  = 6 * time.Second        // hot_tenant of mprc-search-grown: for_s = 6.5, x = 7.5
	floodRate  = 5 * tenantRate
)

// sent is a request of a client.
type sent struct {
	at     time.Time
	status int // 0: no answer
	vm     string
}

// quotaAfterFreeze floods the tier with requests of one tenant that was idle before, while the VM
// that owns the tenant's quota wakes from a freeze, and counts the requests that run in a window.
func quotaAfterFreeze(s *scenario) (bool, error) {
	zones := []string{"kochi", "thrissur", "tvm"}
	for i := range 6 {
		srv, err := newServer(fmt.Sprintf("i-%d", i), "statement-print", zones[i%len(zones)], 4, 2*time.Millisecond, &s.mu, &s.runs)
		if err != nil {
			return false, err
		}
		s.store.put("servers", srv.id, registration(srv.service, srv.ln, srv.zone, cap(srv.slots)))
	}
	s.store.put("config", "main", json.RawMessage(quotaConfig))
	if err := s.startTier(zones, "front-kochi-1", "front-thrissur-1", "front-tvm-1", "front-kochi-2", "front-thrissur-2", "front-tvm-2"); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // the VMs know each other, and the windows of their start are over
	owner := s.vms[ownerIndex]
	if s.trouble {
		owner.signal(syscall.SIGSTOP)
		s.log("%s is frozen", owner.name)
	}
	wake := time.Now().Add(freezeTime)
	time.Sleep(freezeTime - floodLead)
	s.log("the flood of the tenant begins: %g requests a second", floodRate)
	awake := make(chan struct{})
	go func() {
		defer close(awake)
		time.Sleep(time.Until(wake))
		if s.trouble {
			owner.signal(syscall.SIGCONT)
			s.log("%s is awake", owner.name)
		}
	}()
	requests := s.flood(owner, awake)
	s.log("the flood is over")
	return s.judgeQuota(requests), nil
}

// flood sends requests of the tenant to all VMs by turns, to a frozen one once it is awake. It
// returns them by their ids.
func (s *scenario) flood(frozen *vm, awake <-chan struct{}) map[string]sent {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]sent)
	tick := time.NewTicker(time.Duration(float64(time.Second) / floodRate))
	defer tick.Stop()
	end := time.Now().Add(floodTime)
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		v := s.vms[i%len(s.vms)]
		if v == frozen {
			select {
			case <-awake:
			default:
				continue
			}
		}
		id := fmt.Sprintf("q%05d", i)
		wg.Go(func() {
			req := newRequest(http.MethodGet, "http://"+v.entry+"/reprint/"+id, id, "2000", "")
			req.Header.Set("Authorization", "Bearer "+tenantKey)
			r := sent{at: time.Now(), vm: v.name}
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				r.status = resp.StatusCode
			}
			mu.Lock()
			defer mu.Unlock()
			out[id] = r
		})
	}
	wg.Wait()
	return out
}

// judgeQuota looks for a window in which more requests were both sent and run than the rule allows.
func (s *scenario) judgeQuota(requests map[string]sent) bool {
	s.mu.Lock()
	runs := append([]run(nil), s.runs...)
	s.mu.Unlock()
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	limit := (tenantRate*quotaWindow.Seconds()+burst)*(1+quotaOvershoot) + quotaSlack
	most := 0
	var from time.Time
	first := make(map[string]bool) // a request counts once
	var counted []run
	for _, r := range runs {
		if r.account == tenant && !first[r.id] {
			first[r.id] = true
			counted = append(counted, r)
		}
	}
	for _, r := range counted {
		begin := requests[r.id].at
		n := 0
		for _, x := range counted {
			if at := requests[x.id].at; !at.Before(begin) && x.at.Sub(begin) < quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, begin
		}
	}
	byVM, byStatus := make(map[string]int), make(map[int]int)
	for _, r := range requests {
		byStatus[r.status]++
		if r.status == http.StatusOK {
			byVM[r.vm]++
		}
	}
	s.log("sent %d, by status %v, served by VM %v", len(requests), byStatus, byVM)
	bySecond := make(map[int]int)
	for _, r := range counted {
		bySecond[int(math.Floor(r.at.Sub(from).Seconds()))]++
	}
	s.log("run by second of the fullest window: %v", bySecond)
	s.log("most requests of %s sent and run in %s: %d, allowed %g", tenant, quotaWindow, most, limit)
	var ids []string
	for id := range requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		r := requests[id]
		line := []string{id, strconv.FormatFloat(r.at.Sub(s.begin).Seconds(), 'f', 3, 64), r.vm, "status", strconv.Itoa(r.status), "run"}
		for _, x := range runs {
			if x.id == id {
				line = append(line, strconv.FormatFloat(x.at.Sub(s.begin).Seconds(), 'f', 3, 64))
			}
		}
		s.log("%s", strings.Join(line, " "))
	}
	return float64(most) > limit
}

// ownerIndex is the index of the VM that owns the quota of the tenant. It follows from the names
// of the VMs and of the tenant.
const ownerIndex = 1
