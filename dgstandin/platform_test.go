package dgstandin_test

import (
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgstandin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Platform", func() {
	var p *dgstandin.Platform
	start := func(o dgstandin.PlatformOptions) {
		var err error
		p, err = dgstandin.NewPlatform(o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
	}
	put := func(path string, condition string) response {
		GinkgoHelper()
		return mustSend("PUT", p.Address(), path, "x", condition)
	}

	It("numbers the versions of all objects in one sequence and checks the conditions of writes", func() {
		start(dgstandin.PlatformOptions{})
		Expect(put("/objects/a/x", "If-None-Match: *").header.Get("ETag")).To(Equal(`"1"`))
		Expect(put("/objects/b/y", "If-None-Match: *").header.Get("ETag")).To(Equal(`"2"`))
		Expect(put("/objects/a/x", `If-Match: "2"`).status).To(Equal(412))
		Expect(put("/objects/a/x", `If-Match: "1"`).header.Get("ETag")).To(Equal(`"3"`))
		Expect(put("/objects/a/x", "X: y").status).To(Equal(400))
	})

	It("shows a change of the VM list only after VMLag", func() {
		start(dgstandin.PlatformOptions{VMLag: time.Hour})
		p.SetVMs([]dandeliongap.ListedVM{{Name: "vm1"}})
		p.SetVMs([]dandeliongap.ListedVM{{Name: "vm1", Leaving: true}})
		Expect(mustSend("GET", p.Address(), "/vms", "").body).To(And(ContainSubstring("vm1"), ContainSubstring(`"live"`)))
		q, err := dgstandin.NewPlatform(dgstandin.PlatformOptions{VMLag: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(q.Close)
		q.SetVMs([]dandeliongap.ListedVM{{Name: "vm1"}})
		q.SetVMs([]dandeliongap.ListedVM{{Name: "vm1", Leaving: true}})
		Eventually(func() string { return mustSend("GET", q.Address(), "/vms", "").body }, eventTimeout).Should(ContainSubstring(`"leaving"`))
	})

	It("with Stale, serves reads from an earlier state but checks conditions against the current one", func() {
		start(dgstandin.PlatformOptions{})
		v := p.Set("a/x", nil)
		Expect(p.SetFaults(dgstandin.PlatformFaults{Stale: time.Hour})).To(Succeed())
		Expect(mustSend("GET", p.Address(), "/objects/a/x", "").status).To(Equal(404))
		Expect(mustSend("GET", p.Address(), "/objects/a", "").body).To(ContainSubstring(`"Objects":[]`))
		Expect(put("/objects/a/x", "If-None-Match: *").status).To(Equal(412))
		Expect(v).To(BeEquivalentTo(1))
	})

	It("with LoseShare, applies a write, loses its answer and counts the call", func() {
		start(dgstandin.PlatformOptions{Seed: 1})
		Expect(p.SetFaults(dgstandin.PlatformFaults{LoseShare: 1})).To(Succeed())
		_, err := send("PUT", p.Address(), "/objects/a/x", "x", "If-None-Match: *")
		Expect(err).To(HaveOccurred())
		Expect(p.Object("a/x")).To(HaveField("Version", dandeliongap.Version(1)))
		Expect(p.Calls()).To(Equal(map[dgstandin.PlatformCall]int64{{Method: "PUT", Kind: "a"}: 1}))
	})

	It("answers waiting watches with 503 when the platform goes down", func() {
		start(dgstandin.PlatformOptions{})
		done := make(chan int)
		go func() {
			defer GinkgoRecover()
			done <- mustSend("GET", p.Address(), "/objects/a?since=0&wait=60", "").status
		}()
		Eventually(p.Watches, eventTimeout).Should(Equal(1))
		Expect(p.SetFaults(dgstandin.PlatformFaults{Down: dgstandin.Unavailable})).To(Succeed())
		Eventually(done, eventTimeout).Should(Receive(Equal(503)))
	})
})
