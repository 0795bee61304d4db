package dgnode

import (
	"context"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpeer"
	"dandeliongap.example/dandeliongap/dgwire"
	"github.com/twitchtv/twirp"
)

// peerService serves the other VMs. Submit and Deliver touch traffic only;
// Exchange, Release and Renew go through the control goroutine.
type peerService struct {
	clock   clock
	gates   *gates
	entry   *entry
	peers   *dgpeer.Sender
	control *control
}

// Submit implements dgwire.Peer.
func (p *peerService) Submit(_ context.Context, m *dgwire.SubmitRequest) (*dgwire.SubmitReply, error) {
	bodies := m.GetBodies()
	for _, r := range m.GetRequests() {
		if int(r.GetBody()) >= len(bodies) {
			return nil, twirp.InvalidArgumentError("body", "has a number outside of bodies")
		}
	}
	for _, r := range m.GetRequests() {
		p.offer(m.GetFromAddress(), r, bodies[r.GetBody()])
	}
	// A cancellation may be of a sub-request of the same message.
	for _, c := range m.GetCancels() {
		if g := p.gates.get(dandeliongap.ReplicaID(c.GetReplica())); g != nil {
			g.cancel(c.GetId().Value())
		}
	}
	return &dgwire.SubmitReply{}, nil
}

func (p *peerService) offer(from string, r *dgwire.SubRequest, body []byte) {
	id := r.GetId().Value()
	replica := dandeliongap.ReplicaID(r.GetReplica())
	deliver := func(a dandeliongap.BackendAnswer, mark dandeliongap.ReplicaLoad) {
		p.peers.Deliver(from, dgwire.FromAnswer(id, replica, a, mark))
	}
	g := p.gates.get(replica)
	if g == nil {
		deliver(dandeliongap.BackendAnswer{
			Status: dandeliongap.SubNotRun,
			Reason: dandeliongap.ReasonNotOwner,
		}, dandeliongap.ReplicaLoad{})
		return
	}
	class := r.ClassValue()
	g.offer(&work{
		req: dandeliongap.BackendRequest{
			ID:     id,
			Class:  class,
			Index:  dandeliongap.IndexVersion(r.GetIndex()),
			Action: r.GetAction(),
			Key:    dandeliongap.IdempotencyKey(r.GetKey()),
			Body:   body,
		},
		reply: deliver,
	}, class, p.clock.instant(time.UnixMilli(r.GetDeadlineUnixMs())))
}

// Deliver implements dgwire.Peer.
func (p *peerService) Deliver(_ context.Context, m *dgwire.DeliverRequest) (*dgwire.DeliverReply, error) {
	for _, a := range m.GetAnswers() {
		id, replica := a.GetId().Value(), dandeliongap.ReplicaID(a.GetReplica())
		if id.Entry != p.entry.incarnation {
			continue // meant for a process that this one replaced
		}
		answer, mark, err := a.Value()
		if err != nil {
			answer = dandeliongap.BackendAnswer{Status: dandeliongap.SubUnknown, Reason: dandeliongap.ReasonBroken}
		}
		p.entry.mailboxes.put(answerOf(id, replica, answer, mark))
	}
	return &dgwire.DeliverReply{}, nil
}
