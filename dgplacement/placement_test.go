package dgplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgplacement"
	"dandeliongap.example/dandeliongap/dgrelay"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgplacement")
}

func members(n int) (ms []dandeliongap.Member) {
	for i := range n {
		id := dandeliongap.MemberID(fmt.Sprintf("vm%03d", i))
		ms = append(ms, dandeliongap.Member{ID: id, Zone: zoneNames[i%len(zoneNames)], State: dandeliongap.MemberLive})
	}
	return ms
}

// plan applies a plan as the next version of the table.
func plan(in dgplacement.Input) (dgplacement.Input, []dgplacement.Decision) {
	rows, ds := dgplacement.Plan(time1, in)
	in.Table = dgrelay.PlacementTable{Rows: rows, MembersVersion: in.MembersVersion, ConfigVersion: in.ConfigVersion}
	in.TableVersion++
	return in, ds
}

const time1 = dandeliongap.Instant(time.Hour)

func planned(n, leaves, replicas int) dgplacement.Input {
	in, _ := plan(dgplacement.Input{Deployment: deployment(leaves, replicas), ConfigVersion: 1, Members: members(n), MembersVersion: 1})
	return in
}

func loads(rows []dandeliongap.Placement) map[dandeliongap.MemberID]int {
	l := map[dandeliongap.MemberID]int{}
	for _, r := range rows {
		l[r.Owner]++
	}
	return l
}

var _ = Describe("plan", func() {
	It("L2, L3: balances, keeps owners in the zone and apart, and is stable and deterministic", func() {
		in := planned(6, 57, 2)
		zone := map[dandeliongap.MemberID]dandeliongap.ZoneName{}
		for _, m := range in.Members {
			zone[m.ID] = m.Zone
		}
		for i, r := range in.Table.Rows {
			Expect(zone[r.Owner]).To(Equal(in.Deployment.Replica(r.Replica).Zone))
			if i%2 == 1 {
				Expect(r.Owner).NotTo(Equal(in.Table.Rows[i-1].Owner))
			}
		}
		for _, n := range loads(in.Table.Rows) {
			Expect(n).To(BeNumerically("~", 19, 4))
		}
		_, ds := plan(in)
		Expect(ds).To(BeEmpty())
		Expect(planned(6, 57, 2).Table.Rows).To(Equal(in.Table.Rows))
	})
	It("L3: a leaf whose zone has one VM gets a second owner elsewhere, and keeps it", func() {
		d := deployment(1, 2)
		for i := range d.Services["leaf000"].Replicas {
			d.Services["leaf000"].Replicas[i].Zone = "a"
		}
		in, _ := plan(dgplacement.Input{Deployment: d, ConfigVersion: 1, Members: members(3), MembersVersion: 1})
		Expect(loads(in.Table.Rows)).To(HaveLen(2))
		_, ds := plan(in)
		Expect(ds).To(BeEmpty())
	})
	DescribeTable("L4: a leave moves the rows of that VM, a join about its even share, and nothing else",
		func(n, leaves int) {
			in := planned(n, leaves, 2)
			gone := in.Members[1]
			share := loads(in.Table.Rows)[gone.ID]
			in.Members = append(append([]dandeliongap.Member{}, in.Members[:1]...), in.Members[2:]...)
			in.MembersVersion++
			left, ds := plan(in)
			Expect(ds).To(HaveLen(share))
			for _, d := range ds {
				Expect(d.From).To(Equal(gone.ID))
			}
			gone.ID = "vm999"
			left.Members = append(left.Members, gone)
			left.MembersVersion++
			joined, ds := plan(left)
			Expect(len(ds)).To(BeNumerically("~", 2*leaves/n, 1+leaves/n))
			for _, d := range ds {
				Expect(d.To).To(Equal(gone.ID))
			}
			_, ds = plan(joined)
			Expect(ds).To(BeEmpty())
		},
		Entry("Kelani", 6, 57), Entry("610 VMs", 610, 1250),
	)
	It("L4: no row moves twice within 2 s unless its owner is gone", func() {
		in := planned(6, 57, 2)
		in.Moves = &dgplacement.Moves{}
		in.Moves.Observe(time1, in.Table.Rows)
		in.Members[0].State = dandeliongap.MemberLeaving
		_, ds := plan(in)
		Expect(ds).To(BeEmpty())
		in.Members = in.Members[1:]
		in.MembersVersion++
		_, ds = plan(in)
		Expect(ds).NotTo(BeEmpty())
	})
	It("L5: a replica that is removed and comes back keeps its former owner and gets a higher epoch", func() {
		in := planned(3, 2, 2)
		old := in.Table.Rows[0]
		full, smaller := in.Deployment, deployment(2, 2)
		delete(smaller.Services, "leaf000")
		in.Deployment, in.ConfigVersion = smaller, 2
		in, _ = plan(in)
		Expect(in.Table.Rows[0].Owner).To(BeEmpty())
		Expect(in.Table.Rows[0].Former).To(ContainElement(old.Owner))
		in.Deployment, in.ConfigVersion = full, 3
		in, _ = plan(in)
		Expect(in.Table.Rows[0].Former).To(ContainElement(old.Owner))
		Expect(in.Table.Rows[0].Epoch).To(BeNumerically(">", old.Epoch+1))

		last := in.Table.Rows[0].Epoch
		in.Deployment, in.ConfigVersion = smaller, 4
		in, _ = plan(in)
		in.Members, in.MembersVersion = members(6)[3:], 2 // all former owners are dropped
		in, _ = plan(in)
		Expect(in.Table.Rows[0].Replica).NotTo(Equal(old.Replica))
		in.Deployment, in.ConfigVersion = full, 5
		in, _ = plan(in)
		Expect(in.Table.Rows[0].Epoch).To(BeNumerically(">", last))
	})
	It("L9: does not plan with an older list, and not after the table was deleted", func() {
		in := planned(6, 4, 2)
		in.Members, in.MembersVersion = in.Members[:2], 0
		_, ds := plan(in)
		Expect(ds).To(BeEmpty())
		in.MembersVersion, in.Table = 5, dgrelay.PlacementTable{}
		_, ds = plan(in)
		Expect(ds).To(BeEmpty())
	})
})

