package dgsoak

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Check returns the broken promises of a soak that has ended, in order of time. With
// untimed set, it leaves out those with a time bound (see the package comment), except K14
// and the part of K11 about VMs that go back to an earlier configuration.
func Check(l *Ledger, b Bounds, untimed bool) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &checker{Ledger: l, bounds: b}
	c.index()
	c.checkResponses()
	c.checkRuns()
	c.checkAttempts()
	c.checkConfigurations(untimed)
	c.checkUsages()
	c.checkAccounts(untimed)
	c.checkRollouts(untimed)
	c.checkService()
	if !untimed {
		c.checkBudget()
		c.checkDepartures()
		c.checkOutages()
		c.checkPauses()
		c.checkStops()
		c.checkDeadlines()
		c.checkRestores()
		c.checkQuotas()
	}
	c.violations = append(c.violations, l.Found...)
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

type checker struct {
	*Ledger
	bounds     Bounds
	arrivals   []Arrival                          // in order of time
	byRequest  map[RequestID][]Arrival            // the same
	byProcess  map[process][]dandeliongap.Instant // when requests were sent to it
	violations []Violation
}

// process is a process of a VM.
type process struct {
	vm     dandeliongap.VMName
	number int
}

func processOf(x *Exchange) process { return process{x.VM, x.Process} }

func (c *checker) report(promise string, at dandeliongap.Instant, format string, args ...any) {
	c.violations = append(c.violations, Violation{promise, at, fmt.Sprintf(format, args...)})
}

func (c *checker) index() {
	c.byRequest = make(map[RequestID][]Arrival)
	c.byProcess = make(map[process][]dandeliongap.Instant)
	for _, x := range c.Exchanges {
		c.byProcess[processOf(x)] = append(c.byProcess[processOf(x)], x.SentAt)
	}
	for _, a := range c.Arrivals {
		c.arrivals = append(c.arrivals, a)
	}
	slices.SortFunc(c.arrivals, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Number, b.Number))
	})
	for _, a := range c.arrivals {
		c.byRequest[a.Request] = append(c.byRequest[a.Request], a)
	}
}

// calm reports whether no fault touched a VM in the Stable time before a moment or since
// then until end.
func (c *checker) calm(vm dandeliongap.VMName, from, end dandeliongap.Instant) bool {
	begin := from.Add(-c.bounds.Stable)
	return !slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool {
		return (d.VM == "" || d.VM == vm) && d.From <= end && (d.To == 0 || d.To >= begin)
	})
}

// checkResponses checks K1 and K2.
func (c *checker) checkResponses() {
	for _, x := range c.Exchanges {
		if x.Response.Status/100 != 2 {
			continue
		}
		if len(x.Route.Shards) == 0 {
			c.checkSingle(x)
		} else {
			c.checkMerged(x)
		}
	}
}

func (c *checker) checkSingle(x *Exchange) {
	if len(x.Response.Stamps) != 1 {
		c.report("K1", x.AnsweredAt, "request %s: success with %d stamps, want one", x.ID, len(x.Response.Stamps))
		return
	}
	service, _, id, ok := stampOf(x.Response.Stamps[0])
	if !ok || id != x.ID {
		c.report("K1", x.AnsweredAt, "request %s: success with the stamp %q", x.ID, x.Response.Stamps[0])
	} else if !bytes.Equal(x.Response.Body, content(service, x.ID)) {
		c.report("K1", x.AnsweredAt, "request %s: success with %d bytes that are not the response of %s", x.ID, len(x.Response.Body), service)
	}
}

func (c *checker) checkMerged(x *Exchange) {
	var parts [][]byte
	var services []dandeliongap.ServiceName
	for _, s := range x.Response.Stamps {
		service, _, id, ok := stampOf(s)
		if !ok || id != x.ID || slices.Contains(services, service) {
			c.report("K2", x.AnsweredAt, "request %s: success with the stamp %q, after those of %v", x.ID, s, services)
			return
		}
		services = append(services, service)
		parts = append(parts, content(service, x.ID))
	}
	var route *dandeliongap.Route
	for _, p := range c.Publications {
		if r := routeNamed(p.Config, x.Route.Name); r != nil && len(r.Shards) == len(services)+x.Response.Missing && !slices.ContainsFunc(services, func(s dandeliongap.ServiceName) bool {
			return !slices.Contains(r.Shards, s)
		}) {
			route = r
		}
	}
	switch {
	case len(services) == 0 || route == nil:
		c.report("K2", x.AnsweredAt, "request %s: parts of %v and %d missing are the shards of no configuration", x.ID, services, x.Response.Missing)
	case float64(len(services)) < route.MinCoverage*float64(len(route.Shards)):
		c.report("K2", x.AnsweredAt, "request %s: success with %d of %d parts", x.ID, len(services), len(route.Shards))
	case !bytes.Equal(x.Response.Body, merge(parts, route.TopK)):
		c.report("K1", x.AnsweredAt, "request %s: %d bytes that are not the greatest %d records of its parts", x.ID, len(x.Response.Body), route.TopK)
	}
}

