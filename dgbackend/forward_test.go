package dgbackend_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var forwardNames = dgbackend.HeaderNames{RequestID: "Id", Deadline: "Left-Ms", ExpectedInstance: "For", NotRun: "Not-Run", ServerStamp: "Stamp", Leaving: "Leaving"}

func forwardRequest(id string) *dgbackend.ForwardRequest {
	return &dgbackend.ForwardRequest{Head: []byte("GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n"), ID: id, Idempotent: true}
}

// scriptedServer starts a backend server that sends the given responses in order, one
// for each request on any connection. It closes the connection instead of sending an
// empty response, and after the last one. It returns a forwarder, the instance, and
// the number of accepted connections.
func scriptedServer(responses ...string) (*dgbackend.Forwarder, *dandeliongap.Instance, *atomic.Int64) {
	var next atomic.Int64
	r, accepted := rawServer(func(c net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			i := int(next.Add(1)) - 1
			if i >= len(responses) || responses[i] == "" {
				return
			}
			fmt.Fprint(c, strings.ReplaceAll(responses[i], "\n", "\r\n"))
			if i == len(responses)-1 {
				return
			}
		}
	})
	f := dgbackend.NewForwarder(forwardNames)
	DeferCleanup(f.Close)
	return f, &dandeliongap.Instance{ID: "i-1", Address: r.Address}, accepted
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nId: %s\nStamp: s\nContent-Length: %d\n\n%s", id, len(body), body)
}

func sendForward(f *dgbackend.Forwarder, in *dandeliongap.Instance, id string) (dgbackend.ReplyKind, string) {
	GinkgoHelper()
	var call dgbackend.Call
	r := f.Send(&call, in, forwardRequest(id), time.Now().Add(eventTimeout))
	defer r.Release()
	if r.Kind != dgbackend.ReplyAnswered {
		return r.Kind, ""
	}
	return r.Kind, string(r.Resp.Body())
}

