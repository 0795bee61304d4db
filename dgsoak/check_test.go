package dgsoak_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsoak"
)

func at(d time.Duration) dandeliongap.Instant { return dandeliongap.Instant(d) }

// scene is a ledger in which all promises hold, to be changed by a test.
type scene struct {
	*dgsoak.Ledger
	arrivals uint64
}

func route(name dandeliongap.RouteName, number int) dandeliongap.Route {
	r := dandeliongap.Route{Name: name, Idempotent: name != "order", MaxAttempts: 2, TopK: 3, MinCoverage: 0.6}
	switch name {
	case "search":
		r.Shards = []dandeliongap.ServiceName{"s0", "s1", "s2"}
	case "fetch":
		r.Service = dandeliongap.ServiceName([]string{"f0", "f1", "f2", "f3"}[number%4])
	default:
		r.Service = "orders"
	}
	return r
}

func config(number int) *dandeliongap.RouteConfig {
	return &dandeliongap.RouteConfig{Number: uint64(number), Routes: []dandeliongap.Route{route("search", number), route("fetch", number), route("order", number)}}
}

// newScene returns a minute of requests, one a second and route, in calm.
func newScene() *scene {
	s := &scene{Ledger: &dgsoak.Ledger{
		Exchanges:    make(map[dgsoak.RequestID]*dgsoak.Exchange),
		Arrivals:     make(map[uint64]dgsoak.Arrival),
		Instances:    map[dandeliongap.InstanceID]dandeliongap.Instance{"i-f0": {ID: "i-f0", Service: "f0", Zone: "z1"}},
		Publications: []dgsoak.Publication{{At: at(0), Config: config(0)}},
		QuietFrom:    at(40 * time.Second),
		EndedAt:      at(62 * time.Second),
	}}
	for i := range 60 {
		now := time.Duration(i) * time.Second
		for _, name := range []dandeliongap.RouteName{"search", "fetch", "order"} {
			s.serve(dgsoak.RequestID(string(name)+string(rune('A'+i))), name, now)
		}
	}
	return s
}

// serve adds a request that arrives at all services of its route and is served.
func (s *scene) serve(id dgsoak.RequestID, name dandeliongap.RouteName, sent time.Duration) *dgsoak.Exchange {
	r := route(name, 0)
	x := &dgsoak.Exchange{
		Request: dgsoak.Request{ID: id, Method: "GET", Path: "/x", Deadline: time.Second}, VM: "vm", Process: 1,
		Route: &r, SentAt: at(sent), AnsweredAt: at(sent + 20*time.Millisecond),
	}
	s.Exchanges[id] = x
	services := r.Shards
	if len(services) == 0 {
		services = []dandeliongap.ServiceName{r.Service}
	}
	x.Response.Status = 200
	var parts [][]byte
	for _, service := range services {
		a := s.arrive(x, service, sent+5*time.Millisecond)
		x.Response.Stamps = append(x.Response.Stamps, dgsoak.StampFor(a.Instance, service, id))
		parts = append(parts, dgsoak.Content(service, id))
	}
	x.Response.Body = parts[0]
	if len(r.Shards) > 0 {
		x.Response.Body = dgsoak.Merge(parts, r.TopK)
	}
	return x
}

// arrive adds an arrival of a request, which runs.
func (s *scene) arrive(x *dgsoak.Exchange, service dandeliongap.ServiceName, now time.Duration) dgsoak.Arrival {
	s.arrivals++
	a := dgsoak.Arrival{
		Number: s.arrivals, At: at(now), Request: x.ID, Service: service, Instance: "i-" + dandeliongap.InstanceID(service), Method: x.Method, Path: x.Path, Body: x.Body,
		Ran: true, AnsweredAt: at(now + 10*time.Millisecond),
	}
	s.Arrivals[a.Number] = a
	return a
}

// change changes the first arrival of a request.
func (s *scene) change(id dgsoak.RequestID, fn func(*dgsoak.Arrival)) {
	for n := uint64(1); n <= s.arrivals; n++ {
		if a := s.Arrivals[n]; a.Request == id {
			fn(&a)
			s.Arrivals[n] = a
			return
		}
	}
}

