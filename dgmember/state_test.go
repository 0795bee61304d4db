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

// fleet is one VM under test and the list that it is in.
type fleet struct {
	now  dandeliongap.Instant
	s    *dgmember.State
	list dgrelay.MemberList
	ver  dandeliongap.Version
	acts []dgmember.Action
	ttl  time.Duration // in the lease bodies of others
	// on is what each other member reports; members that are missing do not
	// answer exchanges.
	on       map[dandeliongap.MemberID]bool
	platform bool // renewals succeed
	version  dandeliongap.Version
}

func record(i int) dandeliongap.Member {
	name := fmt.Sprintf("vm%d", i)
	return dandeliongap.Member{
		ID: dandeliongap.MemberID(name + "-1"), VM: dandeliongap.VMName(name), CallerAddress: "127.0.0.1:1",
		PeerAddress: "127.0.0.1:2", State: dandeliongap.MemberLive,
	}
}

// newFleet has VMs 0 to n-1; VM 0 is the one under test.
func newFleet(n int) *fleet {
	f := &fleet{on: map[dandeliongap.MemberID]bool{}, platform: true, ver: 1, version: 1, ttl: 6 * time.Second}
	for i := range n {
		f.list.Members = append(f.list.Members, record(i))
		if i > 0 {
			f.on[record(i).ID] = true
		}
	}
	dgrelay.SortByRank(f.list.Members)
	f.s = dgmember.New(0, record(0), rand.New(rand.NewPCG(1, 1)))
	f.do(f.s.MembersAdopted(f.now, f.ver, true, f.list, nil))
	f.run(20 * time.Second)
	return f
}

// do answers renewals and keeps all other actions.
func (f *fleet) do(as []dgmember.Action) {
	for _, a := range as {
		switch {
		case a.Kind == dgmember.KindRenew && f.platform:
			f.version++
			f.do(f.s.RenewOK(f.now, a.Lease.Attempt, f.version, nil))
		case a.Kind == dgmember.KindRenew:
			f.do(f.s.RenewUnreachable(f.now, a.Lease.Attempt, nil))
		default:
			f.acts = append(f.acts, a)
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(100 * time.Millisecond)
		f.do(f.s.Tick(f.now, nil))
		for id, on := range f.on {
			f.answer(id, on, f.ver)
		}
	}
}

// answer is an exchange whose answer only knows of the member that gives it.
func (f *fleet) answer(id dandeliongap.MemberID, on bool, ver dandeliongap.Version) {
	ages := make([]byte, len(f.list.Members))
	for i, m := range f.list.Members {
		ages[i] = 127
		if m.ID == id && on {
			ages[i] = 0x80
		} else if m.ID == id {
			ages[i] = 0
		}
	}
	f.do(f.s.ExchangeSucceeded(f.now, dgmember.ExchangeAnswer{
		From: id, Sent: f.now, ReachesPlatform: on, Contacts: dgmember.ContactVector{MembersVersion: ver, Ages: ages},
	}, nil))
}

func (f *fleet) outage() {
	f.platform = false
	for id := range f.on {
		f.on[id] = false
	}
}

func (f *fleet) rights() bool {
	_, ok := f.s.Rights(f.now)
	return ok
}

func (f *fleet) kinds(k dgmember.Kind) (as []dgmember.Action) {
	for _, a := range f.acts {
		if a.Kind == k {
			as = append(as, a)
		}
	}
	return as
}

// silence stops the answers of members.
func (f *fleet) silence(ids ...int) {
	for _, i := range ids {
		delete(f.on, record(i).ID)
	}
}

// observe lets the suspect be read with a version that stays the same.
func (f *fleet) observe(i int, d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		f.run(100 * time.Millisecond)
		as := f.acts
		f.acts = nil
		for _, a := range as {
			if a.Kind == dgmember.KindReadLease {
				lease := dgmember.Lease{Member: a.Member, Attempt: 1, TTL: f.ttl}
				f.do(f.s.SuspectLeaseRead(f.now, a.Member, true, 77, lease, nil))
				continue
			}
			f.acts = append(f.acts, a)
		}
	}
	Expect(f.s.Alive(f.now, record(i).ID)).To(BeFalse())
}

