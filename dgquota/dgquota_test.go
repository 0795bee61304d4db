package dgquota_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgquota"
)

var seeds = flag.Int("quota.seeds", 10, "number of seeds that each scenario of the comparison is played with")

// maxRefused is the largest share of requests within the quota that may be refused while
// nothing fails.
const maxRefused = 0.01

// compare plays all scenarios in one way and reports per scenario.
func compare(t *testing.T, way string, vms int, check func(name string, worst, refused float64)) {
	for i, sc := range scenarios {
		var worst float64
		over, requests, allowed, refused, small, messages := 0, 0, 0, 0, 0, 0
		for seed := range *seeds {
			s := newSim(uint64(seed), way, vms)
			w := s.run(i)
			worst = max(worst, w)
			if w > 1 {
				over++
			}
			a, r, sm := s.refused()
			requests, allowed, refused, small, messages = requests+s.requests, allowed+a, refused+r, small+sm, messages+s.messages
		}
		share := float64(refused) / float64(allowed)
		t.Logf("%s | %d | %s | %.2f | %d of %d | %.2f%% | %.2f%% | %.2f",
			way, vms, sc.name, worst, over, *seeds, 100*share, 100*float64(small)/float64(allowed), float64(messages)/float64(requests))
		check(sc.name, worst, share)
	}
}

// TestLeases guards against more requests of an account than its quota allows, in each
// failure, and against refusals within the quota.
func TestLeases(t *testing.T) {
	for _, vms := range []int{3, 12} {
		compare(t, "leases", vms, func(name string, worst, refused float64) {
			if worst > 1 {
				t.Errorf("%d VMs, %s: %.2f of the bound were used", vms, name, worst)
			}
			if name == "calm" && refused > maxRefused {
				t.Errorf("%d VMs, %s: %.4f of the requests within the quota were refused", vms, name, refused)
			}
		})
	}
}

// TestAlternatives guards against a choice of docs/decisions/0012-quotas.md whose reason no
// longer holds: without an owner, an account within its quota is refused too often.
func TestAlternatives(t *testing.T) {
	for _, way := range []string{"equal", "demand"} {
		compare(t, way, 12, func(name string, _, refused float64) {
			if name == "calm" && refused <= maxRefused {
				t.Errorf("%s shares refuse only %.4f of the requests within the quota", way, refused)
			}
		})
	}
}

const second = dandeliongap.Instant(time.Second)

func tier(n int) dgquota.Tier {
	t := dgquota.Tier{Total: n}
	for i := range n {
		t.Hubs = append(t.Hubs, dandeliongap.VMName(fmt.Sprint("vm-", i)))
	}
	return t
}

// TestAllowance guards against VMs that together admit more without the owner than the
// margin of the bound has: while they are cut off, when the roster changes, and after a
// start.
func TestAllowance(t *testing.T) {
	for _, l := range []dgquota.Limit{{Rate: 0.1, Burst: 1}, {Rate: 19, Burst: 19}, {Rate: 500, Burst: 2000}} {
		for _, first := range []bool{true, false} {
			before, after := tier(6), tier(12)
			var vms []*dgquota.Leases
			for _, vm := range after.Hubs {
				v := dgquota.NewLeases(dgquota.Options{Self: vm, Bounds: bounds, InitialStart: first})
				v.SetTier(0, dgquota.Tier{Total: 12}, before.Hubs)
				vms = append(vms, v)
			}
			var admitted []dandeliongap.Instant
			for now := dandeliongap.Instant(0); now < 30*second; now += second / 10 {
				for i, v := range vms {
					if now >= 12*second+dandeliongap.Instant(i)*second/5 {
						v.SetTier(now, dgquota.Tier{Total: 12}, after.Hubs)
					}
					if v.Take(now, "a", l).Outcome == dgquota.Admitted {
						admitted = append(admitted, now)
					}
				}
				if !first && now < 5*second && len(admitted) > 0 {
					t.Fatal("a process that replaces another one admits in its first window")
				}
			}
			for i, from := range admitted {
				n := 0
				for _, at := range admitted[i:] {
					if at.Sub(from) <= bounds.Window {
						n++
					}
				}
				if n > bounds.Allowance(l) {
					t.Fatalf("%+v: %d requests in the window from %v, want at most %d", l, n, from, bounds.Allowance(l))
				}
			}
			if len(admitted) == 0 {
				t.Errorf("%+v: no request was admitted", l)
			}
		}
	}
}

