package dgmember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgmember"
	"dandeliongap.example/dandeliongap/dgrelay"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgmember")
}

// simulation drives the State of one VM and answers its calls in place of the
// platform and the other members.
type simulation struct {
	now         dandeliongap.Instant
	state       *dgmember.State
	list        dgrelay.MemberList
	listVersion dandeliongap.Version
	pending     []dgmember.Action // actions that perform did not answer
	peerTTL     time.Duration     // in the lease bodies of other members
	// reachesPlatform is what each other member reports about the platform.
	// Members without an entry do not answer exchanges.
	reachesPlatform map[dandeliongap.MemberID]bool
	platformUp      bool                 // renewals succeed
	leaseVersion    dandeliongap.Version // of the lease of the VM under test
}

func member(i int) dandeliongap.Member {
	name := fmt.Sprintf("vm%d", i)
	return dandeliongap.Member{
		ID: dandeliongap.MemberID(name + "-1"), VM: dandeliongap.VMName(name), CallerAddress: "127.0.0.1:1",
		PeerAddress: "127.0.0.1:2", State: dandeliongap.MemberLive,
	}
}

// newSimulation returns a simulation of VMs 0 to n-1 after 20 s without faults. VM 0
// is the one under test.
func newSimulation(n int) *simulation {
	sim := &simulation{reachesPlatform: map[dandeliongap.MemberID]bool{}, platformUp: true, listVersion: 1, leaseVersion: 1, peerTTL: 6 * time.Second}
	for i := range n {
		sim.list.Members = append(sim.list.Members, member(i))
		if i > 0 {
			sim.reachesPlatform[member(i).ID] = true
		}
	}
	dgrelay.SortByRank(sim.list.Members)
	sim.state = dgmember.New(0, member(0), rand.New(rand.NewPCG(1, 1)))
	sim.perform(sim.state.MembersAdopted(sim.now, sim.listVersion, true, sim.list, nil))
	sim.run(20 * time.Second)
	return sim
}

// perform answers renewals and appends all other actions to pending.
func (sim *simulation) perform(as []dgmember.Action) {
	for _, a := range as {
		switch {
		case a.Kind == dgmember.KindRenew && sim.platformUp:
			sim.leaseVersion++
			sim.perform(sim.state.RenewOK(sim.now, a.Lease.Attempt, sim.leaseVersion, nil))
		case a.Kind == dgmember.KindRenew:
			sim.perform(sim.state.RenewUnreachable(sim.now, a.Lease.Attempt, nil))
		default:
			sim.pending = append(sim.pending, a)
		}
	}
}

// run advances the time in steps of 100 ms. In each step all members in
// reachesPlatform answer an exchange.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.perform(sim.state.Tick(sim.now, nil))
		for id, reaches := range sim.reachesPlatform {
			sim.answerExchange(id, reaches, sim.listVersion)
		}
	}
}

// answerExchange reports an exchange with member id. The contact vector of the reply
// has only that member's own entry.
func (sim *simulation) answerExchange(id dandeliongap.MemberID, reaches bool, listVersion dandeliongap.Version) {
	ages := make([]byte, len(sim.list.Members))
	for i, m := range sim.list.Members {
		ages[i] = 127
		if m.ID == id && reaches {
			ages[i] = 0x80
		} else if m.ID == id {
			ages[i] = 0
		}
	}
	sim.perform(sim.state.ExchangeSucceeded(sim.now, dgmember.ExchangeAnswer{
		From: id, Sent: sim.now, ReachesPlatform: reaches, Contacts: dgmember.ContactVector{MembersVersion: listVersion, Ages: ages},
	}, nil))
}

// startOutage makes the platform unreachable for all VMs.
func (sim *simulation) startOutage() {
	sim.platformUp = false
	for id := range sim.reachesPlatform {
		sim.reachesPlatform[id] = false
	}
}

func (sim *simulation) hasRights() bool {
	_, ok := sim.state.Rights(sim.now)
	return ok
}

func (sim *simulation) actionsOfKind(k dgmember.Kind) (as []dgmember.Action) {
	for _, a := range sim.pending {
		if a.Kind == k {
			as = append(as, a)
		}
	}
	return as
}

// disconnect makes members stop answering exchanges.
func (sim *simulation) disconnect(ids ...int) {
	for _, i := range ids {
		delete(sim.reachesPlatform, member(i).ID)
	}
}

