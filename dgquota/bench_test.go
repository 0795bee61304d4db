package dgquota_test

import (
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgquota"
)

// benchTier returns a VM and an owner of all accounts in a tier with as many hubs as one of
// 610 VMs in five zones has, and the names of 10,000 accounts.
func benchTier() (*dgquota.Owner, *dgquota.Leases, []dandeliongap.AccountName) {
	hubs := tier(20)
	v := dgquota.NewLeases(dgquota.Options{Self: "vm-0", Bounds: bounds})
	v.SetTier(0, hubs, hubs.Hubs)
	o := dgquota.NewOwner("owner", bounds)
	o.SetTier(0, dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 1})
	names := make([]dandeliongap.AccountName, 10000)
	for i := range names {
		names[i] = account(i)
	}
	return o, v, names
}

var benchLimit = dgquota.Limit{Rate: 1e6, Burst: 1e6}

// BenchmarkRequest measures a request whose VM asks the owner: both ends of the exchange.
func BenchmarkRequest(b *testing.B) {
	o, v, names := benchTier()
	now := 5 * second
	for i := range b.N {
		if i%len(names) == 0 {
			now += 2 * second // leases expire
			o.SetTier(now, dgquota.Tier{Hubs: []dandeliongap.VMName{"owner"}, Total: 1})
		}
		v.Take(now, names[i%len(names)], benchLimit)
		admit(now, o, v, benchLimit)
	}
}

// BenchmarkTick measures what is due four times a second for 10,000 accounts with demand.
func BenchmarkTick(b *testing.B) {
	o, v, names := benchTier()
	now := 5 * second
	for _, name := range names {
		v.Take(now, name, benchLimit)
		admit(now, o, v, benchLimit)
	}
	for b.Loop() {
		v.Tick(now)
		o.Tick(now)
	}
}
