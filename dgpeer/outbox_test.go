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

// patience bounds waits for events that always come; it is no expected time.
const patience = 20 * time.Second

// peer is a receiver whose calls wait until open is closed.
type peer struct {
	dgwire.Peer
	server *httptest.Server
	open   chan struct{}

	mu       sync.Mutex
	calls    int // under way
	most     int
	batches  []int
	submits  []*dgwire.SubmitRequest
	answers  int
	received map[uint64]int // by query number
}

func newPeer(t *testing.T) *peer {
	p := &peer{open: make(chan struct{}), received: map[uint64]int{}}
	p.server = httptest.NewServer(dgwire.NewPeerServer(p))
	t.Cleanup(p.server.Close)
	return p
}

func (p *peer) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// wait counts a call with n items and holds it until the peer is open.
func (p *peer) wait(ctx context.Context, n int) {
	p.mu.Lock()
	p.calls++
	p.most = max(p.most, p.calls)
	p.batches = append(p.batches, n)
	p.mu.Unlock()
	select {
	case <-p.open:
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.calls--
	p.mu.Unlock()
}

func (p *peer) Submit(ctx context.Context, m *dgwire.SubmitRequest) (*dgwire.SubmitReply, error) {
	p.mu.Lock()
	p.submits = append(p.submits, m)
	for _, r := range m.GetRequests() {
		p.received[r.GetId().GetQuery()]++
	}
	p.mu.Unlock()
	p.wait(ctx, len(m.GetRequests()))
	return &dgwire.SubmitReply{}, nil
}

func (p *peer) Deliver(ctx context.Context, m *dgwire.DeliverRequest) (*dgwire.DeliverReply, error) {
	p.mu.Lock()
	p.answers += len(m.GetAnswers())
	p.mu.Unlock()
	p.wait(ctx, len(m.GetAnswers()))
	return &dgwire.DeliverReply{}, nil
}

// under returns the number of calls under way.
func (p *peer) under() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// got returns the number of different sub-requests that arrived.
func (p *peer) got() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received)
}

// failures collects what the sender reports as not handed over.
type failures struct {
	mu      sync.Mutex
	notRun  map[uint64]int
	unknown map[uint64]int
}

func (f *failures) add(id dandeliongap.SubID, _ dandeliongap.ReplicaID, notRun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if notRun {
		f.notRun[id.Query]++
	} else {
		f.unknown[id.Query]++
	}
}

func (f *failures) counts() (notRun, unknown int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.notRun), len(f.unknown)
}

// newSender returns a sender that is closed, without leaving a goroutine, at the
// end of the test.
func newSender(t *testing.T) (*dgpeer.Sender, *failures) {
	before := goleak.IgnoreCurrent()
	f := &failures{notRun: map[uint64]int{}, unknown: map[uint64]int{}}
	s := dgpeer.NewSender("self", "127.0.0.1:1", f.add)
	t.Cleanup(func() {
		g := NewWithT(t)
		g.Expect(s.Close()).To(Succeed())
		g.Eventually(func() error { return goleak.Find(before) }, patience).Should(Succeed())
	})
	return s, f
}

func request(query int) *dgwire.SubRequest {
	return &dgwire.SubRequest{Id: dgwire.FromSubID(dandeliongap.SubID{Entry: 1, Query: uint64(query)}), Replica: "a/1"}
}

// Guards against more calls under way than B1 allows, larger batches than B2
// allows, and sub-requests that are lost or sent twice between batches.
func TestBatchesAndCallsAreLimited(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t)
	s, failed := newSender(t)
	const n = dgpeer.MaxCalls + 3*dgpeer.MaxBatch
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.under, patience).Should(Equal(i + 1))
	}
	for i := dgpeer.MaxCalls; i < n; i++ {
		s.Submit(p.address(), request(i), nil)
	}
	close(p.open)
	g.Eventually(p.got, patience).Should(Equal(n))
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.most).To(Equal(dgpeer.MaxCalls))
	for query, times := range p.received {
		g.Expect(times).To(Equal(1), "sub-request %d", query)
	}
	for _, size := range p.batches {
		g.Expect(size).To(BeNumerically("<=", dgpeer.MaxBatch))
	}
	g.Expect(len(p.batches)).To(BeNumerically("<=", dgpeer.MaxCalls+4), "what waits goes in full batches")
	notRun, _ := failed.counts()
	g.Expect(notRun).To(BeZero())
}

// Guards against the body of another query in a batch.
func TestBodiesFollowTheirQueries(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t)
	s, _ := newSender(t)
	bodies := [][]byte{[]byte("zero"), []byte("one"), {}, nil, []byte("four")}
	for i := range 200 {
		s.Submit(p.address(), request(i), bodies[i/3%len(bodies)])
	}
	close(p.open)
	g.Eventually(p.got, patience).Should(Equal(200))
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
// sub-requests that are refused without a word (B5).
func TestFullQueueRefusesAsNotRun(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t)
	s, failed := newSender(t)
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.under, patience).Should(Equal(i + 1))
	}
	sent := dgpeer.MaxCalls
	for notRun := 0; notRun == 0 && sent <= 4*dgpeer.MaxQueue; sent++ {
		s.Submit(p.address(), request(sent), nil)
		notRun, _ = failed.counts()
	}
	notRun, _ := failed.counts()
	g.Expect(notRun).To(Equal(1))
	g.Expect(sent).To(BeNumerically(">", dgpeer.MaxQueue))
	close(p.open)
	g.Eventually(p.got, patience).Should(Equal(sent - 1))
	g.Expect(failed.notRun).To(HaveKey(uint64(sent-1)), "the last one, which was not sent")
}

