package dgedge_test

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgmemory"
)

var _ = Describe("connections of callers", func() {
	var l *dgedge.CallerListener
	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l = dgedge.NewCallerListener(inner)
		DeferCleanup(l.Close)
	})
	connect := func() (server, caller net.Conn) {
		caller, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		server, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _, _ = server.Close(), caller.Close() })
		return server, caller
	}
	isClosed := func(caller net.Conn) bool {
		Expect(caller.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
		_, err := caller.Read(make([]byte, 1))
		return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}
	It("end the one that has been idle for longest when too many are open (guards against callers that take all connections by doing nothing)", func() {
		l.LimitOpen(2)
		_, first := connect()
		connect()
		connect()
		Expect(isClosed(first)).To(BeTrue())
		Expect(l.Len()).To(Equal(2))
	})
	It("are not ended while their request runs", func() {
		l.LimitOpen(1)
		server, _ := connect()
		dgedge.BeginRequest(server)
		caller, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		go func() { _, _ = l.Accept() }() // until the listener is closed
		Expect(isClosed(caller)).To(BeTrue())
		Expect(l.Len()).To(Equal(1))
	})
	It("are refused when the lines of their head take more than there is, and give back what they held (guards against heads of legal size with thousands of lines)", func() {
		l.LimitMemory(2 * dgmemory.ConnBytes)
		server, caller := connect()
		_, err := io.WriteString(caller, strings.Repeat("x:\n", 4000))
		Expect(err).NotTo(HaveOccurred())
		for err = nil; err == nil; {
			_, err = server.Read(make([]byte, 16<<10))
		}
		Expect(err).To(MatchError(dgedge.ErrNoMemory))
		Expect(server.Close()).To(Succeed())
		Expect(l.Used()).To(BeZero())
	})
	It("have the header timeout for a head, however much arrives (guards against heads without end)", func() {
		const most = 4 << 30 // bytes; far more than arrive in time
		l.LimitHead(50 * time.Millisecond)
		server, caller := connect()
		go func() {
			for piece := []byte("x"); ; {
				if _, err := caller.Write(piece); err != nil {
					return
				}
				piece = make([]byte, 1000)
			}
		}()
		var err error
		for n, total := 0, 0; err == nil && total < most; total += n {
			n, err = server.Read(make([]byte, 4096))
		}
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})
})

var _ = Describe("the body of a request", func() {
	It("takes no more memory than has arrived, but for a factor of two (guards against lengths that are only announced)", func() {
		largest := 0
		hold := func(size int) bool { largest = max(largest, size); return true }
		_, err := dgedge.ReadBody(strings.NewReader(strings.Repeat("x", 5000)), 200_000, 262144, hold)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(largest).To(BeNumerically("<=", 8<<10))
	})
	It("is refused when there is no memory for it, or when it exceeds the limit", func() {
		_, err := dgedge.ReadBody(strings.NewReader(strings.Repeat("x", 50_000)), -1, 262144, func(size int) bool { return size < 16<<10 })
		Expect(err).To(MatchError(dgedge.ErrNoMemory))
		_, err = dgedge.ReadBody(strings.NewReader(strings.Repeat("x", 1001)), -1, 1000, func(int) bool { return true })
		Expect(err).To(MatchError(dgedge.ErrBodyTooLarge))
		body, err := dgedge.ReadBody(strings.NewReader(strings.Repeat("x", 1000)), -1, 1000, func(int) bool { return true })
		Expect([]any{len(body), err}).To(Equal([]any{1000, nil}))
	})
})