// grownFleet has three VMs, 0 to 2, and 3 to 7 that joined since; 1 and 2 are cut
// off.
func grownFleet() *fleet {
	f := newFleet(3)
	l := dgrelay.MemberList{PriorLists: [][]dandeliongap.VMName{{"vm0", "vm1", "vm2"}}}
	for i := range 8 {
		l.Members = append(l.Members, record(i))
		f.on[record(i).ID] = true
	}
	f.silence(0, 1, 2)
	dgrelay.SortByRank(l.Members)
	f.list, f.ver = l, 2
	f.do(f.s.MembersAdopted(f.now, f.ver, true, l, nil))
	return f
}

var _ = Describe("lease", func() {
	It("M1: counts from the time before the renewal was sent, not from the answer", func() {
		s := dgmember.New(0, record(0), rand.New(rand.NewPCG(1, 1)))
		as := s.Tick(0, nil)
		s.RenewOK(900*dandeliongap.Instant(time.Millisecond), as[0].Lease.Attempt, 5, nil)
		until, ok := s.Rights(dandeliongap.Instant(time.Second))
		Expect(ok).To(BeTrue())
		Expect(until).To(Equal(dandeliongap.Instant(6 * time.Second)))
		_, ok = s.Rights(until)
		Expect(ok).To(BeFalse())
	})
	It("M1: a lost answer is read back by the number in the body and does not end the lease", func() {
		f := newFleet(3)
		f.platform = false
		f.on = nil
		f.run(2 * time.Second)
		as := f.s.RenewConflict(f.now, 0, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Kind).To(Equal(dgmember.KindReadBack))
		old, _ := f.s.Rights(f.now)
		var next []dgmember.Action
		f.s.LeaseReadBack(f.now, true, 99, dgmember.Lease{Member: record(0).ID, Attempt: 11}, nil)
		next = f.s.Tick(f.now, nil)
		Expect(next[0].Version).To(Equal(dandeliongap.Version(99)))
		until, ok := f.s.Rights(f.now)
		Expect(ok).To(BeTrue())
		Expect(until).To(BeNumerically(">=", old))
	})
	It("M2: an outage of an hour keeps the rights, and a partition then ends them within W", func() {
		f := newFleet(6)
		f.outage()
		f.run(time.Hour)
		Expect(f.rights()).To(BeTrue())
		f.silence(1, 2, 3)
		f.run(dgmember.ContactWindow(6) + 200*time.Millisecond)
		Expect(f.rights()).To(BeFalse())
		f.on = map[dandeliongap.MemberID]bool{record(1).ID: false, record(2).ID: false, record(3).ID: false, record(4).ID: false}
		f.run(time.Minute)
		Expect(f.rights()).To(BeFalse(), "rights that ended come back only by a renewal")
	})
	It("M2: members that reach the platform do not keep up the rights of one that does not", func() {
		f := newFleet(6)
		f.platform = false
		f.run(20 * time.Second)
		Expect(f.rights()).To(BeFalse())
	})
	It("M3: renews through a peer that reaches the platform", func() {
		f := newFleet(3)
		f.platform = false
		var via []dgmember.Action
		for range 50 {
			f.now = f.now.Add(100 * time.Millisecond)
			for _, a := range f.s.Tick(f.now, nil) {
				if a.Via != "" {
					via = append(via, a)
				}
				f.do([]dgmember.Action{a})
			}
		}
		Expect(via).NotTo(BeEmpty())
		Expect(via[0].Rule).To(Equal(dgmember.M3))
	})
	It("M4: stops as lost when the lease was deleted while the VM was paused", func() {
		f := newFleet(3)
		f.now = f.now.Add(time.Minute)
		as := f.s.Tick(f.now, nil)
		Expect(as[0].Kind).To(Equal(dgmember.KindRenew))
		f.s.RenewConflict(f.now, as[0].Lease.Attempt, nil)
		as = f.s.LeaseReadBack(f.now, false, 0, dgmember.Lease{}, nil)
		Expect(as).To(HaveLen(1))
		Expect(as[0].Kind).To(Equal(dgmember.KindStopLost))
		Expect(f.rights()).To(BeFalse())
	})
	It("M6: a pause ends the rights until a renewal that was sent afterwards", func() {
		f := newFleet(3)
		as := f.s.Tick(f.now.Add(1900*time.Millisecond), nil) // the gap is a pause
		f.now = f.now.Add(1900 * time.Millisecond)
		Expect(f.rights()).To(BeFalse())
		sent := as[0].Lease.Attempt
		f.s.RenewOK(f.now, sent-1, 50, nil) // sent before the pause
		Expect(f.rights()).To(BeFalse())
		f.do(f.s.Tick(f.now, nil))
		Expect(f.rights()).To(BeTrue())
	})
	It("F3: stops as lost when it was dropped from the list", func() {
		f := newFleet(3)
		l := dgrelay.MemberList{}
		for _, m := range f.list.Members {
			if m.ID != record(0).ID {
				l.Members = append(l.Members, m)
			}
		}
		as := f.s.MembersAdopted(f.now, 2, true, l, nil)
		Expect(as[0].Kind).To(Equal(dgmember.KindStopLost))
	})
})

