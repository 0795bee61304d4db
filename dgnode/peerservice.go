package dgnode

import (
	"context"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgpeer"
	"dandeliongap.example/dandeliongap/dgwire"
	"github.com/twitchtv/twirp"
)

// peerService implements the RPCs that other VMs call. Submit, Deliver and Report
// bypass the control goroutine. Exchange and Release run on it, and Renew reports
// the result of its platform call to it.
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
		p.submitRequest(m.GetFromAddress(), r, bodies[r.GetBody()])
	}
	// Cancellations are handled last, because they can refer to sub-requests of the
	// same message.
	for _, c := range m.GetCancels() {
		if g := p.gates.get(dandeliongap.ReplicaID(c.GetReplica())); g != nil {
			g.cancel(c.GetId().Value())
		}
	}
	return &dgwire.SubmitReply{}, nil
}

func (p *peerService) submitRequest(from string, r *dgwire.SubRequest, body []byte) {
	id := r.GetId().Value()
	replica := dandeliongap.ReplicaID(r.GetReplica())
	deliver := func(a dandeliongap.BackendAnswer, load dandeliongap.ReplicaLoad) {
		p.peers.Deliver(from, dgwire.FromAnswer(id, replica, a, load))
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
	g.submit(&attempt{
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
			continue // for an earlier incarnation of this VM
		}
		answer, load, err := a.Value()
		if err != nil {
			answer = dandeliongap.BackendAnswer{Status: dandeliongap.SubUnknown, Reason: dandeliongap.ReasonBroken}
		}
		p.entry.mailboxes.put(newAnswer(id, replica, answer, load))
	}
	return &dgwire.DeliverReply{}, nil
}
