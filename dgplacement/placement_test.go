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

// applyPlan makes a plan from in and returns in with the planned rows as the next
// version of the table, and the decisions.
func applyPlan(in dgplacement.Input) (dgplacement.Input, []dgplacement.Decision) {
	rows, ds := dgplacement.Plan(planTime, in)
	in.Table = dgrelay.PlacementTable{Rows: rows, MembersVersion: in.MembersVersion, ConfigVersion: in.ConfigVersion}
	in.TableVersion++
	return in, ds
}

const planTime = dandeliongap.Instant(time.Hour)

// plannedInput returns the input after a first plan for n members.
func plannedInput(n, leaves, replicas int) dgplacement.Input {
	in, _ := applyPlan(dgplacement.Input{Deployment: deployment(leaves, replicas), ConfigVersion: 1, Members: members(n), MembersVersion: 1})
	return in
}

func rowsPerOwner(rows []dandeliongap.Placement) map[dandeliongap.MemberID]int {
	counts := map[dandeliongap.MemberID]int{}
	for _, r := range rows {
		counts[r.Owner]++
	}
	return counts
}

var _ = Describe("plan", func() {
	It("L2, L3: balances the rows within zones, gives the replicas of a leaf different owners, and is stable and deterministic", func() {
		in := plannedInput(6, 57, 2)
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
		for _, n := range rowsPerOwner(in.Table.Rows) {
			Expect(n).To(BeNumerically("~", 19, 4))
		}
		_, ds := applyPlan(in)
		Expect(ds).To(BeEmpty())
		Expect(plannedInput(6, 57, 2).Table.Rows).To(Equal(in.Table.Rows))
	})
	It("L3: a leaf whose zone has one member gets a second owner in another zone and keeps it", func() {
		d := deployment(1, 2)
		for i := range d.Services["leaf000"].Replicas {
			d.Services["leaf000"].Replicas[i].Zone = "a"
		}
		in, _ := applyPlan(dgplacement.Input{Deployment: d, ConfigVersion: 1, Members: members(3), MembersVersion: 1})
		Expect(rowsPerOwner(in.Table.Rows)).To(HaveLen(2))
		_, ds := applyPlan(in)
		Expect(ds).To(BeEmpty())
	})
	DescribeTable("L4: when a member leaves, only its rows move; when one joins, about its even share moves to it",
		func(n, leaves int) {
			in := plannedInput(n, leaves, 2)
			member := in.Members[1]
			share := rowsPerOwner(in.Table.Rows)[member.ID]
			in.Members = append(append([]dandeliongap.Member{}, in.Members[:1]...), in.Members[2:]...)
			in.MembersVersion++
			afterLeave, ds := applyPlan(in)
			Expect(ds).To(HaveLen(share))
			for _, d := range ds {
				Expect(d.From).To(Equal(member.ID))
			}
			member.ID = "vm999"
			afterLeave.Members = append(afterLeave.Members, member)
			afterLeave.MembersVersion++
			afterJoin, ds := applyPlan(afterLeave)
			Expect(len(ds)).To(BeNumerically("~", 2*leaves/n, 1+leaves/n))
			for _, d := range ds {
				Expect(d.To).To(Equal(member.ID))
			}
			_, ds = applyPlan(afterJoin)
			Expect(ds).To(BeEmpty())
		},
		Entry("Kelani", 6, 57), Entry("610 VMs", 610, 1250),
	)
	It("L4: no row moves twice within 2 s unless its owner is gone", func() {
		in := plannedInput(6, 57, 2)
		in.Moves = &dgplacement.Moves{}
		in.Moves.Observe(planTime, in.Table.Rows)
		in.Members[0].State = dandeliongap.MemberLeaving
		_, ds := applyPlan(in)
		Expect(ds).To(BeEmpty())
		in.Members = in.Members[1:]
		in.MembersVersion++
		_, ds = applyPlan(in)
		Expect(ds).NotTo(BeEmpty())
	})
	It("L5: a replica that is removed and added again keeps its former owner and gets a higher epoch", func() {
		in := plannedInput(3, 2, 2)
		old := in.Table.Rows[0]
		full, smaller := in.Deployment, deployment(2, 2)
		delete(smaller.Services, "leaf000")
		in.Deployment, in.ConfigVersion = smaller, 2
		in, _ = applyPlan(in)
		Expect(in.Table.Rows[0].Owner).To(BeEmpty())
		Expect(in.Table.Rows[0].Former).To(ContainElement(old.Owner))
		in.Deployment, in.ConfigVersion = full, 3
		in, _ = applyPlan(in)
		Expect(in.Table.Rows[0].Former).To(ContainElement(old.Owner))
		Expect(in.Table.Rows[0].Epoch).To(BeNumerically(">", old.Epoch+1))

		last := in.Table.Rows[0].Epoch
		in.Deployment, in.ConfigVersion = smaller, 4
		in, _ = applyPlan(in)
		in.Members, in.MembersVersion = members(6)[3:], 2 // drops all former owners
		in, _ = applyPlan(in)
		Expect(in.Table.Rows[0].Replica).NotTo(Equal(old.Replica))
		in.Deployment, in.ConfigVersion = full, 5
		in, _ = applyPlan(in)
		Expect(in.Table.Rows[0].Epoch).To(BeNumerically(">", last))
	})
	It("L9: does not plan from an older member list or after the table was deleted", func() {
		in := plannedInput(6, 4, 2)
		in.Members, in.MembersVersion = in.Members[:2], 0
		_, ds := applyPlan(in)
		Expect(ds).To(BeEmpty())
		in.MembersVersion, in.Table = 5, dgrelay.PlacementTable{}
		_, ds = applyPlan(in)
		Expect(ds).To(BeEmpty())
	})
})

