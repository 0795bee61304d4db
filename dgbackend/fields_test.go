package dgbackend_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgbackend"
)

// quoted describes an entry of a table by its line.
func quoted(line string) string { return fmt.Sprintf("%q", line) }

// expectNoAnswer sends two requests, of which the first gets a broken response and the second,
// which must not read the rest of the first response, a good one.
func expectNoAnswer(response string) {
	GinkgoHelper()
	f, in, _ := scriptedServer(response, okResponse("a", "good"))
	kind, _ := sendForward(f, in, "a")
	Expect(kind).To(Equal(dgbackend.ReplyUnknown))
	_, body := sendForward(f, in, "a")
	Expect(body).To(Equal("good"), "response to the second request")
}

var _ = DescribeTable("a response with an invalid field name is not taken as an answer (guards against one that reaches the caller)",
	func(line string) {
		expectNoAnswer("HTTP/1.1 200 OK\nId: a\nStamp: s\n" + line + "\nContent-Length: 2\n\nhi")
	},
	Entry(quoted, "X Bad: x"), Entry(quoted, "X-Bad : x"), Entry(quoted, " X-Bad: x"), Entry(quoted, "\tX-Bad: x"),
	Entry(quoted, "X\tBad: x"), Entry(quoted, "X\x00Bad: x"), Entry(quoted, "X\x01Bad: x"), Entry(quoted, "X\x7fBad: x"),
	Entry(quoted, "Content Length: 1"), Entry(quoted, "Content-Length : 1"), Entry(quoted, " Content-Length: 1"),
	Entry(quoted, "Transfer Encoding: chunked"), Entry(quoted, "Transfer-Encoding : chunked"),
)

var _ = DescribeTable("a response with an invalid field name in its trailer is not taken as an answer (guards against one that reaches the caller)",
	func(line string) {
		expectNoAnswer("HTTP/1.1 200 OK\nId: a\nStamp: s\nTransfer-Encoding: chunked\n\n2\nhi\n0\nX-A: a\n" + line + "\n\n")
	},
	Entry(quoted, "X Bad: x"), Entry(quoted, "X-Bad : x"), Entry(quoted, " X-Bad: x"), Entry(quoted, "X\tBad: x"), Entry(quoted, "X\x01Bad: x"),
)
