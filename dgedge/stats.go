package dgedge

import (
	"encoding/json"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	histogramDigits  = 2 // significant decimal digits
	// maxHistograms is the maximum number of routes with a histogram of their own. It limits the
	// memory that histograms take.
	maxHistograms = 64
	// otherRoutes is the key of the histogram that all further routes share.
	otherRoutes = "other"
)

// stats are the counters and latency histograms of a VM.
type stats struct {
	counts expvar.Map

	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram // of requests with status 200, by route, in microseconds
}

func (s *stats) init() { s.latency = make(map[string]*hdrhistogram.Histogram) }

func (s *stats) add(name string) { s.counts.Add(name, 1) }

func (s *stats) addN(name string, n int64) { s.counts.Add(name, n) }

func (s *stats) observe(route string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latency[route]
	if h == nil && len(s.latency) >= maxHistograms {
		route = otherRoutes
		h = s.latency[route]
	}
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
		s.latency[route] = h
	}
	if h.RecordValue(d.Microseconds()) != nil {
		s.add("LatencyOutOfRange")
	}
}

// latencySummary summarizes one histogram, in microseconds.
type latencySummary struct{ Count, P50Us, P90Us, P99Us, MaxUs int64 }

func (s *stats) summary() map[string]latencySummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]latencySummary, len(s.latency))
	for name, h := range s.latency {
		out[name] = latencySummary{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
	}
	return out
}

// handleMetrics serves the metrics as JSON.
func (e *Edge) handleMetrics(ctx *fasthttp.RequestCtx) {
	latency, err := json.Marshal(e.stats.summary())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	fs := e.forward.Stats()
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, "{\"Counts\": %s,\n\"Connections\": {\"Dialled\": %d, \"Stale\": %d, \"Broken\": %d},\n\"Active\": %d,\n\"Memory\": {\"Held\": %d, \"MaxHeld\": %d},\n\"Latency\": %s}\n",
		e.stats.counts.String(), fs.Dials, fs.Stale, fs.Broken, e.active.len(), e.callers.used(), e.plan.AccountBytes, latency)
}
