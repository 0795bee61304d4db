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
	heartbeat := func(boot int64, count uint64) []dgpresence.Heartbeat {
		return []dgpresence.Heartbeat{{VM: "b", Boot: boot, Count: count, Serving: true}}
	}
	alive := func(now time.Duration) bool {
		ok, _ := v.Present(at(now), "b")
		return ok
	}
	BeforeEach(func() { v = dgpresence.New("a", 1) })

	It("V1: takes a VM as lost when its counter stops, even if others still pass on its last heartbeat (otherwise the directory would send callers to a lost VM)", func() {
		v.Merge(at(0), heartbeat(1, 1))
		Expect(alive(time.Second)).To(BeTrue())
		for t := time.Duration(0); t <= 2*time.Second; t += 100 * time.Millisecond {
			v.Merge(at(t), heartbeat(1, 1))
		}
		Expect(alive(2 * time.Second)).To(BeFalse())
		v.Merge(at(2*time.Second), heartbeat(1, 2))
		Expect(alive(2 * time.Second)).To(BeTrue())
	})
	It("V1: passes on heartbeats of present VMs only (otherwise those of lost VMs would circulate for ever)", func() {
		v.Merge(at(0), heartbeat(1, 1))
		Expect(v.Tick(at(100*time.Millisecond), dgpresence.LocalStatus{Serving: true})).To(HaveLen(2))
		Expect(v.Tick(at(2*time.Second), dgpresence.LocalStatus{Serving: true})[0].Count).To(BeEquivalentTo(2))
	})
	It("V2: ignores late heartbeats of an earlier process of the same VM", func() {
		v.Merge(at(0), heartbeat(5, 1))
		v.Merge(at(2*time.Second), heartbeat(4, 900))
		Expect(alive(2 * time.Second)).To(BeFalse())
		v.Merge(at(2*time.Second), heartbeat(6, 1))
		Expect(alive(2 * time.Second)).To(BeTrue())
	})
	It("V3: does not take all others as lost after its own pause (otherwise its directory would name only itself)", func() {
		v.Tick(at(dgpresence.HeartbeatInterval), dgpresence.LocalStatus{Serving: true})
		v.Merge(at(dgpresence.HeartbeatInterval), heartbeat(1, 1))
		v.Tick(at(6*time.Second), dgpresence.LocalStatus{Serving: true})
		Expect(alive(6 * time.Second)).To(BeTrue())
		Expect(alive(8 * time.Second)).To(BeFalse())
	})
	It("removes a VM that was lost long ago (otherwise memory would grow with each replaced VM)", func() {
		v.Merge(at(0), heartbeat(1, 1))
		for now := time.Duration(0); now <= time.Hour; now += dgpresence.HeartbeatInterval {
			v.Tick(at(now), dgpresence.LocalStatus{})
		}
		_, found := v.Age(at(time.Hour), "b")
		Expect(found).To(BeFalse())
	})
	It("V8: holds a bounded number of VMs that are not registered, and all that are (guards against forged heartbeats that take the memory, or keep out VMs)", func() {
		name := func(i int) dandeliongap.VMName { return dandeliongap.VMName(fmt.Sprint("forged-", i)) }
		known := func() (n int) {
			for i := range 2 * dgpresence.MaxUnregistered {
				if ok, _ := v.Present(at(0), name(i)); ok {
					n++
				}
			}
			return n
		}
		for i := range 2 * dgpresence.MaxUnregistered {
			v.Merge(at(0), []dgpresence.Heartbeat{{VM: name(i), Boot: 1, Count: 1}})
		}
		Expect(known()).To(Equal(dgpresence.MaxUnregistered))
		v.Merge(at(0), heartbeat(1, 1))
		Expect(alive(0)).To(BeFalse())
		v.SetRegistered(map[dandeliongap.VMName]int64{"b": 1})
		v.Merge(at(0), heartbeat(1, 2))
		Expect(alive(0)).To(BeTrue())
		for t := time.Duration(0); t <= 11*time.Minute; t += dgpresence.HeartbeatInterval {
			v.Tick(at(t), dgpresence.LocalStatus{})
		}
		v.Merge(at(0), []dgpresence.Heartbeat{{VM: name(0), Boot: 2, Count: 1}})
		Expect(known()).To(Equal(1), "places of VMs that were lost long ago are free again")
	})
	It("V8: knows one process of a VM that is not registered (guards against forged heartbeats of more and more processes)", func() {
		v.Merge(at(0), heartbeat(1, 1))
		v.Merge(at(0), heartbeat(2, 1))
		_, first := v.VMOf(dgpresence.ProcessIDOf("b", 1))
		_, second := v.VMOf(dgpresence.ProcessIDOf("b", 2))
		Expect([]bool{first, second}).To(Equal([]bool{false, true}))
	})

	It("ignores its own heartbeats when others pass them on, and those without a name", func() {
		v.Merge(at(0), []dgpresence.Heartbeat{{VM: "a", Boot: 9, Count: 9}, {}})
		Expect(v.Tick(at(0), dgpresence.LocalStatus{Serving: true})).To(HaveLen(1))
	})
})