var _ = Describe("holdings", func() {
	var h *dgplacement.Holdings
	table := func(owner dandeliongap.MemberID, epoch dandeliongap.Epoch, former ...dandeliongap.MemberID) dgrelay.PlacementTable {
		return dgrelay.PlacementTable{MembersVersion: 2, Rows: []dandeliongap.Placement{{Replica: "r", Owner: owner, Epoch: epoch, Former: former}}}
	}
	memberList := []dandeliongap.Member{{ID: "x"}, {ID: "y"}}
	holds := func() bool { _, ok := h.Holds("r"); return ok }
	BeforeEach(func() { h = dgplacement.NewHoldings("x", rand.New(rand.NewPCG(1, 1))) })

	It("L6: waits for the release by a former owner and repeats the request after a failure", func() {
		h.MembersAdopted(0, 2, memberList, nil)
		h.TableAdopted(0, 1, table("x", 5, "y"), nil)
		Expect(holds()).To(BeFalse())
		Expect(h.Tick(0, nil)).To(HaveLen(1))
		h.ReleaseFailed(0, "y", "r", 5, nil)
		Expect(h.Tick(h.Next(0), nil)).To(HaveLen(1))
		h.ReleaseAnswered(0, "y", "r", 4, true, dgplacement.GateState{}, nil) // a late reply, for an older epoch
		Expect(holds()).To(BeFalse())
		as := h.ReleaseAnswered(0, "y", "r", 5, true, dgplacement.GateState{Limit: 3}, nil)
		Expect(as).To(Equal([]dgplacement.Action{{
			Kind: dgplacement.KindGrant, Rule: dgplacement.L6, Replica: "r", Epoch: 5, StateKnown: true, State: dgplacement.GateState{Limit: 3},
		}}))
	})
	It("L6: does not treat a former owner as dropped because it is missing from a member list older than that of the table", func() {
		h.MembersAdopted(0, 1, []dandeliongap.Member{{ID: "x"}}, nil)
		h.TableAdopted(0, 1, table("x", 5, "y"), nil)
		Expect(holds()).To(BeFalse())
		h.MembersAdopted(0, 2, memberList, nil)
		Expect(holds()).To(BeFalse())
	})
	It("L8: grants the replica as cold after its former owner was dropped", func() {
		h.MembersAdopted(0, 2, memberList, nil)
		h.TableAdopted(0, 1, table("x", 5, "y"), nil)
		as := h.MembersAdopted(0, 3, memberList[:1], nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].StateKnown).To(BeFalse())
		Expect(as[0].Rule).To(Equal(dgplacement.L8))
	})
	It("L7: answers a release request only when drained, and never sends under that epoch again", func() {
		h.MembersAdopted(0, 2, memberList, nil)
		h.TableAdopted(0, 1, table("x", 5), nil)
		Expect(holds()).To(BeTrue())
		as := h.ReleaseRequested(0, "y", "x", "r", 6, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Kind).To(Equal(dgplacement.KindRevoke))
		Expect(holds()).To(BeFalse())
		as = h.Drained(0, "r", dgplacement.GateState{Limit: 2}, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Released && as[0].StateKnown).To(BeTrue())
		h.TableAdopted(0, 2, table("x", 6), nil) // a table that arrives after the release request
		Expect(holds()).To(BeFalse())
		h.TableAdopted(0, 3, table("x", 7), nil)
		Expect(holds()).To(BeTrue())
	})
	It("L7: answers at once for a replica that it never held, and does not send under that epoch later", func() {
		h.MembersAdopted(0, 2, memberList, nil)
		as := h.ReleaseRequested(0, "y", "x", "r", 6, nil)
		Expect(as[0].Kind).To(Equal(dgplacement.KindAnswerRelease))
		h.TableAdopted(0, 1, table("x", 6), nil)
		Expect(holds()).To(BeFalse())
	})
	It("L7: does not release on behalf of another incarnation", func() {
		as := h.ReleaseRequested(0, "y", "x-old", "r", 6, nil)
		Expect(as[0].Released).To(BeFalse())
	})
})

func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ vms, leaves int }{{6, 57}, {152, 1250}, {305, 1250}, {610, 312}, {610, 625}, {610, 1250}} {
		in := plannedInput(c.vms, c.leaves, 2)
		b.Run(fmt.Sprintf("idle/vms=%d/replicas=%d", c.vms, 2*c.leaves), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				dgplacement.Plan(planTime, in)
			}
		})
		left := in
		left.Members, left.MembersVersion = in.Members[1:], 2
		b.Run(fmt.Sprintf("leave/vms=%d/replicas=%d", c.vms, 2*c.leaves), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				dgplacement.Plan(planTime, left)
			}
		})
	}
	for _, leaves := range []int{312, 625, 1250} {
		t := plannedInput(610, leaves, 2).Table
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
				h.TableAdopted(planTime, version, t, nil)
			}
		})
	}
	first := plannedInput(610, 1250, 2)
	first.Table, first.TableVersion = dgrelay.PlacementTable{}, 0
	b.Run("first/vms=610/replicas=2500", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			dgplacement.Plan(planTime, first)
		}
	})
}
