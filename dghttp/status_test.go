package dghttp_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap/dghttp"
	"github.com/valyala/fasthttp"
)

// FuzzStatusLine guards against a status that net/http reads differently, or that is not
// that of a final response.
func FuzzStatusLine(f *testing.F) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 20 X", "HTTP/1.1 1000 X", "HTTP/1.1 abc X", "HTTP/1.1 199 X", "HTTP/1.1 600 X", "HTTP/1.1 200", "HTTP/1.0  200 OK", "HTTP/1.1 +20 OK", "\r\nHTTP/1.1 404 Not Found", "HTTP/1.1 2000 OK", "HTTP/1.1 20\t", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK"} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		text := string(line) + "\r\nContent-Length: 0\r\n\r\n"
		var h fasthttp.ResponseHeader
		if dghttp.ReadHeader(bufio.NewReader(strings.NewReader(text)), &h) != nil {
			return
		}
		if code := h.StatusCode(); code < 200 || code > 599 {
			t.Fatalf("%q: accepted with status %d", line, code)
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(strings.TrimLeft(text, "\r\n"))), nil)
		if err == nil && resp.StatusCode != h.StatusCode() {
			t.Fatalf("%q: status %d, net/http reads %d", line, h.StatusCode(), resp.StatusCode)
		}
	})
}

// TestStatus guards against an invalid status that counts as 200, and against control
// characters that are passed on with a status.
func TestStatus(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 599 X": true, "HTTP/1.1 404": true, "HTTP/1.0 503 ": true, "\r\nHTTP/1.1 200 OK": true,
		"HTTP/1.1 200 Text with\ttabs": true, "HTTP/1.1 200 \xe9": true,
		"HTTP/1.1 200 O\x00K": false, "HTTP/1.1 200 O\x01K": false, "HTTP/1.1 200 O\rK": false, "HTTP/1.1 200 \x7f": false,
		"HTTP/1.1 000 X": false, "HTTP/1.1 00 X": false, "HTTP/1.1 0 X": false, "HTTP/1.1 099 X": false, "HTTP/1.1 20 X": false, "HTTP/1.1 1000 X": false,
		"HTTP/1.1 abc X": false, "HTTP/1.1 199 X": false, "HTTP/1.1 100 Continue": false, "HTTP/1.1 600 X": false, "HTTP/1.1 999 X": false, "HTTP/1.1 0200 OK": false, "HTTP/1.1 2000 OK": false,
	} {
		var h fasthttp.ResponseHeader
		err := dghttp.ReadHeader(bufio.NewReader(strings.NewReader(line+"\r\nContent-Length: 0\r\n\r\n")), &h)
		if (err == nil) != valid {
			t.Errorf("%q: %v", line, err)
		}
		if line == "HTTP/1.1 000 X" && !errors.Is(err, dghttp.ErrStatus) {
			t.Errorf("%q: %v, want ErrStatus", line, err)
		}
	}
}
