package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// vm is a VM of the tier: a process of the program that the deploy file names.
type vm struct {
	name, zone, entry, ready, directory, gossip, metrics string

	dir   string
	store string
	cmd   *exec.Cmd
	ended chan struct{}
}

// firstPort and lastPort bound the ports that listeners of VMs take. They are below those that
// the system gives to connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// given holds the addresses that freeAddress has returned.
var given = make(map[string]bool)

// freeAddress returns a loopback address whose TCP and UDP ports are free.
func freeAddress() (string, error) {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if given[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = u.Close()
		given[addr] = true
		return addr, nil
	}
	return "", fmt.Errorf("no free port")
}

// program is the program of the one role of the deploy file.
const program = "target/dandeliongap-edge"

func newVM(name, zone, storeAddr, dir string) (*vm, error) {
	v := &vm{name: name, zone: zone, store: storeAddr, dir: dir}
	for _, a := range []*string{&v.entry, &v.ready, &v.directory, &v.gossip, &v.metrics} {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	return v, nil
}

// settings returns the settings file, as the template of the deploy file has it for a small
// deployment.
func (v *vm) settings(first bool) string {
	return fmt.Sprintf(`[edge]
vm = %s
zone = %s
store = %s
cores = 1
core share = 0.4
memory limit = 284
descriptor limit = 4100
first start = %t
entry listen = %s
ready listen = %s
directory listen = %s
gossip listen = %s
metrics listen = %s
shutdown limit = 6s
directory keep = 5s
retry ratio = 0.2
retry slack = 52
retry window = 10s
canary share =
canary slack =
rollback limit ms =
quota window s = 5
quota overshoot = 0.1
quota slack = 20
revoke time ms = 5000
config time ms = 5000
`, v.name, v.zone, v.store, first, v.entry, v.ready, v.directory, v.gossip, v.metrics)
}

// start starts the process. first tells that the whole tier starts for the first time.
func (v *vm) start(first bool) error {
	file := filepath.Join(v.dir, v.name+".ini")
	if err := os.WriteFile(file, []byte(v.settings(first)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command(program)
	v.cmd.Env = append(os.Environ(), "DANDELIONGAP_SETTINGS="+file)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), v.cmd
	v.ended = ended
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.ended
}

// awaitReady waits until the readiness check of the VM succeeds.
func (v *vm) awaitReady(limit time.Duration) error {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := c.Get("http://" + v.ready + wire.Ready)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("VM %s is not ready after %s", v.name, limit)
}
