package dgrelay

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// MessageBodyLimit is the usual limit of object bodies in one message, before
	// compression.
	MessageBodyLimit = 256 << 10
	// PushTargets is the number of members that a newly adopted object goes to.
	PushTargets = 3
	// Watchers is the number of members that watch the platform.
	Watchers = 3
	// platformCheckInterval is the time between two checks whether to call the platform.
	platformCheckInterval = 500 * time.Millisecond
	// WatchWait is the longest time that one watch waits.
	WatchWait = 30 * time.Second
	// PeerTimeout is the time without an answer of a peer after which a VM reads
	// the platform itself.
	PeerTimeout = 3 * time.Second
	// InitialBackoff bounds the time before a call that failed once is repeated.
	InitialBackoff = 250 * time.Millisecond
	// MaxBackoff bounds the time before any failed call is repeated.
	MaxBackoff = 30 * time.Second
)

// ExchangeInterval returns the time between two exchanges that a VM with n other
// members starts. Up to 100 members the contact window of dgmember is 3 s, within
// which news of more than half of the members have to arrive, again and again for
// as long as the platform is down; vectors are short there.
func ExchangeInterval(n int) time.Duration {
	if n < 100 {
		return 250 * time.Millisecond
	}
	return 500 * time.Millisecond
}

// Relay decides which calls spread the relayed objects. Its methods append
// actions to dst and return it. Create it with NewRelay.
type Relay struct {
	self             dandeliongap.MemberID
	peers            []dandeliongap.MemberID // other members, in rank order
	rank             int                     // number of peers with a lower rank
	remaining        []dandeliongap.MemberID // peers that the present round has not reached yet
	nextExchange     dandeliongap.Instant
	lastPeerAnswer   dandeliongap.Instant // last answer of a peer
	nextPlatformCall dandeliongap.Instant // earliest next platform call
	callInFlight     bool
	wasWatcher       bool
	stateListed      bool // a list was read since this VM became a watcher
	sinceVersion     dandeliongap.Version
	failures         int
	alive            func(dandeliongap.MemberID) bool
}

// NewRelay returns the relay of a VM that starts at now. heard tells whether a
// member has been heard of recently; it comes from dgmember.
func NewRelay(now dandeliongap.Instant, self dandeliongap.MemberID, alive func(dandeliongap.MemberID) bool) *Relay {
	return &Relay{self: self, alive: alive, nextExchange: now, lastPeerAnswer: now, nextPlatformCall: now}
}

// SetMembers reports a new list of members, in rank order.
func (r *Relay) SetMembers(members []dandeliongap.Member) {
	r.peers = r.peers[:0]
	r.remaining = r.remaining[:0]
	r.rank = len(members)
	for i, m := range members {
		if m.ID == r.self {
			r.rank = i
			continue
		}
		r.peers = append(r.peers, m.ID)
	}
}

// Adopted reports that an object was adopted, from a peer or the platform, and
// returns the pushes of C2.
func (r *Relay) Adopted(rnd *rand.Rand, dst []Action) []Action {
	n := len(r.peers)
	for k := range min(PushTargets, n) {
		// A partial shuffle picks each target once; the order of peers is rank
		// order, so the chosen ones are not moved but skipped over.
		dst = append(dst, Action{Kind: KindPush, Rule: C2, Member: r.pickTarget(rnd, dst[len(dst)-k:])})
	}
	return dst
}

func (r *Relay) pickTarget(rnd *rand.Rand, taken []Action) dandeliongap.MemberID {
	for i := rnd.IntN(len(r.peers)); ; i = (i + 1) % len(r.peers) {
		if !hasTarget(taken, r.peers[i]) {
			return r.peers[i]
		}
	}
}

func hasTarget(as []Action, id dandeliongap.MemberID) bool {
	for _, a := range as {
		if a.Member == id {
			return true
		}
	}
	return false
}