func broken(s *scene, untimed bool) (out []string) {
	for _, v := range dgsoak.Check(s.Ledger, dgsoak.DefaultBounds(), untimed) {
		if !slices.Contains(out, v.Promise) {
			out = append(out, v.Promise)
		}
	}
	return out
}

// TestCheck guards against a check that misses a broken promise, or that takes for one
// what is allowed.
func TestCheck(t *testing.T) {
	second := time.Second
	disturb := func(s *scene, from, to time.Duration) {
		s.Disturbances = append(s.Disturbances, dgsoak.Disturbance{VM: "vm", From: at(from), To: at(to)})
	}
	restore := func(s *scene, from time.Duration) {
		s.Disturbances = append(s.Disturbances, dgsoak.Disturbance{From: at(from), To: at(from + 2500*time.Millisecond), What: dgsoak.RestoreStore.String()})
	}
	// leave moves the requests of a time from i-f0 to another server of its service.
	leave := func(s *scene, from, to time.Duration) {
		for n, a := range s.Arrivals {
			if x := s.Exchanges[a.Request]; a.Instance == "i-f0" && x.SentAt >= at(from) && x.SentAt < at(to) {
				a.Instance = "i-f0-other"
				s.Arrivals[n] = a
				x.Response.Stamps = []string{dgsoak.StampFor(a.Instance, a.Service, a.Request)}
			}
		}
	}
	for _, c := range []struct {
		name   string
		want   string // the broken promise; "" if none is
		change func(*scene)
	}{
		{"all is well", "", func(*scene) {}},
		{"success without a stamp", "K1", func(s *scene) { s.Exchanges["fetchB"].Response.Stamps = nil }},
		{"response to another request", "K1", func(s *scene) { s.Exchanges["fetchB"].Response = s.Exchanges["fetchC"].Response }},
		{"body cut short", "K1", func(s *scene) {
			r := &s.Exchanges["fetchB"].Response
			r.Body = r.Body[:len(r.Body)-1]
		}},
		{"merged body with a record too few", "K1", func(s *scene) {
			r := &s.Exchanges["searchB"].Response
			r.Body = r.Body[:len(r.Body)-16]
		}},
		{"merged body in another order", "K1", func(s *scene) {
			r := &s.Exchanges["searchB"].Response
			r.Body = bytes.Join([][]byte{r.Body[16:], r.Body[:16]}, nil)
		}},
		{"a part twice", "K2", func(s *scene) {
			r := &s.Exchanges["searchB"].Response
			r.Stamps[1] = r.Stamps[0]
		}},
		{"a part missing without being counted", "K2", func(s *scene) {
			r := &s.Exchanges["searchB"].Response
			r.Stamps = r.Stamps[:2]
		}},
		{"a number of missing parts that cannot be read", "K2", func(s *scene) { s.Exchanges["searchB"].Response.Missing = dgsoak.MissingUnreadable }},
		{"too few parts", "K2", func(s *scene) {
			r := &s.Exchanges["searchB"].Response
			r.Stamps, r.Missing = r.Stamps[:1], 2
		}},
		{"two parts and one counted as missing", "", func(s *scene) {
			r := &s.Exchanges["searchB"].Response
			r.Stamps, r.Missing = r.Stamps[:2], 1
			r.Body = dgsoak.Merge([][]byte{dgsoak.Content("s0", "searchB"), dgsoak.Content("s1", "searchB")}, 3)
		}},
		{"an order that runs twice", "K3", func(s *scene) { s.arrive(s.Exchanges["orderB"], "orders", second) }},
		{"an order that ran and was refused", "K4", func(s *scene) { s.Exchanges["orderB"].Response = dgsoak.Response{Status: 503} }},
		{"an order that ran and failed", "", func(s *scene) { s.Exchanges["orderB"].Response = dgsoak.Response{Status: 502} }},
		{"a request that nobody sent", "K5", func(s *scene) { s.arrive(&dgsoak.Exchange{Request: dgsoak.Request{ID: "?"}}, "f0", second) }},
		{"a request with another body", "K5", func(s *scene) { s.change("orderB", func(a *dgsoak.Arrival) { a.Body = "x" }) }},
		{"four requests with an attempt too many", "K6", func(s *scene) {
			for _, id := range []dgsoak.RequestID{"fetchB", "fetchC", "fetchD", "fetchE"} {
				x := s.Exchanges[id]
				for range 2 {
					s.arrive(x, "f0", time.Duration(x.SentAt)+100*time.Millisecond)
				}
			}
		}},
		{"second attempts within the budget", "", func(s *scene) {
			for i := range 50 {
				x := s.Exchanges[dgsoak.RequestID("fetch"+string(rune('A'+i)))]
				s.arrive(x, "f0", time.Duration(x.SentAt)+100*time.Millisecond)
			}
		}},
		{"extra requests beyond the budget", "K7", func(s *scene) {
			for i := range 60 {
				x := s.serve(dgsoak.RequestID("more"+string(rune('A'+i))), "search", 20*second+time.Duration(i)*10*time.Millisecond)
				s.arrive(x, "s0", time.Duration(x.SentAt)+100*time.Millisecond)
				s.arrive(x, "s0", time.Duration(x.SentAt)+150*time.Millisecond)
			}
			s.Publications[0].Config.Routes[0].MaxAttempts = 3
			for _, x := range s.Exchanges {
				x.Route.MaxAttempts = 3
			}
		}},
		{"requests to a server long after it left", "K8", func(s *scene) {
			s.Departures = append(s.Departures, dgsoak.Departure{At: at(20 * second), Instance: "i-f0"})
		}},
		{"requests to a server just after it left", "", func(s *scene) {
			s.Departures = append(s.Departures, dgsoak.Departure{At: at(57 * second), Instance: "i-f0"})
		}},
		{"requests to a server that left, by a VM that knows nothing", "", func(s *scene) {
			s.Departures = append(s.Departures, dgsoak.Departure{At: at(20 * second), Instance: "i-f0"})
			disturb(s, 20*second, 61*second)
		}},
		{"requests to a server that said it leaves", "K8", func(s *scene) { s.change("fetchK", func(a *dgsoak.Arrival) { a.Leaving = true }) }},
		{"requests to a zone that is out", "K9", func(s *scene) {
			s.Outages = append(s.Outages, dgsoak.Outage{Zone: "z1", From: at(20 * second), To: at(30 * second)})
		}},
		{"requests to a zone that is out for a moment", "", func(s *scene) {
			s.Outages = append(s.Outages, dgsoak.Outage{Zone: "z1", From: at(20 * second), To: at(25 * second)})
		}},
		{"requests in a pause", "K10", func(s *scene) { s.change("fetchK", func(a *dgsoak.Arrival) { a.Pause = 8 * second }) }},
		{"two requests in a pause", "", func(s *scene) { s.change("fetchK", func(a *dgsoak.Arrival) { a.Pause = 2500 * time.Millisecond }) }},
		{"a configuration that is not applied", "K11", func(s *scene) {
			s.Publications = append(s.Publications, dgsoak.Publication{At: at(20 * second), Config: config(1)})
		}},
		{"a VM that goes back to the configuration before", "K11", func(s *scene) {
			s.Publications = append(s.Publications, dgsoak.Publication{At: at(57 * second), Config: config(1)})
			s.change("fetch"+dgsoak.RequestID(rune('A'+58)), func(a *dgsoak.Arrival) { a.Service = "f1" })
			s.Exchanges["fetch"+dgsoak.RequestID(rune('A'+58))].Response = dgsoak.Response{Status: 502}
		}},
		{"a request at a service to which nothing sends it", "K11", func(s *scene) {
			s.change("fetchB", func(a *dgsoak.Arrival) { a.Service = "f2" })
		}},
		{"a stop that aborts a request", "K12", func(s *scene) {
			s.Stops = append(s.Stops, dgsoak.Stop{VM: "vm", Process: 1, SignalAt: at(20 * second), EndedAt: at(21 * second)})
			s.Exchanges["fetchU"].Response = dgsoak.Response{}
		}},
		{"a stop that aborts a request beside a fault", "", func(s *scene) {
			s.Stops = append(s.Stops, dgsoak.Stop{VM: "vm", Process: 1, SignalAt: at(20 * second), EndedAt: at(21 * second)})
			s.Exchanges["fetchU"].Response = dgsoak.Response{}
			disturb(s, 19*second, 20*second)
		}},
		{"a stop that aborts a request to a faulty server", "", func(s *scene) {
			s.Stops = append(s.Stops, dgsoak.Stop{VM: "vm", Process: 1, SignalAt: at(20 * second), EndedAt: at(21 * second)})
			s.Exchanges["fetchU"].Response = dgsoak.Response{}
			s.Troubles = append(s.Troubles, dgsoak.Trouble{Service: "f0", From: at(19 * second), To: at(20 * second)})
		}},
		{"a stop that takes too long", "K12", func(s *scene) {
			s.Stops = append(s.Stops, dgsoak.Stop{VM: "vm", Process: 1, SignalAt: at(20 * second), EndedAt: at(27 * second), Late: true})
		}},
		{"callers that are not served in the end", "K14", func(s *scene) {
			for _, x := range s.Exchanges {
				if x.SentAt > at(50*second) {
					x.Response = dgsoak.Response{Status: 503}
				}
			}
			for n, a := range s.Arrivals {
				a.Ran = a.Ran && a.At < at(50*second)
				s.Arrivals[n] = a
			}
		}},
		{"a process that takes too much memory", "K15", func(s *scene) { s.Usages = map[string]dgsoak.Usage{"vm/1": {VM: "vm", MemoryBytes: 1 << 30}} }},
		{"requests to a server that drained before the store was restored", "K17", func(s *scene) {
			s.Departures = append(s.Departures, dgsoak.Departure{At: at(20 * second), Instance: "i-f0", Drained: true})
			restore(s, 25*second)
			leave(s, 20*second, 27*second)
		}},
		{"requests to it by a process that started later", "", func(s *scene) {
			s.Departures = append(s.Departures, dgsoak.Departure{At: at(20 * second), Instance: "i-f0", Drained: true})
			restore(s, 25*second)
			leave(s, 20*second, 27*second)
			for _, x := range s.Exchanges {
				if x.SentAt > at(20*second) {
					x.Process = 2
				}
			}
		}},
		{"requests to it by a VM that was cut off from the store", "", func(s *scene) {
			s.Departures = append(s.Departures, dgsoak.Departure{At: at(20 * second), Instance: "i-f0", Drained: true})
			restore(s, 25*second)
			leave(s, 20*second, 27*second)
			disturb(s, 20*second, 22*second)
		}},
		{"requests to a server that was removed before the store was restored", "", func(s *scene) {
			s.Departures = append(s.Departures, dgsoak.Departure{At: at(20 * second), Instance: "i-f0"})
			restore(s, 25*second)
			leave(s, 20*second, 27*second)
		}},
		{"requests to a zone that was out before the store was restored", "K18", func(s *scene) {
			s.Outages = append(s.Outages, dgsoak.Outage{Zone: "z1", From: at(15 * second), To: at(35 * second)})
			restore(s, 25*second)
			leave(s, 15*second, 26*second)
			leave(s, 27*second, 62*second)
		}},
		{"requests to a zone after its writers have written again", "", func(s *scene) {
			s.Outages = append(s.Outages, dgsoak.Outage{Zone: "z1", From: at(15 * second), To: at(35 * second)})
			restore(s, 25*second)
			leave(s, 15*second, 28*second)
		}},
		{"a VM that goes back to the configuration of the copy", "K11", func(s *scene) {
			s.Publications = append(s.Publications, dgsoak.Publication{At: at(54 * second), Config: config(1)})
			restore(s, 57500*time.Millisecond)
			for i, service := range []dandeliongap.ServiceName{"f1", "f1", "f0", "f1"} {
				id := "fetch" + dgsoak.RequestID(rune('A'+56+i))
				s.change(id, func(a *dgsoak.Arrival) { a.Service = service })
				s.Exchanges[id].Response = dgsoak.Response{Status: 502}
			}
		}},
		{"a response long after the deadline", "K16", func(s *scene) { s.Exchanges["fetchB"].AnsweredAt = at(4 * second) }},
	} {
		s := newScene()
		c.change(s)
		got := broken(s, false)
		if c.want == "" && len(got) > 0 || c.want != "" && !slices.Equal(got, []string{c.want}) {
			t.Errorf("%s: broken %v, want %q", c.name, got, c.want)
		}
	}
}

