package dgaccount_test

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgaccount"
)

// TestBadAccounts guards against a configuration with an account that cannot be told from
// another one, or whose limit means nothing, and against a key in the error, which is
// logged.
func TestBadAccounts(t *testing.T) {
	const secret = "secret-key"
	good := dandeliongap.Account{Name: "good", Keys: []string{secret}, Rate: 1, Burst: 2}
	for name, bad := range map[string]dandeliongap.Account{
		"no name":                        {Keys: []string{"k"}},
		"a name in use":                  {Name: "good", Keys: []string{"k"}},
		"a key in use":                   {Name: "b", Keys: []string{secret}},
		"a name with a line break":       {Name: "b\r\nX-Own: 1"},
		"a name with a space at its end": {Name: "good "},
		"a name that begins with a tab":  {Name: "\tb"},
		"a long name":                    {Name: dandeliongap.AccountName(strings.Repeat("n", 1025))},
		"a negative rate":                {Name: "b", Rate: -1},
		"an infinite rate":               {Name: "b", Rate: math.Inf(1)},
		"a rate that is no number":       {Name: "b", Rate: math.NaN()},
		"a negative burst":               {Name: "b", Rate: 1, Burst: -1},
		"a burst that is no number":      {Name: "b", Rate: 1, Burst: math.NaN()},
	} {
		b, err := dgaccount.New([]dandeliongap.Account{good, bad})
		if b != nil || !errors.Is(err, dandeliongap.ErrInvalid) {
			t.Errorf("%s: accepted, or the error %v is not ErrInvalid", name, err)
		}
		if err != nil && strings.Contains(err.Error(), secret) {
			t.Errorf("%s: the error has the key: %v", name, err)
		}
	}
}

// TestBurstWithoutRate guards against a configuration that stays out of force because it lifts the
// limit of an account and keeps the burst, and against an account that keeps a limit then.
func TestBurstWithoutRate(t *testing.T) {
	b, err := dgaccount.New([]dandeliongap.Account{{Name: "limited", Rate: 19, Burst: 19}, {Name: "lifted", Keys: []string{"key"}, Burst: 19}})
	if err != nil {
		t.Fatal(err)
	}
	if a := b.Find("key"); a == nil || a.Name != "lifted" || a.Rate != 0 {
		t.Errorf("account of the key: %+v, want %q without a rate", a, "lifted")
	}
}

// TestEmptyKeys guards against a configuration that stays out of force because of keys that no
// request can carry, and against requests that are admitted without a key.
func TestEmptyKeys(t *testing.T) {
	b, err := dgaccount.New([]dandeliongap.Account{{Name: "a", Keys: []string{"", "key", ""}}, {Name: "b", Keys: []string{""}}})
	if err != nil {
		t.Fatal(err)
	}
	if a := b.Find("key"); a == nil || a.Name != "a" {
		t.Errorf("account of the key: %+v, want %q", a, "a")
	}
	for _, value := range []string{"", "Bearer", "Bearer "} {
		if a, verdict := b.Check(dgaccount.Parse([]string{value}), false); a != nil || verdict != dgaccount.KeyUnknown {
			t.Errorf("%q: account %+v, verdict %d, want none, %d", value, a, verdict, dgaccount.KeyUnknown)
		}
	}
}

