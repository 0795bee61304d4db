// Package dgquota divides the quota of a client account, a rate with a burst, among the VMs
// that serve its requests.
//
// The bound that holds for all VMs together is that of Bounds: in any window, at most
// (rate x window + burst) x (1 + overshoot) + slack requests are admitted. The part beyond
// rate x window + burst is the margin. It is divided in advance into what leases may carry
// from one window to the next, what two owners may grant at the same time, and what VMs may
// admit without the owner.
//
// Rules:
//
//	Q1  The owner of an account is the VM that rendezvous hashing selects among the hubs
//	    that are present and accept callers. It holds the token bucket of the account.
//	Q2  A VM admits a request with a token. It leases tokens from the owner: as many as
//	    requests wait, and those of the next leaseAhead if the account has that many.
//	Q3  A lease expires LeaseTime after the VM asked for it, at most maxLease. What may be
//	    used in a window is then what was granted in the window and one LeaseTime before,
//	    at most rate x LeaseTime more than the bucket allows.
//	Q4  A new owner begins with an empty bucket, since another one may have granted all
//	    of the burst. Ownership that began before another VM, unknown to this one, lost it
//	    overlaps for at most maxOverlap, for which a part of the margin is kept.
//	Q5  An owner that sees only a part of the hubs grants this part of the rate and of the
//	    burst. The owners in the parts of a divided tier together grant no more than one.
//	Q6  An owner whose view of the tier is older than maxTierAge, because its process did
//	    not run, grants nothing.
//	Q7  Without an answer of the owner, a VM admits a request from its allowance. The
//	    allowances of all VMs are whole requests in a window, and add up to at most the
//	    rest of the margin. They are divided among the VMs of the nominal roster, which
//	    follows from the registrations alone, in an order that depends on the account.
//	Q8  A VM whose allowance grows uses the smaller one for one window and arrivalDelay, and
//	    a process that replaces another one has none for that time. When the whole tier starts, VMs
//	    learn of each other within settleTime. A VM has no allowance in this time, and
//	    rosters known in it do not count afterwards.
//	Q9  An owner whose bucket has had no time to fill since Q4 says so, and the allowance
//	    may be used as under Q7.
//	Q10 After an answer without tokens, a VM refuses further requests itself until the
//	    next token is due, at most maxDenial, without asking again.
//	Q11 A request waits for an answer for at most maxPatience and a quarter of the latency
//	    objective of its route. After a wait of at least minWait without an answer, the VM
//	    does not ask that owner for askAgainAfter.
//	Q12 A request that did not run returns its token: to the lease if it has not expired,
//	    else to the owner, like what is left of a lease that expires.
//	Q13 An owner that gives an account up to another VM passes the tokens of its bucket on
//	    to it, handoverDelay after the change, when the other one knows of it too.
//	Q14 A VM sends nothing for accounts without demand.
//	Q15 A quota counts requests in a window: rate x window + burst. A bucket that fills at
//	    the rate holds an account that never pauses to rate x window, and refuses requests
//	    that its quota allows. It therefore fills faster: by up to a burst in each window,
//	    at most fillExcess of the rate, as far as half of the margin that Q3 and Q4 leave
//	    covers it.
package dgquota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxLease is the longest LeaseTime (Q3).
	maxLease = time.Second
	// minLease is the shortest LeaseTime. An answer takes a few milliseconds.
	minLease = 50 * time.Millisecond
	// leaseMargin is the largest part of the margin that leases may use (Q3).
	leaseMargin = 0.3
	// maxOverlap is the time for which two owners may grant (Q4): hubs miss a lost one, and
	// learn of a new one, within about that time of each other.
	maxOverlap = time.Second
	// overlapMargin is the largest part of the margin that is kept for Q4.
	overlapMargin = 0.3
	// leaseAhead is the time for which a VM leases tokens in advance (Q2).
	leaseAhead = 250 * time.Millisecond
	// maxTierAge is the age of an owner's view of the tier up to which it grants (Q6). The
	// view is renewed every 250 ms.
	maxTierAge = time.Second
	// maxDenial limits the time of Q10.
	maxDenial = 250 * time.Millisecond
	// maxPatience is about ten times the time that an answer takes. A quarter of the objective
	// is the time in which a refusal is early enough for the caller to try another VM; with a
	// tenth, 5 ms on a route with 50, small accounts were refused when their owner was busy.
	maxPatience = 30 * time.Millisecond
	// askAgainAfter is the time of Q11, in which an owner is either missed by the heartbeats
	// or back.
	askAgainAfter = 250 * time.Millisecond
	// handoverDelay is the time of Q13, two heartbeat intervals.
	handoverDelay = 500 * time.Millisecond
	// settleTime is the time of Q8 in which VMs that start together have registered and know
	// each other.
	settleTime = 1500 * time.Millisecond
	// arrivalDelay is how much longer than a window a use of the allowance counts, since
	// the request may reach a backend server that much later.
	arrivalDelay = time.Second
	// fillMargin is the part of what Q3 and Q4 leave of the margin that buckets may use to
	// fill faster (Q15). The rest is the allowances of Q7.
	fillMargin = 0.5
	// fillExcess is how much faster than its rate a bucket may fill, relative to the rate
	// (Q15). An account with a large burst else gets several times its rate for good.
	fillExcess = 0.2
	// roundedParts is kept of the margin for the buckets of a tier in as many parts, each of
	// which is rounded up to whole tokens.
	roundedParts = 2
	// maxAllowance and maxWait keep numbers of absurd limits within their types.
	maxAllowance = 1 << 20
	maxWait      = time.Hour
	// demandTime is the time over which the demand of an account is averaged.
	demandTime = time.Second
)