// TestInitialStart guards against a VM that admits nothing without the owner for a window
// after the start of the tier, because it was not on the first roster that it knew (Q8).
func TestInitialStart(t *testing.T) {
	l := dgquota.Limit{Rate: 0.1, Burst: 2}
	v := dgquota.NewLeases(dgquota.Options{Self: "vm-5", Bounds: bounds, InitialStart: true})
	v.SetTier(0, dgquota.Tier{Total: 12}, tier(3).Hubs)
	v.SetTier(second, dgquota.Tier{Total: 12}, tier(12).Hubs)
	if d := v.Take(second, "a", l); d.Outcome == dgquota.Admitted {
		t.Error("a VM that may not know the roster yet admits", d)
	}
	if d := v.Take(2*second, "a", l); d.Outcome != dgquota.Admitted {
		t.Error("a VM that knows the roster refuses", d)
	}
}

// pair returns an owner whose buckets have had time to fill, and another
// VM of its tier.
func pair() (*dgquota.Owner, *dgquota.Leases, dandeliongap.Instant) {
	now := 100 * second
	t := dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 1}
	o := dgquota.NewOwner("owner", bounds)
	v := dgquota.NewLeases(dgquota.Options{Self: "other", Bounds: bounds})
	o.SetTier(0, t)
	o.SetTier(now, t)
	v.SetTier(now, t, nil)
	return o, v, now
}

// admit passes the asks of v to o and returns the decisions.
func admit(now dandeliongap.Instant, o *dgquota.Owner, v *dgquota.Leases, l dgquota.Limit) (out []dgquota.Decision) {
	for _, a := range v.Asks() {
		out = append(out, v.Answer(now, a.Account, o.Answer(now, a, l))...)
	}
	return out
}

// TestReturn guards against a request that did not run and still counts (Q12): its token
// admits another request, also after its lease has expired.
func TestReturn(t *testing.T) {
	l := dgquota.Limit{Rate: 0.01, Burst: 1}
	o, v, now := pair()
	// The bucket fills at up to 0.012 tokens a second (Q15): the next token is due 83 s after
	// the last one was granted, 6 s ago.
	for range 3 {
		if d := v.Take(now, "a", l); d.Outcome != dgquota.Waiting {
			t.Fatal(d)
		}
		got := admit(now, o, v, l)
		if len(got) != 1 || got[0].Outcome != dgquota.Admitted {
			t.Fatal("the first token was not granted", got)
		}
		v.Return(now, got[0].Token)
		again := v.Take(now, "a", l)
		if again.Outcome != dgquota.Admitted {
			t.Fatal("a token that was returned in time admits nothing", again)
		}
		now += 2 * second // the lease has expired
		v.Return(now, again.Token)
		o.SetTier(now, dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 1})
		v.Tick(now)
		admit(now, o, v, l)
	}
	v.Take(now, "a", l)
	admit(now, o, v, l)
	v.Take(now, "a", l)
	if d := admit(now, o, v, l); len(d) != 1 || d[0].Outcome != dgquota.OverQuota || d[0].RetryAfter < 75*time.Second {
		t.Error("a token was returned twice, or the refusal does not tell when there is room:", d)
	}
	if d := v.Take(now, "a", l); d.Outcome != dgquota.OverQuota || len(v.Asks()) != 0 {
		t.Error("a request that is refused in any case is sent to the owner (Q10):", d)
	}
}

// TestSilentOwner guards against requests that each wait for an owner that does not answer
// (Q11), and against a late answer that is lost.
func TestSilentOwner(t *testing.T) {
	l := dgquota.Limit{Rate: 10, Burst: 10}
	o, v, now := pair()
	d := v.Take(now, "a", l)
	asks := v.Asks()
	if g := v.GiveUp(now+second/50, d.ID); g.Outcome != dgquota.Unavailable || g.RetryAfter <= 0 {
		t.Error(g)
	}
	if d := v.Take(now+second/40, "a", l); d.Outcome != dgquota.Unavailable {
		t.Error("a request waits for an owner that is known not to answer:", d)
	}
	v.Answer(now+second/30, "a", o.Answer(now, asks[0], l))
	if d := v.Take(now+second/30, "a", l); d.Outcome != dgquota.Admitted {
		t.Error("the token of a late answer is not used:", d)
	}
	if d := v.Answer(now+second/30, "a", dgquota.Grant{ID: asks[0].ID, Tokens: 5}); len(d) > 0 || v.Take(now+second/30, "a", l).Outcome == dgquota.Admitted {
		t.Error("an answer that arrives twice counts twice")
	}
}

