package dgedge_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgadmit"
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

var _ = Describe("a listener for callers that is closed", func() {
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
	closed := func(c net.Conn) bool {
		Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	send := func(server, caller net.Conn, text string) {
		_, err := io.WriteString(caller, text)
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Read(make([]byte, len(text)))).To(Equal(len(text)))
	}
	// sweep closes the connections that are in one of the states.
	sweep := func(states ...dgadmit.ConnState) {
		l.Sweep(func(c dgadmit.ConnState) bool { return slices.Contains(states, c) })
	}
	// answered returns the caller of a connection that was closed after its last response.
	answered := func() net.Conn {
		server, caller := connect()
		send(server, caller, "GET / HTTP/1.1\r\n\r\n")
		dgedge.BeginRequest(server)
		_, err := server.Write([]byte("response"))
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Close()).To(Succeed())
		return caller
	}
	It("closes connections on which nothing has arrived, and accepts no more (guards against a stop that waits for them until the process is killed; issue 29)", func() {
		_, unused := connect()
		sweep(dgadmit.ConnUnused)
		Expect(closed(unused)).To(BeTrue())
		late, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(late.Close)
		go func() { _, _ = l.Accept() }() // until the listener is closed
		Expect(late.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
		_, err = late.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
	It("does not take a connection for unused on which a request has begun to arrive", func() {
		server, caller := connect()
		send(server, caller, "GET / HT")
		sweep(dgadmit.ConnUnused)
		Expect(closed(caller)).To(BeFalse())
	})
	It("lets a caller receive its last response (guards against a reset of connections that are closed already; issue 29)", func() {
		caller := answered()
		sweep(dgadmit.ConnUnused, dgadmit.ConnReceiving)
		Consistently(l.Len, 100*time.Millisecond).Should(Equal(1), "connections on which the caller can still receive")
		Expect(io.ReadAll(caller)).To(Equal([]byte("response")))
		Expect(caller.Close()).To(Succeed())
		Eventually(l.Len).Should(BeZero())
	})
	It("does not wait longer than a stop for callers that keep their connection after the last response (guards against a stop that is killed while it reads on; issue 29)", func() {
		answered()
		sweep(dgadmit.ConnLingering)
		Eventually(l.Len, dgadmit.LingerTime/2).Should(BeZero())
	})
	It("closes connections without a request in progress when their time is over (guards against a stop that waits for the rest of a request; issue 29)", func() {
		server, caller := connect()
		send(server, caller, "GET / HT")
		busyServer, busy := connect()
		send(busyServer, busy, "GET / HTTP/1.1\r\n\r\n")
		dgedge.BeginRequest(busyServer)
		sweep(dgadmit.ConnReceiving)
		Expect(closed(caller)).To(BeTrue())
		Expect(closed(busy)).To(BeFalse(), "connection with a request in progress")
		dgedge.EndResponse(busyServer)
		sweep(dgadmit.ConnReceiving)
		Expect(closed(busy)).To(BeTrue())
	})
})