// Bounds are the promise about quotas, from the settings of the VM.
type Bounds struct {
	Window    time.Duration
	Overshoot float64 // share of rate x window + burst
	Slack     float64 // requests
}

// DefaultBounds hold where the platform states none: an account with a limit is then
// limited all the same.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// Patience returns how long a request waits for an answer of the owner at most, given the
// latency objective of its route; 0: none (Q11).
func Patience(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxPatience
	}
	return min(maxPatience, objective/4)
}

// Limit is the quota of an account.
type Limit struct {
	Rate  float64 // requests per second; above 0
	Burst float64 // requests
}

// Max returns the number of requests that may be admitted in any window.
func (b Bounds) Max(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst + b.margin(l) }

func (b Bounds) margin(l Limit) float64 {
	return b.Overshoot*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// fastest returns the rate at which a bucket of the account may fill at most (Q15).
func (b Bounds) fastest(l Limit) float64 {
	return l.Rate + min(l.Burst/b.Window.Seconds(), fillExcess*l.Rate)
}

// LeaseTime returns how long a lease may be used (Q3).
func (b Bounds) LeaseTime(l Limit) time.Duration {
	return max(minLease, time.Duration(min(maxLease.Seconds(), leaseMargin*b.margin(l)/b.fastest(l))*float64(time.Second)))
}

// spare returns what leases and overlapping owners leave of the margin (Q3, Q4).
func (b Bounds) spare(l Limit) float64 {
	m, rate := b.margin(l), b.fastest(l)
	return max(0, m-rate*b.LeaseTime(l).Seconds()-min(overlapMargin*m, rate*maxOverlap.Seconds()))
}

// extra returns the number of requests that a bucket gives beyond the rate in a window (Q15).
func (b Bounds) extra(l Limit) float64 {
	return min((b.fastest(l)-l.Rate)*b.Window.Seconds(), fillMargin*b.spare(l))
}

// fillRate returns the rate at which the buckets of an account fill together (Q15).
func (b Bounds) fillRate(l Limit) float64 { return l.Rate + b.extra(l)/b.Window.Seconds() }

// Allowance returns the number of requests that all VMs together may admit in a window
// without the owner (Q7).
func (b Bounds) Allowance(l Limit) int {
	return int(min(maxAllowance, max(0, b.spare(l)-b.extra(l)-roundedParts)))
}

// capacity returns the size of a bucket, in whole tokens: a burst of 2 would else admit one
// request at a time as soon as a single hub is lost (Q5).
func capacity(l Limit, part float64) float64 { return max(1, math.Ceil(l.Burst*part)) }

// Tier is what a VM knows of the hubs.
type Tier struct {
	Hubs  []dandeliongap.VMName // present and accepting callers
	Total int                   // registered hubs, present or not
}

// Owner returns the owner of an account (Q1), or "" if there are no hubs.
func (t Tier) Owner(account dandeliongap.AccountName) (owner dandeliongap.VMName) {
	var best uint64
	for _, vm := range t.Hubs {
		if h := weight(vm, account); owner == "" || h > best || h == best && vm < owner {
			owner, best = vm, h
		}
	}
	return owner
}

// part returns the part of the hubs that are present (Q5).
func (t Tier) part() float64 { return min(1, float64(len(t.Hubs))/float64(max(1, t.Total))) }

func (t Tier) equal(u Tier) bool { return t.Total == u.Total && slices.Equal(t.Hubs, u.Hubs) }

// weight orders VMs for an account.
func weight(vm dandeliongap.VMName, account dandeliongap.AccountName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(vm)) // a digest never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(account))
	return d.Sum64()
}

