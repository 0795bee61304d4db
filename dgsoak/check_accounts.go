package dgsoak

import (
	"cmp"
	"slices"

	"dandeliongap.example/dandeliongap"
)

// accountOf returns the account of a configuration that has a key, or nil.
func accountOf(cfg *dandeliongap.RouteConfig, key string) *dandeliongap.Account {
	for i := range cfg.Accounts {
		if slices.Contains(cfg.Accounts[i].Keys, key) {
			return &cfg.Accounts[i]
		}
	}
	return nil
}

// owner returns the name of the account that has had a key in any configuration.
func (c *checker) owner(key string) dandeliongap.AccountName {
	for _, p := range c.Publications {
		if a := accountOf(p.Config, key); a != nil {
			return a.Name
		}
	}
	return ""
}

// checkAccounts checks K19, K20 and K22.
func (c *checker) checkAccounts(untimed bool) {
	if !slices.ContainsFunc(c.Publications, func(p Publication) bool { return len(p.Config.Accounts) > 0 }) {
		return
	}
	owners := make(map[string]dandeliongap.AccountName)
	for _, x := range c.Exchanges {
		if _, ok := owners[x.Key]; !ok {
			owners[x.Key] = c.owner(x.Key)
		}
		if x.Response.Status == 401 && x.Key != "" {
			c.checkRefusedKey(x, untimed)
		}
	}
	for _, a := range c.arrivals {
		x := c.Exchanges[a.Request]
		if x == nil {
			continue
		}
		owner := owners[x.Key]
		switch {
		case a.SawKey:
			c.report("K19", a.At, "request %s reached %s with a key", x.ID, a.Instance)
		case len(a.Accounts) > 1 || len(a.Accounts) == 1 && (owner == "" || a.Accounts[0] != string(owner)) || len(a.Accounts) == 0 && owner != "" && !x.Route.Public:
			c.report("K19", a.At, "request %s with a key of account %q reached %s with the accounts %q", x.ID, owner, a.Instance, a.Accounts)
		}
		if !a.Ran || x.Route.Public {
			continue
		}
		if owner == "" {
			c.report("K20", a.At, "request %s without a known key ran at %s", x.ID, a.Instance)
		} else if removed, ok := c.removedAt(x.Key, a.At); !untimed && ok && x.SentAt > removed.Add(c.bounds.Revoke) && c.calm(x.VM, max(removed, x.SentAt.Add(-c.bounds.Revoke)), a.At) {
			c.report("K20", a.At, "request %s by %s ran at %s, sent %v after its key was removed", x.ID, x.VM, a.Instance, x.SentAt.Sub(removed))
		}
	}
}

// removedAt returns when a key was removed that a configuration before now had, and that none
// has had since.
func (c *checker) removedAt(key string, now dandeliongap.Instant) (at dandeliongap.Instant, ok bool) {
	known := false
	for _, p := range c.Publications {
		if p.At > now {
			break
		}
		has := accountOf(p.Config, key) != nil
		if known && !has {
			at, ok = p.At, true
		} else if has {
			ok = false
		}
		known = has
	}
	return at, ok
}

// checkRefusedKey checks K22 for a request that was refused for its key.
func (c *checker) checkRefusedKey(x *Exchange, untimed bool) {
	// A configuration is recorded after it was accepted.
	until := x.AnsweredAt.Add(c.bounds.PauseSlack)
	var validFrom dandeliongap.Instant
	valid, always := false, true
	for _, p := range c.Publications {
		if p.At > until {
			break
		}
		has := accountOf(p.Config, x.Key) != nil
		if has && !valid {
			validFrom = p.At
		}
		valid, always = has, always && has
	}
	switch {
	case valid && always:
		c.report("K22", x.AnsweredAt, "request %s by %s was refused for its key, which was always valid", x.ID, x.VM)
	case valid && !untimed && x.SentAt > validFrom.Add(c.bounds.AccountApply) && c.calm(x.VM, validFrom, x.AnsweredAt):
		c.report("K22", x.AnsweredAt, "request %s by %s was refused for its key, %v after this was added", x.ID, x.VM, x.SentAt.Sub(validFrom))
	}
}

// checkQuotas checks K21.
func (c *checker) checkQuotas() {
	type run struct{ sent, arrived dandeliongap.Instant }
	runs := make(map[dandeliongap.AccountName][]run)
	for id, arrivals := range c.byRequest {
		x := c.Exchanges[id]
		if x == nil || x.Route.Public || x.Key == "" {
			continue
		}
		if i := slices.IndexFunc(arrivals, func(a Arrival) bool { return a.Ran }); i >= 0 {
			name := c.owner(x.Key)
			runs[name] = append(runs[name], run{x.SentAt, arrivals[i].At})
		}
	}
	superseded := c.supersededAt()
	window := c.bounds.Quota.Window
	for name, list := range runs {
		slices.SortFunc(list, func(a, b run) int { return cmp.Compare(a.sent, b.sent) })
		for i, first := range list {
			n, end := 0, first.sent
			for _, r := range list[i:] {
				if r.arrived < first.sent.Add(window) {
					n, end = n+1, max(end, r.arrived)
				}
			}
			allowed, ok := c.allowed(name, first.sent, end, superseded)
			if !ok {
				continue
			}
			c.QuotaUse = max(c.QuotaUse, float64(n)/allowed)
			if float64(n) > allowed {
				c.report("K21", end, "%d requests of %s ran within %v, %.1f are allowed", n, name, window, allowed)
				break
			}
		}
	}
}

// allowed returns how many requests of an account may run in a window. ok is false if there
// is no limit.
func (c *checker) allowed(name dandeliongap.AccountName, begin, end dandeliongap.Instant, superseded []dandeliongap.Instant) (most float64, ok bool) {
	q := c.bounds.Quota
	for i, p := range c.Publications {
		if p.At > end || superseded[i] < begin {
			continue
		}
		for _, a := range p.Config.Accounts {
			if a.Name != name {
				continue
			}
			if a.Rate == 0 {
				return 0, false
			}
			most, ok = max(most, (a.Rate*q.Window.Seconds()+a.Burst)*(1+q.Overshoot)+q.Slack), true
		}
	}
	return most, ok
}

// withholding are the kinds of faults that keep configurations from VMs.
var withholding = []Kind{PauseVM, FaultStore, ForgetHistory, CutStore, ResetStore, CutPeers, LosePeers, RestoreStore}

// supersededAt returns for each configuration until when VMs may use it: Bounds.AccountApply
// after the next one, in which no fault kept this from them.
func (c *checker) supersededAt() []dandeliongap.Instant {
	out := make([]dandeliongap.Instant, len(c.Publications))
	for i := range out {
		if i+1 == len(out) {
			out[i] = c.EndedAt
			continue
		}
		from := c.Publications[i+1].At
		for again := true; again; {
			again = false
			for _, d := range c.Disturbances {
				withheld := slices.ContainsFunc(withholding, func(k Kind) bool { return k.String() == d.What })
				if withheld && d.From <= from.Add(c.bounds.AccountApply) && d.To > from {
					from, again = d.To, true
				}
			}
		}
		out[i] = from.Add(c.bounds.AccountApply)
	}
	return out
}