// Guards against "unknown" for a peer that certainly received nothing: the entry
// VM could not repeat the sub-request elsewhere.
func TestUnreachablePeerIsNotRun(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	s, failed := newSender(t)
	for i := range 10 {
		s.Submit(l.Addr().String(), request(i), nil)
	}
	g.Eventually(func() int { n, _ := failed.counts(); return n }, patience).Should(Equal(10))
	_, unknown := failed.counts()
	g.Expect(unknown).To(BeZero())
}

// Guards against "not run" for a peer that hung up after the request was sent: it
// may have queued the sub-requests. The call is not repeated (B3).
func TestPeerThatHangsUpIsUnknown(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		calls++
		mu.Unlock()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}))
	defer server.Close()
	s, failed := newSender(t)
	s.Submit(strings.TrimPrefix(server.URL, "http://"), request(1), nil)
	g.Eventually(func() int { _, n := failed.counts(); return n }, patience).Should(Equal(1))
	notRun, _ := failed.counts()
	g.Expect(notRun).To(BeZero())
	mu.Lock()
	defer mu.Unlock()
	g.Expect(calls).To(Equal(1))
}

// Guards against a Close that returns while calls are under way, leaves a queued
// sub-request without a result, or reports one that was sent as not run.
func TestCloseWaitsAndFailsTheQueue(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t)
	s, failed := newSender(t)
	const n = dgpeer.MaxCalls + 50
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.under, patience).Should(Equal(i + 1))
	}
	for i := dgpeer.MaxCalls; i < n; i++ {
		s.Submit(p.address(), request(i), nil)
	}
	g.Expect(s.Close()).To(Succeed())
	notRun, unknown := failed.counts()
	g.Expect(notRun+unknown).To(Equal(n), "each has its result when Close returns")
	for i := range dgpeer.MaxCalls {
		g.Expect(failed.unknown).To(HaveKey(uint64(i)), "it was sent")
	}
	s.Submit(p.address(), request(n), nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(failed.notRun).To(HaveKey(uint64(n)), "refused after Close")
	for query := range failed.notRun {
		g.Expect(p.received).NotTo(HaveKey(query), "reported as not run")
	}
}

// Guards against answers and cancellations that wait behind sub-requests, or are
// not limited in the same way.
func TestAnswersGoBesideSubRequests(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t)
	s, _ := newSender(t)
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.under, patience).Should(Equal(i + 1))
	}
	s.Cancel(p.address(), dandeliongap.SubID{Query: 7}, "a/1")
	for i := range dgpeer.MaxCalls {
		s.Deliver(p.address(), &dgwire.SubAnswer{})
		g.Eventually(p.under, patience).Should(Equal(dgpeer.MaxCalls + i + 1))
	}
	for range 2 * dgpeer.MaxBatch {
		s.Deliver(p.address(), &dgwire.SubAnswer{})
	}
	close(p.open)
	g.Eventually(func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.answers
	}, patience).Should(Equal(dgpeer.MaxCalls + 2*dgpeer.MaxBatch))
	g.Eventually(func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range p.submits {
			if len(m.GetCancels()) == 1 {
				return true
			}
		}
		return false
	}, patience).Should(BeTrue())
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.most).To(Equal(2 * dgpeer.MaxCalls))
}

// Guards against a cancellation that overtakes its sub-request on another call: the
// owner does not know the sub-request yet, and it runs for a caller that left.
func TestCancellationFollowsItsSubRequest(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t)
	s, _ := newSender(t)
	s.Submit(p.address(), request(1), nil)
	g.Eventually(p.under, patience).Should(Equal(1))
	s.Cancel(p.address(), dandeliongap.SubID{Entry: 1, Query: 1}, "a/1")
	s.Submit(p.address(), request(2), nil)
	g.Eventually(p.got, patience).Should(Equal(2))
	cancels := func() (n int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range p.submits {
			n += len(m.GetCancels())
		}
		return n
	}
	g.Expect(cancels()).To(BeZero(), "the call with the sub-request is under way")
	close(p.open)
	g.Eventually(cancels, patience).Should(Equal(1))
}

// Guards against the same while a sub-request waits in the queue behind a full
// batch.
func TestCancellationFollowsAQueuedSubRequest(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t)
	s, _ := newSender(t)
	for i := range dgpeer.MaxCalls {
		s.Submit(p.address(), request(i), nil)
		g.Eventually(p.under, patience).Should(Equal(i + 1))
	}
	const last = dgpeer.MaxCalls + 2*dgpeer.MaxCalls*dgpeer.MaxBatch
	for i := dgpeer.MaxCalls; i <= last; i++ {
		s.Submit(p.address(), request(i), nil)
	}
	s.Cancel(p.address(), dandeliongap.SubID{Entry: 1, Query: last}, "a/1")
	close(p.open)
	g.Eventually(p.got, patience).Should(Equal(last + 1))
	carried := func() (with, before bool) {
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
	g.Eventually(func() bool { with, _ := carried(); return with }, patience).Should(BeTrue())
	_, before := carried()
	g.Expect(before).To(BeFalse(), "the cancellation arrived before its sub-request")
}
