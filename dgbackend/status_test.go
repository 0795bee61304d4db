package dgbackend_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap/dgbackend"
)

var _ = DescribeTable("a response with an invalid status is not taken as an answer (guards against one that reaches the caller as 200)",
	func(line string) {
		f, in, _ := scriptedServer(line + "\nId: a\nStamp: s\nContent-Length: 2\n\nhi")
		kind, _ := sendForward(f, in, "a")
		Expect(kind).To(Equal(dgbackend.ReplyUnknown))
	},
	Entry(nil, "HTTP/1.1 000 X"), Entry(nil, "HTTP/1.1 0 X"), Entry(nil, "HTTP/1.1 099 X"), Entry(nil, "HTTP/1.1 20 X"), Entry(nil, "HTTP/1.1 1000 X"),
	Entry(nil, "HTTP/1.1 abc X"), Entry(nil, "HTTP/1.1 199 X"), Entry(nil, "HTTP/1.1 600 X"), Entry(nil, "HTTP/1.1 0200 X"),
)
