// Package dgpeer sends to the other VMs of the tier over twirp.
//
// Sub-requests, cancellations and sub-answers are batched without a timer:
//
//	N1. At most MaxCalls Submit calls and as many Deliver calls per peer are
//	    under way at a time. One call alone would make an item wait for up to a
//	    round trip between zones.
//	N2. What arrives meanwhile goes with the next call, at most MaxBatch items.
//	N3. No call is repeated. A failed Submit fails each of its sub-requests as
//	    unknown, or as not run if the connection could not be made.
//	N4. A failed Deliver drops its answers: the entry VM treats the
//	    sub-requests as lost at its own deadline or retries them elsewhere.
//	N5. A queue longer than MaxQueue refuses what is added as not run.
//	N6. A cancellation goes with its sub-request or after the call that carries
//	    it has ended. On another call it could arrive first, and the owner would
//	    run the sub-request for a caller that left.
package dgpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwire"
	"github.com/sourcegraph/conc"
)

const (
	// MaxCalls is the highest number of calls of one kind under way to a peer.
	MaxCalls = 4
	// MaxBatch is the highest number of items in one call.
	MaxBatch = 512
	// MaxQueue is the highest number of items that wait for one peer.
	MaxQueue = 16384
	// callTimeout bounds one Submit or Deliver call. Both only queue at the
	// receiver, so that a longer call means a lost peer.
	callTimeout = 2 * time.Second
	// dialTimeout bounds the connection to a peer: zones are a few milliseconds
	// apart, so that a longer dial means a lost peer.
	dialTimeout = 500 * time.Millisecond
)

// FailureFunc is called for each sub-request that could not be handed over. notRun
// is true if the peer certainly did not receive it.
type FailureFunc func(id dandeliongap.SubID, replica dandeliongap.ReplicaID, notRun bool)

// Sender sends to all peers. Close waits for calls under way.
type Sender struct {
	self    dandeliongap.MemberID
	address string
	failed  FailureFunc
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu     sync.Mutex
	boxes  map[string]*outbox
	closed bool
}

// NewSender returns a sender for the member self, whose peers reach it at
// address ("IP:port").
func NewSender(self dandeliongap.MemberID, address string, failed FailureFunc) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Sender{
		self:    self,
		address: address,
		failed:  failed,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		ctx:    ctx,
		cancel: cancel,
		boxes:  map[string]*outbox{},
	}
}

// Submit queues one sub-request for the peer at address. The body slice is
// shared by the sub-requests of a query and must not change.
func (s *Sender) Submit(address string, req *dgwire.SubRequest, body []byte) {
	s.box(address).add(func(b *outbox) bool {
		if len(b.submits) >= MaxQueue {
			return false
		}
		b.submits = append(b.submits, submit{req: req, body: body})
		b.open[req.GetId().Value()] = queued
		return true
	}, func() {
		s.failed(req.GetId().Value(), dandeliongap.ReplicaID(req.GetReplica()), true)
	})
}

// Cancel queues the cancellation of a submitted sub-request.
func (s *Sender) Cancel(address string, id dandeliongap.SubID, replica dandeliongap.ReplicaID) {
	s.box(address).add(func(b *outbox) bool {
		if len(b.cancels) >= MaxQueue {
			return false
		}
		b.cancels = append(b.cancels, &dgwire.SubCancel{Id: dgwire.FromSubID(id), Replica: string(replica)})
		return true
	}, func() {})
}

// Deliver queues one sub-answer for the entry VM at address.
func (s *Sender) Deliver(address string, a *dgwire.SubAnswer) {
	s.box(address).add(func(b *outbox) bool {
		if len(b.answers) >= MaxQueue {
			return false
		}
		b.answers = append(b.answers, a)
		return true
	}, func() {})
}

// Peer returns the client for single calls to the peer at address.
func (s *Sender) Peer(address string) dgwire.Peer {
	return s.box(address).peer
}

// Retain drops the outboxes of all addresses that keep does not hold.
func (s *Sender) Retain(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, b := range s.boxes {
		if !keep[address] && b.idle() {
			delete(s.boxes, address)
		}
	}
}

// Close stops new calls, waits for those under way and closes the connections.
func (s *Sender) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
	s.client.CloseIdleConnections()
	return nil
}

func (s *Sender) box(address string) *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.boxes[address]
	if b == nil {
		b = &outbox{s: s, peer: dgwire.NewPeerProtobufClient("http://"+address, s.client), open: make(map[dandeliongap.SubID]callNumber)}
		s.boxes[address] = b
	}
	return b
}

type submit struct {
	req  *dgwire.SubRequest
	body []byte
}

// callNumber counts the Submit calls to one peer, from 1.
type callNumber uint64

// queued stands for the call of a sub-request that no call carries yet.
const queued callNumber = 0