const key, otherKey = dgsoak.KeyPrefix + "1", dgsoak.KeyPrefix + "2"

// accounts returns accounts of which the first one has keys.
func accounts(rate float64, keys ...string) []dandeliongap.Account {
	return []dandeliongap.Account{{Name: "first", Keys: keys, Rate: rate, Burst: rate}, {Name: "second", Keys: []string{otherKey}}}
}

// newAccountScene returns a scene in which all requests have the key of an account.
func newAccountScene() *scene {
	s := newScene()
	s.Publications[0].Config.Accounts = accounts(2, key)
	for id := range s.Exchanges {
		s.setKey(id, key, "first")
	}
	return s
}

// setKey sets the key of a request and the accounts that backend servers see.
func (s *scene) setKey(id dgsoak.RequestID, key string, accounts ...string) {
	s.Exchanges[id].Key = key
	for n, a := range s.Arrivals {
		if a.Request == id {
			a.Accounts = accounts
			s.Arrivals[n] = a
		}
	}
}

// publish adds a configuration that differs from the first one in its accounts.
func (s *scene) publish(now time.Duration, accounts []dandeliongap.Account) {
	cfg := config(0)
	cfg.Number, cfg.Accounts = uint64(len(s.Publications)), accounts
	s.Publications = append(s.Publications, dgsoak.Publication{At: at(now), Config: cfg})
}

