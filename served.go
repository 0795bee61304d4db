package dandeliongap

import "time"

// RequestStats summarizes how a group of requests was served during a run.
type RequestStats struct {
	Name                                   string
	Requests, InTime, Late, NotRun, Failed int
	Worth                                  float64       // value of the responses to callers, as a share of the attainable value
	P50, P99                               time.Duration // latency
}

// RunReport summarizes how callers were served during a run.
type RunReport struct {
	Worth   float64        // as in RequestStats, over the whole run, after deduction of prices
	Windows []RequestStats // by time window; Name is the second at which the window begins
	Routes  []RequestStats // by kind of request
}