// outbox holds what waits for one peer.
type outbox struct {
	s    *Sender
	peer dgwire.Peer

	mu         sync.Mutex
	submits    []submit
	cancels    []*dgwire.SubCancel
	answers    []*dgwire.SubAnswer
	open       map[dandeliongap.SubID]callNumber // sub-requests queued or under way (N6)
	calls      callNumber                        // Submit calls so far
	submitting int                               // Submit calls under way
	delivering int                               // Deliver calls under way
}

func (b *outbox) idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.submitting == 0 && b.delivering == 0
}

// add queues with put and starts the calls that are not under way; refuse is
// called outside the lock if put found the queue full or the sender is closed.
func (b *outbox) add(put func(*outbox) bool, refuse func()) {
	if b.s.ctx.Err() != nil {
		refuse()
		return
	}
	b.mu.Lock()
	ok := put(b)
	startSubmit := b.submitting < MaxCalls && len(b.submits)+len(b.cancels) > 0
	startDeliver := b.delivering < MaxCalls && len(b.answers) > 0
	if startSubmit {
		b.submitting++
	}
	if startDeliver {
		b.delivering++
	}
	b.mu.Unlock()
	if !ok {
		refuse()
	}
	if startSubmit {
		b.s.start(b.submitLoop)
	}
	if startDeliver {
		b.s.start(b.deliverLoop)
	}
}

// start runs loop in a goroutine that Close waits for. After Close it runs the
// loop in place: its calls fail at once and fail what is queued.
func (s *Sender) start(loop func()) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		loop()
		return
	}
	s.wg.Go(loop)
	s.mu.Unlock()
}

func (b *outbox) submitLoop() {
	for {
		submits, cancels := b.takeSubmits()
		if len(submits)+len(cancels) == 0 {
			return
		}
		b.submit(submits, cancels)
		b.landed(submits)
	}
}

// takeSubmits returns what goes with the next call. Cancellations that must wait
// (N6) go with the one that the loop of their sub-request makes next.
func (b *outbox) takeSubmits() ([]submit, []*dgwire.SubCancel) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.submits), MaxBatch)
	submits := b.submits[:n:n]
	b.submits = b.submits[n:]
	b.calls++
	for _, m := range submits {
		b.open[m.req.GetId().Value()] = b.calls
	}
	cancels := b.takeCancels()
	if n+len(cancels) == 0 {
		b.submitting--
	}
	return submits, cancels
}

// takeCancels returns the cancellations that may go with the present call.
// Callers hold mu.
func (b *outbox) takeCancels() []*dgwire.SubCancel {
	var taken, kept []*dgwire.SubCancel
	for _, c := range b.cancels {
		call, open := b.open[c.GetId().Value()]
		if len(taken) < MaxBatch && (!open || call == b.calls) {
			taken = append(taken, c)
		} else {
			kept = append(kept, c)
		}
	}
	b.cancels = kept
	return taken
}

// landed records that the call of these sub-requests has ended.
func (b *outbox) landed(submits []submit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range submits {
		delete(b.open, m.req.GetId().Value())
	}
}

func (b *outbox) submit(submits []submit, cancels []*dgwire.SubCancel) {
	msg := &dgwire.SubmitRequest{
		FromMember:  string(b.s.self),
		FromAddress: b.s.address,
		Requests:    make([]*dgwire.SubRequest, 0, len(submits)),
		Cancels:     cancels,
	}
	// The sub-requests of one query share one body slice, and stand next to each
	// other in the queue.
	var last *byte
	for _, m := range submits {
		if len(m.body) == 0 || &m.body[0] != last || len(msg.Bodies) == 0 {
			msg.Bodies = append(msg.Bodies, m.body)
			last = nil
			if len(m.body) > 0 {
				last = &m.body[0]
			}
		}
		m.req.Body = uint32(len(msg.Bodies) - 1)
		msg.Requests = append(msg.Requests, m.req)
	}
	ctx, cancel := context.WithTimeout(b.s.ctx, callTimeout)
	defer cancel()
	_, err := b.peer.Submit(ctx, msg)
	if err == nil {
		return
	}
	notRun := neverSent(err)
	for _, m := range submits {
		b.s.failed(m.req.GetId().Value(), dandeliongap.ReplicaID(m.req.GetReplica()), notRun)
	}
}

func (b *outbox) deliverLoop() {
	for {
		answers := b.takeAnswers()
		if len(answers) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(b.s.ctx, callTimeout)
		_, _ = b.peer.Deliver(ctx, &dgwire.DeliverRequest{FromMember: string(b.s.self), Answers: answers})
		cancel()
	}
}

func (b *outbox) takeAnswers() []*dgwire.SubAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.answers), MaxBatch)
	answers := b.answers[:n:n]
	b.answers = b.answers[n:]
	if n == 0 {
		b.delivering--
	}
	return answers
}

// neverSent tells whether a call certainly did not reach the peer: the
// connection could not be made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
