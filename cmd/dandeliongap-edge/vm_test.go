package main_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/platform"
	"dandeliongap.example/dandeliongap/platform/dgfleet"
)

// vmProcess is a process of the daemon.
type vmProcess struct {
	cmd      *exec.Cmd
	settings string
	out      outputBuffer
	ended    chan struct{} // closed when the process has ended
}

// startProcess starts the daemon with the given settings and waits until the readiness check
// responds with a status.
func startProcess(t *testing.T, g *WithT, settings string, status int) *vmProcess {
	file := filepath.Join(t.TempDir(), "edge.ini")
	g.Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	p := &vmProcess{cmd: exec.Command(build(t, g)), settings: settings, ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "DANDELIONGAP_SETTINGS="+file)
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	g.Expect(p.cmd.Start()).To(Succeed())
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // the tests look at ProcessState
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	g.Eventually(func() int {
		resp, err := http.Get("http://" + p.listener("ready") + platform.Dialect().ReadyPath)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}, waitLimit).Should(Equal(status), p.out.text)
	return p
}

// startServing starts a VM whose only route leads to a backend server that responds with h.
// more are further lines of its settings.
func startServing(t *testing.T, g *WithT, h http.HandlerFunc, more ...string) *vmProcess {
	names := platform.Dialect().Backend
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.ServerStamp, "stamp")
		h(w, r)
	}))
	t.Cleanup(server.Close)
	store, err := dgfleet.NewPlatform()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = store.Close() })
	g.Expect(store.Publish(&dandeliongap.RouteConfig{
		Number:   1,
		Routes:   []dandeliongap.Route{{Name: "r", Host: "h.example", Prefix: "/r/", Timeout: time.Minute, Service: "s", MaxAttempts: 1}},
		Services: map[dandeliongap.ServiceName]dandeliongap.ServiceLimits{"s": {Connections: 9}},
	})).To(Succeed())
	g.Expect(store.Register(dandeliongap.Instance{ID: "i-1", Service: "s", Address: server.Listener.Addr().String(), Zone: "z", Slots: 9})).To(Succeed())
	text := regexp.MustCompile(`store = \S+`).ReplaceAllString(settings(g, freeAddress(g), "52"), "store = "+store.StoreAddress()) + strings.Join(more, "\n") + "\n"
	return startProcess(t, g, text, http.StatusOK)
}

// listener returns the address of a listener, such as "entry".
func (p *vmProcess) listener(name string) string {
	return regexp.MustCompile(name + ` listen = (\S+)`).FindStringSubmatch(p.settings)[1]
}

// stop sends SIGTERM and waits until the process has begun to stop.
func (p *vmProcess) stop(g *WithT) {
	g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(p.out.text, waitLimit).Should(ContainSubstring(`"Msg":"stop"`))
}
