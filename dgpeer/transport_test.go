package dgpeer_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgwire"
)

// Guards against a broken response of a peer that counts as its answer: without a readable
// length, a reply that the connection cut off is a valid message with fewer fields.
func TestBrokenResponseFailsCall(t *testing.T) {
	for response, valid := range map[string]bool{
		"HTTP/1.1 200 OK\nContent-Length: 0\n":              true,
		"HTTP/1.1 000 X\nContent-Length: 0\n":               false,
		"HTTP/1.1 200 OK\nContent Length: 9\n":              false,
		"HTTP/1.1 200 OK\nContent-Length : 9\n":             false,
		"HTTP/1.1 200 OK\nX\x01Bad: x\nContent-Length: 0\n": false,
	} {
		t.Run(fmt.Sprintf("%q", response), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = fmt.Fprint(c, strings.ReplaceAll(response+"Content-Type: application/protobuf\n\n", "\n", "\r\n"))
				}
			}()
			s, _ := newSender(t)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			_, err = s.Peer(l.Addr().String()).Release(ctx, &dgwire.ReleaseRequest{})
			if valid {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(HaveOccurred())
			}
		})
	}
}
