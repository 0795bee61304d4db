package dgpeer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpeer"
	"dandeliongap.example/dandeliongap/dgwire"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// waitTimeout bounds waits for events that must happen. It is far above the usual
// duration, so only a hang reaches it.
const waitTimeout = 20 * time.Second

// blockingPeer is a receiver that blocks every call until unblock is closed.
type blockingPeer struct {
	dgwire.Peer
	server  *httptest.Server
	unblock chan struct{}

	mu          sync.Mutex
	inFlight    int   // number of blocked calls
	maxInFlight int   // highest value of inFlight
	batchSizes  []int // number of items in each call
	submits     []*dgwire.SubmitRequest
	answers     int            // number of answers received
	received    map[uint64]int // number of arrivals, by query number
}

func newBlockingPeer(t *testing.T) *blockingPeer {
	p := &blockingPeer{unblock: make(chan struct{}), received: map[uint64]int{}}
	p.server = httptest.NewServer(dgwire.NewPeerServer(p))
	t.Cleanup(p.server.Close)
	return p
}

func (p *blockingPeer) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// block records a call with n items and blocks until the peer is unblocked or the
// call is cancelled.
func (p *blockingPeer) block(ctx context.Context, n int) {
	p.mu.Lock()
	p.inFlight++
	p.maxInFlight = max(p.maxInFlight, p.inFlight)
	p.batchSizes = append(p.batchSizes, n)
	p.mu.Unlock()
	select {
	case <-p.unblock:
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.inFlight--
	p.mu.Unlock()
}

func (p *blockingPeer) Submit(ctx context.Context, m *dgwire.SubmitRequest) (*dgwire.SubmitReply, error) {
	p.mu.Lock()
	p.submits = append(p.submits, m)
	for _, r := range m.GetRequests() {
		p.received[r.GetId().GetQuery()]++
	}
	p.mu.Unlock()
	p.block(ctx, len(m.GetRequests()))
	return &dgwire.SubmitReply{}, nil
}

func (p *blockingPeer) Deliver(ctx context.Context, m *dgwire.DeliverRequest) (*dgwire.DeliverReply, error) {
	p.mu.Lock()
	p.answers += len(m.GetAnswers())
	p.mu.Unlock()
	p.block(ctx, len(m.GetAnswers()))
	return &dgwire.DeliverReply{}, nil
}

// callsInFlight returns the number of calls in flight.
func (p *blockingPeer) callsInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// receivedCount returns the number of distinct sub-requests received.
func (p *blockingPeer) receivedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received)
}

// failures counts the failures that the sender reports for each query number.
type failures struct {
	mu      sync.Mutex
	notRun  map[uint64]int
	unknown map[uint64]int
}

func (f *failures) record(id dandeliongap.SubID, _ dandeliongap.ReplicaID, notRun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if notRun {
		f.notRun[id.Query]++
	} else {
		f.unknown[id.Query]++
	}
}

// counts returns the numbers of distinct sub-requests reported as not run and as
// unknown.
func (f *failures) counts() (notRun, unknown int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.notRun), len(f.unknown)
}

// newSender returns a sender and the failures that it reports. At the end of the
// test, a cleanup closes the sender and checks that no goroutine is left running.
func newSender(t *testing.T) (*dgpeer.Sender, *failures) {
	before := goleak.IgnoreCurrent()
	f := &failures{notRun: map[uint64]int{}, unknown: map[uint64]int{}}
	s := dgpeer.NewSender("self", "127.0.0.1:1", f.record)
	t.Cleanup(func() {
		g := NewWithT(t)
		g.Expect(s.Close()).To(Succeed())
		g.Eventually(func() error { return goleak.Find(before) }, waitTimeout).Should(Succeed())
	})
	return s, f
}

func request(query int) *dgwire.SubRequest {
	return &dgwire.SubRequest{Id: dgwire.FromSubID(dandeliongap.SubID{Entry: 1, Query: uint64(query)}), Replica: "a/1"}
}