// crowd adds requests of the first account that are sent at a time and run right after it.
func (s *scene) crowd(n int, sent time.Duration) {
	for i := range n {
		id := dgsoak.RequestID(fmt.Sprint("crowd-", sent, "-", i))
		s.serve(id, "fetch", sent)
		s.setKey(id, key, "first")
	}
}

// TestCheckAccounts guards against a check of accounts that misses a broken promise, or that
// takes for one what is allowed.
func TestCheckAccounts(t *testing.T) {
	second := time.Second
	disturb := func(s *scene, vm dandeliongap.VMName, what dgsoak.Kind, from, to time.Duration) {
		s.Disturbances = append(s.Disturbances, dgsoak.Disturbance{VM: vm, From: at(from), To: at(to), What: what.String()})
	}
	refuse := func(s *scene, id dgsoak.RequestID) {
		s.Exchanges[id].Response = dgsoak.Response{Status: 401}
		for n, a := range s.Arrivals {
			if a.Request == id {
				delete(s.Arrivals, n)
			}
		}
	}
	// public makes the route of a request public.
	public := func(s *scene, id dgsoak.RequestID) { s.Exchanges[id].Route.Public = true }
	// keep moves all requests that are sent after a time to the other key, but one.
	keep := func(s *scene, from time.Duration, kept dgsoak.RequestID) {
		for id, x := range s.Exchanges {
			if x.SentAt > at(from) && id != kept {
				s.setKey(id, otherKey, "second")
			}
		}
	}
	for _, c := range []struct {
		name    string
		want    string // the broken promise; "" if none is
		untimed string // the same, if those with a time bound are left out
		change  func(*scene)
	}{
		{"all is well", "", "", func(*scene) {}},
		{"a key at a backend server", "K19", "K19", func(s *scene) { s.change("fetchB", func(a *dgsoak.Arrival) { a.SawKey = true }) }},
		{"another account than that of the key", "K19", "K19", func(s *scene) { s.setKey("fetchB", key, "second") }},
		{"the account of another key", "", "", func(s *scene) { s.setKey("fetchB", otherKey, "second") }},
		{"the account beside another one", "K19", "K19", func(s *scene) { s.setKey("fetchB", key, "first", "second") }},
		{"no account", "K19", "K19", func(s *scene) { s.setKey("fetchB", key) }},
		{"no account on a public route", "", "", func(s *scene) { public(s, "fetchB"); s.setKey("fetchB", "") }},
		{"an account without a key on a public route", "K19", "K19", func(s *scene) { public(s, "fetchB"); s.setKey("fetchB", "", "first") }},
		{"a request without a key", "K20", "K20", func(s *scene) { s.setKey("fetchB", "") }},
		{"a request with an unknown key", "K20", "K20", func(s *scene) { s.setKey("fetchB", "?") }},
		{"a request long after its key was removed", "K20", "", func(s *scene) {
			s.publish(20500*time.Millisecond, accounts(2))
			keep(s, 20*second, "fetchZ") // sent at 25 s
			s.Exchanges["fetchZ"].SentAt = at(25600 * time.Millisecond)
			s.change("fetchZ", func(a *dgsoak.Arrival) { a.At = at(25610 * time.Millisecond) })
		}},
		{"a request soon after its key was removed", "", "", func(s *scene) {
			s.publish(20500*time.Millisecond, accounts(2))
			keep(s, 20*second, "fetchZ")
		}},
		{"a request long after its key was removed, by a VM that a fault touched", "", "", func(s *scene) {
			s.publish(18500*time.Millisecond, accounts(2))
			keep(s, 18*second, "fetchZ")
			disturb(s, "vm", dgsoak.CutStore, 19*second, 20*second)
		}},
		{"a request after its key was removed and added again", "", "", func(s *scene) {
			s.publish(10500*time.Millisecond, accounts(2))
			s.publish(12500*time.Millisecond, accounts(2, key))
		}},
		{"more requests of an account than its quota", "K21", "", func(s *scene) { s.crowd(19, 20500*time.Millisecond) }},
		{"as many requests of an account as its quota allows", "", "", func(s *scene) { s.crowd(18, 20500*time.Millisecond) }},
		{"more requests of an account in faults", "K21", "", func(s *scene) {
			s.crowd(19, 20500*time.Millisecond)
			disturb(s, "", dgsoak.FaultStore, 15*second, 25*second)
			disturb(s, "vm", dgsoak.CutPeers, 15*second, 25*second)
		}},
		{"more requests of an account that take long", "", "", func(s *scene) {
			s.crowd(19, 20500*time.Millisecond)
			for n, a := range s.Arrivals { // the ones sent before the window may have been admitted before it
				if x := s.Exchanges[a.Request]; a.At > at(20*second) && a.At < at(21*second) {
					x.SentAt = at(14 * second)
					x.Deadline = 10 * second
					s.Arrivals[n] = a
				}
			}
		}},
		{"more requests of an account on a public route", "", "", func(s *scene) {
			s.crowd(40, 20500*time.Millisecond)
			for id, x := range s.Exchanges {
				x.Route.Public = x.Route.Public || x.SentAt == at(20500*time.Millisecond)
				_ = id
			}
		}},
		{"requests that exceed a lower limit", "K21", "", func(s *scene) {
			s.publish(10500*time.Millisecond, accounts(0.1, key))
			s.crowd(8, 15600*time.Millisecond)
		}},
		{"requests that exceed a lower limit soon after it", "", "", func(s *scene) {
			s.publish(10500*time.Millisecond, accounts(0.1, key))
			s.crowd(8, 15400*time.Millisecond)
		}},
		{"requests that exceed a lower limit that a fault kept from VMs", "", "", func(s *scene) {
			s.publish(10500*time.Millisecond, accounts(0.1, key))
			s.crowd(8, 15600*time.Millisecond)
			disturb(s, "vm", dgsoak.CutStore, 11*second, 12*second)
		}},
		{"requests that exceed a lower limit after another VM was killed", "K21", "", func(s *scene) {
			s.publish(10500*time.Millisecond, accounts(0.1, key))
			s.crowd(8, 15600*time.Millisecond)
			disturb(s, "other", dgsoak.KillVM, 11*second, 12*second)
		}},
		{"a valid key that is refused", "K22", "K22", func(s *scene) { refuse(s, "fetchB") }},
		{"a valid key that is refused in faults", "K22", "K22", func(s *scene) {
			refuse(s, "fetchB")
			disturb(s, "", dgsoak.FaultStore, 0, 3*second)
		}},
		{"a missing key that is refused", "", "", func(s *scene) { refuse(s, "fetchB"); s.setKey("fetchB", "") }},
		{"a new key that is refused", "K22", "", func(s *scene) {
			s.publish(10500*time.Millisecond, accounts(2, key, "new"))
			refuse(s, "fetchQ") // sent at 16 s
			s.setKey("fetchQ", "new")
		}},
		{"a new key that is refused at once", "", "", func(s *scene) {
			s.publish(11500*time.Millisecond, accounts(2, key, "new"))
			refuse(s, "fetchQ")
			s.setKey("fetchQ", "new")
		}},
		{"a new key that is refused by a VM that a fault touched", "", "", func(s *scene) {
			s.publish(10500*time.Millisecond, accounts(2, key, "new"))
			refuse(s, "fetchQ")
			s.setKey("fetchQ", "new")
			disturb(s, "vm", dgsoak.CutStore, 11*second, 12*second)
		}},
		{"a removed key that is refused", "", "", func(s *scene) {
			s.publish(15900*time.Millisecond, accounts(2))
			keep(s, 15500*time.Millisecond, "fetchQ")
			refuse(s, "fetchQ")
		}},
	} {
		for _, untimed := range []bool{false, true} {
			s := newAccountScene()
			c.change(s)
			want := c.want
			if untimed {
				want = c.untimed
			}
			if got := broken(s, untimed); want == "" && len(got) > 0 || want != "" && !slices.Equal(got, []string{want}) {
				t.Errorf("%s (untimed %t): broken %v, want %q", c.name, untimed, got, want)
			}
		}
	}
}

