package dgstandin

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
)

// ServiceTime is the distribution of the time that a request runs: Base, plus a
// uniform share of Spread, times StragglerFactor for a share of StragglerShare. The zero
// value is no time.
type ServiceTime struct {
	Base            time.Duration
	Spread          time.Duration
	StragglerShare  float64 // 0 to 1
	StragglerFactor float64
}

func (t ServiceTime) draw(rng *rand.Rand) time.Duration {
	d := t.Base
	if t.Spread > 0 {
		d += time.Duration(rng.Int64N(int64(t.Spread) + 1))
	}
	if t.StragglerShare > 0 && rng.Float64() < t.StragglerShare {
		d = time.Duration(float64(d) * t.StragglerFactor)
	}
	return d
}

// Defaults of BackendOptions.
const (
	DefaultGrace       = 3 * time.Second
	DefaultWarmAfter   = 50
	DefaultColdFactor  = 10
	DefaultRetryAfter  = 50 * time.Millisecond
	DefaultHitsPerPart = 2
)

// BackendOptions configure a Backend. The zero value of a field uses its
// default.
type BackendOptions struct {
	// Replica gives slots, connections, connect cost, cold limit and zone; 0
	// connections mean no limit.
	Replica dandeliongap.Replica
	// Address to listen on. Default: Replica.Address, or else a free port of
	// 127.0.0.1.
	Address string
	// ServiceTime is the time that a request runs.
	ServiceTime ServiceTime
	// Seed of the random source behind service times and shares of faults.
	Seed uint64
	// Queue is the number of requests above the slots that wait for one. More
	// are shed. Default: 0.
	Queue int
	// StartCold starts the backend server cold.
	StartCold bool
	// WarmAfter is the number of answers after which it is warm. Default:
	// DefaultWarmAfter.
	WarmAfter int
	// ColdFactor multiplies the service time of requests above the cold limit.
	// Default: DefaultColdFactor.
	ColdFactor float64
	// RetryAfter is what refusals advise. Default: DefaultRetryAfter.
	RetryAfter time.Duration
	// Grace is the time after SetZoneOut or SetDraining during which new work is not
	// counted as a violation. Default: DefaultGrace; negative: none.
	Grace time.Duration
	// HitsPerPart is the number of hits per part. Default: DefaultHitsPerPart;
	// negative: none.
	HitsPerPart int
	// RunCounts counts the runs of actions. Default: one of its own.
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

// BackendFaults are the faults that a Backend shows. The zero value is none.
type BackendFaults struct {
	// TruncateShare is the share of answers whose body ends early, 0 to 1.
	TruncateShare float64
	// WrongRequestIDShare is the share of answers that carry another Request-Id.
	WrongRequestIDShare float64
	// WrongVersionShare is the share of answers from another index version.
	WrongVersionShare float64
	// LoseShare is the share of answers that are lost after the request ran.
	LoseShare float64
	// ShedShare is the share of requests that are shed although slots are free.
	ShedShare float64
	// TruncateNext, WrongRequestIDNext, WrongVersionNext, LoseNext and ShedNext apply the
	// same faults to the next requests.
	TruncateNext, WrongRequestIDNext, WrongVersionNext, LoseNext, ShedNext int
	// Health is what the health endpoint reports.
	Health HealthFault
	// HealthLag makes the health endpoint report the state of this time ago.
	HealthLag time.Duration
	// ServiceTimeFactor multiplies the service time; 0 and 1 leave it.
	ServiceTimeFactor float64
}

// HealthFault tells how the health endpoint is wrong.
type HealthFault uint8

// Ways in which the health endpoint is wrong.
const (
	HealthAccurate       HealthFault = iota
	HealthAlwaysWarm                 // always warm, no load
	HealthAlwaysDraining             // always draining
	HealthError                      // answers 500
)

// BackendCounters are what a backend server received. All are totals
// since it was created; MostAtOnce and MostConnections are the highest values.
type BackendCounters struct {
	Received             int64 // POST /query received
	Runs                 int64 // requests that took a slot
	Answered             int64 // 200 that were handed to the connection
	Shed                 int64 // 503, slots full or cold and overloaded
	RefusedDraining      int64 // 503, draining
	VersionGone          int64 // 410
	LateArrivals         int64 // 504 with Not-Run
	DeadlineGiveUps      int64 // 504 without Not-Run
	Cancelled            int64 // requests that a DELETE ended
	Cancels              int64 // DELETE /query/ID received
	HealthCalls          int64
	Connections          int64 // connections accepted
	MostAtOnce           int64 // requests that were in the server at the same time
	MostConnections      int64
	ColdUnannounced      int64 // above the cold limit before the owner could know
	SlotViolations       int64 // requests that arrived while all slots were taken
	ColdViolations       int64 // requests above the cold limit that the owner could avoid
	ZoneViolations       int64 // requests later than Grace after SetZoneOut(true)
	LeavingViolations    int64 // requests later than Grace after draining began
	ConnectionViolations int64 // connections above the limit
	DuplicateRuns        int64 // actions that ran more than once, by RunCounts
}

// add sums two sets of counters; the highest values stay the higher one.
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

// Violations returns the sum of all violations.
func (c BackendCounters) Violations() int64 {
	return c.SlotViolations + c.ConnectionViolations + c.ColdViolations + c.ZoneViolations +
		c.LeavingViolations + c.DuplicateRuns
}
