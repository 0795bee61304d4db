// Package dgbalance implements client-side load balancing: on each VM, it selects
// the replica that a request is sent to, from what this VM alone has observed. It
// copes with replicas that are slow, paused, failing, cold, unreachable or
// draining.
//
// Rules:
//
//	R1  A replica is not used if it is draining, if its availability zone is out of
//	    service, or if the request excludes it because it was sent there before.
//	R2  This VM opens at most its share of a replica's connections
//	    (ConnectionShares). A VM that is not among those that share them, because it
//	    stands by, opens one at a time.
//	R3  Of the usable replicas, the one with the lowest cost is selected. The cost is
//	    the slowness of the replica, times one plus its requests in flight from this
//	    VM, divided by the square of its share of successes: a failure costs a second
//	    attempt, out of a small budget, besides its time. A random factor decides between
//	    similar costs. A replica that has failed the same request before costs
//	    retryCostFactor times as much: it is used only if the others are worse or
//	    unusable.
//	R4  Slowness is estimated from response times relative to the typical latency of
//	    the route, and the estimate decays without new samples. While a request is in
//	    flight, the time since it was sent, relative to the typical latency, is a
//	    lower bound of the slowness. The time counts from the replica's last response
//	    if that is later: a replica that responds to other requests is not paused.
//	R5  A replica that refused a connection, or whose connection broke before the
//	    request was sent, is not used for a backoff time that doubles with each
//	    failure. It then gets one request at a time until it can be reached.
//	R6  A replica that has had requests in flight and not responded for
//	    UnresponsiveAfter gets one request per ProbeInterval.
//	R7  A replica in cold start whose rate is limited gets requests at no more than
//	    this VM's share of that rate.
//	R8  A replica whose address is used by another instance counts as gone. Requests
//	    to that address would only load the service that has it now. The replica is
//	    tried again after WrongInstanceBackoff.
//	R9  A replica that said in a response that it is leaving gets no more requests,
//	    whatever its registration says, until another process registers under its ID.
//	R10 A replica that asked in a response for a pause gets no request before the
//	    pause is over, not even a probe.
//	R11 A replica in another availability zone than the VM costs otherZoneCostFactor
//	    times as much: it is used if those in the VM's zone are slow, busy or
//	    unusable. Traffic between zones takes longer and is charged for.
//	R12 A request may be restricted to groups of replicas, by version, zone or ID
//	    (dgrollout). Within a group all other rules hold.
//	R13 A failure that is due to the request, and not to the replica, changes no
//	    estimate. It counts as a response for R5 and R6. Otherwise one caller could
//	    take a replica from all others.
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
	latencyWeight        = 0.3  // weight of a new sample in a replica's slowness
	typicalLatencyWeight = 0.02 // weight of a new sample in a route's typical latency
	failureWeight        = 0.25 // weight of a new sample in a replica's share of failures
	maxFailureShare      = 0.9  // keeps the cost of a failing replica finite
	maxSlowness          = 50.0 // keeps one very late response from excluding a replica for long

	// decayHalfLife is the time in which an estimate loses half of its weight. One VM
	// sends a few requests to each replica in that time.
	decayHalfLife = time.Second

	initialBackoff = 50 * time.Millisecond  // R5; a restarting server refuses connections for longer
	maxBackoff     = 800 * time.Millisecond // R5; limits the time until a recovered replica is used

	// UnresponsiveAfter is the time without a response after which a replica is only
	// probed (R6). It is longer than the pauses of healthy replicas, 250 ms.
	UnresponsiveAfter = 400 * time.Millisecond
	// minAbandonedAge is the age below which an abandoned request says nothing about
	// its replica. It is shorter than the latency objectives after which late
	// requests are abandoned.
	minAbandonedAge = 60 * time.Millisecond
	// responseUnlikelyAfter is the time without a response after which a response is
	// unlikely: slow replicas take up to twelve times as long as usual.
	responseUnlikelyAfter = time.Second
	// ProbeInterval is the time between requests to an unresponsive replica (R6). It
	// limits the load on replicas that do not respond.
	ProbeInterval = 250 * time.Millisecond

	// WrongInstanceBackoff is how long a replica counts as gone (R8) unless it
	// registers again. It is about the time in which its registration expires.
	WrongInstanceBackoff = 5 * time.Second

	// defaultTypicalLatency is used for routes without responses so far.
	defaultTypicalLatency = 50 * time.Millisecond

	// costJitter is the maximum random increase of a cost, relative to the cost. The
	// estimates are no more exact than that, and a replica that was slow must get
	// requests again to show that it has recovered.
	costJitter = 0.25

	// retryCostFactor multiplies the cost of a replica that has failed the request
	// before (R3). A single failure raises the cost too little to avoid a replica
	// that fails all requests.
	retryCostFactor = 4

	// coldCostFactor is the cost of a cold replica relative to a warm one.
	coldCostFactor = 1.6

	// standbyColdShare is the factor by which a VM that stands by sends fewer requests
	// to a replica in cold start than one that serves callers (R7).
	standbyColdShare = 10

	// otherZoneCostFactor is the cost of a replica in another availability zone
	// relative to one in the VM's zone (R11): that of one request in flight, which
	// rarely has to wait for a slot.
	otherZoneCostFactor = 2.0
)