// newRolloutScene returns a scene with an order to move the traffic of f0 to the version of
// the server i-new.
func newRolloutScene(state dandeliongap.RolloutState, stateAt time.Duration) (*scene, *dgsoak.Order) {
	s := newScene()
	s.Instances["i-new"] = dandeliongap.Instance{ID: "i-new", Service: "f0", Zone: "z2", Software: "new"}
	s.RegisteredAt = map[dandeliongap.InstanceID]dandeliongap.Instant{"i-new": at(19 * time.Second)}
	o := &dgsoak.Order{Service: "f0", Version: "new", At: at(20 * time.Second), Deadline: at(35 * time.Second), State: state, StateAt: at(stateAt)}
	s.Orders = append(s.Orders, o)
	return s, o
}

// try adds requests of the fetch route that are sent at a time and run at i-new.
func (s *scene) try(n int, sent time.Duration) {
	for i := range n {
		id := dgsoak.RequestID(fmt.Sprint("try-", sent, "-", i))
		s.serve(id, "fetch", sent)
		s.change(id, func(a *dgsoak.Arrival) { a.Instance = "i-new" })
	}
}

// TestCheckRollouts guards against a check of rollouts that misses a broken promise, or that
// takes for one what is allowed.
func TestCheckRollouts(t *testing.T) {
	second := time.Second
	// move moves the requests to f0 that are sent after a time to i-new.
	move := func(s *scene, after time.Duration) {
		for n, a := range s.Arrivals {
			if a.Instance == "i-f0" && s.Exchanges[a.Request].SentAt > at(after) {
				a.Instance = "i-new"
				s.Arrivals[n] = a
			}
		}
	}
	// linger makes the response to the request that is sent at 30 s come at 31 s.
	linger := func(s *scene) {
		s.change("fetch_", func(a *dgsoak.Arrival) { a.AnsweredAt = at(31 * second) })
	}
	fault := func(s *scene, from, to time.Duration) {
		s.Disturbances = append(s.Disturbances, dgsoak.Disturbance{VM: "vm", From: at(from), To: at(to)})
	}
	for _, c := range []struct {
		name    string
		want    string // the broken promise; "" if none is
		untimed string // the same, if those with a time bound are left out
		change  func(*scene, *dgsoak.Order)
	}{
		{"a good version gets many requests", "", "", func(s *scene, _ *dgsoak.Order) { s.try(80, 25*second) }},
		{"a bad version gets more requests than allowed", "K23", "K23", func(s *scene, o *dgsoak.Order) { o.Bad = true; s.try(58, 25*second) }},
		{"a bad version gets as many requests as allowed", "", "", func(s *scene, o *dgsoak.Order) { o.Bad = true; s.try(57, 25*second) }},
		{"a bad version gets more requests than allowed in faults", "K23", "K23", func(s *scene, o *dgsoak.Order) {
			o.Bad = true
			s.try(58, 25*second)
			fault(s, 15*second, 30*second)
		}},
		{"all requests at the new version when the order is completed", "", "", func(s *scene, o *dgsoak.Order) {
			o.State = dandeliongap.RolloutCompleted
			move(s, 28*second)
		}},
		{"requests to an old version after the order was completed", "K24", "", func(_ *scene, o *dgsoak.Order) { o.State = dandeliongap.RolloutCompleted }},
		{"requests to an old version after the order was rolled back", "", "", func(*scene, *dgsoak.Order) {}},
		{"a request at an old version when the order is completed", "K24", "", func(s *scene, o *dgsoak.Order) {
			o.State = dandeliongap.RolloutCompleted
			move(s, 30*second)
			linger(s)
		}},
		{"a request at an old version when the order is completed, by a VM that a fault touched", "", "", func(s *scene, o *dgsoak.Order) {
			o.State = dandeliongap.RolloutCompleted
			move(s, 30*second)
			linger(s)
			fault(s, 28*second, 29*second)
		}},
		{"a version that nobody ordered", "K25", "", func(s *scene, _ *dgsoak.Order) {
			s.Orders = nil
			s.try(1, 25*second)
		}},
		{"a version before its order", "K25", "", func(s *scene, _ *dgsoak.Order) { s.try(1, 19500*time.Millisecond) }},
		{"a version that nobody ordered, by a process that began later", "", "", func(s *scene, _ *dgsoak.Order) {
			s.Orders = nil
			s.try(1, 25*second)
			s.Exchanges["try-25s-0"].Process = 2
		}},
		{"a version that nobody ordered while the other servers are faulty", "", "", func(s *scene, _ *dgsoak.Order) {
			s.Orders = nil
			s.try(1, 25*second)
			s.Troubles = append(s.Troubles, dgsoak.Trouble{Service: "f0", From: at(20 * second), To: at(24 * second)})
		}},
	} {
		for _, untimed := range []bool{false, true} {
			s, o := newRolloutScene(dandeliongap.RolloutRolledBack, 30500*time.Millisecond)
			c.change(s, o)
			want := c.want
			if untimed {
				want = c.untimed
			}
			if got := broken(s, untimed); want == "" && len(got) > 0 || want != "" && !slices.Equal(got, []string{want}) {
				t.Errorf("%s (untimed %t): broken %v, want %q", c.name, untimed, got, want)
			}
		}
	}
}

