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

// simulation is one VM under test and the list that it is in.
type simulation struct {
	now         dandeliongap.Instant
	state       *dgmember.State
	list        dgrelay.MemberList
	listVersion dandeliongap.Version
	pending     []dgmember.Action
	peerTTL     time.Duration // in the lease bodies of others
	// reachesPlatform is what each other member reports; members that are missing do not
	// answer exchanges.
	reachesPlatform map[dandeliongap.MemberID]bool
	platformUp      bool // renewals succeed
	leaseVersion    dandeliongap.Version
}

func member(i int) dandeliongap.Member {
	name := fmt.Sprintf("vm%d", i)
	return dandeliongap.Member{
		ID: dandeliongap.MemberID(name + "-1"), VM: dandeliongap.VMName(name), CallerAddress: "127.0.0.1:1",
		PeerAddress: "127.0.0.1:2", State: dandeliongap.MemberLive,
	}
}

// newSimulation has VMs 0 to n-1; VM 0 is the one under test.
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

// perform answers renewals and keeps all other actions.
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

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.perform(sim.state.Tick(sim.now, nil))
		for id, reaches := range sim.reachesPlatform {
			sim.answerExchange(id, reaches, sim.listVersion)
		}
	}
}

// answerExchange is an exchange whose answerExchange only knows of the member that gives it.
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

// disconnect stops the answers of members.
func (sim *simulation) disconnect(ids ...int) {
	for _, i := range ids {
		delete(sim.reachesPlatform, member(i).ID)
	}
}

// runWithUnchangedLease lets the suspect be read with a version that stays the same.
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

