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
	It("A11: refuse a key permanently only if the configuration is current, and never a missing one temporarily (otherwise callers would give up a key that is new, or repeat requests that no VM accepts)", func() {
		Expect(dgadmit.UnknownKey(false).Status).To(Equal(401))
		Expect(dgadmit.UnknownKey(true).Status).To(Equal(503))
		Expect(dgadmit.UnknownKey(true).RetryAfter).To(BeNumerically(">", 0))
		Expect(dgadmit.NoKey().Status).To(Equal(401))
		Expect(dgadmit.NoKey().RetryAfter).To(BeZero())
	})
	It("A12, A13: tell a quota that is used up from one that is not known, with the time of the next room (otherwise callers would wait although another VM can serve them)", func() {
		Expect(dgadmit.OverQuota(time.Second).Status).To(Equal(429))
		Expect(dgadmit.OverQuota(time.Second).RetryAfter).To(Equal(time.Second))
		Expect(dgadmit.QuotaUnknown(time.Second).Status).To(Equal(503))
		Expect(dgadmit.QuotaUnknown(time.Second).RetryAfter).To(Equal(time.Second))
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
	DescribeTable("A3: accept a request during a planned stop only if it is answered before the process ends or its caller cannot know of the stop yet (otherwise it could be cut off after it was sent; review/2)",
		func(limit, since, left time.Duration, refused bool) {
			r := dgadmit.Stop{Limit: limit, DirectoryTTL: time.Second}.Admit(since, left)
			Expect(r.Status != 0).To(Equal(refused))
		},
		Entry("at the begin", 6*time.Second, time.Duration(0), time.Minute, false),
		Entry("while callers use an old answer of the directory", 6*time.Second, 3*time.Second, 5*time.Second, false),
		Entry("a long deadline after that", 6*time.Second, 3100*time.Millisecond, 5*time.Second, true),
		Entry("a short deadline after that", 6*time.Second, 4*time.Second, 1200*time.Millisecond, false),
		Entry("a short deadline too late", 6*time.Second, 5*time.Second, 1200*time.Millisecond, true),
		Entry("a long limit does not extend the time in which every request is accepted", 30*time.Second, 4*time.Second, 26*time.Second, true),
		Entry("a long limit", 30*time.Second, 20*time.Second, 5*time.Second, false),
		Entry("a limit shorter than callers keep an answer", 2*time.Second, 1500*time.Millisecond, 2*time.Second, true),
		Entry("at the end", 6*time.Second, 6*time.Second, time.Duration(0), true),
	)
	It("A6: end the requests in progress before the process is killed, after those accepted late have reached their deadline", func() {
		s := dgadmit.Stop{Limit: 6 * time.Second, DirectoryTTL: time.Second}
		Expect(s.AnswerBy()).To(BeNumerically("<", s.Limit))
		Expect(s.AnswerBy()).To(BeNumerically(">", s.OpenUntil()))
		Expect(s.Admit(s.AnswerBy()-time.Second, time.Second).Status).To(BeZero())
	})
	It("A6: stop waiting for slow callers before the process is killed (otherwise no log line names the requests that are cut; issue 29)", func() {
		s := dgadmit.Stop{Limit: 6 * time.Second, DirectoryTTL: time.Second}
		Expect(s.ReceiveBy()).To(BeNumerically(">", s.AnswerBy()))
		Expect(s.ReceiveBy()).To(BeNumerically("<", s.Limit))
	})
	DescribeTable("A9: end early when callers have left (otherwise a VM takes its whole limit to restart, or ends while callers still use its address)",
		func(since, idle time.Duration, want bool) {
			Expect(dgadmit.Stop{Limit: 6 * time.Second, DirectoryTTL: time.Second}.MayEnd(since, idle)).To(Equal(want))
		},
		Entry("idle from the begin on", 3*time.Second, 3*time.Second, false),
		Entry("idle, and callers have another VM", 3200*time.Millisecond, 3200*time.Millisecond, true),
		Entry("between two requests", 4*time.Second, 400*time.Millisecond, false),
		Entry("idle for a while after the last request", 4*time.Second, 500*time.Millisecond, true),
	)
	DescribeTable("A10: close connections of callers when their time is over (otherwise they hold up the end until the kill, or lose a response; issue 29)",
		func(c dgadmit.ConnState, since time.Duration, want bool) {
			Expect(dgadmit.Stop{Limit: 6 * time.Second, DirectoryTTL: time.Second}.Closes(c, since)).To(Equal(want))
		},
		Entry("unused", dgadmit.ConnUnused, 3200*time.Millisecond, true),
		Entry("a part of a request has arrived", dgadmit.ConnReceiving, 5600*time.Millisecond, false),
		Entry("a part of a request has arrived, after A6", dgadmit.ConnReceiving, 5700*time.Millisecond, true),
		Entry("a request in progress", dgadmit.ConnAnswering, 5990*time.Millisecond, false),
		Entry("after its last response, which A6 may have caused", dgadmit.ConnLingering, 5750*time.Millisecond, false),
		Entry("after its last response, shortly before the kill", dgadmit.ConnLingering, 5900*time.Millisecond, true),
	)
	It("A10: close all connections without a request in progress at once if there is no time", func() {
		for _, c := range []dgadmit.ConnState{dgadmit.ConnUnused, dgadmit.ConnReceiving, dgadmit.ConnLingering} {
			Expect(dgadmit.Stop{}.Closes(c, 0)).To(BeTrue())
		}
		Expect(dgadmit.Stop{}.Closes(dgadmit.ConnAnswering, 0)).To(BeFalse())
	})
	DescribeTable("A7: leave a quarter of the descriptors to everything but callers (otherwise a crowd of callers keeps a VM from reaching backend servers and the store; review/3)",
		func(descriptors uint64, want int64) {
			Expect(dgadmit.MaxCallerConnections(descriptors)).To(Equal(want))
		},
		Entry("a VM of the usual size", uint64(4100), int64(3075)),
		Entry("unknown", uint64(0), int64(0)),
		Entry("unlimited", ^uint64(0), int64(1<<30)),
	)
})