func routeNamed(cfg *dandeliongap.RouteConfig, name dandeliongap.RouteName) *dandeliongap.Route {
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == name {
			return &cfg.Routes[i]
		}
	}
	return nil
}

// checkRuns checks K3, K4 and K5.
func (c *checker) checkRuns() {
	for id, arrivals := range c.byRequest {
		x := c.Exchanges[id]
		if x == nil {
			a := arrivals[0]
			c.report("K5", a.At, "request %q (%s %.80s) arrived at %s, and no caller sent it", id, a.Method, a.Path, a.Instance)
			continue
		}
		runs := 0
		var last Arrival
		for _, a := range arrivals {
			if a.Method != x.Method || a.Path != x.Path || a.Body != x.Body {
				c.report("K5", a.At, "request %s arrived as %s %s with %d bytes, sent as %s %s with %d", id, a.Method, a.Path, len(a.Body), x.Method, x.Path, len(x.Body))
			}
			if a.Ran {
				runs++
				last = a
			}
		}
		if x.Route.Idempotent {
			continue
		}
		if runs > 1 {
			c.report("K3", last.At, "request %s ran %d times", id, runs)
		}
		if runs > 0 && x.Response.Promised() {
			c.report("K4", last.At, "request %s ran at %s and was refused with %d", id, last.Instance, x.Response.Status)
		}
	}
}

// maxExceeded is the number of requests that may exceed the attempts of their route.
const maxExceeded = 3

// checkAttempts checks K6.
func (c *checker) checkAttempts() {
	var exceeded []Arrival
	for id, arrivals := range c.byRequest {
		x := c.Exchanges[id]
		if x == nil {
			continue
		}
		n := make(map[dandeliongap.ServiceName]int)
		for _, a := range arrivals {
			if a.Misdirected || !a.Ran {
				continue
			}
			if n[a.Service]++; n[a.Service] == x.Route.MaxAttempts+1 {
				exceeded = append(exceeded, a)
			}
		}
	}
	if len(exceeded) > maxExceeded {
		c.report("K6", exceeded[0].At, "%d requests ran more often than their routes allow, one is %s at %s", len(exceeded), exceeded[0].Request, exceeded[0].Service)
	}
}

// checkBudget checks K7.
func (c *checker) checkBudget() {
	firsts := make(map[dandeliongap.ServiceName][]dandeliongap.Instant) // when requests for the service were sent
	extras := make(map[dandeliongap.ServiceName][]dandeliongap.Instant)
	for _, x := range c.Exchanges {
		for _, s := range servicesOf(x.Route) {
			firsts[s] = append(firsts[s], x.SentAt)
		}
	}
	seen := make(map[string]bool)
	for _, a := range c.arrivals {
		key := string(a.Service) + "/" + string(a.Request)
		if seen[key] && !a.Misdirected {
			extras[a.Service] = append(extras[a.Service], a.At)
		}
		seen[key] = true
	}
	window := c.bounds.RetryWindow
	for service, list := range extras {
		for i, end := range list {
			n := 0
			for _, at := range list[:i+1] {
				if end.Sub(at) < window {
					n++
				}
			}
			most := 0 // requests in this window, the one before and the one half a window before
			for _, shift := range []time.Duration{0, window / 2, window} {
				count := 0
				for _, at := range firsts[service] {
					if age := end.Sub(at) - shift; age >= 0 && age < window {
						count++
					}
				}
				most = max(most, count)
			}
			if allowed := c.bounds.RetryRatio*float64(most) + c.bounds.RetrySlack; float64(n) > allowed {
				c.report("K7", end, "service %s got %d extra requests within %v, %.0f are allowed", service, n, window, allowed)
				break
			}
		}
	}
}

func servicesOf(r *dandeliongap.Route) []dandeliongap.ServiceName {
	if len(r.Shards) > 0 {
		return r.Shards
	}
	return []dandeliongap.ServiceName{r.Service}
}

