package dghttp_test

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap/dghttp"
)

// accepted returns both ends of a connection that l has accepted.
func accepted(t *testing.T, l net.Listener) (server net.Conn, client *net.TCPConn) {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server, c.(*net.TCPConn)
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestTracker guards against connections that outlast a shutdown.
func TestTracker(t *testing.T) {
	l := &dghttp.Tracker{Listener: listen(t)}
	first, client := accepted(t, l)
	accepted(t, l)
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if n := l.CloseAll(); n != 1 {
		t.Errorf("CloseAll closed %d connections, want 1", n)
	}
	_, late := accepted(t, l)
	for _, c := range []*net.TCPConn{client, late} {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("connection is open after CloseAll")
		}
	}
}

// TestLinger guards against a response that a reset destroys because the peer has sent more
// than its request.
func TestLinger(t *testing.T) {
	const length = 8 << 20 // more than the kernel keeps for a peer that does not read
	server, client := accepted(t, listen(t))
	go func() {
		_, _ = io.WriteString(server, strings.Repeat("x", length))
		_ = dghttp.Linger(server.(*net.TCPConn), time.Minute, 0)
		_ = server.Close()
	}()
	if _, err := io.WriteString(client, "more"); err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, client); n != length || err != nil {
		t.Errorf("the peer received %d of %d bytes: %v", n, length, err)
	}
}

func TestLingerBounds(t *testing.T) {
	server, _ := accepted(t, listen(t))
	if err := dghttp.Linger(server.(*net.TCPConn), time.Millisecond, 0); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Linger for 1 ms with an open peer: %v", err)
	}
	server, client := accepted(t, listen(t))
	if _, err := io.WriteString(client, "0123456789"); err != nil {
		t.Fatal(err)
	}
	if err := dghttp.Linger(server.(*net.TCPConn), time.Minute, 4); err != nil {
		t.Errorf("Linger for 4 of 10 bytes: %v", err)
	}
}
