package dgedge_test

import (
	"bytes"
	"io"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgedge"
)

var _ = Describe("a response to a caller", func() {
	// connect returns both ends of a connection.
	connect := func() (server, caller *net.TCPConn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		s, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _, _ = s.Close(), c.Close() })
		return s.(*net.TCPConn), c.(*net.TCPConn)
	}
	It("is given up when the caller stops receiving (guards against callers that keep the memory for responses for good)", func() {
		server, _ := connect()
		_, err := dgedge.WriteToCaller(server, 50*time.Millisecond, make([]byte, 64<<20))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})
	It("is written whole", func() {
		server, caller := connect()
		body := bytes.Repeat([]byte("0123456789"), 100_000)
		go func() {
			defer GinkgoRecover()
			n, err := dgedge.WriteToCaller(server, time.Minute, body)
			Expect([]any{n, err}).To(Equal([]any{len(body), nil}))
			Expect(server.CloseWrite()).To(Succeed())
		}()
		Expect(io.ReadAll(caller)).To(Equal(body))
	})
})