// tier returns n VMs, spread evenly over three zones.
func tier(n int) []dandeliongap.EdgeMember {
	var out []dandeliongap.EdgeMember
	for i := range n {
		out = append(out, dandeliongap.EdgeMember{VM: dandeliongap.VMName(fmt.Sprint("vm-", i)), Zone: dandeliongap.ZoneName(fmt.Sprint("z", i%3))})
	}
	return out
}

var _ = Describe("SelectPeers", func() {
	rng := rand.New(rand.NewPCG(1, 1))
	It("V4: selects one VM outside the own zone in a large tier (otherwise traffic between zones would grow with the tier)", func() {
		seen := make(map[dandeliongap.VMName]bool)
		for range 300 {
			otherZone := 0
			selected := dgpresence.SelectPeers(rng, "z0", tier(61))
			Expect(selected).To(HaveLen(3))
			for _, m := range selected {
				seen[m.VM] = true
				if m.Zone != "z0" {
					otherZone++
				}
			}
			Expect(otherZone).To(Equal(1))
		}
		Expect(seen).To(HaveLen(61), "every VM is selected at some time")
	})
	It("V4: selects three VMs even if the own zone or the other zones have too few", func() {
		Expect(dgpresence.SelectPeers(rng, "elsewhere", tier(61))).To(HaveLen(3))
		sameZone := tier(61)
		for i := range sameZone {
			sameZone[i].Zone = "z0"
		}
		Expect(dgpresence.SelectPeers(rng, "z0", sameZone)).To(HaveLen(3))
	})
	It("V4: selects up to five VMs of a small tier in any zone", func() {
		Expect(dgpresence.SelectPeers(rng, "z0", tier(5))).To(HaveLen(5))
		Expect(dgpresence.SelectPeers(rng, "z0", tier(11))).To(HaveLen(5))
		Expect(dgpresence.SelectPeers(rng, "z0", nil)).To(BeEmpty())
	})
})

