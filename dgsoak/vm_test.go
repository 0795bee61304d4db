package dgsoak_test

import (
	"io"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap/dgsoak"
)

// waitLimit bounds the waits for events. It is far above the time they take.
const waitLimit = 30 * time.Second

// TestOwnEnd guards against processes that end by themselves without being noticed (K13).
func TestOwnEnd(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	if exec.Command(self, "--settings", "x").Run() == nil {
		t.Fatal("the test program does not reject the arguments of the daemon")
	}
	var l dgsoak.Ledger
	end, err := dgsoak.StartVM(self, t.TempDir(), &l)
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	for limit := time.Now().Add(waitLimit); len(l.FoundSoFar()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the end of the process was not reported")
		}
	}
	if v := l.FoundSoFar()[0]; v.Promise != "K13" {
		t.Errorf("reported %+v, want K13", v)
	}
}

// echo returns the address of a server that sends back what it gets, over TCP and UDP.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	pc, err := net.ListenPacket("udp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pc.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	go func() {
		buf := make([]byte, 1500)
		for {
			n, from, err := pc.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = pc.WriteTo(buf[:n], from)
		}
	}()
	return ln.Addr().String()
}

// TestPaths guards against faults of paths that do not reach the bytes.
func TestPaths(t *testing.T) {
	for network, open := range map[string]func(target string) (addr string, path dgsoak.Path, err error){"tcp": dgsoak.NewProxy, "udp": dgsoak.NewRelay} {
		addr, path, err := open(echo(t))
		if err != nil {
			t.Fatal(err)
		}
		answered := func(wait time.Duration) bool {
			c, err := net.Dial(network, addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := c.Write([]byte("ping")); err != nil {
				return false
			}
			_ = c.SetReadDeadline(time.Now().Add(wait))
			buf := make([]byte, 8)
			n, _ := c.Read(buf)
			return string(buf[:n]) == "ping"
		}
		if !answered(waitLimit) {
			t.Errorf("%s: no answer on a sound path", network)
		}
		for _, f := range []dgsoak.PathFault{{SilentThere: true}, {SilentBack: true}} {
			path.SetFault(f)
			if answered(100 * time.Millisecond) {
				t.Errorf("%s: answer on a path with %+v", network, f)
			}
		}
		path.SetFault(dgsoak.PathFault{})
		if !answered(waitLimit) {
			t.Errorf("%s: no answer on a path that is sound again", network)
		}
		if err := path.Close(); err != nil {
			t.Error(err)
		}
	}
}
