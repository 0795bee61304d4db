package dgdemo_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgdemo"
	"dandeliongap.example/dandeliongap/dgnode"
	"dandeliongap.example/dandeliongap/dgwire"
	. "github.com/onsi/gomega"
)

// sendHTTP sends one HTTP request and returns the status and the body.
func sendHTTP(ctx context.Context, method, url, body string, header http.Header) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// peerURL returns the base URL of the methods of a VM's peer listener.
func peerURL(n *dgnode.Node) string {
	return "http://" + n.View().Members[n.Member()].PeerAddress + dgwire.PeerPathPrefix
}

// Guards against invalid input of callers and operators that crashes a VM, gets no
// clear answer, or reaches a backend server.
func TestBadInputOfCallersAndOperators(t *testing.T) {
	f := sharedFixture(t)
	base := "http://" + f.Nodes()[0].Address()
	before := f.Fleet.Counters().Received
	headers := func(size int) http.Header { return http.Header{"X-Large": {strings.Repeat("x", size)}} }
	operator := func(name, value string) http.Header {
		return http.Header{"Authorization": {"Bearer " + dgdemo.OperatorToken}, name: {value}}
	}
	large := strings.Repeat("x", 3<<20)
	for name, c := range map[string]struct {
		method, path, body string
		header             http.Header
		status             int
		bodyContains       string
	}{
		"broken search":     {"POST", "/v1/search", "{", nil, 400, "not a search"},
		"search not JSON":   {"POST", "/v1/search", "sleepers", nil, 400, "not a search"},
		"wrong type":        {"POST", "/v1/search", `{"Service":7}`, nil, 400, "not a search"},
		"no service":        {"POST", "/v1/search", `{}`, nil, 400, "Service must be given"},
		"unknown service":   {"POST", "/v1/search", `{"Service":"none"}`, nil, 503, "unknown service"},
		"unknown class":     {"POST", "/v1/search", `{"Service":"search","Class":"none"}`, nil, 400, "Class must be"},
		"coverage above 1":  {"POST", "/v1/search", `{"Service":"search","MinCoverage":2}`, nil, 400, "MinCoverage"},
		"negative deadline": {"POST", "/v1/search", `{"Service":"search","DeadlineMs":-1}`, nil, 400, "DeadlineMs"},
		"endless deadline":  {"POST", "/v1/search", `{"Service":"search","DeadlineMs":9000000000000000000}`, nil, 400, "DeadlineMs"},
		"broken action":     {"POST", "/v1/actions", "[]", nil, 400, "not an action"},
		"no key":            {"POST", "/v1/actions", `{"Service":"dispatch"}`, nil, 400, "Key"},
		"long key":          {"POST", "/v1/actions", `{"Service":"dispatch","Key":"` + large[:300] + `"}`, nil, 400, "Key"},
		"no actions":        {"POST", "/v1/actions", `{"Service":"search","Key":"k"}`, nil, 400, "accepts no actions"},
		"unknown group":     {"POST", "/v1/actions", `{"Service":"none","Key":"k"}`, nil, 503, "unknown service"},
		"large body":        {"POST", "/v1/search", `{"Service":"search","Query":"` + large + `"}`, nil, 413, ""},
		"large header":      {"POST", "/v1/search", `{"Service":"search"}`, headers(16 << 10), 431, ""},
		"unknown path":      {"GET", "/v1/none", "", nil, 404, "Error"},
		"no version":        {"PUT", "/v1/config", "x", operator("Change-Id", "a"), 400, "If-Match"},
		"no change id":      {"PUT", "/v1/config", "x", operator("If-Match", `"1"`), 400, "Change-Id"},
		"unknown zone":      {"POST", "/v1/zones/none/take-out", "", operator("X", "y"), 404, "none"},
		"unknown verb":      {"POST", "/v1/zones/zone-b/drop", "", operator("X", "y"), 404, "verbs"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			status, body, err := sendHTTP(f.ctx, c.method, base+c.path, c.body, c.header)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(c.status), body)
			g.Expect(body).To(ContainSubstring(c.bodyContains))
		})
	}
	f.Expect(f.Fleet.Counters().Received).To(Equal(before), "no invalid request may reach a backend server")
	f.Expect(f.searchAt(f.Nodes()[0])).To(HaveField("Merged", 10))
}

// Guards against an answer that helps an attacker to guess the token, and against
// an attempt that is not logged.
func TestWrongOperatorToken(t *testing.T) {
	f := sharedFixture(t)
	lines := shared.log.count(`"Rule":"E2"`)
	calls := 0
	for _, token := range []string{"", "Bearer ", "Bearer wrong", "embedded-cluster-token", "Basic embedded-cluster-token"} {
		for _, c := range [][2]string{{"GET", "/v1/config"}, {"PUT", "/v1/config"}, {"GET", "/v1/status"}, {"POST", "/v1/zones/zone-b/take-out"}, {"GET", "/debug/vars"}} {
			status, body, err := sendHTTP(f.ctx, c[0], "http://"+f.Nodes()[0].Address()+c[1], "", http.Header{"Authorization": {token}})
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(status).To(Equal(http.StatusUnauthorized))
			f.Expect(body).To(Equal("Unauthorized"))
			calls++
		}
	}
	f.Expect(lines()).To(Equal(calls), "one log line per attempt")
}

