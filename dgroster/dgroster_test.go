package dgroster_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgproperty"
	"dandeliongap.example/dandeliongap/dgroster"
)

func init() { dgproperty.SetRapidDefaults(1, 300) }

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgroster")
}

// tier returns n VMs in each zone, named "ZONE-i". The first two of a zone have 0.8
// cores, the others 0.2.
func tier(n int, zones ...string) (out []dgroster.Candidate) {
	for _, z := range zones {
		for i := range n {
			c := dgroster.Candidate{VM: dandeliongap.VMName(fmt.Sprintf("%s-%d", z, i)), Zone: dandeliongap.ZoneName(z), Cores: 0.2}
			if i < 2 {
				c.Cores = 0.8
			}
			out = append(out, c)
		}
	}
	return out
}

// equalTier is tier with 0.4 cores for each VM.
func equalTier(n int, zones ...string) []dgroster.Candidate {
	out := tier(n, zones...)
	for i := range out {
		out[i].Cores = 0.4
	}
	return out
}

// zonesOf returns the number of VMs by zone.
func zonesOf(vms []dandeliongap.VMName) map[string]int {
	out := make(map[string]int)
	for _, vm := range vms {
		z, _, _ := strings.Cut(string(vm), "-")
		out[z]++
	}
	return out
}

func without(list []dgroster.Candidate, gone func(dgroster.Candidate) bool) []dgroster.Candidate {
	return slices.DeleteFunc(slices.Clone(list), gone)
}

var near = dgroster.Nearness{"a": 100, "b": 100, "c": 5}

