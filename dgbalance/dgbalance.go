// Package dgbalance selects the replica that a request goes to, on one VM, from
// what this VM has seen of the replicas. It answers the load of uneven replicas:
// slow, paused, failing, cold, unreachable and leaving ones.
//
// Rules:
//
//	R1  A replica that drains, lies in a zone that operators took out, or was used
//	    by the same request before is not used.
//	R2  This VM opens at most its share of a replica's connections (ConnectionShares).
//	R3  Of the usable replicas, the one with the least cost is used: its slowness
//	    times its requests under way, divided by its share of successes. Nearly equal
//	    costs are decided at random. One that has lost the same request before costs
//	    lostCost times as much: it is used if the others are worse or out of use.
//	R4  Slowness is learned from answers, relative to the route's typical latency,
//	    and fades without new ones. A request under way counts with its age, from the
//	    replica's last answer on: one that answers others does not pause.
//	R5  A replica that refused a connection or broke one is not used for a time that
//	    doubles, and then for one request until that one succeeds.
//	R6  A replica that has answered nothing for UnresponsiveAfter, while it had a request,
//	    gets one request at a time, each ProbeInterval.
//	R7  A cold replica with a limit gets this VM's share of that rate.
//	R8  A replica whose address answers for another instance is gone. Requests there
//	    would only load the service that has the address now. It is looked for again
//	    after WrongInstanceBackoff.
package dgbalance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

const (
	latencyWeight = 0.3  // of a new sample in a replica's slowness
	typicalWeight = 0.02 // of a new sample in a route's typical latency
	failWeight    = 0.25 // of a new sample in a replica's share of failures
	maxFail       = 0.9  // keeps the cost of a failing replica finite
	maxSlow       = 50.0 // keeps one very late answer from ruling a replica out for long

	// fadeHalf is the time in which what was learned of a replica loses half of
	// its weight: a few requests of one VM to one replica.
	fadeHalf = time.Second

	downFirst = 50 * time.Millisecond  // R5; a server that restarts refuses for longer
	downMost  = 800 * time.Millisecond // R5; bounds the delay after a return

	// UnresponsiveAfter is longer than the pauses of healthy replicas, 250 ms.
	UnresponsiveAfter = 400 * time.Millisecond
	// soonGivenUp is shorter than the objectives after which late requests are given
	// up.
	soonGivenUp = 60 * time.Millisecond
	// darkAfter is the silence after which an answer is unlikely: slow replicas take
	// up to twelve times as long as usual.
	darkAfter = time.Second
	// ProbeInterval bounds the load on replicas that do not answer.
	ProbeInterval = 250 * time.Millisecond

	// WrongInstanceBackoff is how long a replica counts as gone (R8), unless it registers anew:
	// about the time in which its registration lapses.
	WrongInstanceBackoff = 5 * time.Second

	// typicalDefault stands for the typical latency of a route without answers.
	typicalDefault = 50 * time.Millisecond

	// costSpread is the difference of costs that decides nothing: what was learned of
	// a replica is no more exact, and one that was slow must be tried again.
	costSpread = 0.25

	// lostCost is the factor of the cost of a replica that has lost the request: one
	// failure alone raises it too little to leave a replica that fails all requests.
	lostCost = 4

	// coldSlowness is the cost of a cold replica relative to a warm one.
	coldSlowness = 1.6
)

// Result is how a request at a replica ended, as far as it tells about the
// replica.
type Result uint8

// Results.
const (
	// Answered: a whole answer in time.
	Answered Result = iota
	// Refused: the replica said that it did not run the request.
	Refused
	// WrongInstance: another instance has the replica's address.
	WrongInstance
	// Failed: the replica failed the request, or its answer was lost or broken.
	Failed
	// ConnectFailed: no connection could be made.
	ConnectFailed
	// Abandoned: cancelled or past its deadline; only its age tells something.
	Abandoned
)

// Change is a change of what is believed of a replica.
type Change uint8

// Changes.
const (
	Unchanged         Change = iota
	WentDown                 // it cannot be reached (R5)
	Recovered                // it answers again after it was down
	AddressReassigned        // another instance has its address (R8)
)