// share returns the part of an allowance that a VM has (Q7).
func share(self dandeliongap.VMName, nominal []dandeliongap.VMName, account dandeliongap.AccountName, allowance int) int {
	if !slices.Contains(nominal, self) {
		return 0
	}
	own, before := weight(self, account), 0
	for _, vm := range nominal {
		if vm != self && cmp.Or(cmp.Compare(weight(vm, account), own), cmp.Compare(vm, self)) < 0 {
			before++
		}
	}
	n := allowance / len(nominal)
	if before < allowance%len(nominal) {
		n++
	}
	return n
}

// Status is what an owner says with a grant.
type Status uint8

// Statuses of a grant. Messages have two bits for them.
const (
	Full     Status = iota // as many tokens as asked for
	Short                  // fewer, since the quota is used up
	Filling                // fewer, since the bucket has had no time to fill (Q9)
	NotOwner               // none: the VM is not the owner, or does not know whether it is (Q6)
)

// Ask is a request of a VM to the owner of an account.
type Ask struct {
	To       dandeliongap.VMName
	ID       uint16 // identifies the ask on the VM that sends it; 0: no answer is expected
	Account  dandeliongap.AccountName
	Tokens   int
	Returned int // tokens that were not used (Q12)
}

// Grant is the owner's answer to an Ask.
type Grant struct {
	ID     uint16
	Tokens int
	Status Status
	Wait   time.Duration // until the next token, unless the status is Full or NotOwner
}

// Owner holds the buckets of the accounts that a VM owns. It is not safe for concurrent
// use.
type Owner struct {
	self    dandeliongap.VMName
	bounds  Bounds
	tiers   []tierSince // oldest first; the last one is current
	changes uint64      // number of changes of tiers
	tierAt  dandeliongap.Instant
	buckets map[dandeliongap.AccountName]*bucket
}

// tierSince is a Tier and the time from which it was known.
type tierSince struct {
	from dandeliongap.Instant
	Tier
}

// maxTiers limits the number of earlier tiers that an owner remembers. With fewer, it takes
// its ownership as younger than it is.
const maxTiers = 32

type bucket struct {
	limit     Limit
	rate      float64 // at which the bucket fills (Q15)
	tokens    float64
	at        dandeliongap.Instant // time of tokens
	ownership ownership
	changes   uint64 // Owner.changes for which ownership holds
}

// ownership tells whether, and since when, a VM is the owner of an account.
type ownership struct {
	ok     bool
	owned  dandeliongap.Instant // the VM has been the owner since then
	steady dandeliongap.Instant // its part of the hubs has not grown since then either
}

// NewOwner returns an owner without buckets.
func NewOwner(self dandeliongap.VMName, b Bounds) *Owner {
	return &Owner{self: self, bounds: b, buckets: make(map[dandeliongap.AccountName]*bucket)}
}

// SetTier sets what the VM knows of the hubs. It is called several times in maxTierAge, also
// without a change.
func (o *Owner) SetTier(now dandeliongap.Instant, t Tier) {
	o.tierAt = now
	if n := len(o.tiers); n > 0 && o.tiers[n-1].equal(t) {
		return
	}
	if len(o.tiers) > 0 {
		before := o.tiers[len(o.tiers)-1].part()
		for _, b := range o.buckets {
			b.fill(now, before)
			b.tokens = min(b.tokens, capacity(b.limit, t.part()))
		}
	}
	o.changes++
	o.tiers = append(o.tiers, tierSince{now, Tier{slices.Clone(t.Hubs), t.Total}})
	o.tiers = o.tiers[max(0, len(o.tiers)-maxTiers):]
}