// Guards against messages of a peer with fields out of range that crash a VM, lead to
// requests to backend servers that break a promise, or take answers from searches in
// progress.
func TestBadInputOfPeers(t *testing.T) {
	f := sharedFixture(t)
	node := f.Nodes()[0]
	url := peerURL(node)
	peer := dgwire.NewPeerProtobufClient(strings.TrimSuffix(url, dgwire.PeerPathPrefix), http.DefaultClient)
	protobufHeader := http.Header{"Content-Type": {"application/protobuf"}}
	before := f.Fleet.Counters().Received
	tally := f.underLoadOfSearches(func() {
		for name, body := range map[string]string{"broken": "\xff\xff", "large": strings.Repeat("x", 33<<20)} {
			status, _, err := sendHTTP(f.ctx, "POST", url+"Submit", body, protobufHeader)
			f.Expect(err == nil && status < 400).To(BeFalse(), name)
		}
		var owned, other string
		for id, p := range node.View().Placement {
			if p.Owner == node.Member() {
				owned = string(id)
			} else {
				other = string(id)
			}
		}
		f.Expect(owned).NotTo(BeEmpty())
		badBodyIndex := &dgwire.SubRequest{Replica: owned, Body: 1}
		_, err := peer.Submit(f.ctx, &dgwire.SubmitRequest{Requests: []*dgwire.SubRequest{badBodyIndex}, Bodies: [][]byte{{}}})
		f.Expect(err).To(MatchError(ContainSubstring("outside of bodies")))
		for _, r := range []*dgwire.SubRequest{
			{Replica: owned, Class: 99, DeadlineUnixMs: -1},
			{Id: &dgwire.SubId{}, Replica: owned, Class: 1 << 31, DeadlineUnixMs: -1 << 63},
			{Replica: other, Action: true},
			{Replica: "none/1", Key: strings.Repeat("k", 1<<16)},
			{},
		} {
			for _, from := range []string{"", "none", "127.0.0.1:1"} {
				_, err := peer.Submit(f.ctx, &dgwire.SubmitRequest{FromAddress: from, Requests: []*dgwire.SubRequest{r}, Bodies: [][]byte{{}},
					Cancels: []*dgwire.SubCancel{{}, {Replica: owned}, {Replica: "none/1"}}})
				f.Expect(err).NotTo(HaveOccurred())
			}
		}
		for _, a := range []*dgwire.SubAnswer{
			{},
			{Status: 99, Reason: 1 << 31},
			{Id: &dgwire.SubId{Entry: 1, Query: 1}, Body: []byte("x"), BodyHash: 1},
			{Mark: &dgwire.Mark{Limit: -1, Busy: -1, Queued: -1}, RetryAfterMs: -1 << 63},
		} {
			_, err := peer.Deliver(f.ctx, &dgwire.DeliverRequest{Answers: []*dgwire.SubAnswer{a}})
			f.Expect(err).NotTo(HaveOccurred())
		}
		_, err = peer.Exchange(f.ctx, &dgwire.ExchangeMessage{
			FromMember: "none",
			Digest:     []*dgwire.ObjectVersion{{Name: "none", Version: 1 << 63}, {}},
			Contacts:   &dgwire.ContactVector{MembersVersion: 1, Ages: bytes.Repeat([]byte{0}, 1<<16)},
			Newer:      []*dgwire.RelayedObject{{}, {Name: "state/none", Version: 1 << 63, GzipBody: []byte("x")}},
			Joining:    &dgwire.MemberRecord{Id: "none", State: 99},
		})
		f.Expect(err).NotTo(HaveOccurred())
		_, err = peer.Renew(f.ctx, &dgwire.RenewRequest{Name: "state/deployment"})
		f.Expect(err).To(MatchError(ContainSubstring("not a lease")))
		r, err := peer.Release(f.ctx, &dgwire.ReleaseRequest{FormerMember: "none", Replica: owned, Epoch: 1 << 63})
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(r.GetReleased()).To(BeFalse(), "the former member in the request is not this VM")
	})
	f.expectAllAnswered(tally)
	f.expectPromisesKept(tally)
	f.Expect(f.Fleet.Counters().Received).To(BeNumerically(">", before))
	f.Expect(f.Ready()).To(BeTrue())
	f.Expect(node.View().Members).NotTo(HaveKey(dandeliongap.MemberID("none")))
}
