package dgdemo_test

import (
	"net/http"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwire"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// fuzzPeer posts bodies to one method of a VM's peer listener, each as prepare returns
// it. A panic in the handler would close the connection and so fail the test. The
// cluster runs in the same process, and its background work changes the code coverage
// all the time. To keep the fuzzer from minimizing inputs because of this, run it with
// -fuzzminimizetime=1x.
func fuzzPeer(f *testing.F, method string, prepare func([]byte) []byte, seeds ...proto.Message) {
	c := sharedFixture(f)
	node := c.Nodes()[0]
	for _, m := range seeds {
		b, err := proto.Marshal(m)
		c.Expect(err).NotTo(HaveOccurred())
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add([]byte("\xff\x00"))
	url := peerURL(node) + method
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		status, reply, err := sendHTTP(t.Context(), "POST", url, string(prepare(body)), http.Header{"Content-Type": {"application/protobuf"}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(BeElementOf(http.StatusOK, http.StatusBadRequest), reply)
		r := postJSON(t.Context(), node.Address(), "/v1/search", struct{ Service, Query string }{string(search), "sleepers"})
		g.Expect(r).To(HaveField("Merged", 10), "searches must still be answered in full")
	})
}

// redirectAnswers replaces the address for answers in the body by a closed port of
// this machine, so that the VM never sends to an address that the fuzzer made up.
func redirectAnswers(body []byte) []byte {
	var m dgwire.SubmitRequest
	if proto.Unmarshal(body, &m) != nil {
		return body
	}
	m.FromAddress = "127.0.0.1:1"
	b, err := proto.Marshal(&m)
	if err != nil {
		return body
	}
	return b
}

// Guards against a message of a peer that crashes the VM or makes its searches fail.
func FuzzSubmit(f *testing.F) {
	id := dgwire.FromSubID(dandeliongap.SubID{Entry: 1, Query: 2, Shard: 3, Attempt: 4})
	fuzzPeer(f, "Submit", redirectAnswers,
		&dgwire.SubmitRequest{FromMember: "m", FromAddress: "127.0.0.1:1", Bodies: [][]byte{[]byte("sleepers")},
			Requests: []*dgwire.SubRequest{{Id: id, Replica: "search-1/1", Class: 1, Index: 1, DeadlineUnixMs: 1 << 60}}},
		&dgwire.SubmitRequest{Requests: []*dgwire.SubRequest{{Replica: "search-1/1", Class: 9, Body: 1}}},
		&dgwire.SubmitRequest{Cancels: []*dgwire.SubCancel{{Id: id, Replica: "search-1/1"}, {}}},
	)
}

// Guards against an answer of a peer that crashes the VM or makes its searches fail.
func FuzzDeliver(f *testing.F) {
	id := dgwire.FromSubID(dandeliongap.SubID{Entry: 1, Query: 2, Shard: 3, Attempt: 4})
	answer := dgwire.FromAnswer(dandeliongap.SubID{}, "search-1/1", dandeliongap.BackendAnswer{Body: []byte("{}")}, dandeliongap.ReplicaLoad{})
	fuzzPeer(f, "Deliver", func(body []byte) []byte { return body },
		&dgwire.DeliverRequest{FromMember: "m", Answers: []*dgwire.SubAnswer{answer}},
		&dgwire.DeliverRequest{Answers: []*dgwire.SubAnswer{{Id: id, Status: 99, Reason: 99, Mark: &dgwire.Mark{Limit: -1}}, {}}},
	)
}
