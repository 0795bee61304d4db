package dgsoak

import (
	"fmt"
	"slices"
	"time"

	"dandeliongap.example/dandeliongap"
)

const (
	// accountCount is the number of accounts, limitedAccounts that of the first of them
	// that have a limit.
	accountCount, limitedAccounts = 4, 3
	// usualRate and usualBurst are above what the callers of an account send unless it is
	// hot, some 20 a second. lowRate and lowBurst are far below it.
	usualRate, usualBurst = 25, 10
	lowRate, lowBurst     = 3, 3
	// hotFactor is how much more often than usual the callers of a hot account would send
	// without waiting for responses.
	hotFactor = 8
	// hotSlack is added to Step.For while an account is hot, so that it is so for more than
	// a window of the quota.
	hotSlack = 5 * time.Second
	// revokeSlack is added to Bounds.Revoke and Step.For while callers go on sending a removed
	// key, so that they do so long enough after the bound (K20).
	revokeSlack = 3 * time.Second
	// keylessCaller has no key. removedKeyCaller has one that was removed before any VM
	// started.
	keylessCaller, removedKeyCaller = callerCount - 2, callerCount - 1
)

// account is a client account, as its operators and its callers see it.
type account struct {
	name        dandeliongap.AccountName
	keys        []string // in the configuration
	sent        []string // that its callers send
	rate, burst float64
	hotUntil    dandeliongap.Instant
	added       int // number of keys so far
}

// addKey adds a key, which callers are yet to send.
func (a *account) addKey() string {
	a.added++
	key := fmt.Sprintf("%s%s-%d", KeyPrefix, a.name, a.added)
	a.keys = append(a.keys, key)
	return key
}

func (a *account) removeKey(key string) {
	a.keys = slices.DeleteFunc(slices.Clone(a.keys), func(k string) bool { return k == key })
}

// configured returns the account as the configuration has it.
func (a *account) configured() dandeliongap.Account {
	return dandeliongap.Account{Name: a.name, Keys: slices.Clone(a.keys), Rate: a.rate, Burst: a.burst}
}

// removedKey is a key of the first account that only the first configuration has.
const removedKey = KeyPrefix + "removed"

// newAccounts returns the accounts of the first configuration.
func newAccounts() (out []*account) {
	for i := range accountCount {
		a := &account{name: dandeliongap.AccountName(fmt.Sprint("account-", i))}
		if i < limitedAccounts {
			a.rate, a.burst = usualRate, usualBurst
		}
		a.sent = []string{a.addKey(), a.addKey()}
		out = append(out, a)
	}
	out[0].keys = append(out[0].keys, removedKey)
	return out
}

// removeFirstKey publishes the second configuration, without removedKey.
func (o *operator) removeFirstKey() error {
	return o.change(func() { o.accounts[0].removeKey(removedKey) })
}

// hasAccounts reports whether there are accounts. It does not change after the start.
func (o *operator) hasAccounts() bool { return len(o.accounts) > 0 }

// keyOf returns the key that a caller sends now; "": none.
func (o *operator) keyOf(caller int) string {
	switch caller {
	case keylessCaller:
		return ""
	case removedKeyCaller:
		return removedKey
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := o.accounts[caller%accountCount].sent
	return sent[caller/accountCount%len(sent)]
}

// speed returns how much more often than usual a caller sends.
func (o *operator) speed(caller int, now dandeliongap.Instant) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hasAccounts() && caller < keylessCaller && now < o.accounts[caller%accountCount].hotUntil {
		return hotFactor
	}
	return 1
}

// applyToAccount applies a step that concerns an account.
func (s *soak) applyToAccount(step Step) error {
	o := &s.operator
	if !o.hasAccounts() {
		return nil
	}
	a := o.accounts[int(step.Target%accountCount)]
	limited := o.accounts[int(step.Target%limitedAccounts)]
	switch step.Kind {
	case AddKey:
		return o.change(func() { a.sent = []string{a.sent[0], a.addKey()} })
	case RemoveKey:
		// Half of the callers go on sending the key until the others could notice that
		// it is still accepted.
		var key string
		if err := o.change(func() {
			if a.sent[1] == a.sent[0] {
				a.sent = []string{a.sent[0], a.addKey()}
			}
			key = a.sent[1]
			a.removeKey(key)
		}); err != nil {
			return err
		}
		time.Sleep(s.opt.Bounds.Revoke + step.For + revokeSlack)
		o.mu.Lock()
		defer o.mu.Unlock()
		if a.sent[1] == key {
			a.sent = []string{a.sent[0], a.sent[0]}
		}
	case HeatAccount:
		o.mu.Lock()
		defer o.mu.Unlock()
		limited.hotUntil = max(limited.hotUntil, s.now().Add(step.For+hotSlack))
	case LowerLimit:
		if err := o.change(func() { limited.rate, limited.burst = lowRate, lowBurst }); err != nil {
			return err
		}
		time.Sleep(s.opt.Bounds.AccountApply + s.opt.Bounds.Quota.Window + step.For)
		return o.change(func() { limited.rate, limited.burst = usualRate, usualBurst })
	}
	return nil
}
