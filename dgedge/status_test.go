package dgedge_test

import (
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgedge"
)

var _ = DescribeTable("changes of another VM with an invalid status or field name are not taken (guards against a broken response that counts as 200)",
	func(lines string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			const body = `{"Version":5,"Full":true}`
			_, _ = c.Read(make([]byte, 4096))
			_, _ = fmt.Fprintf(c, "%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", lines, len(body), body)
			_ = c.Close()
		}()
		Expect(dgedge.FetchChanges(l.Addr().String())).NotTo(Succeed())
	},
	Entry(nil, "HTTP/1.1 000 X"), Entry(nil, "HTTP/1.1 0 X"), Entry(nil, "HTTP/1.1 600 X"),
	Entry(nil, "HTTP/1.1 200 OK\r\nX Bad: x"), Entry(nil, "HTTP/1.1 200 OK\r\nX-Bad : x"), Entry(nil, "HTTP/1.1 200 OK\r\nX-A: a\r\n X-Bad: x"),
)
