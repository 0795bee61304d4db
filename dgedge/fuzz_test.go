package dgedge_test

import (
	"bufio"
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"strings"
	"testing"

	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/dgpresence"
	"github.com/valyala/fasthttp"
)

// FuzzGossip guards against datagrams that make the process panic or take its memory: a
// small one may decompress to a thousand times its size.
func FuzzGossip(f *testing.F) {
	f.Add(dgedge.Pack([]dgpresence.Heartbeat{{VM: "a", Boot: 1, Count: 2}}))
	for _, text := range []string{`{"Beats":null}`, `{"Beats":[{"VM":5}]}`, `{"Beats":[{"Boot":1e99}]}`, strings.Repeat("[", 100000), `{"Beats":[` + strings.Repeat(`{"VM":"x"},`, 200000)} {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			f.Fatal(err)
		}
		_, _ = w.Write([]byte(text))
		if err := w.Close(); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0})
	for kind := dgpresence.Beat; kind.Valid(); kind++ {
		f.Add(dgedge.EncodeShort(dgpresence.Message{Kind: kind, Count: 300, Hubs: []dgpresence.Brief{{Count: 7}, {Count: 8}}, Processes: []dgpresence.ProcessID{{1, 2, 3}}}))
	}
	f.Add([]byte{0x06, 1, 2, 3, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		const maxHeartbeats = 1 << 19 // "{}," takes at least two bytes of the 1 MB that are decompressed
		if n, err := dgedge.Unpack(datagram); err == nil && n > maxHeartbeats {
			t.Fatalf("%d heartbeats in %d bytes", n, len(datagram))
		}
	})
}

// FuzzChunkedBody guards against a body in chunks that is read differently from net/http, and
// against more than the limit being read.
func FuzzChunkedBody(f *testing.F) {
	const limit = 1000
	for _, body := range []string{"0\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n", "5\r\nhello0\r\n\r\n", "ffffffffffffffff\r\n", "-5\r\nhello\r\n0\r\n\r\n", "3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n", "05\r\nhello\r\n00\r\n\r\n", "5\nhello\n0\n\n", " 5\r\nhello\r\n0\r\n\r\n", "5\r\nhello\r\n"} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		var req fasthttp.Request
		br := bufio.NewReader(strings.NewReader(head + string(body)))
		if err := req.Header.Read(br); err != nil {
			t.Fatal(err)
		}
		if err := req.ContinueReadBodyStream(br, 1, false); err != nil {
			return
		}
		held := 0
		got, err := dgedge.ReadBody(req.BodyStream(), req.Header.ContentLength(), limit, func(size int) bool { held = max(held, size); return true })
		if len(got) > limit || held > 2*limit+2 {
			t.Fatalf("%d bytes read, %d held, limit %d", len(got), held, limit)
		}
		if err != nil {
			return
		}
		std, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + string(body))))
		if err != nil {
			t.Fatal(err)
		}
		want, err := io.ReadAll(std.Body)
		if err == nil && !bytes.Equal(got, want) {
			t.Fatalf("%q: read %q, net/http reads %q", body, got, want)
		}
	})
}

// FuzzHead guards against a head that is read differently from net/http: the end of the
// request, its method, target or host. It also checks that the account counts no less than
// what the head takes at least.
func FuzzHead(f *testing.F) {
	for _, head := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a?b HTTP/1.1\nHost: h\nContent-Length: 5\n\nhello", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\na: b\r\n c\r\n\r\n", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", "GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\n", 50) + "\r\n", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\n"} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReaderSize(bytes.NewReader(head), 20<<10)) != nil {
			return
		}
		fields := 0
		for range h.All() {
			fields++
		}
		if lines := bytes.Count(head, []byte{'\n'}); fields > lines+2 { // Host and Content-Length may be added
			t.Fatalf("%q: %d fields of %d lines", head, fields, lines)
		}
		std, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.TrimLeft(head, "\r\n"))))
		if err != nil {
			return
		}
		if got, want := string(h.Method()), std.Method; got != want {
			t.Fatalf("%q: method %q, net/http reads %q", head, got, want)
		}
		if got, want := string(h.RequestURI()), std.RequestURI; got != want {
			t.Fatalf("%q: target %q, net/http reads %q", head, got, want)
		}
		if got, want := int64(h.ContentLength()), std.ContentLength; got >= 0 && want >= 0 && got != want && len(std.TransferEncoding) == 0 {
			t.Fatalf("%q: length %d, net/http reads %d", head, got, want)
		}
		if chunked := len(std.TransferEncoding) > 0; chunked != (h.ContentLength() == -1) {
			t.Fatalf("%q: length %d, net/http reads chunks %t", head, h.ContentLength(), chunked)
		}
	})
}
