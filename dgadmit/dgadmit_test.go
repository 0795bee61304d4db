package dgadmit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgadmit"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dgadmit")
}

var _ = Describe("refusals", func() {
	It("A1, A2: report that a route does not exist only if the configuration is current (otherwise callers would get false 404s)", func() {
		Expect(dgadmit.Unready(0).Status).To(Equal(503))
		Expect(dgadmit.NoRoute(true).Status).To(Equal(503))
		Expect(dgadmit.NoRoute(false).Status).To(Equal(404))
	})
	It("set a Retry-After in every temporary refusal (otherwise callers would retry all at once or never)", func() {
		for _, r := range []dgadmit.Refusal{dgadmit.Unready(0), dgadmit.NoRoute(true), dgadmit.Leaving(), dgadmit.CheckCoverage(0, 0, 1, 0), dgadmit.CheckCoverage(0, 1, 1, 0)} {
			Expect(r.Status).To(Equal(503))
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
		}
	})
	It("A4: set a longer Retry-After if there are no replicas that may recover (otherwise callers would spend their only retry too early)", func() {
		Expect(dgadmit.CheckCoverage(17, 3, 20, 0.89).RetryAfter).To(Equal(250 * time.Millisecond))
		Expect(dgadmit.CheckCoverage(17, 0, 20, 0.89).RetryAfter).To(Equal(time.Second))
	})
	It("A5: set a Retry-After at which enough replicas accept requests again (otherwise callers would spend their only retry within a pause)", func() {
		waits := func() []time.Duration { return []time.Duration{5 * time.Second, time.Second, 3 * time.Second} }
		r := dgadmit.CheckCoverage(17, 3, 20, 0.89)
		Expect(r.NotBefore(waits(), 17, 20, 0.89).RetryAfter).To(Equal(time.Second))
		Expect(dgadmit.CheckCoverage(17, 3, 20, 0.95).NotBefore(waits(), 17, 20, 0.95).RetryAfter).To(Equal(3 * time.Second))
		Expect(r.NotBefore(nil, 17, 20, 0.89).RetryAfter).To(Equal(r.RetryAfter))
		Expect(r.NotBefore([]time.Duration{time.Millisecond}, 17, 20, 0.89).RetryAfter).To(Equal(r.RetryAfter))
	})
	It("A1: set a longer Retry-After in a longer outage (otherwise callers would spend their only retry within it)", func() {
		Expect(dgadmit.Unready(0).RetryAfter).To(Equal(200 * time.Millisecond))
		Expect(dgadmit.Unready(time.Second).RetryAfter).To(Equal(time.Second))
		Expect(dgadmit.Unready(time.Hour).RetryAfter).To(Equal(2 * time.Second))
	})
	DescribeTable("A4: refuse a request only if too few shards are usable (otherwise callers would wait for shards that are down, or be refused a partial answer)",
		func(usable, total int, minCoverage float64, refused bool) {
			Expect(dgadmit.CheckCoverage(usable, 0, total, minCoverage).Status != 0).To(Equal(refused))
		},
		Entry("all shards", 20, 20, 0.89, false),
		Entry("enough shards", 18, 20, 0.89, false),
		Entry("too few shards", 17, 20, 0.89, true),
		Entry("single service", 1, 1, 0.0, false),
		Entry("single service down", 0, 1, 0.0, true),
	)
})
