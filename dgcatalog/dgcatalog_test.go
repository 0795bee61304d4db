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

func inst(id string) dandeliongap.Instance {
	return dandeliongap.Instance{ID: dandeliongap.InstanceID(id), Service: "s"}
}

func ids(c *dgcatalog.Catalog, now dandeliongap.Instant) []dandeliongap.InstanceID {
	var out []dandeliongap.InstanceID
	for _, in := range c.Instances(now) {
		out = append(out, in.ID)
	}
	return out
}

var _ = Describe("Catalog", func() {
	var c *dgcatalog.Catalog
	BeforeEach(func() {
		c = dgcatalog.New()
		c.Replace(0, []dandeliongap.Instance{inst("a"), inst("b")}, []dandeliongap.Version{1, 2})
	})
	It("D2 drops a removed replica at once (guards against requests to one that left)", func() {
		c.Remove(second, "a")
		Expect(ids(c, second)).To(ConsistOf(dandeliongap.InstanceID("b")))
	})
	It("D3 keeps replicas whose entries lapsed while the store was away, until they are due back (guards against refusing everything after an outage)", func() {
		c.StoreUnavailable()
		c.StoreAvailable(10 * second)
		c.Replace(10*second, []dandeliongap.Instance{inst("b")}, []dandeliongap.Version{3})
		Expect(ids(c, 10*second)).To(ConsistOf(dandeliongap.InstanceID("a"), dandeliongap.InstanceID("b")))
		changed, next := c.Expire(11 * second)
		Expect(changed).To(BeFalse())
		Expect(next).To(Equal(dandeliongap.Instant(10 * second).Add(dgcatalog.ReregistrationGrace)))
		changed, _ = c.Expire(next)
		Expect(changed).To(BeTrue())
		Expect(ids(c, next)).To(ConsistOf(dandeliongap.InstanceID("b")))
	})
	It("D3 holds no replica that said it drains (guards against requests to one that leaves during an outage)", func() {
		d := inst("a")
		d.Draining = true
		c.Put(0, d, 5)
		c.StoreUnavailable()
		c.Remove(second, "a")
		Expect(ids(c, second)).To(ConsistOf(dandeliongap.InstanceID("b")))
	})
	It("D3 keeps a replica that registered again", func() {
		c.StoreUnavailable()
		c.Remove(second, "a")
		c.StoreAvailable(2 * second)
		c.Put(3*second, inst("a"), 9)
		c.Expire(20 * second)
		Expect(ids(c, 20*second)).To(HaveLen(2))
	})
	It("counts the cold time from the last change (guards against a replica that stays cold with every list)", func() {
		cold := inst("c")
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