// TestCheck guards against requests that pass without a key or with a wrong one, and
// against ones with a right key that do not.
func TestCheck(t *testing.T) {
	longKey := strings.Repeat("k", 8<<10)
	book, err := dgaccount.New([]dandeliongap.Account{
		{Name: "a", Keys: []string{"key-a", "key-a2", longKey}, Priority: 0, HasPriority: true},
		{Name: "b", Keys: []string{"key-b", "key-b"}},
		{Name: "without keys"},
		{Name: "\u00a0wide spaces\u2003"}, // a header can carry them
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		values  []string
		public  bool
		want    dandeliongap.AccountName
		verdict dgaccount.Verdict
	}{
		{[]string{"Bearer key-a"}, false, "a", dgaccount.Accepted},
		{[]string{"bearer  key-a2 "}, false, "a", dgaccount.Accepted},
		{[]string{"Bearer " + longKey}, false, "a", dgaccount.Accepted},
		{[]string{"BEARER key-b"}, true, "b", dgaccount.Accepted},
		{nil, true, "", dgaccount.Accepted},
		{[]string{"Bearer other"}, true, "", dgaccount.Accepted},
		{nil, false, "", dgaccount.KeyMissing},
		{[]string{""}, false, "", dgaccount.KeyUnknown},
		{[]string{"Bearer"}, false, "", dgaccount.KeyUnknown},
		{[]string{"Bearer "}, false, "", dgaccount.KeyUnknown},
		{[]string{"Bearer key-"}, false, "", dgaccount.KeyUnknown},
		{[]string{"Bearer KEY-A"}, false, "", dgaccount.KeyUnknown},
		{[]string{"Basic key-a"}, false, "", dgaccount.KeyUnknown},
		{[]string{"key-a"}, false, "", dgaccount.KeyUnknown},
		{[]string{"Bearer key-a", "Bearer key-a"}, false, "", dgaccount.KeyUnknown},
		{[]string{"Bearer key-a", "Bearer key-b"}, true, "", dgaccount.Accepted},
	} {
		a, verdict := book.Check(dgaccount.Parse(c.values), c.public)
		var name dandeliongap.AccountName
		if a != nil {
			name = a.Name
		}
		if name != c.want || verdict != c.verdict {
			t.Errorf("%q, public %v: account %q, verdict %d, want %q, %d", c.values, c.public, name, verdict, c.want, c.verdict)
		}
	}
	for _, a := range book.All() {
		if len(a.Keys) > 0 {
			t.Errorf("account %q keeps its keys", a.Name)
		}
	}
}

// TestHashes guards against accounts with hashes of keys that accept or refuse other requests
// than the same accounts with the keys, and against a hash that is accepted as a key.
func TestHashes(t *testing.T) {
	accounts := []dandeliongap.Account{{Name: "a", Keys: []string{"key-a", "key-a2"}}, {Name: "b", Keys: []string{"key-b"}}, {Name: "none"}}
	var hashed []dandeliongap.Account
	var keys []string
	for _, a := range accounts {
		h := a
		h.Keys, h.KeyHashes = nil, dgaccount.Hashes(a)
		hashed = append(hashed, h)
		for _, sum := range h.KeyHashes {
			keys = append(keys, string(sum[:]), hex.EncodeToString(sum[:]), base64.StdEncoding.EncodeToString(sum[:]))
		}
		keys = append(keys, a.Keys...)
	}
	withKeys, err := dgaccount.New(accounts)
	if err != nil {
		t.Fatal(err)
	}
	withHashes, err := dgaccount.New(hashed)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, key := range append(keys, "", "key-") {
		x, y := withKeys.Find(key), withHashes.Find(key)
		if (x == nil) != (y == nil) || x != nil && x.Name != y.Name {
			t.Errorf("key %q: %v with keys, %v with hashes", key, x, y)
		}
		if x != nil {
			found++
		}
	}
	if found != 3 {
		t.Errorf("%d of the texts are keys, want 3", found)
	}
	for _, a := range withHashes.All() {
		if len(a.KeyHashes) > 0 {
			t.Errorf("account %q keeps its hashes", a.Name)
		}
	}
	for name, bad := range map[string]dandeliongap.Account{
		"a hash in use":   {Name: "c", KeyHashes: hashed[0].KeyHashes[1:]},
		"keys and hashes": {Name: "c", Keys: []string{"key-c"}, KeyHashes: dgaccount.Hashes(dandeliongap.Account{Keys: []string{"key-d"}})},
	} {
		if b, err := dgaccount.New(append(hashed[:3:3], bad)); b != nil || !errors.Is(err, dandeliongap.ErrInvalid) {
			t.Errorf("%s: accepted, or the error %v is not ErrInvalid", name, err)
		}
	}
}

// TestPriority guards against an account of priority 0 that is taken as one without a
// priority.
func TestPriority(t *testing.T) {
	route := &dandeliongap.Route{Priority: 2}
	for _, c := range []struct {
		account *dandeliongap.Account
		want    int
	}{{nil, 2}, {&dandeliongap.Account{}, 2}, {&dandeliongap.Account{HasPriority: true}, 0}, {&dandeliongap.Account{HasPriority: true, Priority: 5}, 5}} {
		if got := dgaccount.Priority(c.account, route); got != c.want {
			t.Errorf("priority of %+v is %d, want %d", c.account, got, c.want)
		}
	}
}

// TestNoAccounts guards against a change for configurations without accounts.
func TestNoAccounts(t *testing.T) {
	book, err := dgaccount.New(nil)
	if book != nil || err != nil {
		t.Fatal(book, err)
	}
	if _, verdict := book.Check(dgaccount.Parse([]string{"Bearer x"}), false); verdict != dgaccount.Accepted {
		t.Error("a request is refused although there are no accounts")
	}
}

// TestMemory guards against accounts that do not fit into the memory for control state, with
// two keys each.
func TestMemory(t *testing.T) {
	const maxControlMemory = 128 << 20
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, n := range []int{1000, 3000, 10000} {
		accounts := make([]dandeliongap.Account, n)
		for i := range accounts {
			accounts[i] = dandeliongap.Account{Name: dandeliongap.AccountName(fmt.Sprint("account-", i)), Keys: []string{fmt.Sprint("a", i), fmt.Sprint("b", i)}, Rate: 1, Burst: 2}
		}
		before := heap()
		book, err := dgaccount.New(accounts)
		if err != nil {
			t.Fatal(err)
		}
		size := heap() - before
		t.Logf("%d accounts with two keys each: %.2f MB", n, float64(size)/1e6)
		if size > maxControlMemory {
			t.Errorf("%d accounts take %d bytes, want at most %d", n, size, maxControlMemory)
		}
		runtime.KeepAlive(book)
		runtime.KeepAlive(accounts)
	}
}

func BenchmarkCheck(b *testing.B) {
	accounts := make([]dandeliongap.Account, 10000)
	for i := range accounts {
		accounts[i] = dandeliongap.Account{Name: dandeliongap.AccountName(fmt.Sprint("account-", i)), Keys: []string{fmt.Sprint("key-", i)}}
	}
	book, err := dgaccount.New(accounts)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		book.Check(dgaccount.Parse([]string{"Bearer key-" + fmt.Sprint(i%10000)}), false)
	}
}

func BenchmarkNew(b *testing.B) {
	accounts := make([]dandeliongap.Account, 10000)
	for i := range accounts {
		accounts[i] = dandeliongap.Account{Name: dandeliongap.AccountName(fmt.Sprint("account-", i)), Keys: []string{fmt.Sprint("key-", i)}}
	}
	for b.Loop() {
		if _, err := dgaccount.New(accounts); err != nil {
			b.Fatal(err)
		}
	}
}