// Guards against more calls in flight than N1 allows, larger batches than N2
// allows, and sub-requests that are lost or sent twice between batches.
func TestBatchesAndCallsAreLimited(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPeer(t)
	s, failed := newSender(t)
	const n = dgpeer.MaxCalls + 3*dgpeer.MaxBatch
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.callsInFlight, waitTimeout).Should(Equal(i + 1))
	}
	for i := dgpeer.MaxCalls; i < n; i++ {
		s.Submit(p.address(), request(i), nil)
	}
	close(p.unblock)
	g.Eventually(p.receivedCount, waitTimeout).Should(Equal(n))
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.maxInFlight).To(Equal(dgpeer.MaxCalls))
	for query, times := range p.received {
		g.Expect(times).To(Equal(1), "sub-request %d", query)
	}
	for _, size := range p.batchSizes {
		g.Expect(size).To(BeNumerically("<=", dgpeer.MaxBatch))
	}
	g.Expect(len(p.batchSizes)).To(BeNumerically("<=", dgpeer.MaxCalls+4), "queued sub-requests are sent in full batches")
	notRun, _ := failed.counts()
	g.Expect(notRun).To(BeZero())
}

// Guards against a sub-request that is sent with the body of another query in the
// same batch.
func TestBodiesMatchTheirQueries(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPeer(t)
	s, _ := newSender(t)
	bodies := [][]byte{[]byte("zero"), []byte("one"), {}, nil, []byte("four")}
	for i := range 200 {
		s.Submit(p.address(), request(i), bodies[i/3%len(bodies)])
	}
	close(p.unblock)
	g.Eventually(p.receivedCount, waitTimeout).Should(Equal(200))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.submits {
		for _, r := range m.GetRequests() {
			want := bodies[int(r.GetId().GetQuery())/3%len(bodies)]
			g.Expect(string(m.GetBodies()[r.GetBody()])).To(Equal(string(want)))
		}
	}
}

// Guards against a queue that grows without bound for a slow peer, and against
// sub-requests that are dropped without a failure report (N5).
func TestFullQueueReportsNotRun(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPeer(t)
	s, failed := newSender(t)
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.callsInFlight, waitTimeout).Should(Equal(i + 1))
	}
	sent := dgpeer.MaxCalls
	for notRun := 0; notRun == 0 && sent <= 4*dgpeer.MaxQueue; sent++ {
		s.Submit(p.address(), request(sent), nil)
		notRun, _ = failed.counts()
	}
	notRun, _ := failed.counts()
	g.Expect(notRun).To(Equal(1))
	g.Expect(sent).To(BeNumerically(">", dgpeer.MaxQueue))
	close(p.unblock)
	g.Eventually(p.receivedCount, waitTimeout).Should(Equal(sent - 1))
	g.Expect(failed.notRun).To(HaveKey(uint64(sent-1)), "the last sub-request, which was refused")
}

// Guards against reporting "unknown" when the peer certainly received nothing: the
// entry VM could then not retry the sub-request elsewhere.
func TestUnreachablePeerReportsNotRun(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	s, failed := newSender(t)
	for i := range 10 {
		s.Submit(l.Addr().String(), request(i), nil)
	}
	g.Eventually(func() int { n, _ := failed.counts(); return n }, waitTimeout).Should(Equal(10))
	_, unknown := failed.counts()
	g.Expect(unknown).To(BeZero())
}

// Guards against reporting "not run" when the peer closes the connection after the
// call was sent, and against a retry of the call (N3). The peer may have queued the
// sub-requests before it closed the connection.
func TestConnectionClosedByPeerReportsUnknown(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		calls++
		mu.Unlock()
		panic(http.ErrAbortHandler) // closes the connection without a response
	}))
	defer server.Close()
	s, failed := newSender(t)
	s.Submit(strings.TrimPrefix(server.URL, "http://"), request(1), nil)
	g.Eventually(func() int { _, n := failed.counts(); return n }, waitTimeout).Should(Equal(1))
	notRun, _ := failed.counts()
	g.Expect(notRun).To(BeZero())
	mu.Lock()
	defer mu.Unlock()
	g.Expect(calls).To(Equal(1))
}