var _ = Describe("the roster", func() {
	It("S2, S3 has a few VMs of the zones with replicas (otherwise each of many VMs would know little of each replica)", func() {
		var r dgroster.Roster
		Expect(zonesOf(r.Choose(tier(40, "a", "b", "c", "d", "e"), near))).To(Equal(map[string]int{"a": 2, "b": 2}))
		Expect(zonesOf(r.Choose(equalTier(40, "a", "b", "c", "d", "e"), near))).To(Equal(map[string]int{"a": 3, "b": 3}))
	})
	// Guards against searches that are late because one VM in three has a quarter of the
	// processor of the others and gets as many callers (mnttla-ladder-grown trouble-1: 48 of
	// the 49 late searches after 36 s were of three such VMs).
	It("S3, S5 leaves callers to the strong VMs while these can serve them", func() {
		var r dgroster.Roster
		all := tier(40, "a", "b", "c")
		weak := func(vms []dandeliongap.VMName) (out []dandeliongap.VMName) {
			for _, c := range all {
				if c.Cores < 0.8 && slices.Contains(vms, c.VM) {
					out = append(out, c.VM)
				}
			}
			return out
		}
		wide := dgroster.Nearness{"a": 100, "b": 100, "c": 100}
		for _, load := range []float64{0, 0.2, 0.5} { // share of the six strong VMs in use
			r.Update(1, load*6*0.8/dgroster.CoreSecondsPerAttempt)
			Expect(weak(r.Choose(all, wide))).To(BeEmpty(), "load %g", load)
		}
		r.Update(1, 0.7*6*0.8/dgroster.CoreSecondsPerAttempt)
		Expect(weak(r.Choose(all, wide))).NotTo(BeEmpty())
		var calm dgroster.Roster
		left := without(all, func(c dgroster.Candidate) bool { return c.VM == "a-0" || c.VM == "a-1" || c.VM == "b-0" })
		Expect(zonesOf(calm.Choose(left, wide))).To(Equal(map[string]int{"a": 2, "b": 2, "c": 2}), "no zone is left with one VM")
	})
	It("S2 has VMs of two zones even if all replicas are in one (otherwise the loss of a zone would leave no VM that callers know)", func() {
		var r dgroster.Roster
		got := zonesOf(r.Choose(tier(40, "a", "b", "c"), dgroster.Nearness{"c": 100}))
		Expect(got).To(HaveLen(2))
		Expect(got).To(HaveKeyWithValue("c", 2))
		got = zonesOf(r.Choose(equalTier(40, "a", "b", "c"), dgroster.Nearness{"c": 100}))
		Expect(got).To(HaveLen(2))
		Expect(got).To(HaveKeyWithValue("c", 3))
	})
	It("S3 replaces VMs that are lost, also a whole zone", func() {
		var r dgroster.Roster
		all := tier(40, "a", "b", "c")
		first := r.Choose(all, near)
		second := r.Choose(without(all, func(c dgroster.Candidate) bool { return c.VM == first[0] }), near)
		Expect(second).To(HaveLen(len(first)))
		Expect(second).NotTo(ContainElement(first[0]))
		third := r.Choose(without(all, func(c dgroster.Candidate) bool { return c.Zone == "a" }), near)
		Expect(zonesOf(third)).To(Equal(map[string]int{"b": 2, "c": 2}))
		equal := without(equalTier(40, "a", "b", "c"), func(c dgroster.Candidate) bool { return c.Zone == "a" })
		Expect(zonesOf(r.Choose(equal, near))).To(Equal(map[string]int{"b": 3, "c": 3}))
	})
	It("S3 has all VMs of a tier that has no more than it needs", func() {
		var r dgroster.Roster
		Expect(r.Choose(tier(1, "a", "b", "c"), near)).To(HaveLen(3))
		Expect(r.Choose(tier(4, "a"), nil)).To(HaveLen(4))
		Expect(r.Choose(nil, near)).To(BeEmpty())
	})
	It("S4 prefers VMs with more processor cores", func() {
		var r dgroster.Roster
		Expect(r.Choose(tier(40, "a", "b"), near)).To(ContainElements(dandeliongap.VMName("a-0"), dandeliongap.VMName("a-1"), dandeliongap.VMName("b-0"), dandeliongap.VMName("b-1")))
	})
	It("S5 grows at once in a burst of callers and shrinks later (otherwise VMs would be overloaded, or callers moved in every lull)", func() {
		var r dgroster.Roster
		all := tier(40, "a", "b", "c")
		calm := len(r.Choose(all, near))
		second := dandeliongap.Instant(time.Second)
		r.Update(second, 30000)
		burst := r.Choose(all, near)
		cores := 0.0
		for _, c := range all {
			if slices.Contains(burst, c.VM) {
				cores += c.Cores
			}
		}
		Expect(30000*dgroster.CoreSecondsPerAttempt/cores).To(BeNumerically("<", 0.3), "share of the processors in use")
		Expect(zonesOf(burst)).NotTo(HaveKey("c"), "while there are VMs left near the replicas")
		r.Update(3*second, 100)
		Expect(len(r.Choose(all, near))).To(BeNumerically(">", calm))
		r.Update(300*second, 100)
		Expect(r.Choose(all, near)).To(HaveLen(calm))
	})
	It("S6 has as hubs the VMs of the roster and those that replace them, at a number that does not grow with the tier", func() {
		var r dgroster.Roster
		noneLost := func(dandeliongap.VMName) bool { return false }
		for _, n := range []int{40, 120} {
			all := tier(n, "a", "b", "c", "d", "e")
			roster := r.Choose(all, near)
			hubs := r.Hubs(all, near, noneLost)
			Expect(hubs).To(HaveLen(20))
			for _, vm := range roster {
				Expect(hubs).To(ContainElement(vm))
			}
			gone := roster[0]
			Expect(hubs).To(ContainElements(r.Choose(without(all, func(c dgroster.Candidate) bool { return c.VM == gone }), near)))
			Expect(r.Hubs(all, near, func(vm dandeliongap.VMName) bool { return vm == gone })).To(And(HaveLen(20), Not(ContainElement(gone))))
		}
	})
	It("S6 has more hubs while the roster is larger", func() {
		var r dgroster.Roster
		r.Update(1, 50000)
		all := tier(40, "a", "b")
		roster := r.Choose(all, near)
		Expect(r.Hubs(all, near, func(dandeliongap.VMName) bool { return false })).To(ContainElements(roster))
	})
	It("S4 does not depend on the order in which a VM learns of the others (otherwise VMs would name different rosters)", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := tier(rapid.IntRange(0, 6).Draw(t, "per zone"), "a", "b", "c", "d")
			load := rapid.Float64Range(0, 1e5).Draw(t, "attempts per second")
			var r dgroster.Roster
			r.Update(1, load)
			want := r.Choose(all, near)
			if got := r.Choose(rapid.Permutation(all).Draw(t, "order"), near); !slices.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
			if len(want) < min(4, len(all)) {
				t.Fatalf("%d VMs of %d", len(want), len(all))
			}
			if n := len(zonesOf(want)); len(all) > 3 && n < 2 {
				t.Fatalf("VMs of %d zones", n)
			}
		})
	})
})

var _ = Describe("what the VMs share", func() {
	It("adds up to the whole allowance of extra requests at most, and most of it is on the roster", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := tier(rapid.IntRange(1, 12).Draw(t, "per zone"), "a", "b", "c", "d", "e")
			var r dgroster.Roster
			nominal := r.Choose(all, near)
			sum, onRoster := 0.0, 0.0
			for _, c := range all {
				share := dgroster.AllowanceShare(c.VM, nominal, len(all))
				sum += share
				if slices.Contains(nominal, c.VM) {
					onRoster += share
				}
			}
			if sum > 1+1e-9 || onRoster < 0.8-1e-9 {
				t.Fatalf("shares add up to %g, of VMs on the roster to %g", sum, onRoster)
			}
		})
	})
	It("divides the connections among at least half of the nominal roster (guards against VMs that are cut off from the others and use the connections of all)", func() {
		var r dgroster.Roster
		all := tier(12, "a", "b", "c", "d", "e")
		nominal := r.Choose(all, nil)
		alone := dgroster.ConnectionSharers(nominal[:1], nominal)
		Expect(alone).To(HaveLen((len(nominal) + 1) / 2))
		Expect(alone).To(ContainElement(nominal[0]))
		Expect(dgroster.ConnectionSharers(nominal, nominal)).To(Equal(nominal))
	})
})