// Result tells how a request to a replica ended, as far as this says something
// about the replica.
type Result uint8

// Results.
const (
	// Answered means that a complete response arrived in time.
	Answered Result = iota
	// Refused means that the replica reported that it did not run the request.
	Refused
	// WrongInstance means that another instance uses the replica's address.
	WrongInstance
	// Failed means that the replica failed the request, or that its response was
	// lost or malformed.
	Failed
	// ConnectFailed means that no connection could be made, or that the connection
	// broke before the request was sent.
	ConnectFailed
	// Rejected means that the replica responded, or ended the connection, for a reason
	// that lies in the request (R13).
	Rejected
	// Abandoned means that the request was cancelled or passed its deadline; only its
	// age says something about the replica.
	Abandoned
)

// Change is a change of the state of a replica as this VM sees it.
type Change uint8

// Changes.
const (
	Unchanged         Change = iota
	WentDown                 // connections to the replica fail (R5)
	Recovered                // the replica can be reached again after WentDown
	AddressReassigned        // another instance uses the replica's address (R8)
	StartedLeaving           // the replica said that it is leaving (R9)
	Paused                   // the replica asked for a pause (R10)
)

type replica struct {
	instance       dandeliongap.Instance
	coldUntil      dandeliongap.Instant
	maxConnections int // of this VM (R2)

	startTimes      []dandeliongap.Instant // of the requests in flight
	unanswered      bool                   // no response since unansweredSince, although a request was sent
	unansweredSince dandeliongap.Instant   // time of the first unanswered request or, if later, of the last response
	slowness        float64                // latency relative to the typical latency of the route (R4)
	failureShare    float64                // share of failed requests (R3)
	estimatedAt     dandeliongap.Instant   // time of slowness and failureShare

	backoffUntil       dandeliongap.Instant
	backoff            time.Duration // 0 unless the replica is down (R5)
	wrongInstanceUntil dandeliongap.Instant
	nextProbe          dandeliongap.Instant

	hints *hintState // what the process said about further requests; may be nil

	coldTokens     float64 // token bucket of requests in cold start (R7)
	coldRefilledAt dandeliongap.Instant
	coldRate       float64 // requests per second from this VM; 0: no limit
}

// Assignment is the selection of a replica for a request. Done takes it when the
// request ends.
type Assignment struct {
	Instance    dandeliongap.Instance
	Start       dandeliongap.Instant
	Cost        float64       // cost of the replica when it was selected (R3)
	EstimateAge time.Duration // age of the estimates behind Cost
	Candidates  int           // number of replicas that were compared
	Cold        bool          // the replica was in cold start
	Probe       bool          // a response is unlikely: the replica was down or unresponsive for responseUnlikelyAfter
}

// Balancer holds what one VM knows about the replicas of all services. It is not
// safe for concurrent use.
type Balancer struct {
	rng            *rand.Rand
	self           dandeliongap.VMName
	zone           dandeliongap.ZoneName // of the VM; "" if unknown
	services       map[dandeliongap.ServiceName][]*replica
	byID           map[dandeliongap.InstanceID]*replica
	zonesOut       map[dandeliongap.ZoneName]bool
	typicalLatency map[dandeliongap.RouteName]time.Duration
	shares         map[dandeliongap.ServiceName]cachedShares
	hints          map[process]*hintState
}

// New returns a balancer without replicas, for the VM self in an availability zone.
func New(self dandeliongap.VMName, zone dandeliongap.ZoneName, rng *rand.Rand) *Balancer {
	return &Balancer{
		rng: rng, self: self, zone: zone,
		services:       make(map[dandeliongap.ServiceName][]*replica),
		byID:           make(map[dandeliongap.InstanceID]*replica),
		typicalLatency: make(map[dandeliongap.RouteName]time.Duration),
		shares:         make(map[dandeliongap.ServiceName]cachedShares),
		hints:          make(map[process]*hintState),
	}
}

