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

// Guards against slots that stay occupied after the caller disconnected. Each
// backend server of the search must receive the cancellation, whichever VM the
// caller used and whichever VM owns the replica.
func TestCallerDisconnectFreesSlots(t *testing.T) {
	f := sharedFixture(t)
	busy := func() (n int) {
		f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { n += b.Busy() })
		return n
	}
	setServiceTime := func(s dgstandin.ServiceTime) {
		f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { b.SetServiceTime(s) })
	}
	f.until("no request is in progress", func() bool { return busy() == 0 })
	before := f.Fleet.Counters()
	setServiceTime(dgstandin.ServiceTime{Base: time.Hour})
	defer setServiceTime(dgdemo.ServiceTime)
	leaves := len(f.Deployment.Services[search].Leaves)
	for _, n := range f.Nodes() {
		ctx, disconnect := context.WithCancel(f.ctx)
		ended := make(chan answer, 1)
		go func() {
			ended <- postJSON(ctx, n.Address(), "/v1/search", struct{ Service, Query string }{string(search), "sleepers"})
		}()
		f.until("all sub-requests run", func() bool { return busy() >= leaves })
		disconnect()
		<-ended
		f.until("all slots are free", func() bool { return busy() == 0 })
	}
	after := f.Fleet.Counters()
	f.Expect(after.Cancelled - before.Cancelled).To(BeNumerically(">=", leaves*len(f.Nodes())))
	// A sub-request may be cancelled before it occupies a slot and then never runs, but
	// each one that a backend server received must end by its cancellation.
	f.Expect(after.Cancelled-before.Cancelled).To(Equal(after.Received-before.Received), "before %+v, after %+v", before, after)
	f.Expect(after.DeadlineGiveUps).To(Equal(before.DeadlineGiveUps), "no sub-request may end by its deadline")
}

// answerRecorder is a peer that passes the sub-answers it receives to a channel.
type answerRecorder struct {
	dgwire.Peer
	got chan *dgwire.SubAnswer
}

func (a *answerRecorder) Deliver(_ context.Context, m *dgwire.DeliverRequest) (*dgwire.DeliverReply, error) {
	for _, x := range m.GetAnswers() {
		a.got <- x
	}
	return &dgwire.DeliverReply{}, nil
}

// Guards against a cancellation that is dropped because its sub-request arrives in
// the same message: the sub-request would run and occupy its slot until the rights
// of the owner end.
func TestCancellationInSameMessageAsSubRequest(t *testing.T) {
	f := sharedFixture(t)
	f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) {
		b.SetServiceTime(dgstandin.ServiceTime{Base: time.Hour})
	})
	defer f.Fleet.Each(func(_ dandeliongap.ReplicaID, b *dgstandin.Backend) { b.SetServiceTime(dgdemo.ServiceTime) })
	recorder := &answerRecorder{got: make(chan *dgwire.SubAnswer, 16)}
	server := httptest.NewServer(dgwire.NewPeerServer(recorder))
	defer server.Close()
	node, owned := f.ownerOfSearch()
	peer := dgwire.NewPeerProtobufClient(strings.TrimSuffix(peerURL(node), dgwire.PeerPathPrefix), http.DefaultClient)
	id := dgwire.FromSubID(dandeliongap.SubID{Entry: 77, Query: 1})
	_, err := peer.Submit(f.ctx, &dgwire.SubmitRequest{
		FromAddress: strings.TrimPrefix(server.URL, "http://"),
		Requests:    []*dgwire.SubRequest{{Id: id, Replica: owned, DeadlineUnixMs: time.Now().Add(waitTimeout).UnixMilli()}},
		Bodies:      [][]byte{{}},
		Cancels:     []*dgwire.SubCancel{{Id: id, Replica: owned}},
	})
	f.Expect(err).NotTo(HaveOccurred())
	var a *dgwire.SubAnswer
	f.Eventually(recorder.got, waitTimeout).Should(Receive(&a))
	f.Expect(dandeliongap.Reason(a.GetReason())).To(Equal(dandeliongap.ReasonCancelled))
}

// ownerOfSearch returns a VM that owns a replica of the search group, and that
// replica. It looks at all VMs, since earlier tests on the shared cluster determine
// which replicas a VM owns.
func (f *fixture) ownerOfSearch() (*dgnode.Node, string) {
	var owner *dgnode.Node
	owned := ""
	f.until("a VM owns a replica of the search group", func() bool {
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
