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