// Guards against a Close that returns while calls are in flight, leaves a queued
// sub-request without a result, or reports a sub-request that was sent as not run.
func TestCloseWaitsAndFailsQueuedSubRequests(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPeer(t)
	s, failed := newSender(t)
	const n = dgpeer.MaxCalls + 50
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.callsInFlight, waitTimeout).Should(Equal(i + 1))
	}
	for i := dgpeer.MaxCalls; i < n; i++ {
		s.Submit(p.address(), request(i), nil)
	}
	g.Expect(s.Close()).To(Succeed())
	notRun, unknown := failed.counts()
	g.Expect(notRun+unknown).To(Equal(n), "every sub-request is reported by the time Close returns")
	for i := range dgpeer.MaxCalls {
		g.Expect(failed.unknown).To(HaveKey(uint64(i)), "the sub-request was sent")
	}
	s.Submit(p.address(), request(n), nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(failed.notRun).To(HaveKey(uint64(n)), "refused after Close")
	for query := range failed.notRun {
		g.Expect(p.received).NotTo(HaveKey(query), "a sub-request was sent but reported as not run")
	}
}

// Guards against answers that wait for blocked Submit calls, a cancellation that
// is not sent once these calls end, and Deliver calls above the limit of N1.
func TestAnswersDoNotWaitForSubRequests(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPeer(t)
	s, _ := newSender(t)
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.callsInFlight, waitTimeout).Should(Equal(i + 1))
	}
	s.Cancel(p.address(), dandeliongap.SubID{Query: 7}, "a/1")
	for i := range dgpeer.MaxCalls {
		s.Deliver(p.address(), &dgwire.SubAnswer{})
		g.Eventually(p.callsInFlight, waitTimeout).Should(Equal(dgpeer.MaxCalls + i + 1))
	}
	for range 2 * dgpeer.MaxBatch {
		s.Deliver(p.address(), &dgwire.SubAnswer{})
	}
	close(p.unblock)
	g.Eventually(func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.answers
	}, waitTimeout).Should(Equal(dgpeer.MaxCalls + 2*dgpeer.MaxBatch))
	g.Eventually(func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range p.submits {
			if len(m.GetCancels()) == 1 {
				return true
			}
		}
		return false
	}, waitTimeout).Should(BeTrue())
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.maxInFlight).To(Equal(2 * dgpeer.MaxCalls))
}

// Guards against a cancellation that overtakes its sub-request in a concurrent
// call: the owner does not know the sub-request yet, and later runs it although
// its answer is no longer needed (N6).
func TestCancellationFollowsItsSubRequest(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPeer(t)
	s, _ := newSender(t)
	s.Submit(p.address(), request(1), nil)
	g.Eventually(p.callsInFlight, waitTimeout).Should(Equal(1))
	s.Cancel(p.address(), dandeliongap.SubID{Entry: 1, Query: 1}, "a/1")
	s.Submit(p.address(), request(2), nil)
	g.Eventually(p.receivedCount, waitTimeout).Should(Equal(2))
	cancels := func() (n int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range p.submits {
			n += len(m.GetCancels())
		}
		return n
	}
	g.Expect(cancels()).To(BeZero(), "the call with the sub-request is in flight")
	close(p.unblock)
	g.Eventually(cancels, waitTimeout).Should(Equal(1))
}

// Guards against a cancellation that overtakes a sub-request that is queued behind
// several full batches (N6).
func TestCancellationFollowsAQueuedSubRequest(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPeer(t)
	s, _ := newSender(t)
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.callsInFlight, waitTimeout).Should(Equal(i + 1))
	}
	const last = dgpeer.MaxCalls + 2*dgpeer.MaxCalls*dgpeer.MaxBatch
	for i := dgpeer.MaxCalls; i <= last; i++ {
		s.Submit(p.address(), request(i), nil)
	}
	s.Cancel(p.address(), dandeliongap.SubID{Entry: 1, Query: last}, "a/1")
	close(p.unblock)
	g.Eventually(p.receivedCount, waitTimeout).Should(Equal(last + 1))
	cancelSent := func() (sent, beforeRequest bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		seen := false
		for _, m := range p.submits {
			for _, r := range m.GetRequests() {
				seen = seen || r.GetId().GetQuery() == last
			}
			if len(m.GetCancels()) > 0 {
				return true, !seen
			}
		}
		return false, false
	}
	g.Eventually(func() bool { sent, _ := cancelSent(); return sent }, waitTimeout).Should(BeTrue())
	_, beforeRequest := cancelSent()
	g.Expect(beforeRequest).To(BeFalse(), "the cancellation arrived before its sub-request")
}