// PeerAnswered reports that an exchange succeeded, with a member or a seed.
func (r *Relay) PeerAnswered(now dandeliongap.Instant) { r.lastPeerAnswer = now }

// PlatformAnswered reports the answer of a read or watch with the version of the
// collection. The driver has adopted the objects before.
func (r *Relay) PlatformAnswered(now dandeliongap.Instant, version dandeliongap.Version) {
	r.callInFlight = false
	r.failures = 0
	r.sinceVersion = max(r.sinceVersion, version)
	r.stateListed = true
	r.nextPlatformCall = now
	if !r.wasWatcher && !r.IsWatcher() {
		r.nextPlatformCall = now.Add(PeerTimeout)
	}
}

// PlatformFailed reports a read or watch that failed.
func (r *Relay) PlatformFailed(now dandeliongap.Instant, rnd *rand.Rand) {
	r.callInFlight = false
	r.failures++
	r.stateListed = false
	r.nextPlatformCall = now.Add(Backoff(r.failures, rnd))
}

// Backoff returns the time to wait after the given number of failures in a row:
// exponential with full jitter, at least a tenth of InitialBackoff.
func Backoff(failures int, rnd *rand.Rand) time.Duration {
	limit := MaxBackoff
	if failures < 8 {
		limit = min(MaxBackoff, InitialBackoff<<max(0, failures-1))
	}
	return InitialBackoff/10 + time.Duration(rnd.Int64N(int64(limit)))
}

// IsWatcher tells whether this VM is among those that watch the platform (C4).
func (r *Relay) IsWatcher() bool {
	if r.rank > len(r.peers) {
		return false // not a member yet
	}
	lower := 0
	for _, p := range r.peers[:r.rank] {
		if r.alive(p) {
			lower++
		}
		if lower == Watchers {
			return false
		}
	}
	return true
}

// Tick returns what is due at now.
func (r *Relay) Tick(now dandeliongap.Instant, rnd *rand.Rand, dst []Action) []Action {
	if now >= r.nextExchange {
		r.nextExchange = now.Add(ExchangeInterval(len(r.peers)))
		dst = append(dst, Action{Kind: KindExchange, Rule: C3, Member: r.nextPeer(rnd)})
	}
	if r.callInFlight || now < r.nextPlatformCall {
		return dst
	}
	return r.callPlatform(now, dst)
}

func (r *Relay) callPlatform(now dandeliongap.Instant, dst []Action) []Action {
	watcher := r.IsWatcher()
	if watcher != r.wasWatcher {
		r.wasWatcher = watcher
		r.stateListed = false
	}
	switch {
	case watcher && r.stateListed:
		r.callInFlight = true
		return append(dst, Action{Kind: KindWatch, Rule: C4, Version: r.sinceVersion})
	case watcher:
		r.callInFlight = true
		return append(dst, Action{Kind: KindRead, Rule: C4})
	case now.Sub(r.lastPeerAnswer) >= PeerTimeout:
		r.callInFlight = true
		return append(dst, Action{Kind: KindRead, Rule: C5})
	}
	r.nextPlatformCall = now.Add(platformCheckInterval)
	return dst
}

// nextPeer returns the next target of a round in random order; none while no
// other member is known.
func (r *Relay) nextPeer(rnd *rand.Rand) dandeliongap.MemberID {
	if len(r.peers) == 0 {
		return ""
	}
	if len(r.remaining) == 0 {
		r.remaining = append(r.remaining, r.peers...)
		rnd.Shuffle(len(r.remaining), func(i, j int) { r.remaining[i], r.remaining[j] = r.remaining[j], r.remaining[i] })
	}
	last := len(r.remaining) - 1
	id := r.remaining[last]
	r.remaining = r.remaining[:last]
	return id
}

// Next returns when Tick is due.
func (r *Relay) Next() dandeliongap.Instant {
	if r.callInFlight {
		return r.nextExchange
	}
	return min(r.nextExchange, r.nextPlatformCall)
}
