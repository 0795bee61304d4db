package dgbalance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbalance"
)

var _ = Describe("hints of replicas", func() {
	leaving := dgbalance.Hints{Leaving: true}
	It("R9 end all requests to a replica that says that it is leaving, though it is registered as ready (guards against requests to a replica that is about to exit)", func() {
		f := newFixture()
		a := newInstance("a")
		Expect(f.b.Heed(ms(10), &a, leaving)).To(Equal(dgbalance.StartedLeaving))
		Expect(f.b.Heed(ms(11), &a, leaving)).To(Equal(dgbalance.Unchanged))
		f.update(ms(20), a, newInstance("b"))
		for at := 20; at < 20000; at += 100 {
			Expect(f.request(ms(at), constantLatency, dgbalance.Answered)).To(Equal("b"))
		}
	})
	It("R9 hold after the registration lapsed and came back, until another process registers (guards against an outage of the store that makes a leaving replica look new)", func() {
		f := newFixture()
		a := newInstance("a")
		a.StartUnixMs = 1
		f.update(0, a)
		f.b.Heed(ms(10), &a, leaving)
		f.update(ms(20))
		f.update(ms(30000), a)
		Expect(f.b.Availability(ms(30000), svc)).To(Equal(dgbalance.None))
		a.StartUnixMs = 2
		f.update(ms(30001), a)
		Expect(f.b.Availability(ms(30001), svc)).To(Equal(dgbalance.Usable))
	})
	It("R9 of a process do not concern the one that replaced it (guards against a late response that excludes the new process)", func() {
		f := newFixture()
		old, a := newInstance("a"), newInstance("a")
		old.StartUnixMs, a.StartUnixMs = 1, 2
		f.update(0, a)
		f.b.Heed(ms(10), &old, leaving)
		Expect(f.b.Availability(ms(10), svc)).To(Equal(dgbalance.Usable))
	})
	It("R10 end all requests to a replica until its pause is over, probes included (guards against requests that a replica has asked not to get)", func() {
		f := newFixture()
		a := newInstance("a")
		Expect(f.b.Heed(ms(100), &a, dgbalance.Hints{RetryAfter: 3 * time.Second})).To(Equal(dgbalance.Paused))
		f.b.Heed(ms(200), &a, dgbalance.Hints{RetryAfter: time.Second}) // does not shorten the pause
		seen := map[string]bool{}
		for at := 200; at < 3100; at += 50 {
			Expect(f.request(ms(at), constantLatency, dgbalance.Answered)).To(Equal("b"))
		}
		for at := 3100; at < 6000; at += 50 {
			seen[f.request(ms(at), constantLatency, dgbalance.Answered)] = true
		}
		Expect(seen).To(HaveKey("a"))
	})
	It("R10 tell when the service is usable again if all its replicas are paused (guards against requests that wait in vain, and against callers that come back too early)", func() {
		f := newFixture()
		a, b := newInstance("a"), newInstance("b")
		f.b.Heed(ms(100), &a, dgbalance.Hints{RetryAfter: 3 * time.Second})
		f.b.Heed(ms(100), &b, dgbalance.Hints{RetryAfter: 2 * time.Second})
		_, retryAt, err := f.b.Pick(ms(100), route, svc, nil, nil)
		Expect(err).To(MatchError(dandeliongap.ErrNoReplica))
		Expect(retryAt).To(Equal(ms(2100)))
		Expect(f.b.Availability(ms(100), svc)).To(Equal(dgbalance.Down))
		at, ok := f.b.UsableAt(ms(100), svc)
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(ms(2100)))
		at, ok = f.b.UsableAt(ms(2100), svc)
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(ms(2100)))
	})
})
