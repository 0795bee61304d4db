package dgroute_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgroute"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgroute")
}

func table(routes ...dandeliongap.Route) *dgroute.Table {
	return dgroute.New(&dandeliongap.RouteConfig{Routes: routes})
}

var _ = Describe("Match", func() {
	t := table(
		dandeliongap.Route{Name: "root", Host: "a.example", Prefix: "/"},
		dandeliongap.Route{Name: "x", Host: "a.example", Prefix: "/x/"},
		dandeliongap.Route{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		dandeliongap.Route{Name: "b", Host: "b.example", Prefix: "/only/"},
	)
	DescribeTable("T1 selects the route with the longest matching prefix (guards against requests to the wrong service)",
		func(host, path, want string) {
			r, err := t.Match(host, path)
			if want == "" {
				Expect(err).To(MatchError(dandeliongap.ErrNotFound))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(string(r.Name)).To(Equal(want))
		},
		Entry("longest prefix", "a.example", "/x/y/z", "xy"),
		Entry("the prefix itself", "a.example", "/x/y/", "xy"),
		Entry("the prefix without its trailing slash", "a.example", "/x/y", "x"),
		Entry("only the root prefix matches", "a.example", "/q", "root"),
		Entry("prefixes match whole path segments", "a.example", "/xx/y", "root"),
		Entry("host with port", "a.example:8080", "/x/1", "x"),
		Entry("host in mixed case", "A.Example", "/x/1", "x"),
		Entry("prefix configured for another host only", "b.example", "/x/1", ""),
		Entry("unknown host", "c.example", "/", ""),
		Entry("empty path", "a.example", "", ""),
	)
})

var _ = Describe("PickService", func() {
	split := dandeliongap.Route{Name: "s", Split: []dandeliongap.ServiceWeight{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	countPicks := func(t *dgroute.Table, n int) map[dandeliongap.ServiceName]int {
		got := map[dandeliongap.ServiceName]int{}
		for range n {
			got[t.PickService(&t.Config.Routes[0])]++
		}
		return got
	}
	It("T2 follows the weights in consecutive blocks of 20 requests (guards against a service that gets a share other than its weight)", func() {
		t := table(split)
		for range 5 {
			Expect(countPicks(t, 20)).To(Equal(map[dandeliongap.ServiceName]int{"a": 14, "b": 4, "c": 2}))
		}
	})
	It("T2 continues the round robin of the previous configuration (guards against frequent configuration changes that starve a service)", func() {
		t, got := table(split), map[dandeliongap.ServiceName]int{}
		for range 100 {
			next := table(split)
			next.InheritSplitState(t)
			t = next
			got[t.PickService(&t.Config.Routes[0])]++
		}
		Expect(got).To(Equal(map[dandeliongap.ServiceName]int{"a": 70, "b": 20, "c": 10}))
	})
	It("returns the service of a route without a split", func() {
		t := table(dandeliongap.Route{Name: "r", Service: "one"})
		Expect(t.PickService(&t.Config.Routes[0])).To(BeEquivalentTo("one"))
	})
})
