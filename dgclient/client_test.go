package dgclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// vm is a fake VM of the tier. It records every request except those for addresses
// and answers it with respond.
type vm struct {
	*httptest.Server
	addr string

	mu              sync.Mutex
	announced       []string // addresses in its list
	keepMs          int      // KeepMs of its list
	addressRequests int
	received        []string // "METHOD path body"
	headers         []http.Header
	respond         http.HandlerFunc
}

func newVM() *vm {
	v := &vm{keepMs: 60_000}
	v.Server = httptest.NewServer(http.HandlerFunc(v.serve))
	v.addr = v.Listener.Addr().String()
	v.announced = []string{v.addr}
	DeferCleanup(v.Close)
	return v
}

func (v *vm) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	v.mu.Lock()
	if r.URL.Path == "/v1/addresses" {
		v.addressRequests++
		_ = json.NewEncoder(w).Encode(map[string]any{"Addresses": v.announced, "KeepMs": v.keepMs})
		v.mu.Unlock()
		return
	}
	v.received = append(v.received, r.Method+" "+r.URL.EscapedPath()+" "+string(body))
	v.headers = append(v.headers, r.Header)
	respond := v.respond
	v.mu.Unlock()
	respond(w, r)
}

func (v *vm) requests() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.received)
}

func (v *vm) respondWith(status int, body string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.respond = func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// dropConnections makes the VM close the connection of each request without a
// response.
func (v *vm) dropConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.respond = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
}

// closedAddress returns an address that refuses connections.
func closedAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

const (
	answered = `{"Id":"q1","Outcome":"answered","IndexVersion":7,"Merged":3,"Total":4,"Coverage":0.75,"Hits":[{"Id":"h","Score":0.5,"Text":"t"}],"Body":"done"}`
	refused  = `{"Outcome":"not run","Reason":"overload","RetryAfterMs":40}`
)

