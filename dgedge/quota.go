package dgedge

import (
	"net/netip"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgaccount"
	"dandeliongap.example/dandeliongap/dgadmit"
	"dandeliongap.example/dandeliongap/dgquota"
)

// quotas executes the decisions of dgquota: it lets requests wait for tokens and exchanges
// these with other VMs.
type quotas struct {
	e    *Edge
	self dandeliongap.VMName
	send func(datagram []byte, to netip.AddrPort) // set before the first request

	mu      sync.Mutex // guards all below
	book    *dgaccount.Book
	ids     map[accountID]dandeliongap.AccountName // of the accounts of book with a limit
	bounds  dgquota.Bounds
	owner   *dgquota.Owner  // nil before the first account with a limit
	leases  *dgquota.Leases // the same
	waiters map[uint64]chan dgquota.Decision
	addrs   map[dandeliongap.VMName]netip.AddrPort
}

func newQuotas(e *Edge) *quotas {
	q := &quotas{e: e, self: e.opt.Settings.VM, bounds: dgquota.DefaultBounds, waiters: make(map[uint64]chan dgquota.Decision)}
	if b := e.opt.Settings.Quota; b != nil {
		q.bounds = *b
	}
	return q
}

// setBook sets the accounts of the newest configuration.
func (q *quotas) setBook(now dandeliongap.Instant, b *dgaccount.Book) {
	ids := make(map[accountID]dandeliongap.AccountName)
	for _, a := range b.All() {
		if a.Rate <= 0 {
			continue
		}
		id := accountIDOf(a.Name)
		if first, taken := ids[id]; taken {
			q.e.log.event("quota ids collide").Str("Account", string(a.Name)).Str("With", string(first)).Str("Choice", "allowance only").Send()
			continue
		}
		ids[id] = a.Name
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book, q.ids = b, ids
	if len(ids) == 0 || q.leases != nil {
		return
	}
	s := q.e.opt.Settings
	q.owner = dgquota.NewOwner(q.self, q.bounds)
	q.leases = dgquota.NewLeases(dgquota.Options{Self: q.self, Bounds: q.bounds, InitialStart: s.FirstStart, FirstAsk: uint16(q.e.boot >> 10)})
	q.e.log.event("quotas in force").Int("Accounts", len(ids)).Dur("Window", q.bounds.Window).Float64("Overshoot", q.bounds.Overshoot).Float64("Slack", q.bounds.Slack).
		Dur("RevokeTime", s.RevokeTime).Dur("ConfigTime", s.ConfigTime).Dur("Age", time.Duration(now)).Send()
}

// active reports whether an account has, or had, a limit.
func (q *quotas) active() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leases != nil
}

// setTier sets what the VM knows of the tier, and the gossip addresses of the hubs.
func (q *quotas) setTier(now dandeliongap.Instant, t dgquota.Tier, nominal []dandeliongap.VMName, addrs map[dandeliongap.VMName]netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.SetTier(now, t)
	q.leases.SetTier(now, t, nominal)
	q.addrs = addrs
}

// tick executes what is due at each heartbeat.
func (q *quotas) tick(now dandeliongap.Instant) {
	q.mu.Lock()
	if q.leases == nil {
		q.mu.Unlock()
		return
	}
	q.leases.Tick(now)
	out := q.step(now, q.owner.Tick(now))
	q.mu.Unlock()
	q.sendAsks(out)
}

// limitOf returns the limit of an account in the newest configuration. Its rate is 0 if the
// account is unknown or has no limit. q.mu must be held.
func (q *quotas) limitOf(account dandeliongap.AccountName) (l dgquota.Limit, known bool) {
	a := q.book.Named(account)
	if a == nil {
		return l, false
	}
	return dgquota.Limit{Rate: a.Rate, Burst: a.Burst}, true
}

// answer returns the grant for an ask, as the owner. q.mu must be held.
func (q *quotas) answer(now dandeliongap.Instant, a dgquota.Ask) dgquota.Grant {
	switch l, known := q.limitOf(a.Account); {
	case !known:
		return dgquota.Grant{ID: a.ID, Status: dgquota.NotOwner}
	case l.Rate == 0: // the newest configuration has lifted the limit
		return dgquota.Grant{ID: a.ID, Tokens: a.Tokens}
	default:
		return q.owner.Answer(now, a, l)
	}
}

// step answers the asks to this VM itself and returns those to be sent, more among them.
// q.mu must be held.
func (q *quotas) step(now dandeliongap.Instant, more []dgquota.Ask) (out []dgquota.Ask) {
	for asks := append(q.leases.Asks(), more...); len(asks) > 0; asks = q.leases.Asks() {
		for _, a := range asks {
			if a.To != q.self {
				out = append(out, a)
				continue
			}
			q.resolve(q.leases.Answer(now, a.Account, q.answer(now, a)))
		}
	}
	return out
}

