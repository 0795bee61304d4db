package dgdemo

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

// Job is one kind of request in a mix.
type Job struct {
	Service dandeliongap.ServiceName
	Class   string
	Action  bool
	Share   float64 // weight among all jobs
}

// Tally counts what callers were told and what is wrong with it.
type Tally struct {
	Searches, Answered, Partial, Refused, Unknown                int64 // searches
	Actions, ActionsAnswered, ActionsRefused, ActionsUnknown     int64
	ConnectionsLost                                              int64 // requests whose connection broke
	SnapshotViolations, CoverageViolations, WrongQueryViolations int64
	FalseRefusals                                                int64            // actions told as not run that ran
	ExpectedSubRequests                                          int64            // sub-requests that the requests need
	Reasons                                                      map[string]int64 // of refusals and unknown outcomes
	merged, total                                                int64
	latency                                                      map[string]*hdrhistogram.Histogram // microseconds, by class
}

const (
	maxLatencyUs  = 60_000_000
	latencyDigits = 3
)

func newTally() *Tally {
	return &Tally{latency: map[string]*hdrhistogram.Histogram{}, Reasons: map[string]int64{}}
}

// Coverage is the share of parts in all answered searches, 1 if there is none.
func (t *Tally) Coverage() float64 {
	if t.total == 0 {
		return 1
	}
	return float64(t.merged) / float64(t.total)
}

// Quantile returns the latency of answered searches in milliseconds. An empty
// class means all classes.
func (t *Tally) Quantile(class string, q float64) float64 {
	all := hdrhistogram.New(1, maxLatencyUs, latencyDigits)
	for name, h := range t.latency {
		if class == "" || class == name {
			all.Merge(h)
		}
	}
	return float64(all.ValueAtQuantile(q)) / 1000
}

// Runner sends an open-loop load: arrivals do not wait for answers, and latency
// counts from the planned arrival, so that queueing is not hidden.
type Runner struct {
	cluster *Cluster
	client  *dgclient.Client
	jobs    []Job
	rng     *rand.Rand

	mu       sync.Mutex
	tally    *Tally
	notRun   map[dandeliongap.IdempotencyKey]bool // told as not run at last
	progress func(done float64)
}

// NewRunner returns a runner of the given mix. Close the client after use.
func NewRunner(c *Cluster, jobs []Job, seed uint64) (*Runner, error) {
	client, err := c.Client()
	if err != nil {
		return nil, err
	}
	return &Runner{
		cluster: c,
		client:  client,
		jobs:    jobs,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		tally:   newTally(),
		notRun:  map[dandeliongap.IdempotencyKey]bool{},
	}, nil
}

// Close closes the runner's connections.
func (r *Runner) Close() error { return r.client.Close() }

// ResetTally begins a new tally and returns the one so far.
func (r *Runner) ResetTally() *Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	r.tally = newTally()
	return t
}

// Run sends rate requests a second for the given time and waits for the last
// answer. It stops early when ctx ends.
func (r *Runner) Run(ctx context.Context, rate float64, length time.Duration) {
	var wg conc.WaitGroup
	defer wg.Wait()
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		if at > length || ctx.Err() != nil {
			return
		}
		job := r.pick()
		key := dandeliongap.IdempotencyKey(fmt.Sprintf("order-%016x", r.rng.Uint64()))
		planned := start.Add(at)
		time.Sleep(time.Until(planned))
		if r.progress != nil {
			r.progress(float64(at) / float64(length))
		}
		wg.Go(func() { r.one(ctx, job, n, key, planned) })
	}
}

func (r *Runner) pick() Job {
	sum := 0.0
	for _, j := range r.jobs {
		sum += j.Share
	}
	x := r.rng.Float64() * sum
	for _, j := range r.jobs {
		x -= j.Share
		if x < 0 {
			return j
		}
	}
	return r.jobs[len(r.jobs)-1]
}

func (r *Runner) one(ctx context.Context, j Job, n int, key dandeliongap.IdempotencyKey, planned time.Time) {
	if j.Action {
		r.act(ctx, j, key)
		return
	}
	r.search(ctx, j, n, planned)
}

func (r *Runner) search(ctx context.Context, j Job, n int, planned time.Time) {
	query := fmt.Sprintf("query %d", n)
	res, err := r.client.Search(ctx, dgclient.SearchRequest{Service: j.Service, Query: query, Class: j.Class})
	took := time.Since(planned)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.Searches++
	t.ExpectedSubRequests += int64(len(r.cluster.Deployment.Services[j.Service].Leaves))
	switch {
	case err == nil && res.Merged < res.Total:
		t.Partial++
	case err == nil:
		t.Answered++
	case errors.Is(err, dandeliongap.ErrNotRun):
		t.Refused++
		t.Reasons[res.Reason]++
		return
	default:
		t.Unknown++
		t.Reasons[res.Reason]++
		if res.Outcome == dandeliongap.OutcomeUnknown && res.ID == "" {
			t.ConnectionsLost++
		}
		return
	}
	t.merged += int64(res.Merged)
	t.total += int64(res.Total)
	h := t.latency[j.Class]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyUs, latencyDigits)
		t.latency[j.Class] = h
	}
	_ = h.RecordValue(min(took.Microseconds(), maxLatencyUs))
	t.verify(query, res)
}

// verify compares an answer with what the stand-ins must have sent for it: each
// hit names its part, the hash of the query and the index version.
func (t *Tally) verify(query string, res dgclient.SearchResult) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(query))
	want := strconv.FormatUint(uint64(hash.Sum32()), 16)
	parts := map[string]bool{}
	version := fmt.Sprintf("v%d", res.IndexVersion)
	mixed, crossed := false, false
	for _, h := range res.Hits {
		fields := strings.Split(h.ID, "-")
		if len(fields) != 3 || fields[1] != want {
			crossed = true
			continue
		}
		parts[fields[0]] = true
		mixed = mixed || h.Text != version
	}
	if mixed {
		t.SnapshotViolations++
	}
	if crossed {
		t.WrongQueryViolations++
	}
	if len(parts) != res.Merged {
		t.CoverageViolations++
	}
}

// act sends one action, and repeats it with the same key while the outcome is
// unknown, as a caller would.
func (r *Runner) act(ctx context.Context, j Job, key dandeliongap.IdempotencyKey) {
	var res dgclient.ActionResult
	var err error
	for range 3 {
		res, err = r.client.Act(ctx, dgclient.ActionRequest{Service: j.Service, Key: key, Body: "40 sleepers"})
		if err == nil || errors.Is(err, dandeliongap.ErrNotRun) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.Actions++
	switch {
	case err == nil:
		t.ActionsAnswered++
		t.ExpectedSubRequests++
	case errors.Is(err, dandeliongap.ErrNotRun):
		t.ActionsRefused++
		t.Reasons["action: "+res.Reason]++
		r.notRun[key] = true
	default:
		t.ActionsUnknown++
		t.Reasons["action: "+res.Reason]++
		if res.ID == "" {
			t.ConnectionsLost++
		}
	}
}

// FalseRefusals counts actions that callers were told did not run and that a
// backend server ran.
func (r *Runner) FalseRefusals() int64 {
	runs := r.cluster.Fleet.Ledger().All()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for key := range r.notRun {
		if runs[key] > 0 {
			n++
		}
	}
	return n
}
