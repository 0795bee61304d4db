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
	DescribeTable("T1 takes the longest prefix of the host (guards against requests to the wrong service)",
		func(host, path, want string) {
			r, err := t.Match(host, path)
			if want == "" {
				Expect(err).To(MatchError(dandeliongap.ErrNotFound))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(string(r.Name)).To(Equal(want))
		},
		Entry("longest", "a.example", "/x/y/z", "xy"),
		Entry("the prefix itself", "a.example", "/x/y/", "xy"),
		Entry("without its last slash", "a.example", "/x/y", "x"),
		Entry("no other prefix", "a.example", "/q", "root"),
		Entry("part of a name is no prefix", "a.example", "/xx/y", "root"),
		Entry("host with a port", "a.example:8080", "/x/1", "x"),
		Entry("host in capitals", "A.Example", "/x/1", "x"),
		Entry("prefix of another host", "b.example", "/x/1", ""),
		Entry("unknown host", "c.example", "/", ""),
		Entry("empty path", "a.example", "", ""),
	)
})

var _ = Describe("Part", func() {
	split := dandeliongap.Route{Name: "s", Split: []dandeliongap.ServiceWeight{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	count := func(t *dgroute.Table, n int) map[dandeliongap.ServiceName]int {
		got := map[dandeliongap.ServiceName]int{}
		for range n {
			got[t.PickService(&t.Config.Routes[0])]++
		}
		return got
	}
	It("T2 keeps to the weights in any run of requests (guards against a part that gets another share)", func() {
		t := table(split)
		for range 5 {
			Expect(count(t, 20)).To(Equal(map[dandeliongap.ServiceName]int{"a": 14, "b": 4, "c": 2}))
		}
	})
	It("T2 goes on with the turns of the last configuration (guards against a storm of configurations that starves a part)", func() {
		t, got := table(split), map[dandeliongap.ServiceName]int{}
		for range 100 {
			next := table(split)
			next.InheritSplitState(t)
			t = next
			got[t.PickService(&t.Config.Routes[0])]++
		}
		Expect(got).To(Equal(map[dandeliongap.ServiceName]int{"a": 70, "b": 20, "c": 10}))
	})
	It("goes to the only service of a route without a split", func() {
		t := table(dandeliongap.Route{Name: "r", Service: "one"})
		Expect(t.PickService(&t.Config.Routes[0])).To(BeEquivalentTo("one"))
	})
})
