package main_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgsettings"
	"dandeliongap.example/dandeliongap/dgstandin"
	"dandeliongap.example/dandeliongap/examples"
	. "github.com/onsi/gomega"
)

const (
	token       = "process-test-token" // operator token of the daemons
	waitTimeout = "60s"                // far above the usual duration; only a hang reaches it
)

// tier is a set of daemons, each in its own process, with a stand-in platform and
// stand-in backend servers.
type tier struct {
	g         *WithT
	dir       string
	platform  *dgstandin.Platform
	fleet     *dgstandin.Fleet
	config    string   // the kelani example with the addresses of fleet
	addresses []string // caller addresses of the daemons
	daemons   []*exec.Cmd
}

// freeAddress returns an address with a port that was free during the call. It
// closes the listener because the daemon binds the address from its settings.
func freeAddress(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// newTier starts the platform and the backend servers and builds the daemon.
func newTier(t *testing.T) *tier {
	g := NewWithT(t)
	x := &tier{g: g, dir: t.TempDir()}
	d, faults := dgsettings.ParseDeployment("kelani.ini", []byte(dgexamples.Kelani))
	g.Expect(faults.List).To(BeEmpty())
	var err error
	x.platform, err = dgstandin.NewPlatform(dgstandin.PlatformOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = x.platform.Close() })
	x.fleet, err = dgstandin.NewFleet(d, dgstandin.FleetOptions{FreePorts: true})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = x.fleet.Close() })
	// Maps each address in the example to that of its stand-in server.
	newAddresses := map[string]string{}
	for _, s := range d.Services {
		for _, r := range s.Replicas {
			newAddresses[r.Address] = x.fleet.Addresses()[r.ID]
		}
	}
	x.config = regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllStringFunc(dgexamples.Kelani, func(old string) string { return newAddresses[old] })
	build := exec.Command("go", "build", "-o", filepath.Join(x.dir, "dandeliongapd"), ".")
	out, err := build.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	return x
}

// start starts n daemons, distributed over the availability zones in turn.
func (x *tier) start(t *testing.T, n int) {
	d, _ := dgsettings.ParseDeployment("kelani.ini", []byte(dgexamples.Kelani))
	for i := range n {
		address := freeAddress(x.g)
		settings := fmt.Sprintf("[daemon]\nvm = entry-%d\nzone = %s\ncaller listen = %s\npeer listen = %s\nplatform = %s\noperator token = %s\n",
			i+1, d.Zones[i%len(d.Zones)], address, freeAddress(x.g), x.platform.Address(), token)
		file := filepath.Join(x.dir, fmt.Sprintf("daemon-%d.ini", i+1))
		x.g.Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
		cmd := exec.Command(filepath.Join(x.dir, "dandeliongapd"), "--settings", file, "--log-level", "warn")
		x.g.Expect(cmd.Start()).To(Succeed())
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		x.addresses = append(x.addresses, address)
		x.daemons = append(x.daemons, cmd)
	}
}

// Guards against failures that show only with separate processes: a daemon that
// drops requests on SIGTERM, and shards that stay unreachable after the daemon
// that owned their replicas was killed with SIGKILL.
func TestSignalsToDaemonProcesses(t *testing.T) {
	x := newTier(t)
	x.start(t, 4)
	g, ctx := x.g, context.Background()
	client, err := dgclient.New(dgclient.Options{Addresses: x.addresses, Token: token})
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	g.Eventually(func() error {
		_, err := client.ApplyConfig(ctx, x.config, 0, "first")
		return err
	}, waitTimeout).Should(Succeed())
	coverage := func() float64 {
		r, _ := client.Search(ctx, dgclient.SearchRequest{Service: "order-search", Query: "sleepers"})
		return r.Coverage
	}
	g.Eventually(coverage, waitTimeout).Should(Equal(1.0))

	var lost, answered atomic.Int64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			_, err := client.Search(ctx, dgclient.SearchRequest{Service: "order-search", Query: "ballast", Deadline: 5 * time.Second})
			switch {
			case err == nil:
				answered.Add(1)
			case errors.Is(err, dandeliongap.ErrUnreachable):
				lost.Add(1)
			}
		}
	}()
	g.Expect(x.daemons[0].Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(x.daemons[0].Wait()).To(Succeed(), "exit code of a graceful shutdown")
	close(stop)
	<-done
	g.Expect(answered.Load()).To(BeNumerically(">", 0))
	g.Expect(lost.Load()).To(BeZero(), "searches lost in a graceful shutdown")

	g.Expect(x.daemons[1].Process.Kill()).To(Succeed())
	g.Eventually(coverage, waitTimeout).Should(Equal(1.0))
	counters := x.fleet.Counters()
	g.Expect(counters.SlotViolations + counters.ConnectionViolations).To(BeZero())
}
