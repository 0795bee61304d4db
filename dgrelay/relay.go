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
	// callEvery is the time between two checks whether to call the platform.
	callEvery = 500 * time.Millisecond
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
	self         dandeliongap.MemberID
	peers        []dandeliongap.MemberID // other members, in rank order
	rank         int                     // number of peers with a lower rank
	round        []dandeliongap.MemberID // peers that the present round has not reached yet
	nextExchange dandeliongap.Instant
	lastPeer     dandeliongap.Instant // last answer of a peer
	nextCall     dandeliongap.Instant // earliest next platform call
	calling      bool
	watching     bool
	listed       bool // a list was read since this VM became a watcher
	since        dandeliongap.Version
	failures     int
	heard        func(dandeliongap.MemberID) bool
}

// NewRelay returns the relay of a VM that starts at now. heard tells whether a
// member has been heard of recently; it comes from dgmember.
func NewRelay(now dandeliongap.Instant, self dandeliongap.MemberID, heard func(dandeliongap.MemberID) bool) *Relay {
	return &Relay{self: self, heard: heard, nextExchange: now, lastPeer: now, nextCall: now}
}

// SetMembers reports a new list of members, in rank order.
func (r *Relay) SetMembers(members []dandeliongap.Member) {
	r.peers = r.peers[:0]
	r.round = r.round[:0]
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
		dst = append(dst, Action{Kind: KindPush, Rule: C2, Member: r.pick(rnd, dst[len(dst)-k:])})
	}
	return dst
}

func (r *Relay) pick(rnd *rand.Rand, taken []Action) dandeliongap.MemberID {
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
func (r *Relay) PeerAnswered(now dandeliongap.Instant) { r.lastPeer = now }

// PlatformAnswered reports the answer of a read or watch with the version of the
// collection. The driver has adopted the objects before.
func (r *Relay) PlatformAnswered(now dandeliongap.Instant, version dandeliongap.Version) {
	r.calling = false
	r.failures = 0
	r.since = max(r.since, version)
	r.listed = true
	r.nextCall = now
	if !r.watching && !r.IsWatcher() {
		r.nextCall = now.Add(PeerTimeout)
	}
}

// PlatformFailed reports a read or watch that failed.
func (r *Relay) PlatformFailed(now dandeliongap.Instant, rnd *rand.Rand) {
	r.calling = false
	r.failures++
	r.listed = false
	r.nextCall = now.Add(Backoff(r.failures, rnd))
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
		if r.heard(p) {
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
	if r.calling || now < r.nextCall {
		return dst
	}
	return r.call(now, dst)
}

func (r *Relay) call(now dandeliongap.Instant, dst []Action) []Action {
	watcher := r.IsWatcher()
	if watcher != r.watching {
		r.watching = watcher
		r.listed = false
	}
	switch {
	case watcher && r.listed:
		r.calling = true
		return append(dst, Action{Kind: KindWatch, Rule: C4, Version: r.since})
	case watcher:
		r.calling = true
		return append(dst, Action{Kind: KindRead, Rule: C4})
	case now.Sub(r.lastPeer) >= PeerTimeout:
		r.calling = true
		return append(dst, Action{Kind: KindRead, Rule: C5})
	}
	r.nextCall = now.Add(callEvery)
	return dst
}

// nextPeer returns the next target of a round in random order; none while no
// other member is known.
func (r *Relay) nextPeer(rnd *rand.Rand) dandeliongap.MemberID {
	if len(r.peers) == 0 {
		return ""
	}
	if len(r.round) == 0 {
		r.round = append(r.round, r.peers...)
		rnd.Shuffle(len(r.round), func(i, j int) { r.round[i], r.round[j] = r.round[j], r.round[i] })
	}
	last := len(r.round) - 1
	id := r.round[last]
	r.round = r.round[:last]
	return id
}

// Next returns when Tick is due.
func (r *Relay) Next() dandeliongap.Instant {
	if r.calling {
		return r.nextExchange
	}
	return min(r.nextExchange, r.nextCall)
}
