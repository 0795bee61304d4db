package dgquota

import (
	"math"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

// Outcome is what becomes of a request.
type Outcome uint8

// Outcomes.
const (
	Admitted    Outcome = iota
	OverQuota           // refused: the quota is used up
	Unavailable         // refused: the owner does not answer, and the allowance is used up
	Waiting             // for an answer of the owner
)

// Token admits one request.
type Token struct {
	account dandeliongap.AccountName
	expires dandeliongap.Instant // of the lease
	usedAt  dandeliongap.Instant // of the allowance
	leased  bool
}

// Decision is the outcome of a request.
type Decision struct {
	ID         uint64 // of the request, once it has waited
	Outcome    Outcome
	Rule       string
	RetryAfter time.Duration // if it is refused
	Token      Token         // if it is admitted
}

// Options configure Leases.
type Options struct {
	Self         dandeliongap.VMName
	Bounds       Bounds
	InitialStart bool                 // the whole tier starts, so this process replaces no other (Q8)
	Start        dandeliongap.Instant // start of this process
	FirstAsk     uint16               // differs between processes, so that answers to an earlier one do not match
}

// Leases holds the tokens that a VM has leased and decides about its requests. It is not
// safe for concurrent use.
type Leases struct {
	opt      Options
	tier     Tier
	nominal  []nominalSince // of the last window and the current one (Q8)
	holdings map[dandeliongap.AccountName]*holding
	silent   map[dandeliongap.VMName]dandeliongap.Instant // owners without an answer, until when they are not asked (Q11)
	waiting  map[uint64]dandeliongap.AccountName
	lastID   uint64
	lastAsk  uint16
	asks     []Ask
}

// nominalSince is a nominal roster and the time from which it was known.
type nominalSince struct {
	from dandeliongap.Instant
	vms  []dandeliongap.VMName
}

// holding is the state of an account on a VM.
type holding struct {
	limit       Limit
	leases      []lease
	used        []dandeliongap.Instant // uses of the allowance in the last window, oldest first
	demand      float64                // requests per second
	demandAt    dandeliongap.Instant
	waiting     []uint64 // requests, oldest first
	asked       Ask      // the last ask; its ID is 0 after the answer
	askedAt     dandeliongap.Instant
	open        bool // the answer to asked is awaited
	returned    int  // tokens to be returned to the owner
	deniedUntil dandeliongap.Instant
	roomAt      dandeliongap.Instant // when the owner has the next token
	spend       bool                 // the owner's bucket fills, so that the allowance may be used (Q9)
}

type lease struct {
	tokens  int
	expires dandeliongap.Instant
}

// NewLeases returns the state of a VM that has no leases.
func NewLeases(o Options) *Leases {
	return &Leases{
		opt: o, lastAsk: o.FirstAsk, holdings: make(map[dandeliongap.AccountName]*holding),
		silent: make(map[dandeliongap.VMName]dandeliongap.Instant), waiting: make(map[uint64]dandeliongap.AccountName),
	}
}

// SetTier sets what the VM knows of the hubs, and the nominal roster.
func (l *Leases) SetTier(now dandeliongap.Instant, t Tier, nominal []dandeliongap.VMName) {
	l.tier = Tier{slices.Clone(t.Hubs), t.Total}
	if n := len(l.nominal); n == 0 || !slices.Equal(l.nominal[n-1].vms, nominal) {
		l.nominal = append(l.nominal, nominalSince{now, slices.Clone(nominal)})
	}
	for len(l.nominal) > 1 && (now.Sub(l.nominal[1].from) > l.opt.Bounds.Window+arrivalDelay || l.settling(now)) {
		l.nominal = l.nominal[1:]
	}
}

// Take decides about a request of an account. If the outcome is Waiting, the request waits
// until Answer returns its decision, or else calls GiveUp. Asks returns what has to be sent.
func (l *Leases) Take(now dandeliongap.Instant, account dandeliongap.AccountName, limit Limit) Decision {
	h := l.holdings[account]
	if h == nil {
		h = &holding{demandAt: now}
		l.holdings[account] = h
	}
	h.limit = limit
	h.countDemand(now)
	h.expire(now)
	owner := l.tier.Owner(account)
	switch {
	case len(h.waiting) == 0 && len(h.leases) > 0:
		token := h.takeLeased(account)
		if h.stock() < h.ahead(l.opt.Bounds)/2 && l.asksAllowed(now, owner) && now >= h.deniedUntil {
			l.ask(now, account, h, owner)
		}
		return Decision{Outcome: Admitted, Rule: "Q2", Token: token}
	case now < h.deniedUntil:
		return l.refuseOrSpend(now, account, h, h.spend, OverQuota, "Q10")
	case !l.asksAllowed(now, owner):
		return l.refuseOrSpend(now, account, h, true, Unavailable, "Q7")
	}
	l.lastID++
	h.waiting = append(h.waiting, l.lastID)
	l.waiting[l.lastID] = account
	l.ask(now, account, h, owner)
	return Decision{ID: l.lastID, Outcome: Waiting}
}

// asksAllowed reports whether an owner is known and may be asked (Q11).
func (l *Leases) asksAllowed(now dandeliongap.Instant, owner dandeliongap.VMName) bool {
	return owner != "" && now >= l.silent[owner]
}

func (h *holding) countDemand(now dandeliongap.Instant) {
	h.demand = h.demand*math.Exp(-now.Sub(h.demandAt).Seconds()/demandTime.Seconds()) + 1/demandTime.Seconds()
	h.demandAt = now
}

// ahead returns the number of tokens to lease in advance (Q2).
func (h *holding) ahead(b Bounds) int {
	return int(h.demand * min(leaseAhead, b.LeaseTime(h.limit)/2).Seconds())
}

func (h *holding) stock() (n int) {
	for _, x := range h.leases {
		n += x.tokens
	}
	return n
}

// expire drops the leases that have expired. What is left of them is returned (Q12).
func (h *holding) expire(now dandeliongap.Instant) {
	h.leases = slices.DeleteFunc(h.leases, func(x lease) bool {
		if x.expires <= now {
			h.returned += x.tokens
		}
		return x.expires <= now || x.tokens == 0
	})
}

// takeLeased uses a token of the oldest lease.
func (h *holding) takeLeased(account dandeliongap.AccountName) Token {
	x := &h.leases[0]
	x.tokens--
	token := Token{account: account, expires: x.expires, leased: true}
	if x.tokens == 0 {
		h.leases = h.leases[1:]
	}
	return token
}

// ask asks the owner, unless the answer to an earlier ask may still arrive.
func (l *Leases) ask(now dandeliongap.Instant, account dandeliongap.AccountName, h *holding, owner dandeliongap.VMName) {
	if h.open && now.Sub(h.askedAt) < askAgainAfter {
		return
	}
	l.lastAsk = max(1, l.lastAsk+1)
	h.asked = Ask{To: owner, ID: l.lastAsk, Account: account, Tokens: len(h.waiting) + h.ahead(l.opt.Bounds), Returned: h.returned}
	h.askedAt, h.open, h.returned = now, true, 0
	l.asks = append(l.asks, h.asked)
}

// Asks returns the asks to be sent, and forgets them.
func (l *Leases) Asks() []Ask {
	out := l.asks
	l.asks = nil
	return out
}

// Answer takes in the answer to an ask and returns the decisions about the requests that
// waited for it.
func (l *Leases) Answer(now dandeliongap.Instant, account dandeliongap.AccountName, g Grant) (out []Decision) {
	h := l.holdings[account]
	if h == nil || g.ID == 0 || g.ID != h.asked.ID {
		return nil
	}
	delete(l.silent, h.asked.To)
	h.asked.ID, h.open = 0, false
	if g.Tokens > 0 {
		h.leases = append(h.leases, lease{min(g.Tokens, h.asked.Tokens), h.askedAt.Add(l.opt.Bounds.LeaseTime(h.limit))})
	}
	h.expire(now)
	h.spend = g.Status == Filling
	if g.Status == Short || g.Status == Filling {
		h.roomAt = now.Add(g.Wait)
		h.deniedUntil = min(h.roomAt, now.Add(maxDenial))
	}
	for len(h.waiting) > 0 && len(h.leases) > 0 {
		out = append(out, Decision{ID: l.next(h), Outcome: Admitted, Rule: "Q2", Token: h.takeLeased(account)})
	}
	if len(h.waiting) > 0 && g.Status == Full && g.Tokens > 0 { // these came after the ask
		l.ask(now, account, h, l.tier.Owner(account))
		return out
	}
	for len(h.waiting) > 0 {
		id := l.next(h)
		d := l.refuseOrSpend(now, account, h, g.Status != Short, Unavailable, "Q7")
		if g.Status != NotOwner && d.Outcome != Admitted {
			d = l.refuse(now, h, OverQuota, "Q2")
		}
		d.ID = id
		out = append(out, d)
	}
	return out
}

// next removes the oldest waiting request.
func (l *Leases) next(h *holding) uint64 {
	id := h.waiting[0]
	h.waiting = h.waiting[1:]
	delete(l.waiting, id)
	return id
}

// GiveUp decides about a request that has waited for as long as it can (Q11).
func (l *Leases) GiveUp(now dandeliongap.Instant, id uint64) Decision {
	account, ok := l.waiting[id]
	if !ok {
		return Decision{ID: id, Outcome: Unavailable, Rule: "Q11", RetryAfter: askAgainAfter}
	}
	h := l.holdings[account]
	delete(l.waiting, id)
	h.waiting = slices.DeleteFunc(h.waiting, func(x uint64) bool { return x == id })
	if h.open && now.Sub(h.askedAt) >= minWait {
		l.silent[h.asked.To] = now.Add(askAgainAfter)
		h.open = false // a late answer is still taken in
	}
	d := l.refuseOrSpend(now, account, h, true, Unavailable, "Q11")
	d.ID = id
	return d
}

// minWait is the time without an answer from which an owner counts as silent. A request
// may give up earlier, if its route has a short objective.
const minWait = 5 * time.Millisecond

// refuseOrSpend admits a request from the allowance if that is permitted and has room, or
// refuses it.
func (l *Leases) refuseOrSpend(now dandeliongap.Instant, account dandeliongap.AccountName, h *holding, permitted bool, outcome Outcome, rule string) Decision {
	horizon := now.Add(-l.opt.Bounds.Window - arrivalDelay)
	h.used = slices.DeleteFunc(h.used, func(at dandeliongap.Instant) bool { return at < horizon })
	if permitted && len(h.used) < l.allowance(now, account, h.limit) {
		h.used = append(h.used, now)
		return Decision{Outcome: Admitted, Rule: "Q7", Token: Token{account: account, usedAt: now}}
	}
	return l.refuse(now, h, outcome, rule)
}

func (l *Leases) refuse(now dandeliongap.Instant, h *holding, outcome Outcome, rule string) Decision {
	d := Decision{Outcome: outcome, Rule: rule, RetryAfter: askAgainAfter}
	if outcome == OverQuota {
		d.RetryAfter = max(time.Millisecond, h.roomAt.Sub(now))
	}
	return d
}

// allowance returns the number of requests that this VM may admit in a window without the
// owner (Q7, Q8).
func (l *Leases) allowance(now dandeliongap.Instant, account dandeliongap.AccountName, limit Limit) int {
	window := l.opt.Bounds.Window + arrivalDelay
	if len(l.nominal) == 0 || l.settling(now) || !l.opt.InitialStart && now.Sub(l.opt.Start) < window {
		return 0
	}
	all, least := l.opt.Bounds.Allowance(limit), math.MaxInt
	for i, n := range l.nominal {
		if i+1 < len(l.nominal) && now.Sub(l.nominal[i+1].from) > window {
			continue
		}
		least = min(least, share(l.opt.Self, n.vms, account, all))
	}
	return least
}

// settling reports whether the whole tier has started within settleTime (Q8).
func (l *Leases) settling(now dandeliongap.Instant) bool {
	return l.opt.InitialStart && now.Sub(l.opt.Start) < settleTime
}

// Return returns the token of a request that did not run (Q12).
func (l *Leases) Return(now dandeliongap.Instant, t Token) {
	h := l.holdings[t.account]
	switch {
	case h == nil:
	case !t.leased:
		if i := slices.Index(h.used, t.usedAt); i >= 0 {
			h.used = slices.Delete(h.used, i, i+1)
		}
	case t.expires > now:
		h.leases = append(h.leases, lease{1, t.expires})
	default:
		h.returned++
	}
}

// Tick returns expired tokens to their owners and drops accounts without demand (Q14). It is
// called a few times a second.
func (l *Leases) Tick(now dandeliongap.Instant) {
	idle := l.opt.Bounds.Window + arrivalDelay
	for account, h := range l.holdings {
		h.expire(now)
		if h.returned > 0 && !h.open {
			if owner := l.tier.Owner(account); l.asksAllowed(now, owner) {
				l.asks = append(l.asks, Ask{To: owner, Account: account, Returned: h.returned})
				h.returned = 0
			}
		}
		if len(h.waiting) == 0 && len(h.leases) == 0 && now.Sub(h.demandAt) > idle {
			delete(l.holdings, account)
		}
	}
	for vm, until := range l.silent {
		if until <= now {
			delete(l.silent, vm)
		}
	}
}

// Len returns the number of accounts with state.
func (l *Leases) Len() int { return len(l.holdings) }