var _ = Describe("fencing", func() {
	It("F1: deletes a lease that did not change for TTL + W + margin, and not sooner", func() {
		f := newFleet(5)
		f.silence(4)
		f.observe(4, 18*time.Second) // suspected after 3 s and 1 s per lower rank
		Expect(f.kinds(dgmember.KindDeleteLease)).To(HaveLen(1))
		Expect(f.kinds(dgmember.KindDeleteLease)[0].Version).To(Equal(dandeliongap.Version(77)))
		g := newFleet(5)
		g.silence(4)
		g.observe(4, 12*time.Second)
		Expect(g.kinds(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F1: a minority fences nobody, though it reaches the platform", func() {
		f := newFleet(5)
		f.silence(2, 3, 4)
		f.observe(4, time.Minute)
		Expect(f.kinds(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F1: does not fence with a majority that does not reach the platform and may be under M2", func() {
		f := newFleet(5)
		f.silence(4)
		for id := range f.on {
			f.on[id] = false
		}
		f.observe(4, time.Minute)
		Expect(f.kinds(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F2: a holder that renewed first is observed anew", func() {
		f := newFleet(5)
		f.silence(4)
		f.observe(4, 18*time.Second)
		f.acts = nil
		f.do(f.s.LeaseConflict(f.now, record(4).ID, nil))
		f.run(1100 * time.Millisecond)
		Expect(f.kinds(dgmember.KindReadLease)).To(HaveLen(1))
		Expect(f.kinds(dgmember.KindWriteMembers)).To(BeEmpty())
	})
	It("F3: drops a member only once its lease is gone, and F4: names the list before", func() {
		f := newFleet(5)
		f.silence(4)
		f.observe(4, 18*time.Second)
		Expect(f.kinds(dgmember.KindWriteMembers)).To(BeEmpty())
		f.do(f.s.LeaseDeleted(f.now, record(4).ID, nil))
		f.run(6 * time.Second)
		w := f.kinds(dgmember.KindWriteMembers)
		Expect(w).NotTo(BeEmpty())
		Expect(w[0].List.Members).To(HaveLen(4))
		Expect(w[0].List.PriorLists).To(Equal([][]dandeliongap.VMName{{"vm0", "vm1", "vm2", "vm3", "vm4"}}))
	})
	It("F4: new members that a minority added do not make it a majority", func() {
		f := grownFleet()
		f.observe(1, time.Minute)
		Expect(f.kinds(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("F4: nor do they keep up rights under M2 that the majority of the list before may fence", func() {
		f := grownFleet()
		f.outage()
		f.run(20 * time.Second)
		Expect(f.rights()).To(BeFalse())
	})
	It("F1: waits for the TTL in the body of a holder whose list was larger", func() {
		f := newFleet(5)
		f.ttl = 18 * time.Second
		f.silence(4)
		f.observe(4, 18*time.Second)
		Expect(f.kinds(dgmember.KindDeleteLease)).To(BeEmpty())
	})
	It("K1, F4: reports under another version of the list do not count", func() {
		f := newFleet(5)
		f.silence(4)
		f.ver = 9 // the others have a list that this VM has not seen
		f.observe(4, time.Minute)
		Expect(f.kinds(dgmember.KindDeleteLease)).To(BeEmpty())
	})
})

var _ = Describe("contact", func() {
	It("K2: reports an outage for at least W + margin, also when the platform is back at once", func() {
		f := newFleet(3)
		Expect(f.s.ReachesPlatform(f.now)).To(BeTrue())
		for range 3 {
			f.s.PlatformFailed(f.now, nil)
		}
		f.run(dgmember.ContactWindow(3))
		Expect(f.s.ReachesPlatform(f.now)).To(BeFalse())
		f.run(dgmember.Margin + 3*time.Second)
		Expect(f.s.ReachesPlatform(f.now)).To(BeTrue())
	})
	It("K1: takes an answer for as old as its request", func() {
		f := newFleet(3)
		f.on = nil
		late := f.now.Add(2900 * time.Millisecond)
		for f.now < late {
			f.run(100 * time.Millisecond)
		}
		ages := []byte{0x80, 0x80, 0x80}
		f.s.ExchangeSucceeded(f.now, dgmember.ExchangeAnswer{From: record(1).ID, Sent: late.Add(-2 * time.Second), Contacts: dgmember.ContactVector{MembersVersion: 1, Ages: ages}}, nil)
		for i, b := range f.s.ContactVector(f.now, nil).Ages {
			if f.list.Members[i].ID != record(0).ID {
				Expect(b).To(Equal(byte(0x80 | 20)))
			}
		}
	})
	It("lets ages grow while they are held and never takes a report for younger than it is", func() {
		f := newFleet(3)
		f.on = nil
		v := f.s.ContactVector(f.now.Add(950*time.Millisecond), nil)
		for i, m := range f.list.Members {
			if m.ID != record(0).ID {
				Expect(v.Ages[i]).To(Equal(byte(0x80 | 10)))
			}
		}
	})
	It("6.5: serves while peers are in contact, and not after W without the platform and any peer", func() {
		f := newFleet(6)
		f.outage()
		f.run(time.Minute)
		ok, _ := f.s.Serving(f.now)
		Expect(ok).To(BeTrue())
		f.on = nil
		f.run(dgmember.ContactWindow(6) + 200*time.Millisecond)
		ok, why := f.s.Serving(f.now)
		Expect(ok).To(BeFalse())
		Expect(why).To(Equal(dandeliongap.ReasonIsolated))
	})
	It("J1: a VM that nobody adds writes the list itself", func() {
		f := newFleet(3)
		f.s = dgmember.New(f.now, record(9), rand.New(rand.NewPCG(1, 1)))
		f.do(f.s.MembersAdopted(f.now, f.ver, true, f.list, nil))
		f.run(10 * time.Second)
		Expect(f.kinds(dgmember.KindExchange)).To(HaveLen(3))
		Expect(f.kinds(dgmember.KindWriteMembers)).NotTo(BeEmpty())
	})
})

// The figures feed the capacity page: one answer to an exchange, one tick and one
// contact vector, by the number of VMs.
func BenchmarkMember(b *testing.B) {
	for _, n := range []int{6, 152, 305, 610} {
		f := newFleet(n)
		ages := make([]byte, n)
		a := dgmember.ExchangeAnswer{From: record(1).ID, Contacts: dgmember.ContactVector{MembersVersion: f.ver, Ages: ages}}
		step := func() { f.now = f.now.Add(time.Millisecond) }
		b.Run(fmt.Sprintf("exchanged/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				step()
				a.Sent = f.now
				f.s.ExchangeSucceeded(f.now, a, nil)
			}
		})
		acts := make([]dgmember.Action, 0, 16)
		b.Run(fmt.Sprintf("tick/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				step()
				f.do(f.s.Tick(f.now, acts[:0]))
			}
		})
		b.Run(fmt.Sprintf("vector/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.s.ContactVector(f.now, ages[:0])
			}
		})
	}
}
