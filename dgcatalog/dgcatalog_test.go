package dgcatalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgcatalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgcatalog")
}

const second = dandeliongap.Instant(time.Second)

func registration(id string) dandeliongap.Instance {
	return dandeliongap.Instance{ID: dandeliongap.InstanceID(id), Service: "s"}
}

func ids(c *dgcatalog.Catalog, now dandeliongap.Instant) []dandeliongap.InstanceID {
	var found []dandeliongap.InstanceID
	for _, in := range c.Instances(now) {
		found = append(found, in.ID)
	}
	return found
}

var _ = Describe("Catalog", func() {
	var c *dgcatalog.Catalog
	BeforeEach(func() {
		c = dgcatalog.New()
		c.Replace(0, []dandeliongap.Instance{registration("a"), registration("b")}, []dandeliongap.Version{1, 2})
	})
	It("D2: drops a removed replica at once (otherwise requests would be sent to a backend server that is gone)", func() {
		c.Remove(second, "a")
		Expect(ids(c, second)).To(ConsistOf(dandeliongap.InstanceID("b")))
	})
	It("D3: keeps replicas whose registrations lapsed in an outage of the store until the grace period ends (otherwise everything would be refused after an outage)", func() {
		c.StoreUnavailable()
		c.StoreAvailable(10 * second)
		c.Replace(10*second, []dandeliongap.Instance{registration("b")}, []dandeliongap.Version{3})
		Expect(ids(c, 10*second)).To(ConsistOf(dandeliongap.InstanceID("a"), dandeliongap.InstanceID("b")))
		changed, next := c.Expire(11 * second)
		Expect(changed).To(BeFalse())
		Expect(next).To(Equal(dandeliongap.Instant(10 * second).Add(dgcatalog.ReregistrationGrace)))
		changed, _ = c.Expire(next)
		Expect(changed).To(BeTrue())
		Expect(ids(c, next)).To(ConsistOf(dandeliongap.InstanceID("b")))
	})
	It("D3: drops a draining replica at once (otherwise requests would be sent to one that left during an outage)", func() {
		draining := registration("a")
		draining.Draining = true
		c.Put(0, draining, 5)
		c.StoreUnavailable()
		c.Remove(second, "a")
		Expect(ids(c, second)).To(ConsistOf(dandeliongap.InstanceID("b")))
	})
	It("D3: keeps a replica that registered again", func() {
		c.StoreUnavailable()
		c.Remove(second, "a")
		c.StoreAvailable(2 * second)
		c.Put(3*second, registration("a"), 9)
		c.Expire(20 * second)
		Expect(ids(c, 20*second)).To(HaveLen(2))
	})
	It("D4: keeps a replica that is missing from the first lists of a new era until the grace period ends, also if the store goes back again (otherwise everything written since the copy would get no requests)", func() {
		era := dandeliongap.Era(2)
		c.BeginEra(10*second, era.Version(1))
		c.Replace(10*second, []dandeliongap.Instance{registration("a")}, []dandeliongap.Version{era.Version(1)})
		Expect(ids(c, 10*second)).To(ConsistOf(dandeliongap.InstanceID("a"), dandeliongap.InstanceID("b")))
		c.Replace(11*second, []dandeliongap.Instance{registration("a")}, []dandeliongap.Version{era.Version(1)})
		Expect(ids(c, 11*second)).To(HaveLen(2), "a second list of the era")
		c.BeginEra(12*second, (era + 1).Version(1))
		c.Replace(12*second, []dandeliongap.Instance{registration("a")}, []dandeliongap.Version{(era + 1).Version(1)})
		_, next := c.Expire(13 * second)
		Expect(next).To(Equal(dandeliongap.Instant(12 * second).Add(dgcatalog.ReregistrationGrace)))
		c.Expire(next)
		Expect(ids(c, next)).To(ConsistOf(dandeliongap.InstanceID("a")))
		c.Replace(20*second, nil, nil)
		Expect(ids(c, 20*second)).To(BeEmpty(), "D4 is over")
	})
	It("D4: keeps a replica that registered again in the new era", func() {
		era := dandeliongap.Era(1)
		c.BeginEra(second, era.Version(1))
		c.Replace(second, nil, nil)
		c.Put(2*second, registration("a"), era.Version(2))
		c.Expire(20 * second)
		Expect(ids(c, 20*second)).To(ConsistOf(dandeliongap.InstanceID("a")))
	})
	isDraining := func(id string, now dandeliongap.Instant) bool {
		for _, in := range c.Instances(now) {
			if in.ID == dandeliongap.InstanceID(id) {
				return in.Draining
			}
		}
		Fail("no replica " + id)
		return false
	}
	It("D5: a process that was draining stays draining in a new era (otherwise a copy from before would send requests to it)", func() {
		era := dandeliongap.Era(1)
		draining, next := registration("a"), registration("a")
		draining.Draining, draining.StartUnixMs, next.StartUnixMs = true, 7, 7
		c.Put(0, draining, 5)
		c.BeginEra(second, era.Version(4))
		c.Replace(second, []dandeliongap.Instance{next, registration("b")}, []dandeliongap.Version{era.Version(3), era.Version(4)})
		Expect(isDraining("a", second)).To(BeTrue(), "in the copy")
		Expect(isDraining("b", second)).To(BeFalse())
		c.Put(2*second, next, era.Version(6))
		Expect(isDraining("a", 2*second)).To(BeTrue(), "written again late")
		c.Put(9*second, next, era.Version(9))
		Expect(isDraining("a", 9*second)).To(BeFalse(), "taken back in the new era")
	})
	It("D5: another process of the same ID is not draining (otherwise a server that restarts would get no requests)", func() {
		draining, next := registration("a"), registration("a")
		draining.Draining, draining.StartUnixMs, next.StartUnixMs = true, 7, 8
		c.Put(0, draining, 5)
		c.BeginEra(second, dandeliongap.Era(1).Version(4))
		c.Replace(second, []dandeliongap.Instance{next}, []dandeliongap.Version{dandeliongap.Era(1).Version(3)})
		Expect(isDraining("a", second)).To(BeFalse())
	})
	It("D5: a process that drained and was removed comes back as draining (otherwise a copy would send requests to a server that is gone)", func() {
		draining, copied := registration("a"), registration("a")
		draining.Draining, draining.StartUnixMs, copied.StartUnixMs = true, 7, 7
		c.Put(0, draining, 5)
		c.Remove(second, "a")
		c.BeginEra(3*second, dandeliongap.Era(1).Version(4))
		c.Replace(3*second, []dandeliongap.Instance{copied}, []dandeliongap.Version{dandeliongap.Era(1).Version(3)})
		Expect(isDraining("a", 3*second)).To(BeTrue())
	})
	It("D5: forgets processes that drained (otherwise memory would grow with each replacement of a server)", func() {
		draining, copied := registration("a"), registration("a")
		draining.Draining = true
		c.Put(0, draining, 5)
		c.Remove(second, "a")
		c.Expire(62 * second)
		c.BeginEra(63*second, dandeliongap.Era(1).Version(4))
		c.Replace(63*second, []dandeliongap.Instance{copied}, []dandeliongap.Version{dandeliongap.Era(1).Version(3)})
		Expect(isDraining("a", 63*second)).To(BeFalse())
	})
	It("D5: the copy does not begin the cold start again (otherwise warm replicas would get few requests after a restore)", func() {
		cold := registration("c")
		cold.ColdRemaining = 3 * time.Second
		c.Put(0, cold, 7)
		c.BeginEra(5*second, dandeliongap.Era(1).Version(4))
		c.Replace(5*second, []dandeliongap.Instance{cold}, []dandeliongap.Version{dandeliongap.Era(1).Version(3)})
		for _, in := range c.Instances(5 * second) {
			if in.ID == "c" {
				Expect(in.ColdRemaining).To(BeZero())
			}
		}
	})
	It("counts the cold start from the last change (otherwise every full list would start it again)", func() {
		cold := registration("c")
		cold.ColdRemaining = 3 * time.Second
		c.Put(0, cold, 7)
		c.Put(2*second, cold, 7)
		for _, in := range c.Instances(2 * second) {
			if in.ID == "c" {
				Expect(in.ColdRemaining).To(Equal(time.Second))
			}
		}
	})
})