// Update replaces the replicas, the limits of their services, the zones that are out
// of service and the VMs that serve callers. Estimates are kept for replicas that have
// neither restarted nor changed their address.
func (b *Balancer) Update(now dandeliongap.Instant, list []dandeliongap.Instance, limits map[dandeliongap.ServiceName]dandeliongap.ServiceLimits, zonesOut map[dandeliongap.ZoneName]bool, vms []dandeliongap.VMName) {
	b.zonesOut = zonesOut
	old := b.byID
	b.byID = make(map[dandeliongap.InstanceID]*replica, len(list))
	b.services = make(map[dandeliongap.ServiceName][]*replica)
	for _, in := range list {
		r := old[in.ID]
		if r == nil || r.instance.StartUnixMs != in.StartUnixMs || r.instance.Address != in.Address {
			r = &replica{slowness: 1, estimatedAt: now}
		}
		r.instance = in
		r.coldUntil = now.Add(in.ColdRemaining)
		limit := limits[in.Service]
		r.coldRate = limit.ColdRate / float64(max(1, len(vms)))
		if !slices.Contains(vms, b.self) {
			r.coldRate /= standbyColdShare
		}
		b.byID[in.ID] = r
		b.services[in.Service] = append(b.services[in.Service], r)
	}
	b.attachHints(now)
	for name, rs := range b.services {
		slices.SortFunc(rs, func(a, b *replica) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
		b.limitConnections(name, rs, limits[name].Connections, vms)
	}
}

// limitConnections sets the maximum number of connections of this VM to the
// replicas of a service (R2). It reuses the shares of the last call if their inputs
// have not changed.
func (b *Balancer) limitConnections(name dandeliongap.ServiceName, rs []*replica, connections int, vms []dandeliongap.VMName) {
	if connections <= 0 {
		for _, r := range rs {
			r.maxConnections = math.MaxInt
		}
		return
	}
	if !slices.Contains(vms, b.self) {
		for _, r := range rs {
			r.maxConnections = 1
		}
		return
	}
	var h xxhash.Digest
	h.Reset()
	for _, vm := range vms {
		_, _ = h.WriteString(string(vm) + "/")
	}
	for _, r := range rs {
		_, _ = h.WriteString(string(r.instance.ID) + "/")
	}
	c := cachedShares{inputHash: h.Sum64(), connections: connections}
	if old, ok := b.shares[name]; ok && old.inputHash == c.inputHash && old.connections == connections {
		c = old
	} else {
		c.shares = ConnectionShares(name, b.self, vms, len(rs), connections)
		b.shares[name] = c
	}
	for i, r := range rs {
		r.maxConnections = c.shares[i]
	}
}

// cachedShares is a result of ConnectionShares with the inputs that may change.
type cachedShares struct {
	inputHash   uint64 // of the VMs and the replicas
	connections int    // accepted by each replica
	shares      []int
}

// TypicalLatency returns the typical latency of a route, or fallback if the route
// has had no responses.
func (b *Balancer) TypicalLatency(r dandeliongap.RouteName, fallback time.Duration) time.Duration {
	if d := b.typicalLatency[r]; d > 0 {
		return d
	}
	return fallback
}

// Availability tells whether requests to a service can currently be served.
type Availability uint8

// Availabilities of a service.
const (
	// None means that no replica is eligible, or that other instances use the
	// addresses of all eligible replicas (R8).
	None Availability = iota
	// Down means that there are eligible replicas, but all are down or unresponsive.
	Down
	// Usable means that an eligible replica is neither down nor unresponsive, or may
	// be probed now.
	Usable
)

// Availability returns the current availability of a service.
func (b *Balancer) Availability(now dandeliongap.Instant, s dandeliongap.ServiceName) Availability {
	best := None
	for _, r := range b.services[s] {
		switch {
		case !b.eligible(r) || now < r.wrongInstanceUntil:
		case !b.suspended(now, r):
			return Usable
		default:
			best = Down
		}
	}
	return best
}

// eligible reports whether a replica may be used at all (R1, R2, R9).
func (b *Balancer) eligible(r *replica) bool {
	return !r.instance.Draining && !r.leaving() && !b.zonesOut[r.instance.Zone] && r.maxConnections > 0
}

// suspended reports whether a replica must not get a request now because of what this
// VM has observed of it (R5, R6, R8, R10).
func (b *Balancer) suspended(now dandeliongap.Instant, r *replica) bool {
	if now < r.backoffUntil || now < r.wrongInstanceUntil || now < r.pausedUntil() {
		return true
	}
	if r.backoff > 0 && len(r.startTimes) > 0 {
		return true
	}
	return r.unansweredFor(now) > UnresponsiveAfter && now < r.nextProbe
}

// unansweredFor returns for how long the replica has not responded although requests
// were sent to it; 0 if none of them is unanswered. Abandoned requests count as
// unanswered.
func (r *replica) unansweredFor(now dandeliongap.Instant) time.Duration {
	if !r.unanswered {
		return 0
	}
	return now.Sub(r.unansweredSince)
}

// Pick selects a replica for a request and counts the request as in flight there
// (R1 to R10). It skips the replicas in excluded, and avoids those in failed, which
// have failed the request before. If no replica is usable, the error is ErrNoReplica
// and retryAt is the time at which to call Pick again: at most ProbeInterval later,
// unless all replicas are paused (R10).
func (b *Balancer) Pick(now dandeliongap.Instant, route dandeliongap.RouteName, s dandeliongap.ServiceName, excluded, failed []dandeliongap.InstanceID) (a Assignment, retryAt dandeliongap.Instant, err error) {
	return b.pickAmong(now, route, s, Group{}, excluded, failed)
}

// pickAmong is Pick for the replicas of a group.
func (b *Balancer) pickAmong(now dandeliongap.Instant, route dandeliongap.RouteName, s dandeliongap.ServiceName, group Group, excluded, failed []dandeliongap.InstanceID) (a Assignment, retryAt dandeliongap.Instant, err error) {
	var best *replica
	bestCost := math.Inf(1)
	candidates := 0
	retryAt = now.Add(ProbeInterval)
	if at, ok := b.pauseEnd(now, s, group, excluded); ok {
		retryAt = at
	}
	for _, r := range b.services[s] {
		if !b.eligible(r) || slices.Contains(excluded, r.instance.ID) || !group.has(&r.instance) {
			continue
		}
		if b.suspended(now, r) {
			if r.backoffUntil > now && r.wrongInstanceUntil <= now && r.pausedUntil() <= now {
				retryAt = min(retryAt, r.backoffUntil)
			}
			continue
		}
		if len(r.startTimes) >= r.maxConnections || !r.refillColdTokens(now) {
			retryAt = min(retryAt, now.Add(busyRetryDelay))
			continue
		}
		candidates++
		cost := b.cost(now, route, r) * (1 + costJitter*b.rng.Float64())
		if slices.Contains(failed, r.instance.ID) {
			cost *= retryCostFactor
		}
		if cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best == nil {
		return Assignment{}, retryAt, dandeliongap.ErrNoReplica
	}
	if best.needsColdToken(now) {
		best.coldTokens--
	}
	probe := best.backoff > 0
	if unanswered := best.unansweredFor(now); unanswered > UnresponsiveAfter {
		best.nextProbe = now.Add(ProbeInterval)
		probe = probe || unanswered > responseUnlikelyAfter
	}
	cold := now < best.coldUntil
	best.startTimes = append(best.startTimes, now)
	if !best.unanswered {
		best.unanswered, best.unansweredSince = true, now
	}
	return Assignment{Instance: best.instance, Start: now, Cost: bestCost, EstimateAge: now.Sub(best.estimatedAt), Candidates: candidates, Probe: probe, Cold: cold}, 0, nil
}

// busyRetryDelay is the time until the next attempt to get a free connection, or a
// token of a replica in cold start.
const busyRetryDelay = 5 * time.Millisecond

// needsColdToken reports whether a request to the replica takes a token (R7): the
// replica is in cold start and its rate is limited.
func (r *replica) needsColdToken(now dandeliongap.Instant) bool {
	return r.coldRate > 0 && now < r.coldUntil
}

// refillColdTokens adds the tokens for the time since the last call and reports
// whether the replica may get a request (R7): it has a token or needs none.
func (r *replica) refillColdTokens(now dandeliongap.Instant) bool {
	if !r.needsColdToken(now) {
		return true
	}
	if r.coldRefilledAt == 0 {
		r.coldTokens = 1
	} else {
		r.coldTokens = min(max(1, r.coldRate/4), r.coldTokens+r.coldRate*now.Sub(r.coldRefilledAt).Seconds())
	}
	r.coldRefilledAt = now
	return r.coldTokens >= 1
}