// TestOwnership guards against an owner that grants what it must not: after its process did
// not run (Q6), for an account that is not its own, and of a burst that another owner may
// have granted (Q4).
func TestOwnership(t *testing.T) {
	l := dgquota.Limit{Rate: 1, Burst: 100}
	o, _, now := pair()
	ask := dgquota.Ask{ID: 1, Account: "a", Tokens: 50}
	if g := o.Answer(now+2*second, ask, l); g.Status != dgquota.NotOwner || g.Tokens > 0 {
		t.Error("an owner whose view is old grants", g)
	}
	both := dgquota.Tier{Hubs: []dandeliongap.VMName{"owner", "w"}, Total: 2}
	for i := 0; both.Owner("a") != "w"; i++ {
		both.Hubs[1] = dandeliongap.VMName(fmt.Sprint("w", i))
		if i == 0 {
			both.Hubs[1] = "w"
		}
		if both.Owner("a") == both.Hubs[1] {
			break
		}
	}
	o.SetTier(now, both)
	if g := o.Answer(now, ask, l); g.Status != dgquota.NotOwner {
		t.Error("a VM that is not the owner grants", g)
	}
	o.SetTier(now+10*second, dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 2})
	o.SetTier(now+12*second, dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 2})
	if g := o.Answer(now+12*second, ask, l); g.Status != dgquota.Filling || g.Tokens != 1 {
		t.Error("a new owner that sees half of the hubs grants other than half of the rate since it began:", g)
	}
}

// maxControlMemory is the memory that control state may take on a VM.
const maxControlMemory = 128 << 20

// TestMemory guards against state for quotas that does not fit on a VM with all accounts,
// and against state of accounts without demand (Q14).
func TestMemory(t *testing.T) {
	for _, n := range []int{1000, 3000, 10000} {
		testMemory(t, n)
	}
}

func testMemory(t *testing.T, n int) {
	l := dgquota.Limit{Rate: 1, Burst: 5}
	o, v, now := pair()
	names := make([]dandeliongap.AccountName, n)
	for i := range names {
		names[i] = account(i)
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	empty := heap()
	for _, name := range names {
		v.Take(now, name, l)
	}
	asks := v.Asks()
	leases := heap()
	for _, a := range asks {
		v.Answer(now, a.Account, o.Answer(now, a, l))
	}
	asks = nil
	all := heap()
	t.Logf("%d accounts: %.2f MB of leases with requests that wait, %.2f MB of leases and buckets after the answers", n, float64(leases-empty)/1e6, float64(all-empty)/1e6)
	if all-empty > maxControlMemory {
		t.Errorf("%d accounts take %d bytes, want at most %d", n, all-empty, maxControlMemory)
	}
	for range 40 {
		now += second
		o.SetTier(now, dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 1})
		v.Tick(now)
		o.Tick(now)
		admit(now, o, v, l)
	}
	if v.Len() > 0 || o.Len() > 0 {
		t.Errorf("%d leases and %d buckets are left without demand", v.Len(), o.Len())
	}
	runtime.KeepAlive(names)
}

// TestSteadyDemand guards against refusals of an account that never pauses and stays within
// rate x window + burst in each window (Q15). With buckets that filled at the rate alone, an
// account of the users' bench with 4 requests a second, a rate of 3 and a burst of 3 had 92
// of 198 requests refused.
func TestSteadyDemand(t *testing.T) {
	l := dgquota.Limit{Rate: 3, Burst: 3}
	o, v, now := pair()
	refused := 0
	for range 300 {
		now += second * 10 / 35 // 3.5 requests a second, 17.5 in a window of which 18 are allowed
		o.SetTier(now, dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 1})
		d := v.Take(now, "a", l)
		if d.Outcome == dgquota.Waiting {
			d = admit(now, o, v, l)[0]
		}
		if d.Outcome != dgquota.Admitted {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 300 requests were refused", refused)
	}
}

// TestPatience guards against a wait so short that requests on routes with a short objective
// are refused while their owner is busy, and against one that leaves a refused caller no time
// to try another VM (Q11).
func TestPatience(t *testing.T) {
	for objective, want := range map[time.Duration]time.Duration{
		0: 30 * time.Millisecond, 50 * time.Millisecond: 12500 * time.Microsecond, time.Second: 30 * time.Millisecond,
	} {
		if got := dgquota.Patience(objective); got != want {
			t.Errorf("objective %v: %v, want %v", objective, got, want)
		}
	}
}
