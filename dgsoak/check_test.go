package dgsoak_test

import (
	"bytes"
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
	for k := dgsoak.KillVM; k <= dgsoak.RestoreStore; k++ {
		if !seen[k] {
			t.Errorf("kind %s is never drawn", k)
		}
	}
}
