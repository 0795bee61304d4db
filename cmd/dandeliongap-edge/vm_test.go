package main_test

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/platform"
	"dandeliongap.example/dandeliongap/platform/dgfleet"
)

// vmProcess is a process of the daemon.
type vmProcess struct {
	signal func(syscall.Signal) error
	out    *outputBuffer
	entry  string
	ended  chan struct{}
}

// startServing starts a VM whose only route leads to a backend server that responds with h.
func startServing(t *testing.T, g *WithT, h http.HandlerFunc) *vmProcess {
	names := platform.Dialect().Backend
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.ServerStamp, "stamp")
		h(w, r)
	}))
	t.Cleanup(server.Close)
	store, err := dgfleet.NewPlatform()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = store.Close() })
	g.Expect(store.Publish(&dandeliongap.RouteConfig{
		Number:   1,
		Routes:   []dandeliongap.Route{{Name: "r", Host: "h.example", Prefix: "/r/", Timeout: time.Minute, Service: "s", MaxAttempts: 1}},
		Services: map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{"s": {Connections: 9}},
	})).To(Succeed())
	g.Expect(store.Register(dandeliongap.Instance{ID: "i-1", Service: "s", Address: server.Listener.Addr().String(), Zone: "z", Slots: 9})).To(Succeed())
	ready := freeAddress(g)
	cmd, out, entry, ended := start(t, g, regexp.MustCompile(`store = \S+`).ReplaceAllString(settings(g, ready, "52"), "store = "+store.StoreAddress()))
	g.Eventually(readyStatus(ready), waitLimit).Should(Equal(http.StatusOK), out.text)
	return &vmProcess{func(s syscall.Signal) error { return cmd.Process.Signal(s) }, out, entry, ended}
}
