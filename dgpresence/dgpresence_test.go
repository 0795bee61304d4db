package dgpresence_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpresence"
)

func TestPresence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgpresence")
}

func at(d time.Duration) dandeliongap.Instant { return dandeliongap.Instant(d) }

var _ = Describe("View", func() {
	var v *dgpresence.View
	beat := func(boot int64, count uint64) []dgpresence.Heartbeat {
		return []dgpresence.Heartbeat{{VM: "b", Boot: boot, Count: count, Serving: true}}
	}
	alive := func(now time.Duration) bool {
		ok, _ := v.Present(at(now), "b")
		return ok
	}
	BeforeEach(func() { v = dgpresence.New("a", 1) })

	It("V1 loses a VM whose beat stops rising, also while others repeat it (guards against a directory that names a lost VM)", func() {
		v.Merge(at(0), beat(1, 1))
		Expect(alive(time.Second)).To(BeTrue())
		for t := time.Duration(0); t <= 2*time.Second; t += 100 * time.Millisecond {
			v.Merge(at(t), beat(1, 1))
		}
		Expect(alive(2 * time.Second)).To(BeFalse())
		v.Merge(at(2*time.Second), beat(1, 2))
		Expect(alive(2 * time.Second)).To(BeTrue())
	})
	It("V1 passes on only what is present (guards against beats of lost VMs that circle)", func() {
		v.Merge(at(0), beat(1, 1))
		Expect(v.Tick(at(100*time.Millisecond), dgpresence.LocalStatus{Serving: true})).To(HaveLen(2))
		Expect(v.Tick(at(2*time.Second), dgpresence.LocalStatus{Serving: true})[0].Count).To(BeEquivalentTo(2))
	})
	It("V2 ignores an earlier process of the same VM (guards against its late beats)", func() {
		v.Merge(at(0), beat(5, 1))
		v.Merge(at(2*time.Second), beat(4, 900))
		Expect(alive(2 * time.Second)).To(BeFalse())
		v.Merge(at(2*time.Second), beat(6, 1))
		Expect(alive(2 * time.Second)).To(BeTrue())
	})
	It("V3 does not lose all others after its own pause (guards against a directory with one name after a freeze)", func() {
		v.Tick(at(dgpresence.HeartbeatInterval), dgpresence.LocalStatus{Serving: true})
		v.Merge(at(dgpresence.HeartbeatInterval), beat(1, 1))
		v.Tick(at(6*time.Second), dgpresence.LocalStatus{Serving: true})
		Expect(alive(6 * time.Second)).To(BeTrue())
		Expect(alive(8 * time.Second)).To(BeFalse())
	})
	It("forgets a VM that was lost for long (guards against memory that grows with each replaced VM)", func() {
		v.Merge(at(0), beat(1, 1))
		for now := time.Duration(0); now <= time.Hour; now += dgpresence.HeartbeatInterval {
			v.Tick(at(now), dgpresence.LocalStatus{})
		}
		_, heard := v.Age(at(time.Hour), "b")
		Expect(heard).To(BeFalse())
	})
	It("takes no beat of itself from others", func() {
		v.Merge(at(0), []dgpresence.Heartbeat{{VM: "a", Boot: 9, Count: 9}, {}})
		Expect(v.Tick(at(0), dgpresence.LocalStatus{Serving: true})).To(HaveLen(1))
	})
})

// tier is n VMs in turn in three zones.
func tier(n int) []dandeliongap.EdgeMember {
	var out []dandeliongap.EdgeMember
	for i := range n {
		out = append(out, dandeliongap.EdgeMember{VM: dandeliongap.VMName(fmt.Sprint("vm-", i)), Zone: dandeliongap.ZoneName(fmt.Sprint("z", i%3))})
	}
	return out
}

var _ = Describe("SelectPeers", func() {
	rng := rand.New(rand.NewPCG(1, 1))
	It("V4 stay in the own zone but for one in a large tier (guards against traffic between zones that grows with the tier)", func() {
		seen := make(map[dandeliongap.VMName]bool)
		for range 300 {
			far := 0
			peers := dgpresence.SelectPeers(rng, "z0", tier(61))
			Expect(peers).To(HaveLen(3))
			for _, m := range peers {
				seen[m.VM] = true
				if m.Zone != "z0" {
					far++
				}
			}
			Expect(far).To(Equal(1))
		}
		Expect(seen).To(HaveLen(61), "every VM is reached in time")
	})
	It("V4 are as many where the own zone has too few", func() {
		Expect(dgpresence.SelectPeers(rng, "elsewhere", tier(61))).To(HaveLen(3))
		one := tier(61)
		for i := range one {
			one[i].Zone = "z0"
		}
		Expect(dgpresence.SelectPeers(rng, "z0", one)).To(HaveLen(3))
	})
	It("V4 are most of a small tier, wherever they are", func() {
		Expect(dgpresence.SelectPeers(rng, "z0", tier(5))).To(HaveLen(5))
		Expect(dgpresence.SelectPeers(rng, "z0", tier(11))).To(HaveLen(5))
		Expect(dgpresence.SelectPeers(rng, "z0", nil)).To(BeEmpty())
	})
})

// Guards against VMs of a large tier that are taken as lost since their beats come
// by way of others: the directory and the shares of all would change with each.
var _ = It("V1 and V4 keep all VMs of a tier present that is alive, and lose one that is not", func() {
	for _, n := range []int{6, 12, 62, 200} {
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		all := tier(n)
		views := make(map[dandeliongap.VMName]*dgpresence.View)
		for _, m := range all {
			views[m.VM] = dgpresence.New(m.VM, 1)
		}
		const rounds, dies = 100, 80
		for round := range rounds {
			now := at(time.Duration(round) * dgpresence.HeartbeatInterval)
			for i, m := range all {
				if i == 0 && round >= dies {
					continue
				}
				beats := views[m.VM].Tick(now, dgpresence.LocalStatus{Serving: true})
				for _, p := range dgpresence.SelectPeers(rng, m.Zone, append(slices.Clone(all[:i]), all[i+1:]...)) {
					views[p.VM].Merge(now, beats)
				}
			}
			if round < 20 { // until all have heard of all
				continue
			}
			for _, m := range all[1:] {
				for _, other := range all {
					alive, _ := views[m.VM].Present(now, other.VM)
					if other.VM != m.VM && other.VM != all[0].VM {
						Expect(alive).To(BeTrue(), "%d VMs, round %d: %s at %s", n, round, other.VM, m.VM)
					}
				}
			}
		}
		for _, m := range all[1:] {
			alive, _ := views[m.VM].Present(at(rounds*dgpresence.HeartbeatInterval), all[0].VM)
			Expect(alive).To(BeFalse())
		}
	}
})
