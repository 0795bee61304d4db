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

// Job is one kind of request in the load.
type Job struct {
	Service dandeliongap.ServiceName
	Class   string
	Action  bool
	Share   float64 // weight in the random choice between the jobs
}

// Tally counts the outcomes that callers received and the violations found in them.
type Tally struct {
	Searches, Answered, Partial, Refused, Unknown                int64 // searches; Answered counts full answers
	Actions, ActionsAnswered, ActionsRefused, ActionsUnknown     int64
	ConnectionsLost                                              int64 // requests that ended with a lost connection
	SnapshotViolations, CoverageViolations, WrongQueryViolations int64
	FalseRefusals                                                int64                              // always 0; Runner.FalseRefusals counts these
	ExpectedSubRequests                                          int64                              // sub-requests that the requests need without hedges or repeats
	Reasons                                                      map[string]int64                   // refusals and unknown outcomes by reason; "action: " precedes those of actions
	merged, total                                                int64                              // index parts in the answers to searches, and asked for
	latency                                                      map[string]*hdrhistogram.Histogram // microseconds, by class
}

const (
	maxLatencyUs  = 60_000_000 // longer latencies are recorded as this one
	latencyDigits = 3          // significant decimal digits of the recorded latencies
)

func newTally() *Tally {
	return &Tally{latency: map[string]*hdrhistogram.Histogram{}, Reasons: map[string]int64{}}
}

// Coverage returns the number of merged parts of all answered searches divided by
// the number of parts asked for, or 1 if no search was answered.
func (t *Tally) Coverage() float64 {
	if t.total == 0 {
		return 1
	}
	return float64(t.merged) / float64(t.total)
}

// Quantile returns the latency of answered searches at percentile q (0 to 100), in
// milliseconds. An empty class means all classes.
func (t *Tally) Quantile(class string, q float64) float64 {
	all := hdrhistogram.New(1, maxLatencyUs, latencyDigits)
	for name, h := range t.latency {
		if class == "" || class == name {
			all.Merge(h)
		}
	}
	return float64(all.ValueAtQuantile(q)) / 1000
}

// Runner generates an open-loop load: requests are sent without waiting for earlier
// answers, and latency is measured from the planned arrival. It thus includes the
// time that a request waits when the load generator falls behind (no coordinated
// omission).
type Runner struct {
	cluster *Cluster
	client  *dgclient.Client
	jobs    []Job
	rng     *rand.Rand

	mu       sync.Mutex // guards tally and notRun
	tally    *Tally
	notRun   map[dandeliongap.IdempotencyKey]bool // keys of actions whose last answer was "not run"
	progress func(done float64)                   // receives the fraction of the load that was sent; may be nil
}

// NewRunner returns a runner that sends the given mix of jobs. Close it after use.
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

// Close closes the client of the runner.
func (r *Runner) Close() error { return r.client.Close() }

// ResetTally starts an empty tally and returns the previous one.
func (r *Runner) ResetTally() *Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	r.tally = newTally()
	return t
}

// Run sends requests for the given length, as a Poisson process with an average of
// rate requests per second, and waits for the last answer. It stops sending early
// when ctx ends.
func (r *Runner) Run(ctx context.Context, rate float64, length time.Duration) {
	var wg conc.WaitGroup
	defer wg.Wait()
	start := time.Now()
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		if offset > length || ctx.Err() != nil {
			return
		}
		job := r.pickJob()
		key := dandeliongap.IdempotencyKey(fmt.Sprintf("order-%016x", r.rng.Uint64()))
		planned := start.Add(offset)
		time.Sleep(time.Until(planned))
		if r.progress != nil {
			r.progress(float64(offset) / float64(length))
		}
		wg.Go(func() { r.send(ctx, job, n, key, planned) })
	}
}

func (r *Runner) pickJob() Job {
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

func (r *Runner) send(ctx context.Context, j Job, n int, key dandeliongap.IdempotencyKey, planned time.Time) {
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

// verify checks an answer against what the stand-ins send: the ID of each hit
// contains the index part and the hash of the query, its text is the index version,
// and the hits come from as many parts as the answer reports.
func (t *Tally) verify(query string, res dgclient.SearchResult) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(query))
	wantHash := strconv.FormatUint(uint64(hash.Sum32()), 16)
	parts := map[string]bool{}
	version := fmt.Sprintf("v%d", res.IndexVersion)
	wrongVersion, wrongQuery := false, false
	for _, h := range res.Hits {
		fields := strings.Split(h.ID, "-")
		if len(fields) != 3 || fields[1] != wantHash {
			wrongQuery = true
			continue
		}
		parts[fields[0]] = true
		wrongVersion = wrongVersion || h.Text != version
	}
	if wrongVersion {
		t.SnapshotViolations++
	}
	if wrongQuery {
		t.WrongQueryViolations++
	}
	if len(parts) != res.Merged {
		t.CoverageViolations++
	}
}

// act sends one action. While its outcome is unknown, act repeats it with the same
// key, as a caller would, with at most three attempts in all.
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

// FalseRefusals returns the number of actions that were reported to the caller as
// not run although a backend server ran them.
func (r *Runner) FalseRefusals() int64 {
	runs := r.cluster.Fleet.RunCounts().All()
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
