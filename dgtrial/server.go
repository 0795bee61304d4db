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

// execution is an attempt that a server runs.
type execution struct {
	att       *attempt
	ended     bool
	overLimit bool // started above the cold limit
}

// server is a fake backend server.
type server struct {
	sim       *sim
	owned     *ownedReplica
	rng       *rand.Rand
	slots     int
	coldLimit int
	running   []*execution

	lost, silent  bool // set by fail
	cold          bool
	answersToWarm int
	unavoidable   int                  // further requests above the cold limit that the owner cannot avoid
	informedAt    dandeliongap.Instant // when the first response with the cold mark reached the owner
}

// serviceTime draws the time that a request takes (T3).
func (s *server) serviceTime() time.Duration {
	d := float64(ServiceMean) * math.Exp(ServiceSigma*s.rng.NormFloat64()-ServiceSigma*ServiceSigma/2)
	slow := s.rng.Float64() < s.sim.load.Stragglers
	if s.sim.nextStraggler == s.owned.replica.Service {
		s.sim.nextStraggler, slow = "", true
	}
	if slow {
		d *= StragglerFactor
	}
	return time.Duration(d)
}

// receive handles an attempt that the owner dispatched at the instant sent.
func (s *server) receive(att *attempt, sent dandeliongap.Instant) {
	switch {
	case att.canceled:
		s.reply(att, canceled())
		return
	case s.silent:
		s.sim.schedule(att.deadline, func() { s.owned.handleResult(att, timedOut()) })
		return
	case s.lost:
		s.reply(att, connectionLost())
		return
	}
	e := &execution{att: att}
	factor := 1.0
	if s.cold {
		factor = ColdFactor
		if len(s.running) >= s.coldLimit {
			s.countOverLimit(sent)
			e.overLimit, factor = true, OverColdFactor
		}
		if len(s.running) > s.coldLimit {
			s.reply(att, dggate.Result{Status: dandeliongap.SubNotRun, Reason: dandeliongap.ReasonShed, Cold: true, RetryAfter: ShedRetryAfter})
			return
		}
	}
	s.start(e, factor)
}

// countOverLimit counts a request above the cold limit, and as cold excess if the
// owner could have avoided it.
func (s *server) countOverLimit(sent dandeliongap.Instant) {
	s.sim.tally.overCold++
	if s.unavoidable > 0 && sent <= s.informedAt {
		s.unavoidable--
		return
	}
	s.sim.tally.coldExcess++
}

// start runs a request until its service time has passed or its deadline is
// reached, whichever comes first.
func (s *server) start(e *execution, factor float64) {
	if len(s.running) >= s.slots {
		s.sim.tally.overSlots++
	}
	att := e.att
	att.search.startedAttempts++
	s.running = append(s.running, e)
	s.sim.tally.started++
	end := s.sim.now.Add(time.Duration(float64(s.serviceTime()) * factor))
	if end > att.deadline {
		s.sim.schedule(att.deadline, func() { s.end(e, timedOut()) })
		return
	}
	s.sim.schedule(end, func() { s.end(e, dggate.Result{Status: dandeliongap.SubAnswered}) })
}

// end finishes an execution and sends its result to the owner.
func (s *server) end(e *execution, res dggate.Result) {
	if e.ended {
		return
	}
	e.ended = true
	for i := range s.running {
		if s.running[i] == e {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	if res.Status == dandeliongap.SubAnswered {
		res.Cold = s.cold
		s.countWarmAnswer(e)
	}
	s.reply(e.att, res)
}

// countWarmAnswer counts an answer towards the end of the cold start. Answers to
// requests above the cold limit do not count (T4).
func (s *server) countWarmAnswer(e *execution) {
	if !s.cold || e.overLimit {
		return
	}
	s.answersToWarm--
	s.cold = s.answersToWarm > 0
}

// reply sends a result to the owner.
func (s *server) reply(att *attempt, res dggate.Result) {
	at := s.sim.after(s.sim.delay(s.owned.replica.Zone, s.owned.replica.Zone))
	if res.Cold {
		s.informedAt = min(s.informedAt, at)
	}
	s.sim.schedule(at, func() { s.owned.handleResult(att, res) })
}

// cancel ends the execution of an attempt. An attempt that is not running is
// marked, so that it does not start if it arrives later.
func (s *server) cancel(att *attempt) {
	for _, e := range s.running {
		if e.att == att {
			s.end(e, canceled())
			return
		}
	}
	att.canceled = true
}

// turnCold makes the server cold. The owner is informed only by the cold mark of
// a response.
func (s *server) turnCold() {
	s.cold, s.answersToWarm, s.informedAt = true, WarmAnswers, dggate.Never
	s.unavoidable = max(0, s.slots-len(s.running))
}

// fail makes the server lose all running and later requests. If silent is set, it
// stops answering; otherwise connections to it fail (T5).
func (s *server) fail(silent bool) {
	s.lost, s.silent = true, silent
	for _, e := range append([]*execution(nil), s.running...) {
		if silent {
			e.ended = true
			s.sim.schedule(e.att.deadline, func() { s.owned.handleResult(e.att, timedOut()) })
			continue
		}
		s.end(e, connectionLost())
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
