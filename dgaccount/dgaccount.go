// Package dgaccount checks the client accounts of a configuration and finds the account of
// a request by the key that it carries.
//
// Rules:
//
//	K1  The accounts of a configuration are accepted all together or not at all. Names
//	    and keys are unique, a name can be sent as a header value, rate and burst are finite
//	    and not negative. A burst without a rate means nothing, because an account without
//	    a rate has no limit, and neither does an empty key, because no request can carry
//	    it. An account has keys or hashes of keys, not both.
//	K2  A key is looked up by its SHA-256 hash. The time of a look-up tells nothing about
//	    how much of a key is right, and no key is kept.
//	K3  A request has a key if it has exactly one authorization value, with the scheme
//	    Bearer in any letter case. With several values it is not clear whose request it
//	    is, so that they count as an unknown key.
//	K4  Log lines and errors identify a key by the first ShortHashBytes of its hash.
//	K5  The priority of an account, if it has one, takes precedence over that of the
//	    route.
//	K6  A request needs a known key unless its route is public. A public route uses a
//	    known key, for the name of the account alone: the request takes no token of its
//	    quota (dgquota). Any other key is ignored.
//	K7  VMs keep and pass on the hashes of keys in place of the keys, because the port at
//	    which they do so is open to callers. A hash is never accepted as a key.
package dgaccount

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"

	"dandeliongap.example/dandeliongap"
)

const (
	// maxNameBytes keeps the name of an account well below the size that backend servers
	// accept for a header.
	maxNameBytes = 1 << 10
	// ShortHashBytes is the number of bytes of a key's hash by which log lines identify
	// the key.
	ShortHashBytes = 4
)

// Book holds the accounts of a configuration. It is immutable. The nil Book has no
// accounts: requests then need no key.
type Book struct {
	accounts []dandeliongap.Account       // without keys and hashes
	byKey    map[dandeliongap.KeyHash]int // index in accounts
	byName   map[dandeliongap.AccountName]int
}

// New checks accounts and returns them as a Book, or nil if there are none. Its error wraps
// ErrInvalid (K1).
func New(accounts []dandeliongap.Account) (*Book, error) {
	if len(accounts) == 0 {
		return nil, nil
	}
	b := &Book{byKey: make(map[dandeliongap.KeyHash]int, len(accounts)), byName: make(map[dandeliongap.AccountName]int, len(accounts))}
	for i, a := range accounts {
		if err := check(a); err != nil {
			return nil, fmt.Errorf("%w: account %d (%.60q): %w", dandeliongap.ErrInvalid, i, a.Name, err)
		}
		if other, ok := b.byName[a.Name]; ok {
			return nil, fmt.Errorf("%w: accounts %d and %d have the name %.60q", dandeliongap.ErrInvalid, other, i, a.Name)
		}
		b.byName[a.Name] = i
		for _, h := range Hashes(a) {
			if other, ok := b.byKey[h]; ok && other != i {
				return nil, fmt.Errorf("%w: accounts %d and %d have the key with hash %s", dandeliongap.ErrInvalid, other, i, short(h))
			}
			b.byKey[h] = i
		}
		a.Keys, a.KeyHashes = nil, nil
		b.accounts = append(b.accounts, a)
	}
	return b, nil
}

// check checks a single account (K1).
func check(a dandeliongap.Account) error {
	switch {
	case a.Name == "":
		return fmt.Errorf("name is empty")
	case len(a.Name) > maxNameBytes:
		return fmt.Errorf("name is longer than %d bytes", maxNameBytes)
	case strings.Trim(string(a.Name), " ") != string(a.Name) || strings.ContainsFunc(string(a.Name), isControl):
		return fmt.Errorf("name has control characters, or a space at an end, which a header cannot carry")
	case !(a.Rate >= 0) || math.IsInf(a.Rate, 0):
		return fmt.Errorf("rate is %g, want a finite number of 0 or more", a.Rate)
	case !(a.Burst >= 0) || math.IsInf(a.Burst, 0):
		return fmt.Errorf("burst is %g, want a finite number of 0 or more", a.Burst)
	case len(a.Keys) > 0 && len(a.KeyHashes) > 0:
		return fmt.Errorf("it has both keys and hashes of keys")
	}
	return nil
}

// Hashes returns the hashes of all keys of an account, except for empty ones.
func Hashes(a dandeliongap.Account) []dandeliongap.KeyHash {
	if len(a.Keys) == 0 {
		return a.KeyHashes
	}
	out := make([]dandeliongap.KeyHash, 0, len(a.Keys))
	for _, key := range a.Keys {
		if key != "" {
			out = append(out, sha256.Sum256([]byte(key)))
		}
	}
	return out
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// Len returns the number of accounts.
func (b *Book) Len() int {
	if b == nil {
		return 0
	}
	return len(b.accounts)
}

// Find returns the account with the given key (K2). It returns nil if there is none, also
// for an empty key.
func (b *Book) Find(key string) *dandeliongap.Account {
	if b == nil || key == "" {
		return nil
	}
	i, ok := b.byKey[sha256.Sum256([]byte(key))]
	if !ok {
		return nil
	}
	return &b.accounts[i]
}

// Named returns the account with the given name, or nil.
func (b *Book) Named(name dandeliongap.AccountName) *dandeliongap.Account {
	if b == nil {
		return nil
	}
	i, ok := b.byName[name]
	if !ok {
		return nil
	}
	return &b.accounts[i]
}

// All returns the accounts, without their keys and hashes.
func (b *Book) All() []dandeliongap.Account {
	if b == nil {
		return nil
	}
	return b.accounts
}

// Credential is what the authorization values of a request amount to (K3).
type Credential struct {
	Key     string // empty if there is none
	Present bool   // the request has an authorization value, usable or not
}

// Parse returns the credential of a request with the given authorization values.
func Parse(values []string) Credential {
	c := Credential{Present: len(values) > 0}
	if len(values) != 1 {
		return c
	}
	scheme, rest, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if strings.EqualFold(scheme, "Bearer") {
		c.Key = strings.TrimSpace(rest)
	}
	return c
}

// Verdict is the outcome of Check.
type Verdict uint8

// Verdicts.
const (
	Accepted   Verdict = iota
	KeyMissing         // the request has no authorization value
	KeyUnknown         // it has one without a known key
)

// Check decides whether a request with a credential may use a route (K6). The account is
// nil if the request has none.
func (b *Book) Check(c Credential, public bool) (*dandeliongap.Account, Verdict) {
	a := b.Find(c.Key)
	switch {
	case b == nil || a != nil || public:
		return a, Accepted
	case !c.Present:
		return nil, KeyMissing
	}
	return nil, KeyUnknown
}

// Priority returns the priority of a request of an account, which may be nil, to a route
// (K5).
func Priority(a *dandeliongap.Account, r *dandeliongap.Route) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return r.Priority
}

// ShortHash returns the text that identifies a key in log lines (K4); it is empty for an
// empty key.
func ShortHash(key string) string {
	if key == "" {
		return ""
	}
	return short(sha256.Sum256([]byte(key)))
}

func short(h dandeliongap.KeyHash) string {
	return hex.EncodeToString(h[:ShortHashBytes])
}
