package dandeliongap

import "time"

// RequestStats tells how one group of requests was served, in one run.
type RequestStats struct {
	Name                                   string
	Requests, InTime, Late, NotRun, Failed int
	Worth                                  float64       // what callers got, as a share of what they were owed
	P50, P99                               time.Duration // latency
}

// RunReport tells how callers were served in one run.
type RunReport struct {
	Worth   float64
	Windows []RequestStats // by time; the name is the second at which it begins
	Routes  []RequestStats // by kind of request
}
