package dgrestore_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgcatalog"
	"dandeliongap.example/dandeliongap/dgrestore"
)

func TestRestore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgrestore")
}

const second = dandeliongap.Instant(time.Second)

// Eras of the store.
const (
	first dandeliongap.Era = iota + 1
	next
	third
)

var _ = Describe("the configuration in force", func() {
	var c dgrestore.Config
	BeforeEach(func() {
		c = dgrestore.Config{}
		Expect(c.Offer(first.Version(10), 5)).To(Equal(dgrestore.Applied))
	})
	It("E1: follows the version within an era, whatever the number (otherwise an operator could not go back)", func() {
		Expect(c.Offer(first.Version(10), 5)).To(Equal(dgrestore.Outdated))
		Expect(c.Offer(first.Version(9), 8)).To(Equal(dgrestore.Outdated))
		Expect(c.Offer(first.Version(11), 4)).To(Equal(dgrestore.Applied))
		Expect(c.Number()).To(BeEquivalentTo(4))
	})
	It("E2: does not go back to a copy (otherwise callers would get the routes of an older configuration)", func() {
		Expect(c.Offer(next.Version(3), 4)).To(Equal(dgrestore.Refused))
		Expect(c.Offer(next.Version(5), 4)).To(Equal(dgrestore.Refused), "written again")
		Expect(c.Offer(next.Version(6), 6)).To(Equal(dgrestore.Applied))
		Expect(c.Offer(next.Version(7), 5)).To(Equal(dgrestore.Applied), "E1 in the new era")
	})
	It("E2: takes the same number for the same configuration (otherwise no lower number could ever follow after a restore)", func() {
		Expect(c.Offer(next.Version(3), 5)).To(Equal(dgrestore.Refused))
		Expect(c.Offer(next.Version(8), 4)).To(Equal(dgrestore.Applied))
	})
	It("E2: takes a higher number of an earlier era (otherwise a VM that started with the copy could not learn the one in force)", func() {
		Expect(c.Offer(third.Version(1), 6)).To(Equal(dgrestore.Applied))
		Expect(c.Offer(next.Version(9), 7)).To(Equal(dgrestore.Applied))
		Expect(c.Offer(third.Version(2), 6)).To(Equal(dgrestore.Refused))
		Expect(c.Offer(third.Version(3), 7)).To(Equal(dgrestore.Refused), "the same, written again")
		Expect(c.Offer(third.Version(4), 6)).To(Equal(dgrestore.Applied))
	})
})

var _ = Describe("zones out of service", func() {
	var z dgrestore.Zones
	out := func() []dandeliongap.ZoneName { return slices.Sorted(maps.Keys(z.Out())) }
	BeforeEach(func() {
		z = dgrestore.Zones{}
		z.Replace(0, []dandeliongap.ZoneName{"z1"})
	})
	It("follows the lists and changes of an era", func() {
		z.Put("z2")
		Expect(out()).To(HaveLen(2))
		z.Remove("z1")
		z.Replace(second, nil)
		Expect(out()).To(BeEmpty())
	})
	It("E5: stay out for the grace period if the copy lacks them (otherwise requests would go to a zone that was taken out)", func() {
		z.BeginEra(10 * second)
		z.Replace(10*second, []dandeliongap.ZoneName{"z2"})
		Expect(out()).To(Equal([]dandeliongap.ZoneName{"z1", "z2"}))
		end := dandeliongap.Instant(10 * second).Add(dgcatalog.ReregistrationGrace)
		_, expiry := z.Expire(11 * second)
		Expect(expiry).To(Equal(end))
		z.Replace(11*second, []dandeliongap.ZoneName{"z2"})
		Expect(out()).To(HaveLen(2), "a second list of the era")
		returned, expiry := z.Expire(end)
		Expect(returned).To(Equal([]dandeliongap.ZoneName{"z1"}))
		Expect(expiry).To(BeZero())
		Expect(out()).To(Equal([]dandeliongap.ZoneName{"z2"}))
	})
	It("E5: stay out if written again, and for another grace period if the store goes back again", func() {
		z.BeginEra(10 * second)
		z.Replace(10*second, nil)
		z.BeginEra(12 * second)
		z.Replace(12*second, nil)
		z.Expire(13 * second)
		Expect(out()).To(Equal([]dandeliongap.ZoneName{"z1"}))
		z.Put("z1")
		z.Expire(60 * second)
		Expect(out()).To(Equal([]dandeliongap.ZoneName{"z1"}))
	})
	It("E5: return at once on a removal in the new era (otherwise an operator would wait for the grace period)", func() {
		z.BeginEra(10 * second)
		z.Replace(10*second, nil)
		z.Remove("z1")
		Expect(out()).To(BeEmpty())
	})
})

var _ = Describe("registrations of VMs", func() {
	var m dgrestore.Members
	alive := func(dandeliongap.VMName) bool { return false }
	BeforeEach(func() { m = dgrestore.Members{} })
	It("E6: are dropped at once outside of a restore", func() {
		Expect(m.Keeps(second, "vm", 7, 0)).To(BeFalse())
	})
	It("E6: stay for the grace period if the copy lacks them or has an earlier process (otherwise the roster would lose VMs that serve)", func() {
		m.BeginEra(10 * second)
		Expect(m.Keeps(10*second, "a", 7, 0)).To(BeTrue())
		Expect(m.Keeps(10*second, "b", 7, 6)).To(BeTrue())
		Expect(m.Keeps(10*second, "c", 7, 7)).To(BeFalse())
		Expect(m.Keeps(10*second, "d", 7, 8)).To(BeFalse())
		Expect(m.Expire(11*second, alive)).To(BeEmpty())
		m.Registered("b")
		end := dandeliongap.Instant(10 * second).Add(dgrestore.MemberGrace)
		Expect(m.Expire(end, alive)).To(ConsistOf(dandeliongap.VMName("a")))
		Expect(m.Keeps(end, "a", 7, 0)).To(BeFalse())
	})
	It("E6: are dropped when their VM is lost (otherwise the copy would keep VMs on the roster that are gone)", func() {
		m.BeginEra(10 * second)
		Expect(m.Keeps(10*second, "a", 7, 0)).To(BeTrue())
		Expect(m.Keeps(10*second, "b", 7, 0)).To(BeTrue())
		Expect(m.Expire(11*second, func(vm dandeliongap.VMName) bool { return vm == "a" })).To(ConsistOf(dandeliongap.VMName("a")))
	})
	It("E7: are written again by a process that the copy lacks, also after a write that met the new era (otherwise the VM would get no callers after a restore)", func() {
		Expect(dgrestore.NeedsRegistration(dandeliongap.EdgeMember{}, 7)).To(BeTrue())
		Expect(dgrestore.NeedsRegistration(dandeliongap.EdgeMember{Boot: 6}, 7)).To(BeTrue())
		Expect(dgrestore.NeedsRegistration(dandeliongap.EdgeMember{Boot: 7}, 7)).To(BeFalse())
		Expect(dgrestore.RepeatsWrite(fmt.Errorf("%w: %w", dandeliongap.ErrConflict, dandeliongap.ErrRestored))).To(BeTrue())
		Expect(dgrestore.RepeatsWrite(dandeliongap.ErrNotFound)).To(BeTrue())
		Expect(dgrestore.RepeatsWrite(dandeliongap.ErrUnreachable)).To(BeFalse())
		Expect(dgrestore.RepeatsWrite(nil)).To(BeFalse())
	})
})