type replica struct {
	inst    dandeliongap.Instance
	coldEnd dandeliongap.Instant
	allowed int // connections (R2)

	started   []dandeliongap.Instant // requests under way
	silent    bool                   // a request was sent since the last answer
	silentAt  dandeliongap.Instant   // the first of these
	slow      float64
	fail      float64
	learnedAt dandeliongap.Instant

	downUntil  dandeliongap.Instant
	downFor    time.Duration
	movedUntil dandeliongap.Instant
	probeAt    dandeliongap.Instant

	coldTokens float64
	coldAt     dandeliongap.Instant
	coldRate   float64
}

// Assignment is one request under way at a replica.
type Assignment struct {
	Instance    dandeliongap.Instance
	Start       dandeliongap.Instant
	Cost        float64       // that decided (R3)
	EstimateAge time.Duration // of what was learned of the replica
	Candidates  int           // replicas that were compared
	Probe       bool          // the replica was down or silent: an answer is unlikely
}

// Balancer is not safe for concurrent use.
type Balancer struct {
	rng      *rand.Rand
	self     dandeliongap.VMName
	services map[dandeliongap.ServiceName][]*replica
	byID     map[dandeliongap.InstanceID]*replica
	zonesOut map[dandeliongap.ZoneName]bool
	typical  map[dandeliongap.RouteName]time.Duration
	dealt    map[dandeliongap.ServiceName]dealt
}

// New returns a balancer without replicas.
func New(self dandeliongap.VMName, rng *rand.Rand) *Balancer {
	return &Balancer{
		rng: rng, self: self,
		services: make(map[dandeliongap.ServiceName][]*replica),
		byID:     make(map[dandeliongap.InstanceID]*replica),
		typical:  make(map[dandeliongap.RouteName]time.Duration),
		dealt:    make(map[dandeliongap.ServiceName]dealt),
	}
}

// Update takes in the replicas, the limits of their services, the zones taken
// out and the registered VMs. What was learned of replicas that stay is kept.
func (b *Balancer) Update(now dandeliongap.Instant, list []dandeliongap.Instance, limits map[dandeliongap.ServiceName]dandeliongap.ServiceLimits, zonesOut map[dandeliongap.ZoneName]bool, vms []dandeliongap.VMName) {
	b.zonesOut = zonesOut
	old := b.byID
	b.byID = make(map[dandeliongap.InstanceID]*replica, len(list))
	b.services = make(map[dandeliongap.ServiceName][]*replica)
	for _, in := range list {
		r := old[in.ID]
		if r == nil || r.inst.StartUnixMs != in.StartUnixMs || r.inst.Address != in.Address {
			r = &replica{slow: 1, learnedAt: now}
		}
		r.inst = in
		r.coldEnd = now.Add(in.ColdRemaining)
		limit := limits[in.Service]
		r.coldRate = limit.ColdRate / float64(max(1, len(vms)))
		b.byID[in.ID] = r
		b.services[in.Service] = append(b.services[in.Service], r)
	}
	for name, rs := range b.services {
		slices.SortFunc(rs, func(a, b *replica) int { return cmp.Compare(a.inst.ID, b.inst.ID) })
		b.deal(name, rs, limits[name].Connections, vms)
	}
}

// deal sets the connections of this VM at the replicas of one service (R2). The
// result of the last time is kept while nothing changed that it depends on.
func (b *Balancer) deal(name dandeliongap.ServiceName, rs []*replica, connections int, vms []dandeliongap.VMName) {
	if connections <= 0 {
		for _, r := range rs {
			r.allowed = math.MaxInt
		}
		return
	}
	var h xxhash.Digest
	h.Reset()
	for _, vm := range vms {
		_, _ = h.WriteString(string(vm) + "/")
	}
	for _, r := range rs {
		_, _ = h.WriteString(string(r.inst.ID) + "/")
	}
	d := dealt{basis: h.Sum64(), connections: connections}
	if old, ok := b.dealt[name]; ok && old.basis == d.basis && old.connections == connections {
		d = old
	} else {
		d.shares = ConnectionShares(name, b.self, vms, len(rs), connections)
		b.dealt[name] = d
	}
	for i, r := range rs {
		r.allowed = d.shares[i]
	}
}

// dealt is a result of ConnectionShares and what it was made from.
type dealt struct {
	basis       uint64
	connections int
	shares      []int
}

