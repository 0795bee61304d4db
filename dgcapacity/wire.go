package dgcapacity

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgwire"
	"google.golang.org/protobuf/proto"
)

const (
	queryBytes = 200 // of the body of a query
	hitCount   = 5   // hits in the body of one sub-answer
)

// answerBody is the body of one sub-answer.
func answerBody(hits int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"Parts":[{"Part":17,"Hits":[`)
	for i := range hits {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Id":"order-%08d","Score":%d.5,"Text":"Sleeper B70, 240 pieces, depot Kurunegala"}`, i*7919, 9-i)
	}
	b.WriteString("]}]}")
	return b.Bytes()
}

// submitMessage returns a message with n sub-requests of one query.
func submitMessage(n int) *dgwire.SubmitRequest {
	m := &dgwire.SubmitRequest{FromMember: "entry-001-0123456789abcdef", FromAddress: "10.1.0.1:8081", Bodies: [][]byte{make([]byte, queryBytes)}}
	for i := range n {
		m.Requests = append(m.Requests, &dgwire.SubRequest{
			Id:      dgwire.FromSubID(dandeliongap.SubID{Entry: 1 << 60, Query: 1 << 30, Shard: uint32(i)}),
			Replica: fmt.Sprintf("shard-%03d/%d", i, 1+i%4), Index: 1 << 20, DeadlineUnixMs: 1 << 40,
		})
	}
	return m
}

// deliverMessage returns a message with n whole sub-answers.
func deliverMessage(n int) *dgwire.DeliverRequest {
	m := &dgwire.DeliverRequest{FromMember: "entry-001-0123456789abcdef"}
	for i := range n {
		id := dandeliongap.SubID{Entry: 1 << 60, Query: 1 << 30, Shard: uint32(i)}
		answer := dandeliongap.BackendAnswer{Status: dandeliongap.SubAnswered, Index: 1 << 20, Body: answerBody(hitCount)}
		m.Answers = append(m.Answers, dgwire.FromAnswer(id, dandeliongap.ReplicaID(fmt.Sprintf("shard-%03d/1", i)), answer, dandeliongap.ReplicaLoad{Limit: 3, Busy: 2}))
	}
	return m
}

func measureWire(r *Report, o Options) error {
	for _, n := range o.Batch {
		submit, deliver := submitMessage(n), deliverMessage(n)
		if err := measureMessage(r, o, "Submit", n, submit, func() proto.Message { return &dgwire.SubmitRequest{} }); err != nil {
			return err
		}
		if err := measureMessage(r, o, "Deliver", n, deliver, func() proto.Message { return &dgwire.DeliverRequest{} }); err != nil {
			return err
		}
		peer := dgwire.NewPeerProtobufClient("http://10.1.0.1:8081", direct{dgwire.NewPeerServer(acceptAll{})})
		ctx := context.Background()
		if _, err := peer.Submit(ctx, submit); err != nil {
			return fmt.Errorf("submit of %d items: %w", n, err)
		}
		c := timed(o.Timing, func() { _, _ = peer.Submit(ctx, submit) })
		r.add("Submit call of twirp without sockets", "us", drivenByItems, n, microseconds(c.time))
		c = timed(o.Timing, func() { _, _ = peer.Deliver(ctx, deliver) })
		r.add("Deliver call of twirp without sockets", "us", drivenByItems, n, microseconds(c.time))
	}
	return nil
}

func measureMessage(r *Report, o Options, name string, n int, m proto.Message, empty func() proto.Message) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(body, empty()); err != nil {
		return err
	}
	enc := timed(o.Timing, func() { _, _ = proto.Marshal(m) })
	dec := timed(o.Timing, func() { _ = proto.Unmarshal(body, empty()) })
	r.add(name+" message", "bytes", drivenByItems, n, float64(len(body)))
	r.add("encode "+name, "us", drivenByItems, n, microseconds(enc.time))
	r.add("decode "+name, "us", drivenByItems, n, microseconds(dec.time))
	r.add("decode "+name+", allocations", "count", drivenByItems, n, dec.allocations)
	return nil
}

// direct carries a call of the generated client to a handler without network.
type direct struct{ handler http.Handler }

// Do implements the HTTP client of the generated code.
func (d direct) Do(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, req)
	return w.Result(), nil
}

// acceptAll is a peer that does nothing with what it receives.
type acceptAll struct{ dgwire.Peer }

// Submit implements dgwire.Peer.
func (acceptAll) Submit(context.Context, *dgwire.SubmitRequest) (*dgwire.SubmitReply, error) {
	return &dgwire.SubmitReply{}, nil
}

// Deliver implements dgwire.Peer.
func (acceptAll) Deliver(context.Context, *dgwire.DeliverRequest) (*dgwire.DeliverReply, error) {
	return &dgwire.DeliverReply{}, nil
}

// Exchange implements dgwire.Peer.
func (acceptAll) Exchange(_ context.Context, m *dgwire.ExchangeMessage) (*dgwire.ExchangeMessage, error) {
	return m, nil
}
