package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/platform"
)

// shutdownLimit is the limit in the settings of these tests.
const shutdownLimit = 2 * time.Second

// longStop returns settings with a shutdown limit of 4 s.
func longStop(g *WithT) string {
	return strings.ReplaceAll(settings(g, freeAddress(g), "52"), "shutdown limit = 2s", "shutdown limit = 4s")
}

// request returns a GET request with an id.
func request(id string) string {
	names := platform.Dialect().Backend
	return fmt.Sprintf("GET /r/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 1000\r\n\r\n", names.RequestID, id, names.Deadline)
}

// TestStopUnusedConnection guards against a stop that a connection without any request, of a
// caller or to another listener, holds up until the process is killed.
func TestStopUnusedConnection(t *testing.T) {
	for _, listener := range []string{"entry", "directory"} {
		t.Run(listener, func(t *testing.T) {
			g := NewWithT(t)
			p := startProcess(t, g, longStop(g), http.StatusServiceUnavailable)
			p.stop(g)
			c, err := net.Dial("tcp", p.listener(listener))
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			g.Eventually(p.ended, "4s").Should(BeClosed(), func() string { return "not within the shutdown limit: " + p.out.text() })
			g.Expect(p.cmd.ProcessState.ExitCode()).To(BeZero(), p.out.text())
		})
	}
}

// TestStopAfterPause guards against a stop that takes its whole time although its signal has
// waited while the process did not run, and that the kill cuts off.
func TestStopAfterPause(t *testing.T) {
	const pause = 1500 * time.Millisecond
	g := NewWithT(t)
	p := startProcess(t, g, longStop(g), http.StatusServiceUnavailable)
	time.Sleep(300 * time.Millisecond) // some ticks by which the process knows that it runs
	for _, sig := range []os.Signal{syscall.SIGSTOP, syscall.SIGTERM} {
		g.Expect(p.cmd.Process.Signal(sig)).To(Succeed())
	}
	time.Sleep(pause)
	g.Expect(p.cmd.Process.Signal(syscall.SIGCONT)).To(Succeed())
	g.Eventually(p.ended, waitLimit).Should(BeClosed())
	late := regexp.MustCompile(`"Msg":"stop","Late":([0-9.]+)`).FindStringSubmatch(p.out.text())
	g.Expect(late).NotTo(BeNil(), p.out.text())
	g.Expect(strconv.ParseFloat(late[1], 64)).To(BeNumerically(">=", pause.Milliseconds()), "milliseconds")
}

// TestStopUnreadBytes guards against a response that a reset destroys because the caller
// has sent more than the request before a VM that stops closes the connection.
func TestStopUnreadBytes(t *testing.T) {
	const bodyBytes, receiveBuffer = 36 << 10, 4 << 10
	g := NewWithT(t)
	arrived, respond := make(chan struct{}), make(chan struct{})
	arrive := sync.OnceFunc(func() { close(arrived) })
	p := startServing(t, g, func(w http.ResponseWriter, _ *http.Request) {
		arrive()
		<-respond
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
	})
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	c, err := d.Dial("tcp", p.listener("entry"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, request("r1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(arrived, waitLimit).Should(BeClosed(), p.out.text)
	p.stop(g)
	_, err = io.WriteString(c, request("r2"))
	g.Expect(err).NotTo(HaveOccurred())
	close(respond)
	time.Sleep(50 * time.Millisecond) // a round trip of a network
	response, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred(), "after %d bytes", len(response))
	g.Expect(strings.Count(string(response), "x")).To(BeNumerically(">=", bodyBytes))
	g.Eventually(p.ended, waitLimit).Should(BeClosed(), p.out.text)
}

// TestStopPipelinedBody guards against a response that a stop drops because it is held
// back until the body of the next request has arrived.
func TestStopPipelinedBody(t *testing.T) {
	g := NewWithT(t)
	p := startServing(t, g, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	c, err := net.Dial("tcp", p.listener("entry"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	next := strings.Replace(request("r2"), "GET /r/1 HTTP/1.1\r\n", "POST /r/2 HTTP/1.1\r\nContent-Length: 5\r\n", 1)
	_, err = io.WriteString(c, request("r1")+next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(p.out.text, waitLimit).Should(ContainSubstring(`"Msg":"done"`))
	p.stop(g)
	kill := time.AfterFunc(shutdownLimit, func() { _ = p.cmd.Process.Kill() }) // as the platform does
	defer kill.Stop()
	response, _ := io.ReadAll(c) // the rest of the connection is of no interest
	g.Expect(string(response)).To(ContainSubstring("whole"), p.out.text())
}