// TypicalLatency returns the typical latency of a route; fallback if none was seen.
func (b *Balancer) TypicalLatency(r dandeliongap.RouteName, fallback time.Duration) time.Duration {
	if d := b.typical[r]; d > 0 {
		return d
	}
	return fallback
}

// Availability tells what may be expected of a service.
type Availability uint8

// Prospects.
const (
	// None: no replica is registered that may be used.
	None Availability = iota
	// Down: there are replicas, but none answers at the moment.
	Down
	// Usable: a request could be sent now.
	Usable
)

// Availability returns what may be expected of a service now.
func (b *Balancer) Availability(now dandeliongap.Instant, s dandeliongap.ServiceName) Availability {
	best := None
	for _, r := range b.services[s] {
		switch {
		case !b.open(r) || now < r.movedUntil:
		case !b.closedFor(now, r):
			return Usable
		default:
			best = Down
		}
	}
	return best
}

// open tells whether a replica may be used at all (R1).
func (b *Balancer) open(r *replica) bool {
	return !r.inst.Draining && !b.zonesOut[r.inst.Zone] && r.allowed > 0
}

// closedFor tells whether what was seen of a replica rules it out now (R5, R6, R8).
func (b *Balancer) closedFor(now dandeliongap.Instant, r *replica) bool {
	if now < r.downUntil || now < r.movedUntil {
		return true
	}
	if r.downFor > 0 && len(r.started) > 0 {
		return true
	}
	return r.silence(now) > UnresponsiveAfter && now < r.probeAt
}

// silence returns how long ago the first request was sent of which, and of all
// later ones, the replica has answered none. Requests that were given up count.
func (r *replica) silence(now dandeliongap.Instant) time.Duration {
	if !r.silent {
		return 0
	}
	return now.Sub(r.silentAt)
}

// Pick selects a replica and counts the request as under way (R1 to R8), none of
// used and rather none of those that have lost the request. Without a usable
// replica its error is ErrNoReplica, and retry tells when there may be one.
func (b *Balancer) Pick(now dandeliongap.Instant, route dandeliongap.RouteName, s dandeliongap.ServiceName, used, lost []dandeliongap.InstanceID) (t Assignment, retry dandeliongap.Instant, err error) {
	var best *replica
	bestCost := math.Inf(1)
	usable := 0
	retry = now.Add(ProbeInterval)
	for _, r := range b.services[s] {
		if !b.open(r) || slices.Contains(used, r.inst.ID) {
			continue
		}
		if b.closedFor(now, r) {
			if r.downUntil > now && r.movedUntil <= now {
				retry = min(retry, r.downUntil)
			}
			continue
		}
		if len(r.started) >= r.allowed || !r.coldToken(now) {
			retry = min(retry, now.Add(busyRetry))
			continue
		}
		usable++
		cost := b.cost(now, route, r) * (1 + costSpread*b.rng.Float64())
		if slices.Contains(lost, r.inst.ID) {
			cost *= lostCost
		}
		if cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best == nil {
		return Assignment{}, retry, dandeliongap.ErrNoReplica
	}
	if best.inCold(now) {
		best.coldTokens--
	}
	trial := best.downFor > 0
	if silent := best.silence(now); silent > UnresponsiveAfter {
		best.probeAt = now.Add(ProbeInterval)
		trial = trial || silent > darkAfter
	}
	best.started = append(best.started, now)
	if !best.silent {
		best.silent, best.silentAt = true, now
	}
	return Assignment{Instance: best.inst, Start: now, Cost: bestCost, EstimateAge: now.Sub(best.learnedAt), Candidates: usable, Probe: trial}, 0, nil
}

// busyRetry is the wait for a connection or a cold replica's next request.
const busyRetry = 5 * time.Millisecond

func (r *replica) inCold(now dandeliongap.Instant) bool {
	return r.coldRate > 0 && now < r.coldEnd
}

// coldToken tells whether a cold replica may get a request (R7).
func (r *replica) coldToken(now dandeliongap.Instant) bool {
	if !r.inCold(now) {
		return true
	}
	if r.coldAt == 0 {
		r.coldTokens = 1
	} else {
		r.coldTokens = min(max(1, r.coldRate/4), r.coldTokens+r.coldRate*now.Sub(r.coldAt).Seconds())
	}
	r.coldAt = now
	return r.coldTokens >= 1
}