var _ = Describe("holdings", func() {
	var h *dgplacement.Holdings
	table := func(owner dandeliongap.MemberID, epoch dandeliongap.Epoch, former ...dandeliongap.MemberID) dgrelay.PlacementTable {
		return dgrelay.PlacementTable{MembersVersion: 2, Rows: []dandeliongap.Placement{{Replica: "r", Owner: owner, Epoch: epoch, Former: former}}}
	}
	list := []dandeliongap.Member{{ID: "x"}, {ID: "y"}}
	holds := func() bool { _, ok := h.Holds("r"); return ok }
	BeforeEach(func() { h = dgplacement.NewHoldings("x", rand.New(rand.NewPCG(1, 1))) })

	It("L6: waits for the release of a former owner and asks again after a failure", func() {
		h.MembersAdopted(0, 2, list, nil)
		h.TableAdopted(0, 1, table("x", 5, "y"), nil)
		Expect(holds()).To(BeFalse())
		Expect(h.Tick(0, nil)).To(HaveLen(1))
		h.ReleaseFailed(0, "y", "r", 5, nil)
		Expect(h.Tick(h.Next(0), nil)).To(HaveLen(1))
		h.ReleaseAnswered(0, "y", "r", 4, true, dgplacement.GateState{}, nil) // late, for an older epoch
		Expect(holds()).To(BeFalse())
		as := h.ReleaseAnswered(0, "y", "r", 5, true, dgplacement.GateState{Limit: 3}, nil)
		Expect(as).To(Equal([]dgplacement.Action{{
			Kind: dgplacement.KindGrant, Rule: dgplacement.L6, Replica: "r", Epoch: 5, StateKnown: true, State: dgplacement.GateState{Limit: 3},
		}}))
	})
	It("L6: does not take a former owner for dropped that its lagging list does not have yet", func() {
		h.MembersAdopted(0, 1, []dandeliongap.Member{{ID: "x"}}, nil)
		h.TableAdopted(0, 1, table("x", 5, "y"), nil)
		Expect(holds()).To(BeFalse())
		h.MembersAdopted(0, 2, list, nil)
		Expect(holds()).To(BeFalse())
	})
	It("L8: sends after a former owner was dropped, as to a cold replica", func() {
		h.MembersAdopted(0, 2, list, nil)
		h.TableAdopted(0, 1, table("x", 5, "y"), nil)
		as := h.MembersAdopted(0, 3, list[:1], nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].StateKnown).To(BeFalse())
		Expect(as[0].Rule).To(Equal(dgplacement.L8))
	})
	It("L7: answers a release only when drained, and never sends under that epoch again", func() {
		h.MembersAdopted(0, 2, list, nil)
		h.TableAdopted(0, 1, table("x", 5), nil)
		Expect(holds()).To(BeTrue())
		as := h.ReleaseRequested(0, "y", "x", "r", 6, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Kind).To(Equal(dgplacement.KindRevoke))
		Expect(holds()).To(BeFalse())
		as = h.Drained(0, "r", dgplacement.GateState{Limit: 2}, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Released && as[0].StateKnown).To(BeTrue())
		h.TableAdopted(0, 2, table("x", 6), nil) // a table that it sees late
		Expect(holds()).To(BeFalse())
		h.TableAdopted(0, 3, table("x", 7), nil)
		Expect(holds()).To(BeTrue())
	})
	It("L7: answers at once for a replica that it never held, and the answer is a promise", func() {
		h.MembersAdopted(0, 2, list, nil)
		as := h.ReleaseRequested(0, "y", "x", "r", 6, nil)
		Expect(as[0].Kind).To(Equal(dgplacement.KindAnswerRelease))
		h.TableAdopted(0, 1, table("x", 6), nil)
		Expect(holds()).To(BeFalse())
	})
	It("L7: does not release for another incarnation", func() {
		as := h.ReleaseRequested(0, "y", "x-old", "r", 6, nil)
		Expect(as[0].Released).To(BeFalse())
	})
})

