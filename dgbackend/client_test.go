package dgbackend_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgstandin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventTimeout limits waits for events that are certain to happen. It does not say
// how long they normally take.
const eventTimeout = 20 * time.Second

var lastQuery atomic.Uint64

func searchRequest() *dandeliongap.BackendRequest {
	return &dandeliongap.BackendRequest{
		ID:       dandeliongap.SubID{Entry: 0xabc, Query: lastQuery.Add(1), Shard: 17, Attempt: 2},
		Deadline: time.Now().Add(eventTimeout),
		Body:     []byte("ballast 40 mm"),
	}
}

func actionRequest(key string) *dandeliongap.BackendRequest {
	r := searchRequest()
	r.Action, r.Key = true, dandeliongap.IdempotencyKey(key)
	return r
}

// cancelledAtConnect is a context that ends after Send has checked it and before Send
// waits for a new connection.
type cancelledAtConnect struct {
	context.Context
	checked atomic.Bool
}

func (*cancelledAtConnect) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

func (c *cancelledAtConnect) Err() error {
	if c.checked.Swap(true) {
		return context.Canceled
	}
	return nil
}

// cancelledWhileDialing is a context that has ended by the time Send waits for a new
// connection, and makes that wait begin only after the connection is open.
type cancelledWhileDialing struct {
	cancelledAtConnect
	dialed func() bool
}

func (c *cancelledWhileDialing) Done() <-chan struct{} {
	Eventually(c.dialed, eventTimeout).Should(BeTrue())
	time.Sleep(5 * time.Millisecond) // lets the dialing goroutine offer the connection
	return c.cancelledAtConnect.Done()
}

// rawServer serves each connection with fn, for faults that an HTTP server cannot
// produce. It returns the replica and the number of accepted connections.
func rawServer(fn func(net.Conn, *bufio.Reader)) (replica *dandeliongap.Replica, accepted *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	accepted = new(atomic.Int64)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				fn(c, bufio.NewReader(c))
			})
		}
	})
	DeferCleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return &dandeliongap.Replica{ID: "raw/0", Address: ln.Addr().String(), Slots: 1, Connections: 2}, accepted
}

// readRequest reads a request with its body and returns the request line and the
// headers.
func readRequest(r *bufio.Reader) (string, error) {
	var head strings.Builder
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
		if line == "\r\n" {
			break
		}
		head.WriteString(line)
	}
	_, err := r.Discard(length)
	return head.String(), err
}