// Guards against live VMs that are taken as lost in a large tier, where heartbeats
// arrive through other VMs. Each false loss would change the directory and the budget
// shares of all VMs.
var _ = DescribeTable("V1, V4: live VMs stay present in tiers of all sizes, and a stopped VM is taken as lost", func(short bool) {
	for _, n := range []int{6, 12, 62, 200} {
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		all := tier(n)
		views := make(map[dandeliongap.VMName]*dgpresence.View)
		boots := make(map[dandeliongap.VMName]int64)
		for _, m := range all {
			views[m.VM], boots[m.VM] = dgpresence.New(m.VM, 1), 1
		}
		for _, v := range views {
			v.SetRegistered(boots)
		}
		const rounds, stopRound = 100, 80
		for round := range rounds {
			now := at(time.Duration(round) * dgpresence.HeartbeatInterval)
			for i, m := range all {
				if i == 0 && round >= stopRound {
					continue
				}
				heartbeats := views[m.VM].Tick(now, dgpresence.LocalStatus{Serving: true})
				beat := views[m.VM].Beat(now)
				for _, p := range dgpresence.SelectPeers(rng, m.Zone, append(slices.Clone(all[:i]), all[i+1:]...)) {
					if short {
						views[p.VM].Receive(now, beat)
					} else {
						views[p.VM].Merge(now, heartbeats)
					}
				}
			}
			if round < 20 { // until all VMs know each other
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
},
	Entry("heartbeats in their long form", false),
	Entry("heartbeats in their short form", true),
)

// Guards against VMs that stand by and lose sight of the hubs, or name a lost hub for
// long, although each asks only one hub at a time.
var _ = It("V5: a VM that stands by knows the hubs that are present and notices a lost one", func() {
	for _, standbyCount := range []int{42, 175, 590} {
		rng := rand.New(rand.NewPCG(1, uint64(standbyCount)))
		hubs, standbys := tier(20), tier(standbyCount)
		for i := range standbys {
			standbys[i].VM = "standby-" + standbys[i].VM
		}
		views := make(map[dandeliongap.VMName]*dgpresence.View)
		boots := make(map[dandeliongap.VMName]int64)
		for _, m := range append(slices.Clone(hubs), standbys...) {
			views[m.VM], boots[m.VM] = dgpresence.New(m.VM, 1), 1
		}
		for _, v := range views {
			v.SetRegistered(boots)
		}
		const rounds, stopRound, pollRounds = 120, 80, int(dgpresence.PollInterval / dgpresence.HeartbeatInterval)
		lostBy := 0 // rounds after which every VM that stands by has noticed the lost hub
		for round := range rounds {
			now := at(time.Duration(round) * dgpresence.HeartbeatInterval)
			alive := hubs
			if round >= stopRound {
				alive = hubs[1:]
			}
			for i, m := range alive {
				views[m.VM].Tick(now, dgpresence.LocalStatus{Serving: true})
				beat := views[m.VM].Beat(now)
				for _, p := range dgpresence.SelectPeers(rng, m.Zone, append(slices.Clone(alive[:i]), alive[i+1:]...)) {
					views[p.VM].Receive(now, beat)
				}
			}
			for i, m := range standbys {
				v := views[m.VM]
				v.Tick(now, dgpresence.LocalStatus{Serving: true, Standby: true})
				if (round+i)%pollRounds == 0 {
					hub, _ := dgpresence.SelectHub(i+round/pollRounds, m.Zone, slices.Clone(hubs))
					if round >= stopRound && hub.VM == hubs[0].VM {
						continue // no reply
					}
					replies, _ := views[hub.VM].Receive(now, v.Question(now))
					for _, reply := range replies {
						v.Receive(now, reply)
					}
				}
				if round < 20 {
					continue
				}
				for j, h := range hubs {
					present, _ := v.Present(now, h.VM)
					if j > 0 || round < stopRound {
						Expect(present).To(BeTrue(), "%d VMs stand by, round %d: %s at %s", standbyCount, round, h.VM, m.VM)
					} else if present {
						lostBy = round - stopRound + 1
					}
				}
			}
		}
		Expect(time.Duration(lostBy)*dgpresence.HeartbeatInterval).To(BeNumerically("<=", 2700*time.Millisecond), "as fast as with heartbeats of all to all")
	}
})

var _ = Describe("a reply to a VM that stands by", func() {
	var v *dgpresence.View
	hub := func(name string, count uint64) dgpresence.Heartbeat {
		return dgpresence.Heartbeat{VM: dandeliongap.VMName(name), Boot: 1, Count: count, Serving: true}
	}
	present := func(now time.Duration, name string) bool {
		ok, _ := v.Present(at(now), dandeliongap.VMName(name))
		return ok
	}
	BeforeEach(func() {
		v = dgpresence.New("s", 1)
		v.Tick(at(0), dgpresence.LocalStatus{Standby: true})
		v.MergeReply(at(0), []dgpresence.Heartbeat{hub("a", 1), hub("b", 1), hub("c", 1), hub("d", 1)})
	})
	It("V5: ends the presence of a hub that it lacks", func() {
		v.MergeReply(at(time.Second), []dgpresence.Heartbeat{hub("a", 2), hub("b", 1), hub("c", 1)})
		Expect(present(time.Second, "d")).To(BeFalse())
		Expect(present(time.Second, "c")).To(BeTrue())
	})
	It("V5: of a hub that has just started ends no presence (guards against a directory that names only that hub)", func() {
		v.MergeReply(at(time.Second), []dgpresence.Heartbeat{hub("a", 2)})
		Expect(present(time.Second, "d")).To(BeTrue())
	})
})
