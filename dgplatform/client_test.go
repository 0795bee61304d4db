package dgplatform_test

import (
	"context"
	"math/rand/v2"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgplatform"
	"dandeliongap.example/dandeliongap/dgstandin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventTimeout limits waits for events that are certain to happen. It does not say
// how long they normally take.
const eventTimeout = 20 * time.Second

var _ = Describe("Client", func() {
	const name = dandeliongap.ObjectName("state/zones")
	var (
		p   *dgstandin.Platform
		c   *dgplatform.Client
		ctx = context.Background()
	)
	connect := func(o dgplatform.Options) *dgplatform.Client {
		o.Address = p.Address()
		c, err := dgplatform.New(o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	BeforeEach(func() {
		var err error
		p, err = dgstandin.NewPlatform(dgstandin.PlatformOptions{VMLag: -1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		c = connect(dgplatform.Options{Timeout: eventTimeout, Rate: 1e6, Burst: 1000})
	})
	fault := func(f dgstandin.PlatformFaults) { Expect(p.SetFaults(f)).To(Succeed()) }

	It("writes and deletes only if the object has the expected version", func() {
		v1, err := c.Put(ctx, name, []byte("a"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Put(ctx, name, []byte("b"), 0)
		Expect(err).To(MatchError(dandeliongap.ErrConflict))
		v2, err := c.Put(ctx, name, []byte("b"), v1)
		Expect(err).NotTo(HaveOccurred())
		Expect(v2).To(BeNumerically(">", v1))
		Expect(c.Delete(ctx, name, v1)).To(MatchError(dandeliongap.ErrConflict))
		Expect(c.Get(ctx, name)).To(Equal(dandeliongap.Object{Name: name, Version: v2, Body: []byte("b")}))
		Expect(c.Delete(ctx, name, v2)).To(Succeed())
		Expect(c.Delete(ctx, name, v2)).To(MatchError(dandeliongap.ErrConflict))
		_, err = c.Get(ctx, name)
		Expect(err).To(MatchError(dandeliongap.ErrNotFound))
	})

	It("accepts any character in an object name", func() {
		const odd = dandeliongap.ObjectName("once/a b/../c%2F?x=1#é\n//.")
		v, err := c.Put(ctx, odd, []byte("x"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Object(odd)).To(HaveField("Version", v))
		Expect(c.Get(ctx, odd)).To(HaveField("Version", v))
		list, _, err := c.List(ctx, "once")
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(ConsistOf(HaveField("Name", odd)))
		_, err = c.Get(ctx, "nokind")
		Expect(err).To(MatchError(dandeliongap.ErrInvalid))
	})

	It("reports a value above the size limit", func() {
		_, err := c.Put(ctx, name, make([]byte, dgstandin.MaxValueBytes+1), 0)
		Expect(err).To(MatchError(dandeliongap.ErrTooLarge))
	})

	It("does not retry a write whose response is lost, and reports it as unreachable but not as not run", func() {
		fault(dgstandin.PlatformFaults{LoseNext: 1})
		_, err := c.Put(ctx, name, []byte("a"), 0)
		Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
		Expect(err).NotTo(MatchError(dandeliongap.ErrNotRun))
		Expect(p.Object(name)).To(HaveField("Body", []byte("a")))
		Expect(p.TotalCalls()).To(BeEquivalentTo(1))
	})

	It("does not retry a read whose response is lost", func() {
		fault(dgstandin.PlatformFaults{LoseNext: 1})
		_, err := c.Get(ctx, name)
		Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
		Expect(p.TotalCalls()).To(BeEquivalentTo(1))
	})

	DescribeTable("reports an outage as unreachable and recovers on the first call after it",
		func(f dgstandin.PlatformFaults, notRun bool) {
			v, err := c.Put(ctx, name, []byte("a"), 0)
			Expect(err).NotTo(HaveOccurred())
			fault(f)
			_, err = c.Put(ctx, name, []byte("b"), v)
			Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
			if notRun {
				Expect(err).To(MatchError(dandeliongap.ErrNotRun))
			} else {
				Expect(err).NotTo(MatchError(dandeliongap.ErrNotRun))
			}
			fault(dgstandin.PlatformFaults{})
			Expect(c.Get(ctx, name)).To(HaveField("Version", v))
		},
		Entry("refused connections", dgstandin.PlatformFaults{Down: dgstandin.Refused}, true),
		Entry("503", dgstandin.PlatformFaults{Down: dgstandin.Unavailable}, false),
		Entry("500", dgstandin.PlatformFaults{FailShare: 1}, false),
	)

	It("ends a slow call at its timeout or when its context ends", func() {
		fault(dgstandin.PlatformFaults{Delay: eventTimeout})
		quick := connect(dgplatform.Options{Timeout: 20 * time.Millisecond})
		_, err := quick.Get(ctx, name)
		Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
		ended, cancel := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			Eventually(p.TotalCalls, eventTimeout).Should(BeEquivalentTo(2))
			cancel()
		}()
		_, err = c.Get(ended, name)
		Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
	})

	It("reports a call stopped by the rate limit as not run", func() {
		slow := connect(dgplatform.Options{Timeout: 50 * time.Millisecond, Rate: 0.001, Burst: 2})
		for range 2 {
			_, _, err := slow.List(ctx, "state")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := slow.Put(ctx, name, nil, 0)
		Expect(err).To(MatchError(dandeliongap.ErrNotRun))
		Expect(err).NotTo(MatchError(dandeliongap.ErrUnreachable))
		Expect(p.TotalCalls()).To(BeEquivalentTo(2))
		Expect(slow.Calls("list")).To(BeEquivalentTo(2))
		Expect(slow.Calls("put")).To(BeZero())
		Expect(slow.Calls("limited")).To(BeEquivalentTo(1))
	})

	It("waits for a change in a single call and returns changes and deletions after the given version", func() {
		v := p.Set("state/a", []byte("1"))
		type seen struct {
			objects []dandeliongap.Object
			version dandeliongap.Version
		}
		got := make(chan seen, 1)
		go func() {
			defer GinkgoRecover()
			objects, version, err := c.Watch(ctx, "state", v, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			got <- seen{objects, version}
		}()
		Eventually(p.Watches, eventTimeout).Should(Equal(1))
		p.Set("other/kind", nil)
		p.Remove("state/a")
		var s seen
		Eventually(got, eventTimeout).Should(Receive(&s))
		Expect(s.objects).To(ConsistOf(And(HaveField("Name", dandeliongap.ObjectName("state/a")), HaveField("Deleted", true))))
		Expect(s.version).To(BeNumerically(">", v))
		Expect(p.Calls()).To(Equal(map[dgstandin.PlatformCall]int64{{Method: "WATCH", Kind: "state"}: 1}))
		list, _, err := c.List(ctx, "state")
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(BeEmpty())
	})

	It("ends a pending watch on Close", func() {
		errs := make(chan error, 1)
		go func() {
			_, _, err := c.Watch(ctx, "state", 1, time.Minute)
			errs <- err
		}()
		Eventually(p.Watches, eventTimeout).Should(Equal(1))
		Expect(c.Close()).To(Succeed())
		Expect(<-errs).To(MatchError(dandeliongap.ErrUnreachable))
		_, err := c.VMs(ctx)
		Expect(err).To(MatchError(dandeliongap.ErrClosed))
	})

	It("reads the VM list", func() {
		vms := []dandeliongap.ListedVM{{Name: "vm1", Zone: "a"}, {Name: "vm2", Zone: "b", Leaving: true}}
		p.SetVMs(vms)
		Expect(c.VMs(ctx)).To(Equal(vms))
	})
})

var _ = Describe("Backoff", func() {
	It("draws delays from the whole range up to a ceiling, which doubles up to the maximum", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		var highest [6]time.Duration
		lowest := [6]time.Duration{1000, 1000, 1000, 1000, 1000, 1000}
		for range 2000 {
			b := dgplatform.Backoff{Base: 100, Max: 1000}
			for i := range highest {
				d := b.Next(rng)
				highest[i] = max(highest[i], d)
				lowest[i] = min(lowest[i], d)
			}
		}
		ceilings := [6]time.Duration{100, 200, 400, 800, 1000, 1000}
		for i, ceiling := range ceilings {
			Expect(highest[i]).To(And(BeNumerically("<=", ceiling), BeNumerically(">", ceiling*9/10)))
			Expect(lowest[i]).To(BeNumerically("<", ceiling/10))
		}
	})

	It("starts over after Reset", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		b := dgplatform.Backoff{Base: 1, Max: time.Hour}
		for range 100 {
			b.Next(rng)
		}
		b.Reset()
		Expect(b.Next(rng)).To(BeNumerically("<=", 1))
	})
})