// resolve passes decisions to the requests that wait for them. q.mu must be held.
func (q *quotas) resolve(decisions []dgquota.Decision) {
	for _, d := range decisions {
		if ch := q.waiters[d.ID]; ch != nil {
			delete(q.waiters, d.ID)
			ch <- d
		}
	}
}

// take decides about a request of an account with a limit. It may wait, for at most
// patience.
func (q *quotas) take(account dandeliongap.AccountName, l dgquota.Limit, patience time.Duration) dgquota.Decision {
	var ch chan dgquota.Decision
	now := q.e.now()
	q.mu.Lock()
	d := q.leases.Take(now, account, l)
	if d.Outcome == dgquota.Waiting {
		ch = make(chan dgquota.Decision, 1)
		q.waiters[d.ID] = ch
	}
	out := q.step(now, nil)
	q.mu.Unlock()
	q.sendAsks(out)
	if ch == nil {
		return d
	}
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	select {
	case answered := <-ch:
		return answered
	case <-timeout.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters[d.ID] == nil {
		return <-ch // has the decision since before the lock was taken
	}
	delete(q.waiters, d.ID)
	q.e.stats.add("QuotaTimeouts")
	return q.leases.GiveUp(q.e.now(), d.ID)
}

// giveBack returns the token of a request that did not run.
func (q *quotas) giveBack(t dgquota.Token) {
	q.e.stats.add("QuotaReturned")
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leases.Return(q.e.now(), t)
}

// takeToken takes a token for a request, if its account has a limit, or refuses it (dgadmit
// A12, A13).
func (e *Edge) takeToken(req *request) dgadmit.Refusal {
	if req.limit.Rate == 0 {
		return dgadmit.Refusal{}
	}
	d := e.quotas.take(req.account, req.limit, dgquota.Patience(req.route.LatencyObjective))
	req.quotaRule = d.Rule
	switch d.Outcome {
	case dgquota.Admitted:
		req.token, req.hasToken = d.Token, true
		if d.Rule == "Q7" {
			e.stats.add("QuotaWithoutOwner")
			e.log.request("quota without owner", req.id).Str("Rule", d.Rule).Str("Account", string(req.account)).Float64("Rate", req.limit.Rate).Send()
		}
		return dgadmit.Refusal{}
	case dgquota.OverQuota:
		return dgadmit.OverQuota(d.RetryAfter)
	default:
		return dgadmit.QuotaUnknown(d.RetryAfter)
	}
}

// sendAsks sends asks to the owners, those to one owner together.
func (q *quotas) sendAsks(asks []dgquota.Ask) {
	if len(asks) == 0 {
		return
	}
	byOwner := make(map[dandeliongap.VMName][]dgquota.Ask)
	for _, a := range asks {
		byOwner[a.To] = append(byOwner[a.To], a)
	}
	q.mu.Lock()
	addrs := q.addrs
	q.mu.Unlock()
	q.e.stats.addN("QuotaAsks", int64(len(asks)))
	for vm, list := range byOwner {
		addr, ok := addrs[vm]
		if !ok {
			q.e.stats.add("GossipUnsent")
			continue
		}
		for len(list) > 0 {
			n := min(len(list), maxQuotaEntries)
			q.send(encodeAsks(list[:n]), addr)
			list = list[n:]
		}
	}
}

// receive takes in a datagram for which isQuota holds.
func (q *quotas) receive(datagram []byte, from netip.AddrPort) error {
	asks, answers, err := decodeQuota(datagram)
	if err != nil {
		return err
	}
	now := q.e.now()
	q.mu.Lock()
	if q.leases == nil {
		q.mu.Unlock()
		return nil
	}
	var grants []quotaAnswer
	for _, a := range asks {
		g := dgquota.Grant{ID: a.ask.ID, Status: dgquota.NotOwner}
		if name, ok := q.ids[a.account]; ok {
			a.ask.Account = name
			g = q.answer(now, a.ask)
		}
		if g.ID != 0 {
			grants = append(grants, quotaAnswer{a.account, g})
		}
	}
	for _, g := range answers {
		if name, ok := q.ids[g.account]; ok {
			q.resolve(q.leases.Answer(now, name, g.grant))
		}
	}
	out := q.step(now, nil)
	q.mu.Unlock()
	q.sendAsks(out)
	if len(grants) > 0 {
		q.e.stats.addN("QuotaGrants", int64(len(grants)))
		q.send(encodeGrants(grants), from)
	}
	return nil
}
