// Package dgpeer sends sub-requests, cancellations and sub-answers to the other
// VMs of the tier over Twirp. Items are batched without a timer: no item waits
// for a batch to fill up.
//
//	N1. At most MaxCalls Submit calls and MaxCalls Deliver calls per peer are in
//	    flight at a time. With a limit of one call, an item could wait for up to
//	    a full round trip between zones.
//	N2. Items added while MaxCalls calls of the type that carries them are in
//	    flight are queued for the next call. A Submit call carries at most MaxBatch
//	    sub-requests and MaxBatch cancellations, a Deliver call at most MaxBatch
//	    answers.
//	N3. No call is retried. A failed Submit call fails each of its sub-requests as
//	    unknown, or as not run if the connection could not be established.
//	N4. The answers in a failed Deliver call are dropped: the entry VM treats the
//	    sub-requests as lost at its own deadline or retries them elsewhere.
//	N5. While a queue holds MaxQueue items, new sub-requests fail as not run, and
//	    new cancellations and answers are dropped.
//	N6. A cancellation is sent in the same call as its sub-request, or after that
//	    call has ended. In a concurrent call it could arrive first, and the owner
//	    would run the sub-request although its answer is no longer needed.
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
	// MaxCalls is the maximum number of calls of one type (Submit or Deliver) in
	// flight to a peer.
	MaxCalls = 4
	// MaxBatch is the maximum number of items of one kind (sub-requests,
	// cancellations or answers) in a call.
	MaxBatch = 512
	// MaxQueue is the maximum number of items of one kind queued for a peer.
	MaxQueue = 16384
	// callTimeout bounds a Submit or Deliver call. The receiver only queues the
	// items, so a call that takes longer means that the peer is unreachable.
	callTimeout = 2 * time.Second
	// dialTimeout bounds connecting to a peer. Zones are a few milliseconds
	// apart, so a dial that takes longer means that the peer is unreachable.
	dialTimeout = 500 * time.Millisecond
)

// FailureFunc is called for each sub-request that was not acknowledged by the
// peer. notRun is true if the peer certainly did not receive it.
type FailureFunc func(id dandeliongap.SubID, replica dandeliongap.ReplicaID, notRun bool)

// Sender sends to all peers, with one outbox per peer.
type Sender struct {
	self      dandeliongap.MemberID
	address   string
	onFailure FailureFunc
	client    *http.Client
	ctx       context.Context
	cancel    context.CancelFunc
	wg        conc.WaitGroup

	mu       sync.Mutex
	outboxes map[string]*outbox
	closed   bool
}

// NewSender returns a sender for the member self. Peers connect to this member
// at address ("IP:port").
func NewSender(self dandeliongap.MemberID, address string, onFailure FailureFunc) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Sender{
		self:      self,
		address:   address,
		onFailure: onFailure,
		client: &http.Client{Transport: strictTransport{&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}}},
		ctx:      ctx,
		cancel:   cancel,
		outboxes: map[string]*outbox{},
	}
}

// Submit queues a sub-request for the peer at address. The sub-requests of a
// query share the body slice, which must not be modified.
func (s *Sender) Submit(address string, req *dgwire.SubRequest, body []byte) {
	s.outboxFor(address).add(func(b *outbox) bool {
		if len(b.submissions) >= MaxQueue {
			return false
		}
		b.submissions = append(b.submissions, submission{req: req, body: body})
		b.pending[req.GetId().Value()] = noCall
		return true
	}, func() {
		s.onFailure(req.GetId().Value(), dandeliongap.ReplicaID(req.GetReplica()), true)
	})
}

// Cancel queues the cancellation of a submitted sub-request (N6).
func (s *Sender) Cancel(address string, id dandeliongap.SubID, replica dandeliongap.ReplicaID) {
	s.outboxFor(address).add(func(b *outbox) bool {
		if len(b.cancels) >= MaxQueue {
			return false
		}
		b.cancels = append(b.cancels, &dgwire.SubCancel{Id: dgwire.FromSubID(id), Replica: string(replica)})
		return true
	}, func() {})
}

