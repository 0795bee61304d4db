package dgstandin

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
)

// ServiceTime is the distribution of the time that a request runs: Base plus a
// uniformly distributed time of at most Spread. For the share StragglerShare of
// requests, the sum is multiplied by StragglerFactor. With the zero value, requests
// finish at once.
type ServiceTime struct {
	Base            time.Duration
	Spread          time.Duration
	StragglerShare  float64 // 0 to 1
	StragglerFactor float64
}

func (t ServiceTime) sample(rng *rand.Rand) time.Duration {
	d := t.Base
	if t.Spread > 0 {
		d += time.Duration(rng.Int64N(int64(t.Spread) + 1))
	}
	if t.StragglerShare > 0 && rng.Float64() < t.StragglerShare {
		d = time.Duration(float64(d) * t.StragglerFactor)
	}
	return d
}

// Default values of BackendOptions.
const (
	DefaultGrace       = 3 * time.Second
	DefaultWarmAfter   = 50
	DefaultColdFactor  = 10
	DefaultRetryAfter  = 50 * time.Millisecond
	DefaultHitsPerPart = 2
)

// BackendOptions configures a Backend. A field with its zero value uses the
// default.
type BackendOptions struct {
	// Replica is the replica that the server stands in for. The server applies
	// the replica's slots and cold limit (both at least 1), its connection limit
	// (0: no limit) and its connect cost. The availability zone does not change
	// how the server behaves.
	Replica dandeliongap.Replica
	// Address is the address to listen on. Default: Replica.Address, or else a
	// free port of 127.0.0.1.
	Address string
	// ServiceTime is the distribution of the time that a request runs.
	ServiceTime ServiceTime
	// Seed seeds the random source of the service times and of the faults given
	// as shares.
	Seed uint64
	// Queue is the number of requests that may wait for a slot. Further
	// requests are shed. Default: 0.
	Queue int
	// StartCold starts the backend server cold.
	StartCold bool
	// WarmAfter is the number of requests within the cold limit that a cold
	// server must answer to become warm. Default: DefaultWarmAfter.
	WarmAfter int
	// ColdFactor multiplies the service time of requests above the cold limit.
	// Default: DefaultColdFactor.
	ColdFactor float64
	// RetryAfter is the delay that 503 answers send in Retry-After-Ms. Default:
	// DefaultRetryAfter.
	RetryAfter time.Duration
	// Grace is the time after SetZoneOut(true) or SetDraining(true) during which
	// a new request is not counted as a violation. Default: DefaultGrace;
	// negative: none.
	Grace time.Duration
	// HitsPerPart is the number of hits in an answer for each index part.
	// Default: DefaultHitsPerPart; negative: none.
	HitsPerPart int
	// RunCounts counts the runs of each action. Servers may share it. Default: a
	// new one for this server.
	RunCounts *RunCounts
}

