package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/platform"
	"dandeliongap.example/dandeliongap/platform/dgfleet"
)

// TestStopUnreadBytes guards against a response that a reset destroys because the caller
// has sent more than the request before a VM that stops closes the connection.
func TestStopUnreadBytes(t *testing.T) {
	const bodyBytes, receiveBuffer = 36 << 10, 4 << 10
	g := NewWithT(t)
	names := platform.Dialect().Backend
	arrived, respond := make(chan struct{}), make(chan struct{})
	arrive := sync.OnceFunc(func() { close(arrived) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrive()
		<-respond
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.ServerStamp, "stamp")
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
	}))
	defer server.Close()
	p, err := dgfleet.NewPlatform()
	g.Expect(err).NotTo(HaveOccurred())
	defer p.Close()
	g.Expect(p.Publish(&dandeliongap.RouteConfig{
		Number:   1,
		Routes:   []dandeliongap.Route{{Name: "r", Host: "h.example", Prefix: "/r/", Timeout: time.Minute, Service: "s", MaxAttempts: 1}},
		Services: map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{"s": {Connections: 9}},
	})).To(Succeed())
	g.Expect(p.Register(dandeliongap.Instance{ID: "i-1", Service: "s", Address: server.Listener.Addr().String(), Zone: "z", Slots: 9})).To(Succeed())
	ready := freeAddress(g)
	text := regexp.MustCompile(`store = \S+`).ReplaceAllString(settings(g, ready, "52"), "store = "+p.StoreAddress())
	cmd, out, entry, ended := start(t, g, text)
	g.Eventually(readyStatus(ready), waitLimit).Should(Equal(http.StatusOK), out.text)

	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	c, err := d.Dial("tcp", entry)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	request := fmt.Sprintf("GET /r/1 HTTP/1.1\r\nHost: h.example\r\n%s: 1\r\n%s: 1000\r\n\r\n", names.RequestID, names.Deadline)
	_, err = io.WriteString(c, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(arrived, waitLimit).Should(BeClosed(), out.text)
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(out.text, waitLimit).Should(ContainSubstring(`"Msg":"stop"`))
	_, err = io.WriteString(c, request)
	g.Expect(err).NotTo(HaveOccurred())
	close(respond)
	time.Sleep(50 * time.Millisecond) // a round trip of a network
	response, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred(), "after %d bytes", len(response))
	g.Expect(strings.Count(string(response), "x")).To(BeNumerically(">=", bodyBytes))
	g.Eventually(ended, waitLimit).Should(BeClosed(), out.text)
}