// Deliver queues a sub-answer for the entry VM at address.
func (s *Sender) Deliver(address string, a *dgwire.SubAnswer) {
	s.outboxFor(address).add(func(b *outbox) bool {
		if len(b.answers) >= MaxQueue {
			return false
		}
		b.answers = append(b.answers, a)
		return true
	}, func() {})
}

// Peer returns the client of the peer at address, for calls that are not batched.
func (s *Sender) Peer(address string) dgwire.Peer {
	return s.outboxFor(address).peer
}

// Retain removes the outboxes of addresses that are not in keep. An outbox with
// calls in flight is kept.
func (s *Sender) Retain(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, b := range s.outboxes {
		if !keep[address] && b.idle() {
			delete(s.outboxes, address)
		}
	}
}

// Close cancels the calls in flight, waits until they have returned and closes
// idle connections. Sub-requests still queued are reported as failed.
func (s *Sender) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
	s.client.CloseIdleConnections()
	return nil
}

func (s *Sender) outboxFor(address string) *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.outboxes[address]
	if b == nil {
		b = &outbox{sender: s, peer: dgwire.NewPeerProtobufClient("http://"+address, s.client), pending: make(map[dandeliongap.SubID]callNumber)}
		s.outboxes[address] = b
	}
	return b
}

// submission is a queued sub-request with its body.
type submission struct {
	req  *dgwire.SubRequest
	body []byte
}

// callNumber identifies a Submit call to one peer. The numbers increase from 1. A
// number stays unused if nothing can be sent when it is assigned.
type callNumber uint64

// noCall marks a sub-request that is still queued.
const noCall callNumber = 0

// outbox holds the items queued for one peer.
type outbox struct {
	sender *Sender
	peer   dgwire.Peer

	mu             sync.Mutex
	submissions    []submission
	cancels        []*dgwire.SubCancel
	answers        []*dgwire.SubAnswer
	pending        map[dandeliongap.SubID]callNumber // by sub-request: its call in flight, or noCall while it is queued (N6)
	lastCall       callNumber                        // highest number assigned to a Submit call
	activeSubmits  int                               // running submit loops, each with at most one call in flight
	activeDelivers int                               // running deliver loops, each with at most one call in flight
}

func (b *outbox) idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.activeSubmits == 0 && b.activeDelivers == 0
}

// add queues an item with enqueue, which returns false if the queue is full, and
// starts a loop to send it unless MaxCalls loops are running. If the queue is
// full or the sender is closed, add calls refuse without holding mu.
func (b *outbox) add(enqueue func(*outbox) bool, refuse func()) {
	if b.sender.ctx.Err() != nil {
		refuse()
		return
	}
	b.mu.Lock()
	ok := enqueue(b)
	startSubmit := b.activeSubmits < MaxCalls && len(b.submissions)+len(b.cancels) > 0
	startDeliver := b.activeDelivers < MaxCalls && len(b.answers) > 0
	if startSubmit {
		b.activeSubmits++
	}
	if startDeliver {
		b.activeDelivers++
	}
	b.mu.Unlock()
	if !ok {
		refuse()
	}
	if startSubmit {
		b.sender.startLoop(b.submitLoop)
	}
	if startDeliver {
		b.sender.startLoop(b.deliverLoop)
	}
}

// startLoop runs loop in a goroutine that Close waits for. If Close has been called
// since add checked for it, startLoop runs loop synchronously: Close cancels the
// context, so the calls fail and the queued sub-requests are reported as failed.
func (s *Sender) startLoop(loop func()) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		loop()
		return
	}
	s.wg.Go(loop)
	s.mu.Unlock()
}

// submitLoop makes Submit calls, one at a time, until nothing can be sent.
func (b *outbox) submitLoop() {
	for {
		submissions, cancels := b.takeSubmits()
		if len(submissions)+len(cancels) == 0 {
			return
		}
		b.submit(submissions, cancels)
		b.removePending(submissions)
	}
}

