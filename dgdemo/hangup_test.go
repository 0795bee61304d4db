package dgdemo_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgdemo"
	"dandeliongap.example/dandeliongap/dgnode"
	"dandeliongap.example/dandeliongap/dgstandin"
	"dandeliongap.example/dandeliongap/dgwire"
	. "github.com/onsi/gomega"
)

// Guards against slots that stay taken for a caller that is gone: each backend
// server of the search sees the cancellation, at any VM and through any owner.
func TestHangUpFreesSlots(t *testing.T) {
	f := shared(t)
	busy := func() (n int) {
		f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { n += b.Busy() })
		return n
	}
	slow := func(s dgstandin.ServiceTime) {
		f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { b.SetServiceTime(s) })
	}
	f.until("no request is under way", func() bool { return busy() == 0 })
	before := f.Fleet.Counters()
	slow(dgstandin.ServiceTime{Base: time.Hour})
	defer slow(dgdemo.ServiceTime)
	leaves := len(f.Deployment.Services[search].Leaves)
	for _, n := range f.Nodes() {
		ctx, hangUp := context.WithCancel(f.ctx)
		ended := make(chan answer, 1)
		go func() {
			ended <- post(ctx, n.Address(), "/v1/search", struct{ Service, Query string }{string(search), "sleepers"})
		}()
		f.until("all sub-requests run", func() bool { return busy() >= leaves })
		hangUp()
		<-ended
		f.until("all slots are free", func() bool { return busy() == 0 })
	}
	after := f.Fleet.Counters()
	f.Expect(after.Cancelled - before.Cancelled).To(BeNumerically(">=", leaves*len(f.Nodes())))
	// A cancellation may come before the sub-request took a slot, so that it never
	// ran; but each that a backend server received ends by its cancellation.
	f.Expect(after.Cancelled-before.Cancelled).To(Equal(after.Received-before.Received), "before %+v, after %+v", before, after)
	f.Expect(after.DeadlineGiveUps).To(Equal(before.DeadlineGiveUps), "no slot was freed by its deadline")
}

// answers is a peer that takes sub-answers.
type answers struct {
	dgwire.Peer
	got chan *dgwire.SubAnswer
}

func (a *answers) Deliver(_ context.Context, m *dgwire.DeliverRequest) (*dgwire.DeliverReply, error) {
	for _, x := range m.GetAnswers() {
		a.got <- x
	}
	return &dgwire.DeliverReply{}, nil
}

// Guards against a cancellation that is dropped because its sub-request comes in
// the same message: the run would take its slot until the rights of the owner end.
func TestCancellationInTheMessageOfItsSubRequest(t *testing.T) {
	f := shared(t)
	f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) {
		b.SetServiceTime(dgstandin.ServiceTime{Base: time.Hour})
	})
	defer f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { b.SetServiceTime(dgdemo.ServiceTime) })
	to := &answers{got: make(chan *dgwire.SubAnswer, 16)}
	server := httptest.NewServer(dgwire.NewPeerServer(to))
	defer server.Close()
	node, owned := f.ownerOfSearch()
	peer := dgwire.NewPeerProtobufClient(strings.TrimSuffix(peerURL(node), dgwire.PeerPathPrefix), http.DefaultClient)
	id := dgwire.FromSubID(dandeliongap.SubID{Entry: 77, Query: 1})
	_, err := peer.Submit(f.ctx, &dgwire.SubmitRequest{
		FromAddress: strings.TrimPrefix(server.URL, "http://"),
		Requests:    []*dgwire.SubRequest{{Id: id, Replica: owned, DeadlineUnixMs: time.Now().Add(patience).UnixMilli()}},
		Bodies:      [][]byte{{}},
		Cancels:     []*dgwire.SubCancel{{Id: id, Replica: owned}},
	})
	f.Expect(err).NotTo(HaveOccurred())
	var a *dgwire.SubAnswer
	f.Eventually(to.got, patience).Should(Receive(&a))
	f.Expect(dandeliongap.Reason(a.GetReason())).To(Equal(dandeliongap.ReasonCancelled))
}

// ownerOfSearch returns a VM that owns a replica of the search, and that replica.
// The replicas that a single VM owns depend on what earlier tests did to the
// shared VMs.
func (f *fixture) ownerOfSearch() (*dgnode.Node, string) {
	var owner *dgnode.Node
	owned := ""
	f.until("a VM owns a replica of the search", func() bool {
		for _, n := range f.Nodes() {
			for id, p := range n.View().Placement {
				if p.Owner == n.Member() && strings.HasPrefix(string(id), string(search)) {
					owner, owned = n, string(id)
					return true
				}
			}
		}
		return false
	})
	return owner, owned
}
