package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Files of the repository, relative to its root, which is the working directory.
const (
	program  = "target/dandeliongap-edge" // as deploy/system.toml runs it
	template = "platform/settings.ini"
)

// graceS is the time in seconds between SIGTERM and SIGKILL (GraceS).
const graceS = 6

// record writes record.txt. Its lines begin with the milliseconds since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{f: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.1f %s\n", time.Since(r.start).Seconds()*1000, fmt.Sprintf(format, args...))
}

// vm is one process of the tier.
type vm struct {
	name, ip, entry, ready, directory string
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// startVM starts the program of the deploy file with settings from its template. maxFds
// limits its descriptors, unless it is 0.
func startVM(tmp, name, ip, zone, storeAddr string, maxFds int) (*vm, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, ip: ip, exited: make(chan struct{})}
	var inner string
	for _, p := range []*string{&v.entry, &v.ready, &v.directory, &inner} {
		if *p, err = freeAddr(ip); err != nil {
			return nil, err
		}
	}
	_, innerPort, _ := net.SplitHostPort(inner)
	values := map[string]string{
		"{{NodeName}}": name, "{{Zone}}": zone, "{{platform.Address}}": storeAddr, "{{Limits.CpuCores}}": "1",
		"{{Limits.MemoryMb}}": "184", "{{Limits.MaxFds}}": "4100", "{{Limits.CpuShare}}": "0.4", "{{Bootstrap}}": "true", wire["setting_entry"]: v.entry, wire["setting_ready"]: v.ready,
		wire["setting_directory"]: v.directory, "{{Ip}}": ip, wire["setting_inner_port"]: innerPort,
		"{{Bounds.GraceS}}": fmt.Sprint(graceS), "{{Bounds.ttl_max_s}}": "5", "{{Bounds.RetryBudgetRatio}}": "0.2",
		"{{Bounds.BudgetSlack}}": "52", "{{Bounds.RetryWindowS}}": "10",
		wire["setting_canary_share"]: "", wire["setting_canary_slack"]: "", wire["setting_rollback"]: "",
		"{{Bounds.QuotaWindowS}}": "", "{{Bounds.QuotaOvershoot}}": "", "{{Bounds.QuotaSlack}}": "",
		"{{Bounds.RevokeMs}}": "", "{{Bounds.ConfigApplyMs}}": "3000",
	}
	missing := ""
	settings := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		value, ok := values[p]
		if !ok {
			missing = p
		}
		return value
	})
	if missing != "" {
		return nil, fmt.Errorf("%s has the unknown placeholder %s", template, missing)
	}
	path := filepath.Join(tmp, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(tmp, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	v.cmd = exec.Command(program)
	if maxFds > 0 {
		v.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", maxFds, program))
	}
	v.cmd.Env = append(os.Environ(), "DANDELIONGAP_SETTINGS="+path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = v.cmd.Wait()
		close(v.exited)
	}()
	return v, nil
}

func (v *vm) signal(s os.Signal) { _ = v.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.exited
}

// awaitReady waits until the readiness check answers 200 and the directory names the VM.
func (v *vm) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := get("http://" + v.ready + wire["ready_path"]); status != http.StatusOK {
			continue
		}
		if addrs, _, err := resolve(v.directory); err == nil && strings.Contains(strings.Join(addrs, " "), v.entry) {
			return nil
		}
	}
	return errors.New(v.name + " was not ready in time")
}

// resolve asks a directory for the addresses of the tier.
func resolve(addr string) (addrs []string, ttl float64, err error) {
	status, body := get("http://" + addr + wire["resolve_path"] + "?Name=h.example&Region=r&Zone=zone-a")
	var answer struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if status != http.StatusOK {
		return nil, 0, fmt.Errorf("directory answered %d", status)
	}
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Addrs) == 0 {
		return nil, 0, errors.New("directory answered without addresses")
	}
	return answer.Addrs, answer.TTL, nil
}

// get returns status 0 if there is no answer within a second.
func get(url string) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	buf := make([]byte, 64<<10)
	n := 0
	for n < len(buf) {
		m, err := resp.Body.Read(buf[n:])
		n += m
		if err != nil {
			break
		}
	}
	return resp.StatusCode, buf[:n]
}

// freeAddr returns an address with a port that is free now.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// loopbackIP returns the n-th loopback address of this run, on which no other run listens.
func loopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 80+n, pid>>8&255, pid%254+1)
}

// serveStore starts a store on a loopback address.
func serveStore(s http.Handler, ip string) (addr string, err error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}