// runWithUnchangedLease runs for d while reads of leases always return the same
// version, and then checks that member i was not heard from recently.
func (sim *simulation) runWithUnchangedLease(i int, d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		sim.run(100 * time.Millisecond)
		as := sim.pending
		sim.pending = nil
		for _, a := range as {
			if a.Kind == dgmember.KindReadLease {
				lease := dgmember.Lease{Member: a.Member, Attempt: 1, TTL: sim.peerTTL}
				sim.perform(sim.state.SuspectLeaseRead(sim.now, a.Member, true, 77, lease, nil))
				continue
			}
			sim.pending = append(sim.pending, a)
		}
	}
	Expect(sim.state.Alive(sim.now, member(i).ID)).To(BeFalse())
}

// newGrownSimulation returns a simulation of the VMs 0 to 2 whose list grew by the
// VMs 3 to 7 while 1 and 2 were cut off.
func newGrownSimulation() *simulation {
	sim := newSimulation(3)
	l := dgrelay.MemberList{PriorLists: [][]dandeliongap.VMName{{"vm0", "vm1", "vm2"}}}
	for i := range 8 {
		l.Members = append(l.Members, member(i))
		sim.reachesPlatform[member(i).ID] = true
	}
	sim.disconnect(0, 1, 2)
	dgrelay.SortByRank(l.Members)
	sim.list, sim.listVersion = l, 2
	sim.perform(sim.state.MembersAdopted(sim.now, sim.listVersion, true, l, nil))
	return sim
}

var _ = Describe("lease", func() {
	It("M1: starts the TTL when the renewal is sent, not at its reply", func() {
		s := dgmember.New(0, member(0), rand.New(rand.NewPCG(1, 1)))
		as := s.Tick(0, nil)
		s.RenewOK(900*dandeliongap.Instant(time.Millisecond), as[0].Lease.Attempt, 5, nil)
		until, ok := s.Rights(dandeliongap.Instant(time.Second))
		Expect(ok).To(BeTrue())
		Expect(until).To(Equal(dandeliongap.Instant(6 * time.Second)))
		_, ok = s.Rights(until)
		Expect(ok).To(BeFalse())
	})
	It("M1: identifies an attempt whose reply was lost by reading back its number, and keeps the lease", func() {
		sim := newSimulation(3)
		sim.platformUp = false
		sim.reachesPlatform = nil
		sim.run(2 * time.Second)
		as := sim.state.RenewConflict(sim.now, 0, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Kind).To(Equal(dgmember.KindReadBack))
		old, _ := sim.state.Rights(sim.now)
		var actions []dgmember.Action
		sim.state.LeaseReadBack(sim.now, true, 99, dgmember.Lease{Member: member(0).ID, Attempt: 11}, nil)
		actions = sim.state.Tick(sim.now, nil)
		Expect(actions[0].Version).To(Equal(dandeliongap.Version(99)))
		until, ok := sim.state.Rights(sim.now)
		Expect(ok).To(BeTrue())
		Expect(until).To(BeNumerically(">=", old))
	})
	It("M2: keeps the rights during an outage of an hour and loses them within W of a partition", func() {
		sim := newSimulation(6)
		sim.startOutage()
		sim.run(time.Hour)
		Expect(sim.hasRights()).To(BeTrue())
		sim.disconnect(1, 2, 3)
		sim.run(dgmember.ContactWindow(6) + 200*time.Millisecond)
		Expect(sim.hasRights()).To(BeFalse())
		sim.reachesPlatform = map[dandeliongap.MemberID]bool{member(1).ID: false, member(2).ID: false, member(3).ID: false, member(4).ID: false}
		sim.run(time.Minute)
		Expect(sim.hasRights()).To(BeFalse(), "rights that have ended return only with a renewal")
	})
	It("M2: does not extend the rights while the other members reach the platform", func() {
		sim := newSimulation(6)
		sim.platformUp = false
		sim.run(20 * time.Second)
		Expect(sim.hasRights()).To(BeFalse())
	})
	It("M3: renews through a peer that reaches the platform", func() {
		sim := newSimulation(3)
		sim.platformUp = false
		var via []dgmember.Action
		for range 50 {
			sim.now = sim.now.Add(100 * time.Millisecond)
			for _, a := range sim.state.Tick(sim.now, nil) {
				if a.Via != "" {
					via = append(via, a)
				}
				sim.perform([]dgmember.Action{a})
			}
		}
		Expect(via).NotTo(BeEmpty())
		Expect(via[0].Rule).To(Equal(dgmember.M3))
	})
	It("M4: stops when its lease was deleted during a pause", func() {
		sim := newSimulation(3)
		sim.now = sim.now.Add(time.Minute)
		as := sim.state.Tick(sim.now, nil)
		Expect(as[0].Kind).To(Equal(dgmember.KindRenew))
		sim.state.RenewConflict(sim.now, as[0].Lease.Attempt, nil)
		as = sim.state.LeaseReadBack(sim.now, false, 0, dgmember.Lease{}, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Kind).To(Equal(dgmember.KindStopLost))
		Expect(sim.hasRights()).To(BeFalse())
	})
	It("M6: has no rights after a pause until a renewal sent afterwards succeeds", func() {
		sim := newSimulation(3)
		as := sim.state.Tick(sim.now.Add(1900*time.Millisecond), nil) // the gap counts as a pause
		sim.now = sim.now.Add(1900 * time.Millisecond)
		Expect(sim.hasRights()).To(BeFalse())
		sent := as[0].Lease.Attempt
		sim.state.RenewOK(sim.now, sent-1, 50, nil) // sent before the pause
		Expect(sim.hasRights()).To(BeFalse())
		sim.perform(sim.state.Tick(sim.now, nil))
		Expect(sim.hasRights()).To(BeTrue())
	})
	It("F3: stops when it was dropped from the list", func() {
		sim := newSimulation(3)
		l := dgrelay.MemberList{}
		for _, m := range sim.list.Members {
			if m.ID != member(0).ID {
				l.Members = append(l.Members, m)
			}
		}
		as := sim.state.MembersAdopted(sim.now, 2, true, l, nil)
		Expect(as[0].Kind).To(Equal(dgmember.KindStopLost))
	})
})