// TestCheckUntimed guards against a verdict that depends on the speed of the machine.
func TestCheckUntimed(t *testing.T) {
	s := newScene()
	s.Exchanges["fetchB"].AnsweredAt = at(30 * time.Second)
	s.Departures = append(s.Departures, dgsoak.Departure{At: at(20 * time.Second), Instance: "i-f0"})
	s.Publications = append(s.Publications, dgsoak.Publication{At: at(20 * time.Second), Config: config(1)})
	if got := broken(s, true); len(got) > 0 {
		t.Errorf("broken %v, want none", got)
	}
	s.arrive(s.Exchanges["orderB"], "orders", time.Second)
	if got := broken(s, true); !slices.Equal(got, []string{"K3"}) {
		t.Errorf("broken %v, want K3", got)
	}
}

// TestDraw guards against seeds that do not tell the whole soak.
func TestDraw(t *testing.T) {
	seen := make(map[dgsoak.Kind]bool)
	for seed := range uint64(60) {
		steps := dgsoak.Draw(seed, 20*time.Second)
		if !slices.Equal(steps, dgsoak.Draw(seed, 20*time.Second)) {
			t.Fatalf("seed %d draws other steps the second time", seed)
		}
		for _, s := range steps {
			seen[s.Kind] = true
			if s.At < 0 || s.At > 20*time.Second || s.For <= 0 {
				t.Errorf("seed %d: step %+v", seed, s)
			}
		}
	}
	for k := dgsoak.KillVM; k <= dgsoak.StartUnordered; k++ {
		if !seen[k] {
			t.Errorf("kind %s is never drawn", k)
		}
	}
}