// checkDepartures checks K8, for servers that the store says are leaving and for those that
// say so themselves.
func (c *checker) checkDepartures() {
	for _, d := range c.Departures {
		for _, a := range c.arrivals {
			x := c.Exchanges[a.Request]
			if a.Instance == d.Instance && !a.Misdirected && x != nil && x.SentAt > d.At.Add(c.bounds.Drain) && c.calm(x.VM, d.At, a.At) {
				c.report("K8", a.At, "request %s reached %s %v after the store accepted that it leaves", a.Request, a.Instance, a.At.Sub(d.At))
			}
		}
	}
	type link struct {
		vm       dandeliongap.VMName
		process  int
		instance dandeliongap.InstanceID
	}
	told := make(map[link]dandeliongap.Instant)
	for _, a := range c.arrivals {
		x := c.Exchanges[a.Request]
		if x == nil {
			continue
		}
		k := link{x.VM, x.Process, a.Instance}
		if at, ok := told[k]; ok && x.SentAt > at.Add(c.bounds.Drain) && c.calm(x.VM, at, a.At) {
			c.report("K8", a.At, "request %s reached %s %v after its response to %s said that it leaves", a.Request, a.Instance, a.At.Sub(at), x.VM)
		}
		// Only a response that the caller got was passed on for certain.
		if _, ok := told[k]; !ok && a.Leaving && x.Response.Status/100 == 2 && slices.Contains(x.Response.Stamps, stamp(a.Instance, a.Service, a.Request)) {
			told[k] = x.AnsweredAt
		}
	}
}

// checkOutages checks K9.
func (c *checker) checkOutages() {
	for _, o := range c.Outages {
		for _, a := range c.arrivals {
			x := c.Exchanges[a.Request]
			if c.Instances[a.Instance].Zone == o.Zone && x != nil && !a.Misdirected && a.At > o.From.Add(c.bounds.Evacuation) && (o.To == 0 || a.At < o.To) && c.calm(x.VM, o.From, a.At) {
				c.report("K9", a.At, "request %s reached %s %v after zone %s was taken out of service", a.Request, a.Instance, a.At.Sub(o.From), o.Zone)
			}
		}
	}
}

// maxInPause is the number of requests that a VM may send to a server that asked for a
// pause.
const maxInPause = 2

// checkPauses checks K10.
func (c *checker) checkPauses() {
	for _, paused := range c.arrivals {
		by := c.Exchanges[paused.Request]
		if paused.Pause == 0 || by == nil {
			continue
		}
		n := 0
		for _, a := range c.arrivals {
			x := c.Exchanges[a.Request]
			if x == nil || x.VM != by.VM || x.Process != by.Process || a.Instance != paused.Instance {
				continue
			}
			if a.At > paused.AnsweredAt.Add(c.bounds.PauseSlack) && a.At < paused.AnsweredAt.Add(paused.Pause) && c.calm(x.VM, paused.AnsweredAt, a.At) {
				n++
			}
		}
		if n > maxInPause {
			c.report("K10", paused.AnsweredAt, "%s sent %d requests to %s, which had asked for a pause of %v", by.VM, n, paused.Instance, paused.Pause)
		}
	}
}

// checkConfigurations checks K11. A request tells by the service that it reached which
// configurations the VM may have used.
func (c *checker) checkConfigurations(untimed bool) {
	// used is the index of a publication that the process has used at the latest since a
	// moment.
	type used struct {
		since dandeliongap.Instant
		index int
	}
	history := make(map[process][]used)
	for _, a := range c.arrivals {
		x := c.Exchanges[a.Request]
		if x == nil || len(x.Route.Shards) > 0 || a.Misdirected {
			continue
		}
		p := processOf(x)
		floor := 0
		for _, u := range history[p] {
			if x.SentAt > u.since.Add(c.bounds.Rollback) {
				floor = max(floor, u.index)
			}
		}
		newest, first := -1, -1 // publications that send such a request to this service
		for i, pub := range c.Publications {
			if r := routeNamed(pub.Config, x.Route.Name); r != nil && r.Service == a.Service {
				newest = i
				if first < 0 && i >= floor {
					first = i
				}
			}
		}
		switch {
		case newest < 0:
			c.report("K11", a.At, "request %s of route %s reached %s, to which no configuration sends it", a.Request, x.Route.Name, a.Service)
		case newest < floor:
			c.report("K11", a.At, "request %s by %s reached %s as in configuration %d, after the VM had used %d", a.Request, x.VM, a.Service, c.Publications[newest].Config.Number, c.Publications[floor].Config.Number)
		case !untimed && newest+1 < len(c.Publications):
			next := c.Publications[newest+1].At
			if x.SentAt > next.Add(c.bounds.ConfigApply) && c.calm(x.VM, next, a.At) {
				c.report("K11", a.At, "request %s by %s reached %s as in configuration %d, %v after the next one was accepted", a.Request, x.VM, a.Service, c.Publications[newest].Config.Number, a.At.Sub(next))
			}
		}
		if first > floor {
			history[p] = append(history[p], used{a.At, first})
		}
	}
}