func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ vms, leaves int }{{6, 57}, {152, 1250}, {305, 1250}, {610, 312}, {610, 625}, {610, 1250}} {
		in := planned(c.vms, c.leaves, 2)
		b.Run(fmt.Sprintf("idle/vms=%d/replicas=%d", c.vms, 2*c.leaves), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				dgplacement.Plan(time1, in)
			}
		})
		left := in
		left.Members, left.MembersVersion = in.Members[1:], 2
		b.Run(fmt.Sprintf("leave/vms=%d/replicas=%d", c.vms, 2*c.leaves), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				dgplacement.Plan(time1, left)
			}
		})
	}
	for _, leaves := range []int{312, 625, 1250} {
		t := planned(610, leaves, 2).Table
		body, err := dgrelay.EncodePlacementTable(t)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("decode/replicas=%d", 2*leaves), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(body)), "body-bytes")
			for b.Loop() {
				if _, err := dgrelay.DecodePlacementTable(body); err != nil {
					b.Fatal(err)
				}
			}
		})
		h := dgplacement.NewHoldings("vm001", rand.New(rand.NewPCG(1, 1)))
		version := dandeliongap.Version(0)
		b.Run(fmt.Sprintf("holdings/replicas=%d", 2*leaves), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				version++
				h.TableAdopted(time1, version, t, nil)
			}
		})
	}
	first := planned(610, 1250, 2)
	first.Table, first.TableVersion = dgrelay.PlacementTable{}, 0
	b.Run("first/vms=610/replicas=2500", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			dgplacement.Plan(time1, first)
		}
	})
}
