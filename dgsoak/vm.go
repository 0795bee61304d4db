package dgsoak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap"
)

// restartDelay is the time after which a process that has ended is started again.
const restartDelay = 300 * time.Millisecond

// vm is a VM of the tier: a process of the daemon, and those that replace it.
type vm struct {
	name     dandeliongap.VMName
	zone     dandeliongap.ZoneName
	program  string
	dir      string // for the settings and the logs
	ports    vmPorts
	entry    *proxy // between callers and the VM
	store    *proxy // between the VM and the store
	peers    *proxy // between other VMs and the VM: pulls of changes
	gossip   *relay // the same, at the same address: heartbeats
	bounds   Bounds
	now      func() dandeliongap.Instant
	ledger   *Ledger
	stopping func() bool // the soak ends
	accounts bool        // the configurations have accounts
	rollouts bool        // versions of backend servers change

	stepMu sync.Mutex // held by a step that ends the process, until the next one has started

	mu       sync.Mutex
	cmd      *exec.Cmd
	process  int  // number of processes so far
	expected bool // the end of the current process was asked for
	ended    chan struct{}
	reloads  int
}

// vmPorts are the addresses of a VM's listeners.
type vmPorts struct {
	entry, ready, directory, gossip string
}

// settings returns the text of the settings file.
func (v *vm) settings(first bool) string {
	var b strings.Builder
	for _, line := range [][2]string{
		{"vm", string(v.name)}, {"zone", string(v.zone)}, {"store", v.store.addr()}, {"first start", strconv.FormatBool(first)},
		{"entry listen", v.ports.entry}, {"ready listen", v.ports.ready}, {"directory listen", v.ports.directory}, {"gossip listen", v.ports.gossip},
		{"shutdown limit", v.bounds.Grace.String()}, {"directory keep", maxDirectoryAge.String()},
		{"retry ratio", fmt.Sprint(v.bounds.RetryRatio)}, {"retry slack", fmt.Sprint(v.bounds.RetrySlack)}, {"retry window", v.bounds.RetryWindow.String()},
	} {
		fmt.Fprintf(&b, "%s = %s\n", line[0], line[1])
	}
	if q := v.bounds.Quota; v.accounts {
		fmt.Fprintf(&b, "quota window s = %g\nquota overshoot = %g\nquota slack = %g\n", q.Window.Seconds(), q.Overshoot, q.Slack)
		fmt.Fprintf(&b, "revoke time ms = %d\nconfig time ms = %d\n", v.bounds.Revoke.Milliseconds(), v.bounds.AccountApply.Milliseconds())
	}
	if v.rollouts {
		fmt.Fprintf(&b, "canary share = %g\ncanary slack = %g\nrollback limit ms = %d\n", v.bounds.ExposureShare, v.bounds.ExposureSlack, v.bounds.BadRollback.Milliseconds())
	}
	return "[edge]\n" + b.String()
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir, string(v.name)+".ini") }

// LogFile returns the name of the log of a VM in the folder of a soak.
func LogFile(dir string, name dandeliongap.VMName) string {
	return filepath.Join(dir, string(name)+".log")
}

// start starts a process. first tells it that the whole tier starts.
func (v *vm) start(first bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping() {
		return nil
	}
	if err := os.WriteFile(v.settingsFile(), []byte(v.settings(first)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(LogFile(v.dir, v.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(v.program, "--settings", v.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.expected, v.ended = cmd, false, make(chan struct{})
	v.process++
	go v.await(cmd, v.ended)
	return nil
}

// await waits for the end of a process, and starts another one if it ended by itself.
func (v *vm) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	expected := v.expected
	v.mu.Unlock()
	close(ended)
	if expected || v.stopping() {
		return
	}
	record(v.ledger, &v.ledger.Found, Violation{"K13", v.now(), fmt.Sprintf("process %d of %s ended by itself: %v; log: %s", cmd.Process.Pid, v.name, err, LogFile(v.dir, v.name))})
	time.Sleep(restartDelay)
	v.restart()
}

func (v *vm) restart() {
	if err := v.start(false); err != nil {
		record(v.ledger, &v.ledger.Found, Violation{"K13", v.now(), fmt.Sprintf("cannot start %s: %v", v.name, err)})
	}
}

// current returns the number of the current process.
func (v *vm) current() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// signal sends a signal to the current process. final marks its end as asked for.
func (v *vm) signal(sig os.Signal, final bool) (ended chan struct{}, process int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expected = v.expected || final
	if err := v.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		record(v.ledger, &v.ledger.Found, Violation{"K13", v.now(), fmt.Sprintf("cannot signal %s: %v", v.name, err)})
	}
	return v.ended, v.process
}

// kill ends the current process at once.
func (v *vm) kill() {
	ended, _ := v.signal(syscall.SIGKILL, true)
	<-ended
}

// stop stops the current process as planned, and kills it when it takes longer than the
// bound allows. It returns the time of the signal.
func (v *vm) stop() dandeliongap.Instant {
	s := Stop{VM: v.name, SignalAt: v.now()}
	ended, process := v.signal(syscall.SIGTERM, true)
	s.Process = process
	select {
	case <-ended:
	case <-time.After(signalInterval):
		v.reload()
		v.signal(syscall.SIGTERM, true)
	}
	select {
	case <-ended:
	case <-time.After(v.bounds.Grace + stopSlack - signalInterval):
		s.Late = true
		v.kill()
	}
	s.EndedAt = v.now()
	record(v.ledger, &v.ledger.Stops, s)
	return s.SignalAt
}

// signalInterval is the time after which a process that stops gets SIGHUP, and SIGTERM again.
const signalInterval = time.Second

// stopSlack is added to the bound of a stop, for the process to be scheduled.
const stopSlack = 500 * time.Millisecond

// reload changes a setting and tells the process.
func (v *vm) reload() {
	v.mu.Lock()
	v.reloads++
	text := v.settings(false) + fmt.Sprintf("; change %d\n", v.reloads)
	err := os.WriteFile(v.settingsFile(), []byte(text), 0o600)
	v.mu.Unlock()
	if err == nil {
		v.signal(syscall.SIGHUP, false)
	}
}

// measure records the use of resources of the current process.
func (v *vm) measure() {
	v.mu.Lock()
	pid, process := v.cmd.Process.Pid, v.process
	v.mu.Unlock()
	dir := fmt.Sprintf("/proc/%d", pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return // ended meanwhile
	}
	u := Usage{VM: v.name, Process: process, MemoryBytes: residentBytes(status)}
	if fds, err := os.ReadDir(dir + "/fd"); err == nil {
		u.Descriptors = len(fds)
	}
	v.ledger.used(u)
}

// residentBytes returns the resident memory that a status file of the kernel states.
func residentBytes(status []byte) int64 {
	for line := range bytes.Lines(status) {
		fields := bytes.Fields(line)
		if len(fields) == 3 && string(fields[0]) == "VmRSS:" {
			kb, _ := strconv.ParseInt(string(fields[1]), 10, 64) // 0 if it is no number
			return kb << 10
		}
	}
	return 0
}
