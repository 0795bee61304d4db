package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/platform"
)

// TestStopPipelinedBody guards against a response that a stop drops because it is held
// back until the body of the next request has arrived.
func TestStopPipelinedBody(t *testing.T) {
	g := NewWithT(t)
	names := platform.Dialect().Backend
	p := startServing(t, g, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	c, err := net.Dial("tcp", p.entry)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = fmt.Fprintf(c, "GET /r/1 HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: 1000\r\n\r\n"+
		"POST /r/2 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n%[1]s: r2\r\n%[2]s: 1000\r\n\r\n", names.RequestID, names.Deadline)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(p.out.text, waitLimit).Should(ContainSubstring(`"Msg":"done"`))
	g.Expect(p.signal(syscall.SIGTERM)).To(Succeed())
	response, _ := io.ReadAll(c)
	g.Expect(string(response)).To(ContainSubstring("whole"), p.out.text())
}
