package dgsoak

import (
	"fmt"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgquota"
)

// Exchange is a request of a caller and the response.
type Exchange struct {
	Request
	VM         dandeliongap.VMName
	Process    int // number of the process of the VM that was running when the request was sent
	Route      *dandeliongap.Route
	SentAt     dandeliongap.Instant
	AnsweredAt dandeliongap.Instant // 0: the soak ended before
	Response   Response
}

// Disturbance is a time in which a fault touched a VM or everything.
type Disturbance struct {
	VM   dandeliongap.VMName // "": all
	From dandeliongap.Instant
	To   dandeliongap.Instant
	What string
}

// Trouble is a time in which a backend server of a service, or the path to one, was faulty.
type Trouble struct {
	Service dandeliongap.ServiceName
	From    dandeliongap.Instant
	To      dandeliongap.Instant
}

// Publication is a configuration that was accepted.
type Publication struct {
	At     dandeliongap.Instant
	Config *dandeliongap.RouteConfig
}

// Departure is the time at which the store accepted that a backend server leaves or is gone.
type Departure struct {
	At       dandeliongap.Instant
	Instance dandeliongap.InstanceID
	Drained  bool // its registration says so; otherwise it was removed
}

// Outage is the time for which operators took a zone out of service.
type Outage struct {
	Zone dandeliongap.ZoneName
	From dandeliongap.Instant
	To   dandeliongap.Instant
}

// Order is an order to move the traffic of a service to a version.
type Order struct {
	Service  dandeliongap.ServiceName
	Version  dandeliongap.SoftwareVersion
	At       dandeliongap.Instant // when the store accepted it
	Deadline dandeliongap.Instant
	Bad      bool
	State    dandeliongap.RolloutState // the last that was seen
	StateAt  dandeliongap.Instant
}

// Stop is a planned stop of a VM.
type Stop struct {
	VM       dandeliongap.VMName
	Process  int
	SignalAt dandeliongap.Instant
	EndedAt  dandeliongap.Instant
	Late     bool // the process had not stopped within the bound and was killed
}

// Usage is the largest use of resources of a process that was seen.
type Usage struct {
	VM          dandeliongap.VMName
	Process     int
	MemoryBytes int64
	Descriptors int
}

// Violation is a broken promise.
type Violation struct {
	Promise string // K1 to K25
	At      dandeliongap.Instant
	Text    string
}

// Ledger records what happened in a soak. The zero value is empty. It is safe for
// concurrent use; the fields may be read when nothing is recorded any more.
type Ledger struct {
	mu           sync.Mutex
	Exchanges    map[RequestID]*Exchange
	Arrivals     map[uint64]Arrival // by number
	Instances    map[dandeliongap.InstanceID]dandeliongap.Instance
	RegisteredAt map[dandeliongap.InstanceID]dandeliongap.Instant // just before it
	Disturbances []Disturbance
	Troubles     []Trouble
	Publications []Publication
	Departures   []Departure
	Outages      []Outage
	Stops        []Stop
	Orders       []*Order
	Usages       map[string]Usage // by VM and process
	Found        []Violation      // found while the soak ran
	QuotaUse     float64          // highest share of what K21 allows, set by Check
	QuietFrom    dandeliongap.Instant
	EndedAt      dandeliongap.Instant
}

// record adds a value to a list of the ledger.
func record[T any](l *Ledger, list *[]T, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, value)
}

func (l *Ledger) sent(x Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Exchanges == nil {
		l.Exchanges = make(map[RequestID]*Exchange)
	}
	l.Exchanges[x.ID] = &x
}

func (l *Ledger) answered(id RequestID, at dandeliongap.Instant, r Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.Exchanges[id]
	x.AnsweredAt, x.Response = at, r
}

func (l *Ledger) arrived(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Arrivals == nil {
		l.Arrivals = make(map[uint64]Arrival)
	}
	l.Arrivals[a.Number] = a
}

func (l *Ledger) server(in dandeliongap.Instance, at dandeliongap.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Instances == nil {
		l.Instances = make(map[dandeliongap.InstanceID]dandeliongap.Instance)
		l.RegisteredAt = make(map[dandeliongap.InstanceID]dandeliongap.Instant)
	}
	l.Instances[in.ID], l.RegisteredAt[in.ID] = in, at
}

func (l *Ledger) used(u Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Usages == nil {
		l.Usages = make(map[string]Usage)
	}
	key := fmt.Sprint(u.VM, "/", u.Process)
	old := l.Usages[key]
	u.MemoryBytes, u.Descriptors = max(u.MemoryBytes, old.MemoryBytes), max(u.Descriptors, old.Descriptors)
	l.Usages[key] = u
}

// Bounds are the bounds of the promises.
type Bounds struct {
	Drain, Evacuation, ConfigApply, Rollback time.Duration
	Grace, Recover, Stable, ResponseSlack    time.Duration
	PauseSlack                               time.Duration // after which a pause is in force
	LossSlack                                time.Duration // after which a stopping VM has read a request for certain
	RetryRatio, RetrySlack                   float64
	RetryWindow                              time.Duration
	MemoryBytes                              int64
	Descriptors                              int
	ServedShare                              float64       // of the requests after Recover (K14)
	Revoke                                   time.Duration // after which a removed key is not accepted
	AccountApply                             time.Duration // after which keys and limits are in force
	Quota                                    dgquota.Bounds
	ExposureShare, ExposureSlack             float64       // of the requests to a service, to a bad version (K23)
	BadRollback                              time.Duration // after which a bad version gets no requests
}

// DefaultBounds are those of the deployments in use: six VMs.
func DefaultBounds() Bounds {
	return Bounds{
		Drain: 3 * time.Second, Evacuation: 5 * time.Second, ConfigApply: 3 * time.Second, Rollback: 250 * time.Millisecond,
		Grace: 6 * time.Second, Recover: 12 * time.Second, Stable: 4 * time.Second, ResponseSlack: 500 * time.Millisecond,
		PauseSlack: 500 * time.Millisecond, LossSlack: 200 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second,
		MemoryBytes: 184 << 20, Descriptors: 4100, ServedShare: 0.25,
		Revoke: 5 * time.Second, AccountApply: 5 * time.Second, Quota: dgquota.DefaultBounds,
		ExposureShare: 0.1, ExposureSlack: 50, BadRollback: 5 * time.Second,
	}
}
