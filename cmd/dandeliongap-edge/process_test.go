package main_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap/dgsoak"
	"dandeliongap.example/dandeliongap/platform"
	. "github.com/onsi/gomega"
)

// waitLimit bounds the waits for events. It is far above the time they take, so that
// only a hang exceeds it.
const waitLimit = "60s"

// outputBuffer collects the output of a process.
type outputBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *outputBuffer) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(b)
}

func (o *outputBuffer) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// freeAddress returns a TCP address that was free when it was checked. Its port is not one
// that the system gives to other sockets.
func freeAddress(g *WithT) string {
	addr, err := dgsoak.FreeAddress()
	g.Expect(err).NotTo(HaveOccurred())
	return addr
}

func build(t *testing.T, g *WithT) string {
	program := filepath.Join(t.TempDir(), "dandeliongap-edge")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

func settings(g *WithT, ready, slack string) string {
	return fmt.Sprintf("[edge]\nvm = vm-1\nzone = z\nstore = %s\nfirst start = true\nentry listen = %s\nready listen = %s\ndirectory listen = %s\n"+
		"gossip listen = %s\nshutdown limit = 2s\ndirectory keep = 5s\nretry ratio = 0.2\nretry slack = %s\nretry window = 10s\n",
		freeAddress(g), freeAddress(g), ready, freeAddress(g), freeAddress(g), slack)
}

// TestProcess guards against a process that does not start without the store, that exits
// or keeps its old settings on SIGHUP or a change of the settings file, that applies
// invalid settings, or that does not exit on SIGTERM.
func TestProcess(t *testing.T) {
	g := NewWithT(t)
	program, ready := build(t, g), freeAddress(g)
	file := filepath.Join(t.TempDir(), "edge.ini")
	g.Expect(os.WriteFile(file, []byte(settings(g, ready, "52")), 0o600)).To(Succeed())
	var out outputBuffer
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "DANDELIONGAP_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = &out, &out
	g.Expect(cmd.Start()).To(Succeed())
	t.Cleanup(func() { _ = cmd.Process.Kill() })

	g.Eventually(func() int {
		resp, err := http.Get("http://" + ready + platform.Dialect().ReadyPath)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}, waitLimit).Should(Equal(http.StatusServiceUnavailable), "ready without a configuration")
	g.Eventually(out.text, waitLimit).Should(ContainSubstring(`"store lost"`))

	g.Expect(os.WriteFile(file, []byte("[edge]\nvm =\n"), 0o600)).To(Succeed())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Eventually(out.text, waitLimit).Should(ContainSubstring(`"reload failed"`))
	g.Expect(os.WriteFile(file, []byte(settings(g, ready, "77")), 0o600)).To(Succeed())
	g.Eventually(out.text, waitLimit).Should(ContainSubstring(`"RetrySlack":77`), "changed settings file not loaded without a signal")

	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(cmd.Wait()).To(Succeed(), "exit code of a graceful stop: %s", out.text())
	g.Expect(out.text()).To(ContainSubstring(`"stopped"`))
}

// TestCrowd guards against a process that accepts no caller again once a crowd of callers
// has used up its descriptors (review/3).
func TestCrowd(t *testing.T) {
	const maxDescriptors, crowd = 128, 400
	g := NewWithT(t)
	program, ready := build(t, g), freeAddress(g)
	text := settings(g, ready, "52")
	entry := regexp.MustCompile(`entry listen = (\S+)`).FindStringSubmatch(text)[1]
	file := filepath.Join(t.TempDir(), "edge.ini")
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	var out outputBuffer
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", maxDescriptors, program))
	cmd.Env = append(os.Environ(), "DANDELIONGAP_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = &out, &out
	g.Expect(cmd.Start()).To(Succeed())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	status := func(url string) func() int {
		return func() int {
			resp, err := client.Get(url)
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}
	}
	g.Eventually(status("http://"+entry+"/x"), waitLimit).Should(Equal(http.StatusServiceUnavailable))

	var conns []net.Conn
	for range crowd {
		c, err := net.Dial("tcp", entry)
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
	}
	g.Eventually(status("http://"+ready+platform.Dialect().ReadyPath), waitLimit).Should(Equal(http.StatusServiceUnavailable), "readiness check while the crowd is there")
	for _, c := range conns {
		g.Expect(c.Close()).To(Succeed())
	}
	g.Eventually(status("http://"+entry+"/x"), waitLimit).Should(Equal(http.StatusServiceUnavailable), "new caller after the crowd has left: %s", out.text())

	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(cmd.Wait()).To(Succeed(), out.text())
}

// TestSettings guards against invalid settings that pass --check.
func TestSettings(t *testing.T) {
	g := NewWithT(t)
	program := build(t, g)
	file := filepath.Join(t.TempDir(), "edge.ini")
	check := func() (string, int) {
		out, err := exec.Command(program, "--check", "--settings", file).CombinedOutput()
		if e, ok := err.(*exec.ExitError); ok {
			return string(out), e.ExitCode()
		}
		g.Expect(err).NotTo(HaveOccurred())
		return string(out), 0
	}
	g.Expect(os.WriteFile(file, []byte(settings(g, freeAddress(g), "many")), 0o600)).To(Succeed())
	text, code := check()
	g.Expect(code).To(Equal(2))
	g.Expect(text).To(ContainSubstring(`"retry slack"`))
	g.Expect(os.WriteFile(file, []byte(settings(g, freeAddress(g), "52")), 0o600)).To(Succeed())
	_, code = check()
	g.Expect(code).To(Equal(0))
}