// checkStops checks the part of K12 about aborted requests.
func (c *checker) checkStops() {
	for _, s := range c.Stops {
		from := s.SignalAt.Add(-c.bounds.Stable)
		faulty := slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool {
			itself := d.VM == s.VM && d.From == s.SignalAt
			return !itself && (d.VM == "" || d.VM == s.VM) && d.From <= s.EndedAt && (d.To == 0 || d.To >= from)
		})
		if s.Late && !faulty {
			c.report("K12", s.EndedAt, "%s had not stopped %v after SIGTERM", s.VM, s.EndedAt.Sub(s.SignalAt))
		}
		if s.Late || faulty {
			continue
		}
		for _, x := range c.Exchanges {
			if x.VM != s.VM || x.Process != s.Process || x.Response.Status != 0 || x.SentAt > s.EndedAt || x.AnsweredAt < s.SignalAt || x.AnsweredAt > x.SentAt.Add(x.Deadline) {
				continue
			}
			if c.troubled(x) {
				continue
			}
			if len(c.byRequest[x.ID]) > 0 || x.AnsweredAt > x.SentAt.Add(c.bounds.LossSlack) {
				c.report("K12", x.AnsweredAt, "request %s got no response from %s while it stopped, after %v: %v", x.ID, s.VM, x.AnsweredAt.Sub(x.SentAt), x.Response.Err)
			}
		}
	}
}

// troubled reports whether a backend server of a service that a request needs was faulty in
// the Stable time before the request or until its end.
func (c *checker) troubled(x *Exchange) bool {
	return slices.ContainsFunc(c.Troubles, func(t Trouble) bool {
		return slices.Contains(servicesOf(x.Route), t.Service) && t.From <= x.AnsweredAt && t.To >= x.SentAt.Add(-c.bounds.Stable)
	})
}

// checkService checks K14.
func (c *checker) checkService() {
	sent, served := 0, 0
	for _, x := range c.Exchanges {
		if x.SentAt >= c.QuietFrom.Add(c.bounds.Recover) && x.SentAt.Add(x.Deadline) < c.EndedAt {
			sent++
			if x.Response.Status/100 == 2 {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < c.bounds.ServedShare*float64(sent) {
		c.report("K14", c.EndedAt, "%d of %d requests served later than %v after the last fault", served, sent, c.bounds.Recover)
	}
}

// checkUsages checks K15.
func (c *checker) checkUsages() {
	for _, u := range c.Usages {
		if u.MemoryBytes > c.bounds.MemoryBytes || u.Descriptors > c.bounds.Descriptors {
			c.report("K15", c.EndedAt, "%s: %d bytes of memory and %d descriptors, allowed are %d and %d", u.VM, u.MemoryBytes, u.Descriptors, c.bounds.MemoryBytes, c.bounds.Descriptors)
		}
	}
}

// checkDeadlines checks K16.
func (c *checker) checkDeadlines() {
	for _, x := range c.Exchanges {
		limit := x.SentAt.Add(x.Deadline + c.bounds.ResponseSlack)
		if (x.AnsweredAt == 0 && c.EndedAt > limit || x.AnsweredAt > limit) && c.calm(x.VM, x.SentAt, limit) {
			c.report("K16", limit, "request %s by %s got no response until %v after its deadline", x.ID, x.VM, c.bounds.ResponseSlack)
		}
	}
}

// checkRestores checks K17 and K18.
func (c *checker) checkRestores() {
	for _, r := range c.Disturbances {
		if r.What != RestoreStore.String() {
			continue
		}
		for _, d := range c.Departures {
			if !d.Drained || d.At.Add(c.bounds.Drain) >= r.From {
				continue
			}
			for _, a := range c.arrivals {
				if x := c.Exchanges[a.Request]; a.Instance == d.Instance && !a.Misdirected && x != nil && x.SentAt > r.From && c.knewBefore(x, d.At, r.From) {
					c.report("K17", a.At, "request %s by %s reached %s, which drained %v before the store was restored", a.Request, x.VM, a.Instance, r.From.Sub(d.At))
				}
			}
		}
		for _, o := range c.Outages {
			if o.From.Add(c.bounds.Evacuation) >= r.From {
				continue
			}
			for _, a := range c.arrivals {
				if x := c.Exchanges[a.Request]; c.Instances[a.Instance].Zone == o.Zone && !a.Misdirected && x != nil && x.SentAt > r.From && a.At < min(r.To, o.To) && c.knewBefore(x, o.From, r.From) {
					c.report("K18", a.At, "request %s by %s reached %s in zone %s, which was taken out %v before the store was restored", a.Request, x.VM, a.Instance, o.Zone, r.From.Sub(o.From))
				}
			}
		}
	}
}

// knewBefore reports whether the process of the VM that a request was sent to had run before a
// change at from, and no fault touched the VM from then until the store was restored.
func (c *checker) knewBefore(x *Exchange, from, restored dandeliongap.Instant) bool {
	began := slices.ContainsFunc(c.byProcess[processOf(x)], func(at dandeliongap.Instant) bool { return at < from })
	return began && c.calm(x.VM, from, restored-1)
}