var _ = Describe("fencing", func() {
	It("F1: deletes a lease only after it has not changed for TTL + W + margin", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		sim.runWithUnchangedLease(4, 18*time.Second) // suspected after 3 s plus 1 s per lower rank
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(HaveLen(1))
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)[0].Version).To(Equal(dandeliongap.Version(77)))
		early := newSimulation(5)
		early.disconnect(4)
		early.runWithUnchangedLease(4, 12*time.Second)
		Expect(early.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F1: fences no member from a minority that reaches the platform", func() {
		sim := newSimulation(5)
		sim.disconnect(2, 3, 4)
		sim.runWithUnchangedLease(4, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F1: fences no member while a majority, which may have rights under M2, reports an outage", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		for id := range sim.reachesPlatform {
			sim.reachesPlatform[id] = false
		}
		sim.runWithUnchangedLease(4, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F2: reads the lease again when the holder renewed it before the deletion", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		sim.runWithUnchangedLease(4, 18*time.Second)
		sim.pending = nil
		sim.perform(sim.state.LeaseConflict(sim.now, member(4).ID, nil))
		sim.run(1100 * time.Millisecond)
		Expect(sim.actionsOfKind(dgmember.KindReadLease)).To(HaveLen(1))
		Expect(sim.actionsOfKind(dgmember.KindWriteMembers)).To(BeEmpty())
	})
	It("F3, F4: drops a member only once its lease is gone and names the replaced list", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		sim.runWithUnchangedLease(4, 18*time.Second)
		Expect(sim.actionsOfKind(dgmember.KindWriteMembers)).To(BeEmpty())
		sim.perform(sim.state.LeaseDeleted(sim.now, member(4).ID, nil))
		sim.run(6 * time.Second)
		w := sim.actionsOfKind(dgmember.KindWriteMembers)
		Expect(w).NotTo(BeEmpty())
		Expect(w[0].List.Members).To(HaveLen(4))
		Expect(w[0].List.PriorLists).To(Equal([][]dandeliongap.VMName{{"vm0", "vm1", "vm2", "vm3", "vm4"}}))
	})
	It("F4: fences no member with the help of members that a minority added", func() {
		sim := newGrownSimulation()
		sim.runWithUnchangedLease(1, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F4: extends no rights with the help of members that a minority added, as the earlier majority may fence", func() {
		sim := newGrownSimulation()
		sim.startOutage()
		sim.run(20 * time.Second)
		Expect(sim.hasRights()).To(BeFalse())
	})
	It("F1: waits for the TTL in the lease body when the holder had a larger list", func() {
		sim := newSimulation(5)
		sim.peerTTL = 18 * time.Second
		sim.disconnect(4)
		sim.runWithUnchangedLease(4, 18*time.Second)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("K1, F4: ignores reports under another version of the list", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		sim.listVersion = 9 // the other members have a list that this VM does not have
		sim.runWithUnchangedLease(4, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
})

var _ = Describe("contact", func() {
	It("K2: reports an outage for at least W + margin even if the platform recovers at once", func() {
		sim := newSimulation(3)
		Expect(sim.state.ReachesPlatform(sim.now)).To(BeTrue())
		for range 3 {
			sim.state.PlatformFailed(sim.now, nil)
		}
		sim.run(dgmember.ContactWindow(3))
		Expect(sim.state.ReachesPlatform(sim.now)).To(BeFalse())
		sim.run(dgmember.Margin + 3*time.Second)
		Expect(sim.state.ReachesPlatform(sim.now)).To(BeTrue())
	})
	It("K1: dates a reply by when its request was sent", func() {
		sim := newSimulation(3)
		sim.reachesPlatform = nil
		late := sim.now.Add(2900 * time.Millisecond)
		for sim.now < late {
			sim.run(100 * time.Millisecond)
		}
		ages := []byte{0x80, 0x80, 0x80}
		sim.state.ExchangeSucceeded(sim.now, dgmember.ExchangeAnswer{From: member(1).ID, Sent: late.Add(-2 * time.Second), Contacts: dgmember.ContactVector{MembersVersion: 1, Ages: ages}}, nil)
		for i, b := range sim.state.ContactVector(sim.now, nil).Ages {
			if sim.list.Members[i].ID != member(0).ID {
				Expect(b).To(Equal(byte(0x80 | 20)))
			}
		}
	})
	It("increases ages with time and rounds them up, so that no report is taken for newer than it is", func() {
		sim := newSimulation(3)
		sim.reachesPlatform = nil
		v := sim.state.ContactVector(sim.now.Add(950*time.Millisecond), nil)
		for i, m := range sim.list.Members {
			if m.ID != member(0).ID {
				Expect(v.Ages[i]).To(Equal(byte(0x80 | 10)))
			}
		}
	})
	It("6.5: serves while it hears from peers and stops after W without the platform and peers", func() {
		sim := newSimulation(6)
		sim.startOutage()
		sim.run(time.Minute)
		ok, _ := sim.state.Serving(sim.now)
		Expect(ok).To(BeTrue())
		sim.reachesPlatform = nil
		sim.run(dgmember.ContactWindow(6) + 200*time.Millisecond)
		ok, reason := sim.state.Serving(sim.now)
		Expect(ok).To(BeFalse())
		Expect(reason).To(Equal(dandeliongap.ReasonIsolated))
	})
	It("J1: writes the list itself when no other member adds this VM", func() {
		sim := newSimulation(3)
		sim.state = dgmember.New(sim.now, member(9), rand.New(rand.NewPCG(1, 1)))
		sim.perform(sim.state.MembersAdopted(sim.now, sim.listVersion, true, sim.list, nil))
		sim.run(10 * time.Second)
		Expect(sim.actionsOfKind(dgmember.KindExchange)).To(HaveLen(3))
		Expect(sim.actionsOfKind(dgmember.KindWriteMembers)).NotTo(BeEmpty())
	})
})

// BenchmarkMember measures one reply to an exchange, one tick and one contact vector
// by number of VMs. The capacity page uses the results.
func BenchmarkMember(b *testing.B) {
	for _, n := range []int{6, 152, 305, 610} {
		sim := newSimulation(n)
		ages := make([]byte, n)
		a := dgmember.ExchangeAnswer{From: member(1).ID, Contacts: dgmember.ContactVector{MembersVersion: sim.listVersion, Ages: ages}}
		step := func() { sim.now = sim.now.Add(time.Millisecond) }
		b.Run(fmt.Sprintf("exchanged/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				step()
				a.Sent = sim.now
				sim.state.ExchangeSucceeded(sim.now, a, nil)
			}
		})
		acts := make([]dgmember.Action, 0, 16)
		b.Run(fmt.Sprintf("tick/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				step()
				sim.perform(sim.state.Tick(sim.now, acts[:0]))
			}
		})
		b.Run(fmt.Sprintf("vector/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				sim.state.ContactVector(sim.now, ages[:0])
			}
		})
	}
}