// newGrownSimulation has three VMs, 0 to 2, and 3 to 7 that joined since; 1 and 2 are cut
// off.
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
	It("M1: counts from the time before the renewal was sent, not from the answer", func() {
		s := dgmember.New(0, member(0), rand.New(rand.NewPCG(1, 1)))
		as := s.Tick(0, nil)
		s.RenewOK(900*dandeliongap.Instant(time.Millisecond), as[0].Lease.Attempt, 5, nil)
		until, ok := s.Rights(dandeliongap.Instant(time.Second))
		Expect(ok).To(BeTrue())
		Expect(until).To(Equal(dandeliongap.Instant(6 * time.Second)))
		_, ok = s.Rights(until)
		Expect(ok).To(BeFalse())
	})
	It("M1: a lost answer is read back by the number in the body and does not end the lease", func() {
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
	It("M2: an outage of an hour keeps the rights, and a partition then ends them within W", func() {
		sim := newSimulation(6)
		sim.startOutage()
		sim.run(time.Hour)
		Expect(sim.hasRights()).To(BeTrue())
		sim.disconnect(1, 2, 3)
		sim.run(dgmember.ContactWindow(6) + 200*time.Millisecond)
		Expect(sim.hasRights()).To(BeFalse())
		sim.reachesPlatform = map[dandeliongap.MemberID]bool{member(1).ID: false, member(2).ID: false, member(3).ID: false, member(4).ID: false}
		sim.run(time.Minute)
		Expect(sim.hasRights()).To(BeFalse(), "rights that ended come back only by a renewal")
	})
	It("M2: members that reach the platform do not keep up the rights of one that does not", func() {
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
	It("M4: stops as lost when the lease was deleted while the VM was paused", func() {
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
	It("M6: a pause ends the rights until a renewal that was sent afterwards", func() {
		sim := newSimulation(3)
		as := sim.state.Tick(sim.now.Add(1900*time.Millisecond), nil) // the gap is a pause
		sim.now = sim.now.Add(1900 * time.Millisecond)
		Expect(sim.hasRights()).To(BeFalse())
		sent := as[0].Lease.Attempt
		sim.state.RenewOK(sim.now, sent-1, 50, nil) // sent before the pause
		Expect(sim.hasRights()).To(BeFalse())
		sim.perform(sim.state.Tick(sim.now, nil))
		Expect(sim.hasRights()).To(BeTrue())
	})
	It("F3: stops as lost when it was dropped from the list", func() {
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
	It("F1: deletes a lease that did not change for TTL + W + margin, and not sooner", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		sim.runWithUnchangedLease(4, 18*time.Second) // suspected after 3 s and 1 s per lower rank
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(HaveLen(1))
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)[0].Version).To(Equal(dandeliongap.Version(77)))
		early := newSimulation(5)
		early.disconnect(4)
		early.runWithUnchangedLease(4, 12*time.Second)
		Expect(early.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F1: a minority fences nobody, though it reaches the platform", func() {
		sim := newSimulation(5)
		sim.disconnect(2, 3, 4)
		sim.runWithUnchangedLease(4, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F1: does not fence with a majority that does not reach the platform and may be under M2", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		for id := range sim.reachesPlatform {
			sim.reachesPlatform[id] = false
		}
		sim.runWithUnchangedLease(4, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F2: a holder that renewed first is observed anew", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		sim.runWithUnchangedLease(4, 18*time.Second)
		sim.pending = nil
		sim.perform(sim.state.LeaseConflict(sim.now, member(4).ID, nil))
		sim.run(1100 * time.Millisecond)
		Expect(sim.actionsOfKind(dgmember.KindReadLease)).To(HaveLen(1))
		Expect(sim.actionsOfKind(dgmember.KindWriteMembers)).To(BeEmpty())
	})
	It("F3: drops a member only once its lease is gone, and F4: names the list before", func() {
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
	It("F4: new members that a minority added do not make it a majority", func() {
		sim := newGrownSimulation()
		sim.runWithUnchangedLease(1, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F4: nor do they keep up rights under M2 that the majority of the list before may fence", func() {
		sim := newGrownSimulation()
		sim.startOutage()
		sim.run(20 * time.Second)
		Expect(sim.hasRights()).To(BeFalse())
	})
	It("F1: waits for the TTL in the body of a holder whose list was larger", func() {
		sim := newSimulation(5)
		sim.peerTTL = 18 * time.Second
		sim.disconnect(4)
		sim.runWithUnchangedLease(4, 18*time.Second)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("K1, F4: reports under another version of the list do not count", func() {
		sim := newSimulation(5)
		sim.disconnect(4)
		sim.listVersion = 9 // the others have a list that this VM has not seen
		sim.runWithUnchangedLease(4, time.Minute)
		Expect(sim.actionsOfKind(dgmember.KindDeleteLease)).To(BeEmpty())
	})
})

var _ = Describe("contact", func() {
	It("K2: reports an outage for at least W + margin, also when the platform is back at once", func() {
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
	It("K1: takes an answer for as old as its request", func() {
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
	It("lets ages grow while they are held and never takes a report for younger than it is", func() {
		sim := newSimulation(3)
		sim.reachesPlatform = nil
		v := sim.state.ContactVector(sim.now.Add(950*time.Millisecond), nil)
		for i, m := range sim.list.Members {
			if m.ID != member(0).ID {
				Expect(v.Ages[i]).To(Equal(byte(0x80 | 10)))
			}
		}
	})
	It("6.5: serves while peers are in contact, and not after W without the platform and any peer", func() {
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
	It("J1: a VM that nobody adds writes the list itself", func() {
		sim := newSimulation(3)
		sim.state = dgmember.New(sim.now, member(9), rand.New(rand.NewPCG(1, 1)))
		sim.perform(sim.state.MembersAdopted(sim.now, sim.listVersion, true, sim.list, nil))
		sim.run(10 * time.Second)
		Expect(sim.actionsOfKind(dgmember.KindExchange)).To(HaveLen(3))
		Expect(sim.actionsOfKind(dgmember.KindWriteMembers)).NotTo(BeEmpty())
	})
})

// The figures feed the capacity page: one answer to an exchange, one tick and one
// contact vector, by the number of VMs.
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
