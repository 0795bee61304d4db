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
	histogramMost   = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 2
	// histogramRoutes bounds the memory of the histograms.
	histogramRoutes = 64
	// otherRoutes collects the latencies of all further routes.
	otherRoutes = "other"
)

// stats are the counters and latency histograms of a VM.
type stats struct {
	counts expvar.Map

	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram // of answered requests, by route, in microseconds
}

func (s *stats) init() { s.latency = make(map[string]*hdrhistogram.Histogram) }

func (s *stats) add(name string) { s.counts.Add(name, 1) }

func (s *stats) observe(route string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latency[route]
	if h == nil && len(s.latency) >= histogramRoutes {
		route = otherRoutes
		h = s.latency[route]
	}
	if h == nil {
		h = hdrhistogram.New(1, histogramMost, histogramDigits)
		s.latency[route] = h
	}
	if h.RecordValue(d.Microseconds()) != nil {
		s.add("LatencyOutOfRange")
	}
}

// quantiles is the summary of one histogram.
type quantiles struct{ Count, P50Us, P90Us, P99Us, MaxUs int64 }

func (s *stats) summary() map[string]quantiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]quantiles, len(s.latency))
	for name, h := range s.latency {
		out[name] = quantiles{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
	}
	return out
}

// handleVars serves the metrics as JSON.
func (e *Edge) handleVars(ctx *fasthttp.RequestCtx) {
	latency, err := json.Marshal(e.stats.summary())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	fs := e.forward.Stats()
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, "{\"Counts\": %s,\n\"Connections\": {\"Dialled\": %d, \"Stale\": %d, \"Broken\": %d},\n\"Active\": %d,\n\"Latency\": %s}\n",
		e.stats.counts.String(), fs.Dials, fs.Stale, fs.Broken, e.active.len(), latency)
}
