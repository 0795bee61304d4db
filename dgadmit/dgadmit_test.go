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
	It("A1 and A2 say for good that a route does not exist only if the configuration is current (guards against false 404s)", func() {
		Expect(dgadmit.Unready(0).Status).To(Equal(503))
		Expect(dgadmit.NoRoute(true).Status).To(Equal(503))
		Expect(dgadmit.NoRoute(false).Status).To(Equal(404))
	})
	It("says when to come back with every refusal that promises not to have run (guards against callers that return at once in a herd or never)", func() {
		for _, r := range []dgadmit.Refusal{dgadmit.Unready(0), dgadmit.NoRoute(true), dgadmit.Leaving(), dgadmit.CheckCoverage(0, 0, 1, 0), dgadmit.CheckCoverage(0, 1, 1, 0)} {
			Expect(r.Status).To(Equal(503))
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
		}
	})
	It("A4 sends callers away for longer when there are no replicas to come back (guards against callers that spend their only retry at once)", func() {
		Expect(dgadmit.CheckCoverage(17, 3, 20, 0.89).RetryAfter).To(Equal(250 * time.Millisecond))
		Expect(dgadmit.CheckCoverage(17, 0, 20, 0.89).RetryAfter).To(Equal(time.Second))
	})
	It("A1 sends callers away for longer the longer the outage lasts (guards against callers that spend their only retry within it)", func() {
		Expect(dgadmit.Unready(0).RetryAfter).To(Equal(200 * time.Millisecond))
		Expect(dgadmit.Unready(time.Second).RetryAfter).To(Equal(time.Second))
		Expect(dgadmit.Unready(time.Hour).RetryAfter).To(Equal(2 * time.Second))
	})
	DescribeTable("A4 refuses only what cannot be served (guards against waiting for shards that are all down, and against refusing what can be answered in part)",
		func(usable, total int, least float64, refused bool) {
			Expect(dgadmit.CheckCoverage(usable, 0, total, least).Status != 0).To(Equal(refused))
		},
		Entry("all", 20, 20, 0.89, false),
		Entry("enough", 18, 20, 0.89, false),
		Entry("too few", 17, 20, 0.89, true),
		Entry("single service", 1, 1, 0.0, false),
		Entry("single service down", 0, 1, 0.0, true),
	)
})
