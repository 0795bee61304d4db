package dghttp_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// TestFieldNames guards against a response whose head has a field with an invalid name and
// that counts as an answer.
func TestFieldNames(t *testing.T) {
	for field, valid := range map[string]bool{
		"X-Good: x": true, "x: x": true, "!#$%&'*+-.^_`|~0: x": true, "X-Empty:": true, "X-Colons: a:b c": true,
		"X Bad: x": false, "X-Bad : x": false, " X-Bad: x": false, "\tX-Bad: x": false, "X\tBad: x": false, "X-Bad\t: x": false,
		"X\x00Bad: x": false, "X\x01Bad: x": false, "X\x7fBad: x": false, "X\rBad: x": false, "X\xe9Bad: x": false, "X@Bad: x": false,
		": x": false, " : x": false, "X-Bad": false, "Content Length: 2": false, "Content-Length : 2": false, "Transfer-Encoding : chunked": false,
	} {
		for _, head := range []string{field + "\r\nX-Last: z", "X-First: a\r\n" + field, "X-First: a\n" + field} {
			var h fasthttp.ResponseHeader
			text := "HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n"
			err := dghttp.ReadHeader(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))), &h)
			if (err == nil) != valid {
				t.Errorf("%q: %v", text, err)
			}
			if field == "X Bad: x" && !errors.Is(err, dghttp.ErrField) {
				t.Errorf("%q: %v, want ErrField", text, err)
			}
		}
	}
}

// TestTrailer guards against a chunked response whose trailer has a field with an invalid name
// and that counts as an answer, and against a check that reads beyond the trailer.
func TestTrailer(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\n\r\n"
	for trailer, valid := range map[string]bool{
		"\r\n": true, "X-A: a\r\n\r\n": true, "X-A: a\nX-B:\r\n\r\n": true,
		"X Bad: x\r\n\r\n": false, "X-Bad : x\r\n\r\n": false, " X-Bad: x\r\n\r\n": false, "X-A: a\r\n X-Bad: x\r\n\r\n": false,
		"X\x01Bad: x\r\n\r\n": false, "X\tBad: x\r\n\r\n": false, "X-Bad\r\n\r\n": false,
	} {
		var h fasthttp.ResponseHeader
		br := bufio.NewReader(iotest.OneByteReader(strings.NewReader(trailer + next)))
		err := dghttp.ReadTrailer(br, &h)
		if (err == nil) != valid {
			t.Errorf("%q: %v", trailer, err)
		}
		if !valid {
			continue
		}
		rest := new(strings.Builder)
		if _, err := br.WriteTo(rest); err != nil || rest.String() != next {
			t.Errorf("%q: left %q, %v", trailer, rest.String(), err)
		}
	}
	for _, text := range []string{"", "\r", "X-A: a\r\n", "X-A: " + strings.Repeat("a", 5000) + "\r\n\r\n"} {
		var h fasthttp.ResponseHeader
		if err := dghttp.ReadTrailer(bufio.NewReader(strings.NewReader(text)), &h); err == nil {
			t.Errorf("%.50q: no error", text)
		}
	}
}

// TestHeadEnd guards against a check of field names that reads into the body, or that takes
// a head to be complete that is not.
func TestHeadEnd(t *testing.T) {
	for text, body := range map[string]string{
		"HTTP/1.1 200 OK\r\n\r\nX Bad: x\r\n\r\n":                            "X Bad: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: a\r\n\r\nX Bad: x\r\n\r\n":                  "X Bad: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: a\n\nX Bad: x\r\n\r\n":                      "X Bad: x\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\nX-A: a\r\n\r\n" + strings.Repeat("x", 10000): strings.Repeat("x", 10000),
	} {
		var h fasthttp.ResponseHeader
		br := bufio.NewReader(strings.NewReader(text))
		if err := dghttp.ReadHeader(br, &h); err != nil {
			t.Errorf("%.50q: %v", text, err)
			continue
		}
		rest := new(strings.Builder)
		if _, err := br.WriteTo(rest); err != nil || rest.String() != body {
			t.Errorf("%.50q: body %.50q, %v; want %.50q", text, rest.String(), err, body)
		}
	}
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-A: a\r\n", "HTTP/1.1 200 OK\nX-A: a\n\n", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 5000) + "\r\n\r\n"} {
		var h fasthttp.ResponseHeader
		if err := dghttp.ReadHeader(bufio.NewReader(strings.NewReader(text)), &h); err == nil {
			t.Errorf("%.50q: no error", text)
		}
	}
}

// FuzzFields guards against a head that is accepted although a name in it is not valid, and
// against one whose body net/http would read with another length.
func FuzzFields(f *testing.F) {
	for _, fields := range []string{
		"X-Good: x", "X Bad: x", "X-Bad : x", "X-A: a\r\n X-Bad: x", "X-A: a\n\nX Bad: x", "\r\n", "X\rBad: x", "X\x01Bad: x",
		"Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked", "Content-Length: +2",
		"Content-Length: 2, 2", "Content-Length:", "Transfer-Encoding: identity", "Connection: close",
	} {
		f.Add([]byte(fields))
	}
	f.Fuzz(func(t *testing.T, fields []byte) {
		text := "HTTP/1.1 200 OK\r\n" + string(fields) + "\r\n\r\n"
		var h fasthttp.ResponseHeader
		if dghttp.ReadHeader(bufio.NewReader(strings.NewReader(text)), &h) != nil {
			return
		}
		for name := range h.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) {
				t.Fatalf("%q: accepted with the name %q", fields, name)
			}
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("%q: accepted, net/http: %v", fields, err)
		}
		length := h.ContentLength()
		if chunked := len(resp.TransferEncoding) > 0; chunked != (length == -1) || !chunked && max(length, -1) != int(resp.ContentLength) {
			t.Fatalf("%q: length %d, net/http reads %d, %v", fields, length, resp.ContentLength, resp.TransferEncoding)
		}
	})
}
