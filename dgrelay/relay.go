package dgrelay

import (
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// MessageBodyLimit is the usual limit on the total size of the object bodies
	// in one message, before compression.
	MessageBodyLimit = 256 << 10
	// PushTargets is the number of members to which a newly adopted object is
	// pushed.
	PushTargets = 3
	// Watchers is the number of members that watch the platform.
	Watchers = 3
	// platformCheckInterval is the time between two checks whether the platform
	// has to be called.
	platformCheckInterval = 500 * time.Millisecond
	// WatchWait is the longest time that one watch waits for changes.
	WatchWait = 30 * time.Second
	// PeerTimeout is the time without a reply from any peer after which a VM reads
	// from the platform itself (C5).
	PeerTimeout = 3 * time.Second
	// InitialBackoff bounds the random part of the delay after the first failure of
	// a call.
	InitialBackoff = 250 * time.Millisecond
	// MaxBackoff bounds the random part of the delay after any number of failures.
	MaxBackoff = 30 * time.Second
)

// ExchangeInterval returns the time between two exchanges that a VM with n other
// members starts. In a list of up to 100 members the shorter interval is needed,
// because reports of more than half of the members have to arrive within each contact
// window of dgmember, 3 s for up to 12 VMs and 8 s for more, for as long as the
// platform is down. It is also cheap, because short lists have short contact vectors.
func ExchangeInterval(n int) time.Duration {
	if n < 100 {
		return 250 * time.Millisecond
	}
	return 500 * time.Millisecond
}

// Relay decides which calls spread the relayed objects. Methods with a parameter dst
// append actions to it and return it. A Relay is not safe for concurrent use. Create
// it with NewRelay.
type Relay struct {
	self             dandeliongap.MemberID
	peers            []dandeliongap.MemberID // the other members, in rank order
	rank             int                     // number of peers with a lower rank; len(peers) if this VM is not listed
	remaining        []dandeliongap.MemberID // peers without an exchange in the current round (C3)
	nextExchange     dandeliongap.Instant
	lastPeerAnswer   dandeliongap.Instant // last reply of a peer
	nextPlatformCall dandeliongap.Instant // earliest next call to the platform
	callInFlight     bool                 // a call to the platform
	wasWatcher       bool                 // IsWatcher at the last check
	stateListed      bool                 // the objects were listed since this VM became a watcher and since the last failed call
	sinceVersion     dandeliongap.Version // where the next watch starts
	failures         int                  // consecutive failed calls to the platform
	alive            func(dandeliongap.MemberID) bool
}

// NewRelay returns the relay of a VM that starts at now. alive reports whether a
// member was heard from recently, as State.Alive of dgmember does.
func NewRelay(now dandeliongap.Instant, self dandeliongap.MemberID, alive func(dandeliongap.MemberID) bool) *Relay {
	return &Relay{self: self, alive: alive, nextExchange: now, lastPeerAnswer: now, nextPlatformCall: now}
}

// SetMembers replaces the member list, which is in rank order.
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

// Adopted reports that an object was adopted from a peer or the platform. It appends
// the pushes of C2.
func (r *Relay) Adopted(rnd *rand.Rand, dst []Action) []Action {
	n := len(r.peers)
	for k := range min(PushTargets, n) {
		// Targets that were already picked are skipped. A partial shuffle would
		// move them, but peers has to stay in rank order.
		dst = append(dst, Action{Kind: KindPush, Rule: C2, Member: r.pickTarget(rnd, dst[len(dst)-k:])})
	}
	return dst
}

// pickTarget returns a random peer that is not yet the target of an action in taken.
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

// PeerAnswered reports that an exchange with a member or a seed succeeded.
func (r *Relay) PeerAnswered(now dandeliongap.Instant) { r.lastPeerAnswer = now }

// PlatformAnswered reports that a read or watch succeeded at the given version of
// the collection. The driver adopts the returned objects first.
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

// PlatformFailed reports that a read or watch failed.
func (r *Relay) PlatformFailed(now dandeliongap.Instant, rnd *rand.Rand) {
	r.callInFlight = false
	r.failures++
	r.stateListed = false
	r.nextPlatformCall = now.Add(Backoff(r.failures, rnd))
}

// Backoff returns the delay after the given number of consecutive failures. It is
// exponential with full jitter, plus a tenth of InitialBackoff as the minimum.
func Backoff(failures int, rnd *rand.Rand) time.Duration {
	limit := MaxBackoff
	if failures < 8 {
		limit = min(MaxBackoff, InitialBackoff<<max(0, failures-1))
	}
	return InitialBackoff/10 + time.Duration(rnd.Int64N(int64(limit)))
}

// IsWatcher reports whether this VM is one of the members that watch the platform
// (C4). A VM that is not listed counts as the one with the highest rank.
func (r *Relay) IsWatcher() bool {
	if r.rank > len(r.peers) {
		return false // unreachable: SetMembers sets rank to at most len(peers)
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

// Tick appends the actions that are due at now.
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

// callPlatform appends the watch or read that C4 and C5 ask for, if any.
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

// nextPeer returns the peer for the next exchange (C3), or "" while no other member
// is known.
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

// Next returns when Tick has to be called next.
func (r *Relay) Next() dandeliongap.Instant {
	if r.callInFlight {
		return r.nextExchange
	}
	return min(r.nextExchange, r.nextPlatformCall)
}