// takeSubmits removes the contents of the next Submit call from the queues. If there
// are none, it decrements activeSubmits, and the calling loop ends. A cancellation
// held back by N6 is still sent: the loop that sends its sub-request calls
// takeSubmits again after that call.
func (b *outbox) takeSubmits() ([]submission, []*dgwire.SubCancel) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.submissions), MaxBatch)
	submissions := b.submissions[:n:n]
	b.submissions = b.submissions[n:]
	b.lastCall++
	for _, sub := range submissions {
		b.pending[sub.req.GetId().Value()] = b.lastCall
	}
	cancels := b.takeCancels()
	if n+len(cancels) == 0 {
		b.activeSubmits--
	}
	return submissions, cancels
}

// takeCancels removes from the queue at most MaxBatch of the cancellations that N6
// allows in call lastCall. Callers hold mu.
func (b *outbox) takeCancels() []*dgwire.SubCancel {
	var taken, kept []*dgwire.SubCancel
	for _, c := range b.cancels {
		call, pending := b.pending[c.GetId().Value()]
		if len(taken) < MaxBatch && (!pending || call == b.lastCall) {
			taken = append(taken, c)
		} else {
			kept = append(kept, c)
		}
	}
	b.cancels = kept
	return taken
}

// removePending removes the sub-requests of an ended call from pending, so that
// their cancellations may be sent in any call (N6).
func (b *outbox) removePending(submissions []submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sub := range submissions {
		delete(b.pending, sub.req.GetId().Value())
	}
}

// submit makes one Submit call. If it fails, each of its sub-requests is reported
// as failed (N3).
func (b *outbox) submit(submissions []submission, cancels []*dgwire.SubCancel) {
	msg := &dgwire.SubmitRequest{
		FromMember:  string(b.sender.self),
		FromAddress: b.sender.address,
		Requests:    make([]*dgwire.SubRequest, 0, len(submissions)),
		Cancels:     cancels,
	}
	// The sub-requests of a query share one body slice and are usually adjacent in
	// the queue. A body is therefore compared only with the previous one, and sent
	// again if sub-requests of another query are in between.
	var lastBody *byte
	for _, sub := range submissions {
		if len(sub.body) == 0 || &sub.body[0] != lastBody || len(msg.Bodies) == 0 {
			msg.Bodies = append(msg.Bodies, sub.body)
			lastBody = nil
			if len(sub.body) > 0 {
				lastBody = &sub.body[0]
			}
		}
		sub.req.Body = uint32(len(msg.Bodies) - 1)
		msg.Requests = append(msg.Requests, sub.req)
	}
	ctx, cancel := context.WithTimeout(b.sender.ctx, callTimeout)
	defer cancel()
	_, err := b.peer.Submit(ctx, msg)
	if err == nil {
		return
	}
	notRun := isDialError(err)
	for _, sub := range submissions {
		b.sender.onFailure(sub.req.GetId().Value(), dandeliongap.ReplicaID(sub.req.GetReplica()), notRun)
	}
}

// deliverLoop makes Deliver calls, one at a time, until no answer is queued. It
// ignores errors, which drops the answers in the failed call (N4).
func (b *outbox) deliverLoop() {
	for {
		answers := b.takeAnswers()
		if len(answers) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(b.sender.ctx, callTimeout)
		_, _ = b.peer.Deliver(ctx, &dgwire.DeliverRequest{FromMember: string(b.sender.self), Answers: answers})
		cancel()
	}
}

// takeAnswers removes the answers of the next Deliver call from the queue. If there
// are none, it decrements activeDelivers, and the calling loop ends.
func (b *outbox) takeAnswers() []*dgwire.SubAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.answers), MaxBatch)
	answers := b.answers[:n:n]
	b.answers = b.answers[n:]
	if n == 0 {
		b.activeDelivers--
	}
	return answers
}

// isDialError reports whether err means that the connection could not be
// established, so that the call certainly did not reach the peer.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
