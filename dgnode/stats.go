package dgnode

import (
	"expvar"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	statsIntervals      = 6
	statsIntervalLength = 10 * time.Second
	maxLatencyUs        = 60_000_000
	latencyDigits       = 2
)

// stats holds the metrics of this VM. A counter counts requests unless its name says
// otherwise.
type stats struct {
	vars expvar.Map

	remote, local                      expvar.Int // sub-requests by location of the owner
	answered, partial, notRun, unknown expvar.Int // callers' requests by outcome
	platformCalls                      expvar.Int
	peerBytesOut, peerBytesIn          expvar.Int // control messages, bytes

	mu       sync.Mutex
	services map[dandeliongap.ServiceName]*serviceStats
}

func newStats() *stats {
	s := &stats{services: map[dandeliongap.ServiceName]*serviceStats{}}
	for name, v := range map[string]*expvar.Int{
		"SubRequestsRemote":    &s.remote,
		"SubRequestsLocal":     &s.local,
		"RequestsAnswered":     &s.answered,
		"RequestsPartial":      &s.partial,
		"RequestsNotRun":       &s.notRun,
		"RequestsUnknown":      &s.unknown,
		"PlatformCalls":        &s.platformCalls,
		"ControlBytesSent":     &s.peerBytesOut,
		"ControlBytesReceived": &s.peerBytesIn,
	} {
		s.vars.Set(name, v)
	}
	return s
}

// serviceStats holds the last minute of one service in intervals of 10 s.
type serviceStats struct {
	intervals [statsIntervals]statsInterval
}

type statsInterval struct {
	start         time.Duration
	latency       *hdrhistogram.Histogram // microseconds
	merged, total int64                   // parts
	refused       int64                   // not run
	unknown       int64
}

// serviceSummary sums up the last minute of one service for operators.
type serviceSummary struct {
	Requests int64
	Refused  int64 // not run
	Unknown  int64
	Merged   int64 // parts
	Total    int64 // parts
	P50Ms    float64
	P99Ms    float64
}

// observe records the outcome and the latency of a caller's request.
func (s *stats) observe(now dandeliongap.Instant, service dandeliongap.ServiceName, outcome dandeliongap.Outcome, latency time.Duration, merged, total int) {
	s.count(outcome, merged < total)
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.services[service]
	if sv == nil {
		sv = &serviceStats{}
		s.services[service] = sv
	}
	i := sv.interval(time.Duration(now))
	switch outcome {
	case dandeliongap.OutcomeNotRun:
		i.refused++
		return
	case dandeliongap.OutcomeUnknown:
		i.unknown++
		return
	}
	_ = i.latency.RecordValue(min(latency.Microseconds(), maxLatencyUs))
	i.merged += int64(merged)
	i.total += int64(total)
}

func (s *stats) count(outcome dandeliongap.Outcome, partial bool) {
	switch {
	case outcome == dandeliongap.OutcomeNotRun:
		s.notRun.Add(1)
	case outcome == dandeliongap.OutcomeUnknown:
		s.unknown.Add(1)
	case partial:
		s.partial.Add(1)
	default:
		s.answered.Add(1)
	}
}

func (sv *serviceStats) interval(now time.Duration) *statsInterval {
	start := now.Truncate(statsIntervalLength)
	i := &sv.intervals[int(now/statsIntervalLength)%statsIntervals]
	if i.latency == nil || i.start != start {
		*i = statsInterval{start: start, latency: hdrhistogram.New(1, maxLatencyUs, latencyDigits)}
	}
	return i
}

// lastMinute returns a summary of each service that had requests in the last minute.
func (s *stats) lastMinute(now dandeliongap.Instant) map[dandeliongap.ServiceName]serviceSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[dandeliongap.ServiceName]serviceSummary{}
	for name, sv := range s.services {
		if sum, ok := sv.summary(time.Duration(now)); ok {
			out[name] = sum
		}
	}
	return out
}

func (sv *serviceStats) summary(now time.Duration) (serviceSummary, bool) {
	all := hdrhistogram.New(1, maxLatencyUs, latencyDigits)
	var sum serviceSummary
	for i := range sv.intervals {
		in := &sv.intervals[i]
		if in.latency == nil || now-in.start > statsIntervals*statsIntervalLength {
			continue
		}
		all.Merge(in.latency)
		sum.Merged += in.merged
		sum.Total += in.total
		sum.Refused += in.refused
		sum.Unknown += in.unknown
	}
	sum.Requests = all.TotalCount() + sum.Refused + sum.Unknown
	sum.P50Ms = float64(all.ValueAtQuantile(50)) / 1000
	sum.P99Ms = float64(all.ValueAtQuantile(99)) / 1000
	return sum, sum.Requests > 0
}

// counter returns the value of a counter, or 0 if it does not exist.
func (s *stats) counter(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