var _ = Describe("Forwarder", func() {
	It("sends nothing to an instance whose ID is no name (guards against an ID that ends the head, or that any instance takes for its own)", func() {
		f, in, accepted := scriptedServer(okResponse("x", "ok"))
		for _, id := range []dandeliongap.InstanceID{"", "i-1\n", "i-1\r\nContent-Length: 0", " i-1"} {
			in.ID = id
			kind, _ := sendForward(f, in, "x")
			Expect(kind).To(Equal(dgbackend.ReplyNotSent), "ID %q", id)
		}
		Expect(accepted.Load()).To(BeZero())
	})
	It("sends the request unchanged, with the time left until the deadline and the expected instance", func() {
		got := make(chan *http.Request, 1)
		r, _ := rawServer(func(c net.Conn, br *bufio.Reader) {
			req, err := http.ReadRequest(br)
			if err == nil {
				got <- req
			}
			fmt.Fprint(c, strings.ReplaceAll(okResponse("x", "ok"), "\n", "\r\n"))
		})
		f := dgbackend.NewForwarder(forwardNames)
		defer f.Close()
		_, body := sendForward(f, &dandeliongap.Instance{ID: "i-9", Address: r.Address}, "x")
		Expect(body).To(Equal("ok"))
		req := <-got
		Expect(req.RequestURI).To(Equal("/a/b?c=d"))
		Expect(req.Header.Get("For")).To(Equal("i-9"))
		Expect(req.Header.Get("Left-Ms")).To(MatchRegexp(`^1\d{4}$`))
	})
	It("reuses a connection for the next request", func() {
		f, in, accepted := scriptedServer(okResponse("1", "a"), okResponse("2", "b"))
		_, a := sendForward(f, in, "1")
		_, b := sendForward(f, in, "2")
		Expect(a + b).To(Equal("ab"))
		Expect(accepted.Load()).To(BeEquivalentTo(1))
	})
	It("closes the connections that have been idle for longest and counts those that are open (guards against idle connections that take the descriptors of the VM)", func() {
		f, first, _ := scriptedServer(okResponse("1", "a"), okResponse("4", "d"))
		second := *first
		second.ID = "i-2"
		sendForward(f, first, "1")
		f.CloseIdle(0)
		Expect(f.Open()).To(BeEquivalentTo(1))
		dials := 0
		f.BeforeDial(func() {
			dials++
			Expect(f.Open()).To(BeEquivalentTo(2), "counts the new one")
			f.CloseIdle(1)
		})
		sendForward(f, &second, "4")
		Expect([]int64{int64(dials), f.Open()}).To(Equal([]int64{1, 1}))
		f.CloseIdle(5)
		Expect(f.Open()).To(BeZero())
		f.BeforeDial(nil)
		sendForward(f, &dandeliongap.Instance{ID: "i-3", Address: "127.0.0.1:1"}, "5")
		Expect(f.Open()).To(BeZero(), "after a failure to connect")
	})
	It("ends an attempt that is cancelled, and says that it has not run if nothing was sent (guards against callers that leave and make a replica look unreachable, and against replicas that work for them)", func() {
		r, _ := rawServer(func(_ net.Conn, br *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
			}
		})
		f := dgbackend.NewForwarder(forwardNames)
		defer f.Close()
		const attempts = 2000
		errs := make(chan error, attempts)
		go func() {
			defer close(errs)
			for i := range attempts {
				var call dgbackend.Call
				time.AfterFunc(time.Duration(i%100)*2*time.Microsecond, call.Cancel)
				in := dandeliongap.Instance{ID: dandeliongap.InstanceID(fmt.Sprint(i % 50)), Address: r.Address}
				reply := f.Send(&call, &in, forwardRequest("1"), time.Now().Add(time.Hour))
				if reply.Kind == dgbackend.ReplyNotSent {
					errs <- reply.Err
				}
			}
		}()
		for {
			var err error
			Eventually(errs, eventTimeout).Should(Or(BeClosed(), Receive(&err)), "Send does not return after Cancel")
			if err == nil {
				break
			}
			Expect(err).To(MatchError(dandeliongap.ErrNotRun))
		}
	})
	It("reads a response whose head is longer than usual, and does not reuse the connection (guards against a request with a long ID that looks like a failure of the replica)", func() {
		id := strings.Repeat("i", 15000)
		f, in, accepted := scriptedServer(strings.Replace(okResponse(id, "a"), "Stamp: s", "Stamp: s."+id, 1), okResponse("2", "b"))
		_, a := sendForward(f, in, id)
		_, b := sendForward(f, in, "2")
		Expect(a + b).To(Equal("ab"))
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})
	It("reads no response head without end (guards against a backend server that exhausts the memory)", func() {
		f, in, _ := scriptedServer(strings.Replace(okResponse("1", "a"), "Stamp: s", "Stamp: "+strings.Repeat("s", 70000), 1))
		kind, _ := sendForward(f, in, "1")
		Expect(kind).To(Equal(dgbackend.ReplyUnknown))
	})
	It("counts a long response head towards the memory for responses", func() {
		id := strings.Repeat("i", 15000)
		f, in, _ := scriptedServer(okResponse(id, "a"))
		f.LimitMemory(8000)
		kind, _ := sendForward(f, in, id)
		Expect(kind).To(Equal(dgbackend.ReplyUnknown))
	})
	It("discards a response to another request and returns the one that follows (guards against returning a late response to an earlier request)", func() {
		f, in, _ := scriptedServer(okResponse("other", "wrong") + okResponse("1", "right"))
		_, body := sendForward(f, in, "1")
		Expect(body).To(Equal("right"))
	})
	It("does not reuse a connection with bytes after the response (guards against taking them for the next response)", func() {
		f, in, accepted := scriptedServer(okResponse("1", "a")+"surplus", okResponse("2", "b"))
		sendForward(f, in, "1")
		sendForward(f, in, "2")
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})
	DescribeTable("reports an unknown outcome after a malformed response (guards against returning part of a response, and against reporting the request as not run)",
		func(response string) {
			f, in, _ := scriptedServer(response)
			kind, _ := sendForward(f, in, "1")
			Expect(kind).To(Equal(dgbackend.ReplyUnknown))
		},
		Entry("connection closed without a response", ""),
		Entry("bytes that are not HTTP", "hello\n\n"),
		Entry("success without a request ID", "HTTP/1.1 200 OK\nContent-Length: 1\n\nx"),
		Entry("only responses to other requests", okResponse("2", "x")+okResponse("3", "x")+okResponse("4", "x")),
	)
	It("reports an unknown outcome after a truncated response", func() {
		r, _ := rawServer(func(c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err == nil {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 10\r\n\r\nhalf")
			}
		})
		f := dgbackend.NewForwarder(forwardNames)
		defer f.Close()
		kind, _ := sendForward(f, &dandeliongap.Instance{ID: "i", Address: r.Address}, "1")
		Expect(kind).To(Equal(dgbackend.ReplyUnknown))
	})
	It("accepts a response delimited by the end of the connection, and does not reuse the connection", func() {
		r, accepted := rawServer(func(c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err == nil {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\nwhole")
			}
		})
		f := dgbackend.NewForwarder(forwardNames)
		defer f.Close()
		in := &dandeliongap.Instance{ID: "i", Address: r.Address}
		for range 2 {
			_, body := sendForward(f, in, "1")
			Expect(body).To(Equal("whole"))
		}
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})
	It("reads a chunked response to its end", func() {
		f, in, _ := scriptedServer("HTTP/1.1 200 OK\nId: 1\nStamp: s\nTransfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n")
		_, body := sendForward(f, in, "1")
		Expect(body).To(Equal("abcde"))
	})
	DescribeTable("reports a request as not run only if the backend server says so (guards against reporting a request that ran as not run)",
		func(response string, want dgbackend.ReplyKind) {
			f, in, _ := scriptedServer(response)
			kind, _ := sendForward(f, in, "1")
			Expect(kind).To(Equal(want))
		},
		Entry("shed load", "HTTP/1.1 503 X\nNot-Run: 1\nContent-Length: 0\n\n", dgbackend.ReplyNotRun),
		Entry("another instance", "HTTP/1.1 421 X\nContent-Length: 0\n\n", dgbackend.ReplyWrongInstance),
		Entry("503 without the Not-Run header", "HTTP/1.1 503 X\nId: 1\nContent-Length: 0\n\n", dgbackend.ReplyAnswered),
	)
	It("reports a request as not sent if no connection can be made", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		f := dgbackend.NewForwarder(forwardNames)
		defer f.Close()
		kind, _ := sendForward(f, &dandeliongap.Instance{ID: "i", Address: addr}, "1")
		Expect(kind).To(Equal(dgbackend.ReplyNotSent))
	})
	It("closes the connection of a cancelled attempt (guards against replicas working on requests whose callers have gone)", func() {
		closed := make(chan error, 1)
		arrived := make(chan struct{})
		r, _ := rawServer(func(_ net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			close(arrived)
			_, err := br.ReadByte()
			closed <- err
		})
		f := dgbackend.NewForwarder(forwardNames)
		defer f.Close()
		var call dgbackend.Call
		go func() {
			<-arrived
			call.Cancel()
		}()
		rep := f.Send(&call, &dandeliongap.Instance{ID: "i", Address: r.Address}, forwardRequest("1"), time.Now().Add(eventTimeout))
		Expect(rep.Kind).To(Equal(dgbackend.ReplyUnknown))
		Eventually(closed, eventTimeout).Should(Receive(HaveOccurred()))
	})
	It("sends nothing if the call is already cancelled", func() {
		f, in, _ := scriptedServer(okResponse("1", "a"))
		var call dgbackend.Call
		call.Cancel()
		rep := f.Send(&call, in, forwardRequest("1"), time.Now().Add(eventTimeout))
		Expect(rep.Kind).To(Equal(dgbackend.ReplyNotSent))
		Expect(errors.Is(rep.Err, dandeliongap.ErrNotRun)).To(BeTrue())
	})
	It("returns a response that arrives before a long body is sent, and closes the connection (guards against sending another request where the server expects the rest of the body)", func() {
		r, accepted := rawServer(func(c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 413 X\r\nId: 1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond) // the body stays unread, so that writing it cannot complete
		})
		f := dgbackend.NewForwarder(forwardNames)
		defer f.Close()
		req := forwardRequest("1")
		req.Body = make([]byte, 8<<20)
		req.Head = append(req.Head, fmt.Sprintf("Content-Length: %d\r\n", len(req.Body))...)
		in := &dandeliongap.Instance{ID: "i", Address: r.Address}
		for range 2 {
			var call dgbackend.Call
			rep := f.Send(&call, in, req, time.Now().Add(eventTimeout))
			Expect(rep.Kind).To(Equal(dgbackend.ReplyAnswered))
			Expect(rep.Resp.StatusCode()).To(Equal(413))
			rep.Release()
		}
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})
	It("keeps an idle connection for less than the time that the server announced", func() {
		f, in, accepted := scriptedServer("HTTP/1.1 200 OK\nId: 1\nStamp: s\nKeep-Alive: timeout=0\nContent-Length: 0\n\n", okResponse("2", "b"))
		sendForward(f, in, "1")
		sendForward(f, in, "2")
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})
	It("closes the idle connections to instances that are gone", func() {
		f, in, accepted := scriptedServer(okResponse("1", "a"), okResponse("2", "b"))
		sendForward(f, in, "1")
		f.Retain(map[dandeliongap.InstanceID]bool{"i-2": true})
		sendForward(f, in, "2")
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})
})

// FuzzForwardAnswer checks that no bytes from a faulty backend server make the process
// panic, and that a successful response to another request is never returned.
func FuzzForwardAnswer(f *testing.F) {
	for _, response := range []string{okResponse("1", "x"), okResponse("2", "x") + okResponse("1", "y"), "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\nff\nx",
		"HTTP/1.1 999999 X\nId: 1\n\n", "HTTP/1.1 200 OK\nContent-Length: -5\nId: 1\n\n", "\x00\x01", "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n"} {
		f.Add([]byte(strings.ReplaceAll(response, "\n", "\r\n")))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write(raw)
			}
		}()
		fw := dgbackend.NewForwarder(forwardNames)
		defer fw.Close()
		var call dgbackend.Call
		rep := fw.Send(&call, &dandeliongap.Instance{ID: "i", Address: l.Addr().String()}, forwardRequest("1"), time.Now().Add(eventTimeout))
		if rep.Kind != dgbackend.ReplyAnswered {
			return
		}
		defer rep.Release()
		if rep.Resp.StatusCode() < 300 && string(rep.Resp.Header.Peek("Id")) != "1" {
			t.Fatalf("returned a response without the ID of the request: %q", raw)
		}
	})
}