func requestID(head string) string {
	_, rest, _ := strings.Cut(head, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

var _ = Describe("Client", func() {
	var (
		b *dgstandin.Backend
		c *dgbackend.Client
		r *dandeliongap.Replica
	)
	start := func(o dgstandin.BackendOptions) {
		var err error
		b, err = dgstandin.NewBackend(o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		replica := b.Replica()
		r = &replica
	}
	send := func(req *dandeliongap.BackendRequest) dandeliongap.BackendAnswer {
		return c.Send(context.Background(), r, req)
	}
	options := func(slots, connections int) dgstandin.BackendOptions {
		return dgstandin.BackendOptions{Replica: dandeliongap.Replica{
			ID: "orders/0", Service: "orders", Slots: dandeliongap.Slots(slots), Connections: connections,
		}}
	}
	BeforeEach(func() {
		c = dgbackend.New(dgbackend.Options{MaxResponseBytes: 64 << 10})
		DeferCleanup(func() { _ = c.Close() })
	})

	It("sends the ID, class, index version and deadline and returns the complete response", func() {
		start(options(3, 30))
		b.HoldVersion(7, []dandeliongap.PartID{4, 9})
		req := searchRequest()
		req.Index = 7
		a := send(req)
		Expect(a.Status).To(Equal(dandeliongap.SubAnswered))
		Expect(a.Index).To(BeEquivalentTo(7))
		Expect(string(a.Body)).To(ContainSubstring(`"Part":9`))
		Expect(a.Cold).To(BeFalse())
	})

	It("sends the Request-Id in the format of SubID.String", func() {
		ids := make(chan string, 1)
		r, _ = rawServer(func(_ net.Conn, br *bufio.Reader) {
			head, _ := readRequest(br)
			ids <- requestID(head)
		})
		req := searchRequest()
		send(req)
		Expect(<-ids).To(Equal(req.ID.String()))
	})

	DescribeTable("reports a refused request as not run, with the reason",
		func(prepare func(), change func(*dandeliongap.BackendRequest), reason dandeliongap.Reason) {
			start(options(3, 30))
			prepare()
			req := searchRequest()
			change(req)
			a := send(req)
			Expect(a.Status).To(Equal(dandeliongap.SubNotRun))
			Expect(a.Reason).To(Equal(reason))
			Expect(b.Counters().Runs).To(BeZero())
		},
		Entry("shed load", func() { b.SetFaults(dgstandin.BackendFaults{ShedNext: 1}) },
			func(*dandeliongap.BackendRequest) {}, dandeliongap.ReasonShed),
		Entry("draining", func() { b.SetDraining(true) },
			func(*dandeliongap.BackendRequest) {}, dandeliongap.ReasonDraining),
		Entry("index version not held", func() {},
			func(q *dandeliongap.BackendRequest) { q.Index = 99 }, dandeliongap.ReasonVersionGone),
		Entry("deadline passed before it was sent", func() {},
			func(q *dandeliongap.BackendRequest) { q.Deadline = time.Now().Add(-time.Second) }, dandeliongap.ReasonDeadline),
		Entry("connection refused", func() { b.Stop() },
			func(*dandeliongap.BackendRequest) {}, dandeliongap.ReasonConnection),
	)

	It("returns the retry delay of a refusal and the cold state", func() {
		o := options(3, 30)
		o.StartCold, o.RetryAfter = true, 70*time.Millisecond
		start(o)
		b.SetFaults(dgstandin.BackendFaults{ShedNext: 1})
		a := send(searchRequest())
		Expect(a.RetryAfter).To(Equal(70 * time.Millisecond))
		Expect(a.Cold).To(BeTrue())
	})

	It("does not report a 503 response as not run if it lacks the Not-Run header", func() {
		r, _ = rawServer(func(conn net.Conn, br *bufio.Reader) {
			_, _ = readRequest(br)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		})
		Expect(send(actionRequest("k")).Status).To(Equal(dandeliongap.SubUnknown))
	})

	DescribeTable("reports a missing or malformed response as unknown and never reuses its connection",
		func(f dgstandin.BackendFaults, reason dandeliongap.Reason) {
			start(options(1, 2))
			b.SetFaults(f)
			a := send(searchRequest())
			Expect(a.Status).To(Equal(dandeliongap.SubUnknown))
			Expect(a.Reason).To(Equal(reason))
			Expect(a.Body).To(BeEmpty())
			before := b.Counters().Connections
			Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
			Expect(b.Counters().Connections).To(BeNumerically(">", before))
			Expect(b.Counters().Received).To(BeEquivalentTo(2))
		},
		Entry("truncated response", dgstandin.BackendFaults{TruncateNext: 1}, dandeliongap.ReasonBroken),
		Entry("response to another request", dgstandin.BackendFaults{WrongRequestIDNext: 1}, dandeliongap.ReasonBroken),
		Entry("no response", dgstandin.BackendFaults{LoseNext: 1}, dandeliongap.ReasonConnection),
	)

	It("rejects a response above the size limit", func() {
		o := options(1, 2)
		o.HitsPerPart = 3000
		start(o)
		Expect(send(searchRequest()).Reason).To(Equal(dandeliongap.ReasonBroken))
	})

	It("rejects a response that is delimited by the end of the connection", func() {
		r, _ = rawServer(func(conn net.Conn, br *bufio.Reader) {
			head, _ := readRequest(br)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n{}", requestID(head))
		})
		Expect(send(searchRequest()).Reason).To(Equal(dandeliongap.ReasonBroken))
	})

	DescribeTable("rejects a response with an invalid status or field name (guards against one that is taken as an answer)",
		func(response string) {
			r, _ = rawServer(func(conn net.Conn, br *bufio.Reader) {
				head, _ := readRequest(br)
				_, _ = fmt.Fprint(conn, strings.ReplaceAll(strings.ReplaceAll(response, "ID", requestID(head)), "\n", "\r\n"))
			})
			Expect(send(searchRequest())).To(Equal(dandeliongap.BackendAnswer{Status: dandeliongap.SubUnknown, Reason: dandeliongap.ReasonBroken}))
		},
		Entry(quoted, "HTTP/1.1 000 X\nRequest-Id: ID\nContent-Length: 2\n\n{}"),
		Entry(quoted, "HTTP/1.1 199 X\nRequest-Id: ID\nContent-Length: 2\n\n{}"),
		Entry(quoted, "HTTP/1.1 200 \x01\nRequest-Id: ID\nContent-Length: 2\n\n{}"),
		Entry(quoted, "HTTP/1.1 200 OK\nRequest-Id: ID\nX Bad: x\nContent-Length: 2\n\n{}"),
		Entry(quoted, "HTTP/1.1 200 OK\nRequest-Id: ID\nX-Bad : x\nContent-Length: 2\n\n{}"),
		Entry(quoted, "HTTP/1.1 200 OK\nRequest-Id: ID\nX-A: a\n X-Bad: x\nContent-Length: 2\n\n{}"),
		Entry(quoted, "HTTP/1.1 200 OK\nRequest-Id: ID\nX\x01Bad: x\nContent-Length: 2\n\n{}"),
		Entry(quoted, "HTTP/1.1 200 OK\nRequest-Id: ID\nTransfer-Encoding: chunked\n\n2\n{}\n0\nX Bad: x\n\n"),
	)

	It("never takes bytes after a response for the response to the next request", func() {
		r, _ = rawServer(func(conn net.Conn, br *bufio.Reader) {
			for {
				head, err := readRequest(br)
				if err != nil {
					return
				}
				const late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\n{}%s", requestID(head), late)
			}
		})
		for range 5 {
			Expect(string(send(searchRequest()).Body)).To(Equal("{}"))
		}
	})

	It("does not retry when the server closes the connection after reading the request", func() {
		var posts atomic.Int64
		var accepted *atomic.Int64
		r, accepted = rawServer(func(_ net.Conn, br *bufio.Reader) {
			if head, err := readRequest(br); err == nil && strings.HasPrefix(head, "POST") {
				posts.Add(1)
			}
		})
		a := send(actionRequest("k"))
		Expect(a.Status).To(Equal(dandeliongap.SubUnknown))
		Expect(a.Reason).To(Equal(dandeliongap.ReasonConnection))
		Expect(c.Close()).To(Succeed())
		Expect(posts.Load()).To(BeEquivalentTo(1))
		Expect(accepted.Load()).To(BeEquivalentTo(1))
	})

	It("sends an action once when the server has closed the idle connections", func() {
		start(options(2, 4))
		Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
		Eventually(func() int64 { return c.Stats().Idle }, eventTimeout).Should(BeEquivalentTo(2))
		b.Stop()
		Expect(b.Start()).To(Succeed())
		a := send(actionRequest("once"))
		Expect(a.Status).To(Equal(dandeliongap.SubAnswered))
		Expect(b.RunCounts().Runs("once")).To(Equal(1))
		Expect(c.Stats().Stale).To(BeNumerically(">", 0))
	})

	It("never opens more connections than the replica allows", func() {
		o := options(3, 3)
		o.Queue = 100
		o.ServiceTime.Base = time.Millisecond
		start(o)
		b.SetFaults(dgstandin.BackendFaults{TruncateShare: 0.2, WrongRequestIDShare: 0.2, LoseShare: 0.2})
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				for range 20 {
					send(searchRequest())
				}
			})
		}
		wg.Wait()
		n := b.Counters()
		Expect(n.Received).To(BeEquivalentTo(16 * 20))
		Expect(n.ConnectionViolations).To(BeZero())
		Expect(n.MostConnections).To(BeEquivalentTo(3))
	})

	It("releases the permit of a connection whose request got no response only when the server has closed it", func() {
		o := options(1, 1)
		o.Queue = 10
		start(o)
		hold := make(chan struct{})
		release := sync.OnceFunc(func() { close(hold) })
		r2, accepted := rawServer(func(_ net.Conn, br *bufio.Reader) {
			_, _ = readRequest(br)
			<-hold
		})
		DeferCleanup(release) // runs before the cleanup of r2, which waits for its connections
		r2.Connections = 1
		req := searchRequest()
		req.Deadline = time.Now().Add(50 * time.Millisecond)
		Expect(c.Send(context.Background(), r2, req).Status).To(Equal(dandeliongap.SubUnknown))
		next := searchRequest()
		next.Deadline = time.Now().Add(50 * time.Millisecond)
		Expect(c.Send(context.Background(), r2, next).Status).To(Equal(dandeliongap.SubNotRun))
		Expect(accepted.Load()).To(BeEquivalentTo(1))
		release()
		Eventually(func() int64 { return c.Stats().Open }, eventTimeout).Should(BeZero())
	})

	It("keeps the permit when a request is cancelled while dialing, because the server may have accepted the connection", func() {
		start(options(1, 1))
		a := c.Send(&cancelledAtConnect{Context: context.Background()}, r, searchRequest())
		Expect(a.Status).NotTo(Equal(dandeliongap.SubAnswered))
		Eventually(b.OpenConnections, eventTimeout).Should(Equal(1))
		Eventually(func() int64 { return c.Stats().Idle }, eventTimeout).Should(BeEquivalentTo(1))
		Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
		n := b.Counters()
		Expect([]int64{n.Connections, n.ConnectionViolations}).To(Equal([]int64{1, 0}))
	})

	// Once in CI the connection was ready in the same moment in which the request was
	// found cancelled, and the request was sent all the same.
	It("does not send a request that was cancelled before its new connection was ready", func() {
		const tries = 20 // a choice at random passes all of them in one of a million runs
		for i := range tries {
			start(options(1, 1))
			ctx := &cancelledWhileDialing{
				cancelledAtConnect: cancelledAtConnect{Context: context.Background()},
				dialed:             func() bool { return b.OpenConnections() == 1 },
			}
			a := c.Send(ctx, r, searchRequest())
			Expect([]any{a.Status, a.Reason}).To(Equal([]any{dandeliongap.SubNotRun, dandeliongap.ReasonCancelled}))
			Expect(b.Counters().Received).To(BeZero())
			Eventually(func() int64 { return c.Stats().Idle }, eventTimeout).Should(BeEquivalentTo(i + 1))
		}
	})

	It("opens missing connections in advance and keeps as many as there are slots", func() {
		start(options(3, 30))
		Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
		Eventually(func() int64 { return c.Stats().Idle }, eventTimeout).Should(BeEquivalentTo(3))
		for range 50 {
			Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
		}
		Expect(b.Counters().Connections).To(BeEquivalentTo(3))
		Expect(c.Stats().Open).To(BeEquivalentTo(3))
	})

	It("closes idle connections in excess of the slots", func() {
		o := options(1, 6)
		o.Queue = 10
		o.ServiceTime.Base = 5 * time.Millisecond
		start(o)
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() { send(searchRequest()) })
		}
		wg.Wait()
		Eventually(func() int64 { return c.Stats().Open }, eventTimeout).Should(BeEquivalentTo(1))
	})

	It("cancels the request at the server and returns when the slot is free", func() {
		o := options(1, 3)
		o.ServiceTime.Base = eventTimeout
		start(o)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan dandeliongap.BackendAnswer)
		go func() { done <- c.Send(ctx, r, searchRequest()) }()
		Eventually(func() int64 { return b.Counters().Runs }, eventTimeout).Should(BeEquivalentTo(1))
		cancel()
		a := <-done
		Expect(a.Status).To(Equal(dandeliongap.SubCancelled))
		Expect(b.Busy()).To(BeZero())
		Expect(b.Counters().Cancelled).To(BeEquivalentTo(1))
		b.SetServiceTime(dgstandin.ServiceTime{})
		Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
		Expect(b.Counters().SlotViolations).To(BeZero())
	})

	It("sends nothing if the context has already ended", func() {
		start(options(1, 3))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		a := c.Send(ctx, r, actionRequest("k"))
		Expect(a.Status).To(Equal(dandeliongap.SubNotRun))
		Expect(a.Reason).To(Equal(dandeliongap.ReasonCancelled))
		Expect(b.Counters().Received).To(BeZero())
	})

	It("never exceeds the slots while requests are cancelled continuously", func() {
		o := options(1, 4)
		o.ServiceTime = dgstandin.ServiceTime{Base: 200 * time.Microsecond, Spread: time.Millisecond}
		start(o)
		for i := range 200 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%12)*100*time.Microsecond)
			c.Send(ctx, r, searchRequest())
			cancel()
		}
		n := b.Counters()
		Expect(n.Cancelled).To(BeNumerically(">", 0))
		Expect(n.SlotViolations).To(BeZero())
		Expect(n.ConnectionViolations).To(BeZero())
	})

	It("returns after a missed deadline only when the server has given up too", func() {
		o := options(1, 2)
		o.ServiceTime.Base = eventTimeout
		start(o)
		req := searchRequest()
		req.Deadline = time.Now().Add(30 * time.Millisecond)
		a := send(req)
		Expect(a.Status).To(Equal(dandeliongap.SubUnknown))
		Expect(a.Reason).To(Equal(dandeliongap.ReasonDeadline))
		Expect(b.Busy()).To(BeZero())
	})

	It("reads the draining state from the health endpoint", func() {
		start(options(1, 2))
		Expect(c.Health(context.Background(), r)).To(BeFalse())
		b.SetDraining(true)
		Expect(c.Health(context.Background(), r)).To(BeTrue())
		b.SetFaults(dgstandin.BackendFaults{Health: dgstandin.HealthError})
		_, err := c.Health(context.Background(), r)
		Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
	})

	It("closes all connections to a replica before Disconnect returns", func() {
		start(options(3, 30))
		Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
		Expect(c.Disconnect(context.Background(), r.ID)).To(Succeed())
		Expect(b.OpenConnections()).To(BeZero())
		Expect(c.Stats().Open).To(BeZero())
		Expect(send(searchRequest()).Status).To(Equal(dandeliongap.SubAnswered))
	})

	It("waits for requests in flight on Close and refuses later ones", func() {
		o := options(1, 2)
		o.ServiceTime.Base = 30 * time.Millisecond
		start(o)
		done := make(chan dandeliongap.BackendAnswer, 1)
		go func() { done <- send(searchRequest()) }()
		Eventually(func() int64 { return b.Counters().Runs }, eventTimeout).Should(BeEquivalentTo(1))
		Expect(c.Close()).To(Succeed())
		Expect((<-done).Status).To(Equal(dandeliongap.SubAnswered))
		Expect(b.OpenConnections()).To(BeZero())
		Expect(send(searchRequest()).Reason).To(Equal(dandeliongap.ReasonStopping))
	})
})