var _ = Describe("Client", func() {
	var (
		a, b *vm
		c    *dgclient.Client
		ctx  = context.Background()
	)
	connect := func(addresses ...string) {
		var err error
		c, err = dgclient.New(dgclient.Options{Addresses: addresses, Token: "secret", Timeout: eventTimeout})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
	}
	BeforeEach(func() {
		a, b = newVM(), newVM()
		both := []string{a.addr, b.addr}
		a.announced, b.announced = both, both
		a.respondWith(200, answered)
		b.respondWith(200, answered)
		connect(a.addr)
	})
	total := func() int { return len(a.requests()) + len(b.requests()) }
	search := func() (dgclient.SearchResult, error) {
		return c.Search(ctx, dgclient.SearchRequest{Service: "orders", Query: "q", Deadline: eventTimeout})
	}
	act := func(key dandeliongap.IdempotencyKey) (dgclient.ActionResult, error) {
		return c.Act(ctx, dgclient.ActionRequest{Service: "orders", Key: key, Body: "b", Deadline: eventTimeout})
	}

	It("reuses the address list and spreads requests over it", func() {
		for range 10 {
			_, err := search()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(a.addressRequests + b.addressRequests).To(Equal(1))
		Expect([]int{len(a.requests()), len(b.requests())}).To(Equal([]int{5, 5}))
		Expect(c.Addresses(ctx)).To(ConsistOf(a.addr, b.addr))
	})

	It("fetches a new address list when the old one has expired", func() {
		a.keepMs, b.keepMs = 0, 0
		Eventually(func() int {
			_, err := search()
			Expect(err).NotTo(HaveOccurred())
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.addressRequests
		}, eventTimeout).Should(BeNumerically(">=", 2))
	})

	It("returns every field of a search result", func() {
		r, err := search()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Address).NotTo(BeEmpty())
		r.Address = ""
		Expect(r).To(Equal(dgclient.SearchResult{
			ID: "q1", Outcome: dandeliongap.OutcomeAnswered, IndexVersion: 7, Merged: 3, Total: 4, Coverage: 0.75,
			Hits: []dgclient.Hit{{ID: "h", Score: 0.5, Text: "t"}},
		}))
	})

	DescribeTable("reports only an outcome on which status and body agree",
		func(status int, body string, outcome dandeliongap.Outcome, sentinel error) {
			a.respondWith(status, body)
			b.respondWith(status, body)
			s, err := search()
			Expect(s.Outcome).To(Equal(outcome))
			Expect(err).To(MatchError(sentinel))
			r, err := act("k")
			Expect(r.Outcome).To(Equal(outcome))
			Expect(err).To(MatchError(sentinel))
			Expect(total()).To(Equal(2))
		},
		Entry("not run", 503, refused, dandeliongap.OutcomeNotRun, dandeliongap.ErrNotRun),
		Entry("503 without an outcome", 503, "busy", dandeliongap.OutcomeUnknown, dandeliongap.ErrUnreachable),
		Entry("unknown", 504, `{"Outcome":"unknown"}`, dandeliongap.OutcomeUnknown, dandeliongap.ErrUnreachable),
		Entry("200 without an answer", 200, `{}`, dandeliongap.OutcomeUnknown, dandeliongap.ErrUnreachable),
		Entry("500", 500, refused, dandeliongap.OutcomeUnknown, dandeliongap.ErrUnreachable),
		Entry("bad request", 400, `no such service`, dandeliongap.OutcomeNotRun, dandeliongap.ErrInvalid),
		Entry("key used with another body", 409, refused, dandeliongap.OutcomeNotRun, dandeliongap.ErrConflict),
	)

	It("reports reason and retry-after of a refusal", func() {
		a.respondWith(503, refused)
		b.respondWith(503, refused)
		r, err := search()
		Expect(err).To(MatchError(dandeliongap.ErrNotRun))
		Expect(r.Reason).To(Equal("overload"))
		Expect(r.RetryAfter).To(Equal(40 * time.Millisecond))
	})

	It("sends a search to another address after a lost connection", func() {
		a.dropConnections()
		for range 4 {
			_, err := search()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(b.requests()).To(HaveLen(4))
	})

	It("sends a search to another VM when one is stopping", func() {
		a.respondWith(503, `{"Outcome":"not run","Reason":"stopping"}`)
		for range 4 {
			_, err := search()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(b.requests()).To(HaveLen(4))
	})

	// Guards against failed actions when a caller uses an address after its VM began
	// to stop. However long a stopping VM waits, a slow caller may still do so.
	It("sends an action to another VM when one is stopping", func() {
		a.respondWith(503, `{"Outcome":"not run","Reason":"stopping"}`)
		for i := range 4 {
			r, err := act(dandeliongap.IdempotencyKey(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Address).To(Equal(b.addr))
		}
		Expect(b.requests()).To(HaveLen(4))
	})

	It("reports an action as not run when every VM is stopping", func() {
		a.respondWith(503, `{"Outcome":"not run","Reason":"stopping"}`)
		b.respondWith(503, `{"Outcome":"not run","Reason":"stopping"}`)
		r, err := act("k")
		Expect(err).To(MatchError(dandeliongap.ErrNotRun))
		Expect(r.Outcome).To(Equal(dandeliongap.OutcomeNotRun))
		Expect(total()).To(BeNumerically(">=", 2))
	})

	It("reports a search as unknown when an earlier address may have run it", func() {
		a.dropConnections()
		b.respondWith(503, refused)
		for range 4 {
			before := len(a.requests())
			r, err := search()
			Expect(err).To(HaveOccurred())
			if len(a.requests()) > before {
				Expect(r.Outcome).To(Equal(dandeliongap.OutcomeUnknown))
				Expect(err).NotTo(MatchError(dandeliongap.ErrNotRun))
			}
		}
		Expect(a.requests()).NotTo(BeEmpty())
		connect(a.addr, closedAddress())
		a.announced = []string{a.addr, closedAddress()}
		r, err := search()
		Expect(err).NotTo(MatchError(dandeliongap.ErrNotRun))
		Expect(r.Outcome).To(Equal(dandeliongap.OutcomeUnknown))
	})

	It("sends an action once and a retry by the caller to another address", func() {
		a.dropConnections()
		b.dropConnections()
		r, err := act("k")
		Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
		Expect(err).NotTo(MatchError(dandeliongap.ErrNotRun))
		Expect(r.Outcome).To(Equal(dandeliongap.OutcomeUnknown))
		Expect(total()).To(Equal(1))
		_, err = act("other") // advances the round robin, so that the retry would return to the first address
		Expect(err).To(HaveOccurred())
		again, err := act("k")
		Expect(err).To(HaveOccurred())
		Expect(again.Address).NotTo(Equal(r.Address))
		Expect(total()).To(Equal(3))
	})

	It("sends an action to another address when one refuses the connection", func() {
		connect(closedAddress(), a.addr)
		a.announced = []string{closedAddress(), a.addr}
		for i := range 4 {
			_, err := act(dandeliongap.IdempotencyKey(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(a.requests()).To(HaveLen(4))
	})

	It("reports an action as not run when no address could be reached", func() {
		connect(closedAddress(), closedAddress())
		r, err := act("k")
		Expect(err).To(MatchError(dandeliongap.ErrNotRun))
		Expect(r.Outcome).To(Equal(dandeliongap.OutcomeNotRun))
	})

	It("replaces an idle connection that the VM closed", func() {
		connect(a.addr)
		a.announced = []string{a.addr}
		for i := range 3 {
			_, err := act(dandeliongap.IdempotencyKey(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
			a.CloseClientConnections()
		}
		Expect(a.requests()).To(HaveLen(3))
	})

	It("aborts a search when its context is canceled and reports it as unknown", func() {
		entered, leave := make(chan struct{}, 1), make(chan struct{})
		DeferCleanup(func() { close(leave) })
		wait := func(http.ResponseWriter, *http.Request) { entered <- struct{}{}; <-leave }
		a.respond, b.respond = wait, wait
		ending, cancel := context.WithCancel(ctx)
		go func() { <-entered; cancel() }()
		r, err := c.Search(ending, dgclient.SearchRequest{Service: "orders"})
		Expect(err).To(MatchError(context.Canceled))
		Expect(r.Outcome).To(Equal(dandeliongap.OutcomeUnknown))
	})

	Describe("for operators", func() {
		BeforeEach(func() {
			connect(a.addr)
			a.announced = []string{a.addr}
		})

		It("reads and writes the configuration with token, version and change id", func() {
			a.respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("ETag", `"8"`)
				_, _ = io.WriteString(w, "text")
			}
			text, version, err := c.GetConfig(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal("text"))
			Expect(version).To(BeEquivalentTo(8))
			Expect(c.ApplyConfig(ctx, "new", 7, "change-1")).To(BeEquivalentTo(8))
			Expect(a.requests()).To(Equal([]string{"GET /v1/config ", "PUT /v1/config new"}))
			h := a.headers[1]
			Expect([]string{h.Get("Authorization"), h.Get("If-Match"), h.Get("Change-Id")}).To(Equal([]string{"Bearer secret", `"7"`, "change-1"}))
		})

		It("names both versions of a conflict", func() {
			a.respondWith(409, `{"Current":9,"Given":7}`)
			_, err := c.ApplyConfig(ctx, "new", 7, "change-1")
			var conflict *dgclient.ConflictError
			Expect(errors.As(err, &conflict)).To(BeTrue())
			Expect(*conflict).To(Equal(dgclient.ConflictError{Current: 9, Given: 7}))
			Expect(err).To(MatchError(dandeliongap.ErrConflict))
		})

		It("does not repeat a change whose answer is lost", func() {
			a.dropConnections()
			_, err := c.ApplyConfig(ctx, "new", 7, "change-1")
			Expect(err).To(MatchError(dandeliongap.ErrUnreachable))
			Expect(a.requests()).To(HaveLen(1))
		})

		It("reports a wrong token", func() {
			a.respondWith(401, "")
			Expect(c.SetZoneOut(ctx, "a", true)).To(MatchError(dandeliongap.ErrUnauthorized))
		})

		It("escapes the zone name in the paths of take-out and return", func() {
			Expect(c.SetZoneOut(ctx, "a/b", true)).To(Succeed())
			Expect(c.SetZoneOut(ctx, "a/b", false)).To(Succeed())
			Expect(a.requests()).To(Equal([]string{"POST /v1/zones/a%2Fb/take-out ", "POST /v1/zones/a%2Fb/return "}))
		})

		It("decodes the known fields of a status when others have unexpected types", func() {
			const body = `{"Self":"vm1.x","Serving":true,"Config":4,"Members":{"new":"form"},"More":1}`
			a.respondWith(200, body)
			s, err := c.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(s.Raw)).To(Equal(body))
			Expect([]any{s.Self, s.Serving, s.Config}).To(Equal([]any{dandeliongap.MemberID("vm1.x"), true, dandeliongap.Version(4)}))
			Expect(c.StatusAt(ctx, a.addr)).To(HaveField("Self", s.Self))
		})
	})
})
