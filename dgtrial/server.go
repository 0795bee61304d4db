package dgtrial

import (
	"math"
	"math/rand/v2"
	"time"

	dandeliongap "dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dggate"
)

// Service times and cold starts of the fake servers (T3, T4).
const (
	ServiceMean     = 5 * time.Millisecond
	ServiceSigma    = 0.5
	StragglerShare  = 0.01
	StragglerFactor = 20
	ColdFactor      = 2
	OverColdFactor  = 10
	WarmAnswers     = 50
	ShedRetryAfter  = 20 * time.Millisecond
)

// run is one attempt in a server.
type run struct {
	w     *work
	ended bool
	over  bool // started above the cold limit
}

// server is a fake backend server.
type server struct {
	sim     *sim
	site    *site
	rng     *rand.Rand
	slots   int
	limit   int // cold limit
	running []*run

	lost, silent bool
	cold         bool
	coldLeft     int                  // answers until warm
	excused      int                  // requests above the limit that the owner could not avoid
	informedAt   dandeliongap.Instant // when the first response with the cold mark reached the owner
}

// serviceTime draws the time that a request takes (T3).
func (s *server) serviceTime() time.Duration {
	d := float64(ServiceMean) * math.Exp(ServiceSigma*s.rng.NormFloat64()-ServiceSigma*ServiceSigma/2)
	slow := s.rng.Float64() < s.sim.load.Stragglers
	if s.sim.slowNext == s.site.replica.Service {
		s.sim.slowNext, slow = "", true
	}
	if slow {
		d *= StragglerFactor
	}
	return time.Duration(d)
}

// receive takes an attempt that the owner dispatched at the given instant.
func (s *server) receive(w *work, sent dandeliongap.Instant) {
	switch {
	case w.canceled:
		s.reply(w, canceled())
		return
	case s.silent:
		s.sim.at(w.deadline, func() { s.site.done(w, timedOut()) })
		return
	case s.lost:
		s.reply(w, connectionLost())
		return
	}
	r := &run{w: w}
	factor := 1.0
	if s.cold {
		factor = ColdFactor
		if len(s.running) >= s.limit {
			s.countOver(sent)
			r.over, factor = true, OverColdFactor
		}
		if len(s.running) > s.limit {
			s.reply(w, dggate.Result{Status: dandeliongap.SubNotRun, Reason: dandeliongap.ReasonShed, Cold: true, RetryAfter: ShedRetryAfter})
			return
		}
	}
	s.start(r, factor)
}

// countOver counts a request above the cold limit.
func (s *server) countOver(sent dandeliongap.Instant) {
	s.sim.tally.overCold++
	if s.excused > 0 && sent <= s.informedAt {
		s.excused--
		return
	}
	s.sim.tally.coldExcess++
}

func (s *server) start(r *run, factor float64) {
	if len(s.running) >= s.slots {
		s.sim.tally.overSlots++
	}
	w := r.w
	w.search.ran++
	s.running = append(s.running, r)
	s.sim.tally.runs++
	ends := s.sim.now.Add(time.Duration(float64(s.serviceTime()) * factor))
	if ends > w.deadline {
		s.sim.at(w.deadline, func() { s.end(r, timedOut()) })
		return
	}
	s.sim.at(ends, func() { s.end(r, dggate.Result{Status: dandeliongap.SubAnswered}) })
}

// end finishes a run and tells the owner.
func (s *server) end(r *run, res dggate.Result) {
	if r.ended {
		return
	}
	r.ended = true
	for i := range s.running {
		if s.running[i] == r {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	if res.Status == dandeliongap.SubAnswered {
		res.Cold = s.cold
		s.warm(r)
	}
	s.reply(r.w, res)
}

// warm counts an answer towards the end of the cold start.
func (s *server) warm(r *run) {
	if !s.cold || r.over {
		return
	}
	s.coldLeft--
	s.cold = s.coldLeft > 0
}

// reply sends a result to the owner.
func (s *server) reply(w *work, res dggate.Result) {
	at := s.sim.after(s.sim.delay(s.site.replica.Zone, s.site.replica.Zone))
	if res.Cold {
		s.informedAt = min(s.informedAt, at)
	}
	s.sim.at(at, func() { s.site.done(w, res) })
}

// cancel ends the run of an attempt, if it runs.
func (s *server) cancel(w *work) {
	for _, r := range s.running {
		if r.w == w {
			s.end(r, canceled())
			return
		}
	}
	w.canceled = true
}

// turnCold makes the server cold without notice.
func (s *server) turnCold() {
	s.cold, s.coldLeft, s.informedAt = true, WarmAnswers, dggate.Never
	s.excused = max(0, s.slots-len(s.running))
}

// lose ends the server; a silent one stops to answer (T5).
func (s *server) lose(silent bool) {
	s.lost, s.silent = true, silent
	for _, r := range append([]*run(nil), s.running...) {
		if silent {
			r.ended = true
			s.sim.at(r.w.deadline, func() { s.site.done(r.w, timedOut()) })
			continue
		}
		s.end(r, connectionLost())
	}
	s.running = nil
}

func timedOut() dggate.Result {
	return dggate.Result{Status: dandeliongap.SubUnknown, Reason: dandeliongap.ReasonDeadline}
}

func canceled() dggate.Result {
	return dggate.Result{Status: dandeliongap.SubCancelled, Reason: dandeliongap.ReasonCancelled}
}

func connectionLost() dggate.Result {
	return dggate.Result{Status: dandeliongap.SubUnknown, Reason: dandeliongap.ReasonConnection}
}
