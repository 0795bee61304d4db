package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/platform"
)

// TestRefusedBody guards against a refusal that the close destroys, and against requests
// behind a refused one that run. The body is in chunks, so that its length shows only while
// it arrives.
func TestRefusedBody(t *testing.T) {
	const limit = 4 << 20 // of a configuration that sets none
	for name, next := range map[string]string{"long": strings.Repeat("x", limit+1), "broken": "x"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var ran atomic.Int32
			p := startServing(t, g, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
			c, err := net.Dial("tcp", p.listener("entry"))
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			g.Expect(c.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
			size := fmt.Sprintf("%x", len(next))
			if name == "broken" {
				size = "zz"
			}
			post := strings.Replace(request("r1"), "GET /r/1 HTTP/1.1\r\n", "POST /r/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", 1)
			_, err = io.WriteString(c, post+size+"\r\n"+next+"\r\n0\r\n\r\n"+request("r2"))
			g.Expect(err).NotTo(HaveOccurred())
			br := bufio.NewReader(c)
			resp, err := http.ReadResponse(br, nil)
			g.Expect(err).NotTo(HaveOccurred(), p.out.text)
			g.Expect(resp.StatusCode).To(Equal(map[string]int{"long": http.StatusRequestEntityTooLarge, "broken": http.StatusBadRequest}[name]))
			g.Expect(resp.Close).To(BeTrue())
			_, err = io.Copy(io.Discard, resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = http.ReadResponse(br, nil)
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "a second response")
			g.Expect(ran.Load()).To(BeZero())
		})
	}
}

// TestLegalRequest guards against a request within the limits that the memory account refuses
// although nothing else takes memory: as many lines and as long a body as allowed.
func TestLegalRequest(t *testing.T) {
	const head, body = 16000, 262144
	g := NewWithT(t)
	names := platform.Dialect().Backend
	p := startServing(t, g, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}, "memory limit = 184", "descriptor limit = 4100")
	text := fmt.Sprintf("POST /r/1 HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\nContent-Length: %d\r\n", names.RequestID, body)
	text += strings.Repeat("x:\r\n", (head-len(text))/4) + "\r\n" + strings.Repeat("\n", body)
	c, err := net.Dial("tcp", p.listener("entry"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, text)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred(), p.out.text)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), p.out.text)
	g.Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo(fmt.Sprint(body)))
}