// fill adds the tokens since the bucket was last filled.
func (b *bucket) fill(now dandeliongap.Instant, part float64) {
	b.tokens = min(capacity(b.limit, part), b.tokens+now.Sub(b.at).Seconds()*b.rate*part)
	b.at = now
}

func (o *Owner) ownershipOf(account dandeliongap.AccountName) (s ownership) {
	grown := false
	for i := len(o.tiers) - 1; i >= 0 && o.tiers[i].Owner(account) == o.self; i-- {
		s.owned, s.ok = o.tiers[i].from, true
		if !grown {
			s.steady = s.owned
		}
		grown = grown || i > 0 && o.tiers[i-1].part() < o.tiers[i].part()
	}
	return s
}

// updateOwnership works out the ownership of a bucket again if the tier has changed.
func (o *Owner) updateOwnership(account dandeliongap.AccountName, b *bucket) ownership {
	if b.changes != o.changes {
		b.ownership, b.changes = o.ownershipOf(account), o.changes
	}
	return b.ownership
}

// bucketOf returns the filled bucket of an account, or nil if the VM is not the owner.
func (o *Owner) bucketOf(now dandeliongap.Instant, account dandeliongap.AccountName, l Limit) (b *bucket, steady dandeliongap.Instant) {
	if now.Sub(o.tierAt) > maxTierAge {
		return nil, 0
	}
	b = o.buckets[account]
	var s ownership
	if b != nil {
		s = o.updateOwnership(account, b)
	} else {
		s = o.ownershipOf(account)
	}
	if !s.ok {
		return nil, 0
	}
	if b == nil || b.at < s.owned {
		b = &bucket{at: s.steady, ownership: s, changes: o.changes} // empty at the begin of the ownership (Q4)
		o.buckets[account] = b
	}
	if b.limit != l {
		if b.limit.Rate > 0 {
			b.fill(now, o.part())
		}
		b.limit, b.rate = l, o.bounds.fillRate(l)
	}
	b.fill(now, o.part())
	return b, s.steady
}

func (o *Owner) part() float64 { return o.tiers[len(o.tiers)-1].part() }

// Answer returns the grant for an ask. l is the limit in the newest configuration that the
// VM has.
func (o *Owner) Answer(now dandeliongap.Instant, a Ask, l Limit) Grant {
	b, steady := o.bucketOf(now, a.Account, l)
	if b == nil {
		return Grant{ID: a.ID, Status: NotOwner}
	}
	b.tokens = min(capacity(l, o.part()), b.tokens+float64(max(0, a.Returned)))
	g := Grant{ID: a.ID, Tokens: int(max(0, min(float64(a.Tokens), b.tokens)))}
	b.tokens -= float64(g.Tokens)
	if g.Tokens >= a.Tokens {
		return g
	}
	g.Status = Short
	if now.Sub(steady) < o.bounds.Window {
		g.Status = Filling
	}
	g.Wait = time.Duration(min(maxWait.Seconds(), (1-b.tokens)/(b.rate*o.part())) * float64(time.Second))
	return g
}

// Tick drops the buckets that are full and have not been used for a window, since they are
// the same when they are made again. It returns what has to be sent to the owners of
// accounts that this VM has given up (Q13). It is called a few times a second.
func (o *Owner) Tick(now dandeliongap.Instant) (out []Ask) {
	if len(o.tiers) == 0 {
		return nil
	}
	tier := o.tiers[len(o.tiers)-1]
	for account, b := range o.buckets {
		s := o.updateOwnership(account, b)
		switch {
		case s.ok && b.at < s.owned:
			delete(o.buckets, account)
		case s.ok:
			full := now.Sub(max(b.at, s.steady)).Seconds()*b.rate*o.part() >= capacity(b.limit, o.part())
			if full && now.Sub(b.at) > o.bounds.Window {
				delete(o.buckets, account)
			}
		case now.Sub(tier.from) >= handoverDelay:
			delete(o.buckets, account)
			if to := tier.Owner(account); to != "" && b.tokens >= 1 {
				out = append(out, Ask{To: to, Account: account, Returned: int(min(b.tokens, maxAllowance))})
			}
		}
	}
	return out
}

// Len returns the number of buckets.
func (o *Owner) Len() int { return len(o.buckets) }