func (o *BackendOptions) setDefaults() {
	if o.Address == "" {
		o.Address = o.Replica.Address
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Replica.Slots <= 0 {
		o.Replica.Slots = 1
	}
	if o.Replica.ColdLimit <= 0 {
		o.Replica.ColdLimit = 1
	}
	if o.WarmAfter <= 0 {
		o.WarmAfter = DefaultWarmAfter
	}
	if o.ColdFactor <= 0 {
		o.ColdFactor = DefaultColdFactor
	}
	if o.RetryAfter <= 0 {
		o.RetryAfter = DefaultRetryAfter
	}
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	if o.HitsPerPart == 0 {
		o.HitsPerPart = DefaultHitsPerPart
	}
	if o.RunCounts == nil {
		o.RunCounts = &RunCounts{}
	}
}

// BackendFaults lists the faults that a Backend injects. The zero value injects
// none.
type BackendFaults struct {
	// TruncateShare is the share of answers whose body is cut in half, 0 to 1.
	TruncateShare float64
	// WrongRequestIDShare is the share of answers that carry a Request-Id
	// other than the request's.
	WrongRequestIDShare float64
	// WrongVersionShare is the share of answers that report an index version other
	// than the requested one.
	WrongVersionShare float64
	// LoseShare is the share of requests whose connection is closed without an
	// answer after the request ran.
	LoseShare float64
	// ShedShare is the share of requests that are shed although slots are free.
	ShedShare float64
	// TruncateNext, WrongRequestIDNext, WrongVersionNext, LoseNext and ShedNext
	// apply the same faults to that many of the next requests.
	TruncateNext, WrongRequestIDNext, WrongVersionNext, LoseNext, ShedNext int
	// Health selects a fault of the health endpoint.
	Health HealthFault
	// HealthLag makes the health endpoint report the state as it was this long
	// ago.
	HealthLag time.Duration
	// ServiceTimeFactor multiplies the service time; 0 and 1 leave it unchanged.
	ServiceTimeFactor float64
}

// HealthFault is a fault of the health endpoint.
type HealthFault uint8

// Faults of the health endpoint.
const (
	HealthAccurate       HealthFault = iota // no fault
	HealthAlwaysWarm                        // always reports warm and no load
	HealthAlwaysDraining                    // always reports draining
	HealthError                             // always answers 500
)

// BackendCounters counts what a backend server received and how it answered.
// All values are totals since the server was created, except MostAtOnce and
// MostConnections, which are the highest values seen.
type BackendCounters struct {
	Received             int64 // POST /query received
	Runs                 int64 // requests that got a slot and started to run
	Answered             int64 // requests that ran to the end (200), including lost answers
	Shed                 int64 // 503: slots and queue full, above the cold limit by two or more, or a fault
	RefusedDraining      int64 // 503: draining
	VersionGone          int64 // 410: index version not held
	LateArrivals         int64 // 504 with Not-Run: deadline passed before arrival
	DeadlineGiveUps      int64 // 504 for admitted requests: deadline passed while waiting or running
	Cancelled            int64 // requests ended by a DELETE, before or after their arrival
	Cancels              int64 // DELETE /query/ID received
	HealthCalls          int64
	Connections          int64 // connections accepted, and those refused above the limit
	MostAtOnce           int64 // requests in the server at the same time
	MostConnections      int64 // connections open at the same time
	ColdUnannounced      int64 // requests above the cold limit before the owning VM could know of the cold start (C2)
	SlotViolations       int64 // requests that arrived while all slots were taken
	ColdViolations       int64 // requests above the cold limit that the owning VM could have avoided
	ZoneViolations       int64 // requests received later than Grace after SetZoneOut(true)
	LeavingViolations    int64 // requests received later than Grace after draining began
	ConnectionViolations int64 // connections refused because they were above the limit
	DuplicateRuns        int64 // actions that ran more than once, according to RunCounts
}

// add adds the counters of o to c. For MostAtOnce and MostConnections, it keeps
// the larger value. It does not add DuplicateRuns, because servers that share
// RunCounts all report the same number.
func (c *BackendCounters) add(o BackendCounters) {
	c.Received += o.Received
	c.Runs += o.Runs
	c.Answered += o.Answered
	c.Shed += o.Shed
	c.RefusedDraining += o.RefusedDraining
	c.VersionGone += o.VersionGone
	c.LateArrivals += o.LateArrivals
	c.DeadlineGiveUps += o.DeadlineGiveUps
	c.Cancelled += o.Cancelled
	c.Cancels += o.Cancels
	c.HealthCalls += o.HealthCalls
	c.Connections += o.Connections
	c.MostAtOnce = max(c.MostAtOnce, o.MostAtOnce)
	c.MostConnections = max(c.MostConnections, o.MostConnections)
	c.ColdUnannounced += o.ColdUnannounced
	c.SlotViolations += o.SlotViolations
	c.ColdViolations += o.ColdViolations
	c.ZoneViolations += o.ZoneViolations
	c.LeavingViolations += o.LeavingViolations
	c.ConnectionViolations += o.ConnectionViolations
}

// Violations returns the total number of violations of all kinds, including
// duplicate runs.
func (c BackendCounters) Violations() int64 {
	return c.SlotViolations + c.ConnectionViolations + c.ColdViolations + c.ZoneViolations +
		c.LeavingViolations + c.DuplicateRuns
}
