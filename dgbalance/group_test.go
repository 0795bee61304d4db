package dgbalance_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbalance"
)

var _ = Describe("groups of replicas", func() {
	versions := func(v ...dandeliongap.SoftwareVersion) []dandeliongap.SoftwareVersion { return v }
	newVersions := func() *fixture {
		f := newFixture()
		a, b, c := newInstance("a"), newInstance("b"), newInstance("c")
		a.Software, b.Software, c.Software = "v1", "v1", "v2"
		f.update(0, a, b, c)
		return f
	}
	pick := func(f *fixture, now dandeliongap.Instant, groups ...dgbalance.Group) string {
		a, _, err := f.b.PickAmong(now, route, svc, groups, nil, nil)
		if err != nil {
			return ""
		}
		f.b.Done(now, route, &a, dgbalance.Answered)
		return string(a.Instance.ID)
	}
	It("R12 restrict a request by version, zone and replica (guards against requests to a version that they must not go to)", func() {
		f := newVersions()
		for range 50 {
			Expect(pick(f, 0, dgbalance.Group{Only: versions("v2")})).To(Equal("c"))
			Expect(pick(f, 0, dgbalance.Group{Not: versions("v2")})).NotTo(Equal("c"))
			Expect(pick(f, 0, dgbalance.Group{Only: versions("v1"), Zone: "z-b"})).To(Equal("b"))
			Expect(pick(f, 0, dgbalance.Group{Replica: "a"})).To(Equal("a"))
		}
		Expect(pick(f, 0, dgbalance.Group{Only: versions("v3")})).To(BeEmpty())
		Expect(pick(f, 0, dgbalance.Group{Only: versions("v3")}, dgbalance.Group{Only: versions("v2")})).To(Equal("c"))
	})
	It("R12 obey the other rules, and use a fallback only if no replica of the groups before it is usable (guards against requests to a version that nobody ordered because the others are busy)", func() {
		f := newVersions()
		groups := []dgbalance.Group{{Only: versions("v1")}, {Fallback: true}}
		f.limit.Connections = 1
		a, b, c := newInstance("a"), newInstance("b"), newInstance("c")
		a.Software, b.Software, c.Software = "v1", "v1", "v2"
		f.update(0, a, b, c)
		for range 2 {
			_, _, err := f.b.PickAmong(0, route, svc, groups, nil, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		_, retryAt, err := f.b.PickAmong(0, route, svc, groups, nil, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica), "both replicas are busy")
		Expect(retryAt).To(BeNumerically("<=", ms(10)))
		a.Draining, b.Draining = true, true
		f.update(ms(1), a, b, c)
		Expect(pick(f, ms(1), groups...)).To(Equal("c"))
	})
})
