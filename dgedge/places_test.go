package dgedge_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgmemory"
)

var _ = Describe("the places of a request (dgmemory M9)", func() {
	var l *dgedge.CallerListener
	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l = dgedge.NewCallerListener(inner)
		DeferCleanup(l.Close)
	})
	connect := func() net.Conn {
		caller, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		server, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = server.Close() }) // some have been ended
		return server
	}
	reserve := func(n int) *dgedge.Reservation {
		r, ok := l.Reserve(n)
		Expect(ok).To(BeTrue())
		return r
	}
	It("are all given back, whether attempts start, fail or outlast the request (guards against a VM that refuses more and more)", func() {
		l.LimitSockets(100)
		r := reserve(3)
		Expect(r.Start(true)).To(BeTrue())
		Expect(r.Start(true)).To(BeTrue())
		r.End(true) // the next attempt gets its place
		Expect(r.Start(false)).To(BeTrue())
		Expect(l.Places()).To(BeEquivalentTo(3))
		Expect(r.Start(true)).To(BeTrue())
		Expect(r.Start(false)).To(BeTrue(), "a further attempt")
		Expect(l.Places()).To(BeEquivalentTo(4))
		r.End(false)
		r.Finish()
		Expect(l.Places()).To(BeEquivalentTo(3))
		for range 3 {
			r.End(true)
		}
		Expect([]int64{l.Places(), l.Used()}).To(Equal([]int64{0, 0}))
	})
	It("end connections that do nothing, but not those with a request (guards against idle callers that keep out searches)", func() {
		l.LimitSockets(40)
		dgedge.BeginRequest(connect())
		for range 25 {
			connect()
		}
		other := reserve(1)
		r := reserve(20)
		Expect(l.Len()).To(BeNumerically("<=", 19))
		_, ok := l.Reserve(20)
		Expect(ok).To(BeFalse())
		Expect(r.Start(false)).To(BeTrue())
		r.End(false)
		r.Finish()
		other.Finish()
		_, ok = l.Reserve(100)
		Expect(ok).To(BeTrue(), "one request alone")
	})
	It("end connections that do nothing for their memory (guards against idle callers that keep out searches)", func() {
		l.LimitMemory(10 * dgmemory.ConnBytes)
		for range 10 {
			connect()
		}
		reserve(1)
		reserve(10)
		Expect(l.Len()).To(BeNumerically("<", 10))
		_, ok := l.Reserve(30)
		Expect(ok).To(BeFalse())
	})
})
