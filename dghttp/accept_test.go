package dghttp_test

import (
	"net"
	"syscall"
	"testing"

	"dandeliongap.example/dandeliongap/dghttp"
)

// exhausted is a listener whose first calls of Accept fail for lack of descriptors.
type exhausted struct {
	net.Listener
	failures int
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestRetryListener guards against a server that stops accepting for good once its process
// was out of descriptors (review/3), and against one that does not end when its listener is
// closed.
func TestRetryListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const failures = 3
	seen := 0
	l := &dghttp.RetryListener{Listener: &exhausted{inner, failures}, Failed: func(error) { seen++ }}
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatalf("Accept after %d failures: %v", failures, err)
	}
	defer accepted.Close()
	if seen != failures {
		t.Errorf("Failed was called %d times, want %d", seen, failures)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Accept(); err == nil {
		t.Error("Accept on a closed listener returned no error")
	}
}
