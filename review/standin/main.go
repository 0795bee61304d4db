// Command standin plays the cases of the review: it starts programs of the project as
// separate processes, plays the platform, the backend servers and the clients around
// them, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// stage is what a case plays on.
type stage struct {
	dir     string // of the case
	tmp     string // temporary folder
	trouble bool   // play the disruption
	maxFds  int    // descriptors of a VM; 0: as many as here
	log     *record
	vms     []*vm
}

// cases holds the cases by name; each file of a case adds its own. A case reports whether
// the rule held.
var cases = make(map[string]func(*stage) (held bool, err error))

func init() {
	// The VMs end with the thread that started them, so main keeps its own.
	runtime.LockOSThread()
	signal.Ignore(syscall.SIGPIPE) // a closed output does not end a case
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(tmp)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		_ = os.RemoveAll(tmp)
		os.Exit(exitFailed) // ends the VMs too
	}()
	s := &stage{dir: dir, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0"}
	if s.log, err = newRecord(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() {
		for _, v := range s.vms {
			v.kill()
		}
	}()
	held, err := cases[name](s)
	switch {
	case err != nil:
		s.log.line("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		for _, v := range s.vms {
			text, _ := os.ReadFile(filepath.Join(tmp, v.name+".log"))
			fmt.Fprintf(os.Stderr, "%s\n", text[:min(len(text), 4000)])
		}
		return exitFailed
	case held:
		fmt.Println("rule held")
		return exitHeld
	}
	fmt.Println("rule broken")
	return exitBroken
}

// startTier starts n VMs that read the store, and waits until they serve.
func (s *stage) startTier(n int, st *store) error {
	addr, err := serveStore(st, loopbackIP(10))
	if err != nil {
		return err
	}
	for i := range n {
		v, err := startVM(s.tmp, fmt.Sprintf("vm-%d", i), loopbackIP(i), "zone-a", addr, s.maxFds)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if err := v.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// oneRoute returns a configuration with one route to one service.
func oneRoute(version, name, service, kind string, timeout time.Duration) string {
	return message("config", "version", version, "limits", wire["limits"],
		"routes", message("route", "name", name, "type", kind, "service", service, "timeout", fmt.Sprint(timeout.Milliseconds())),
		"services", message("service", "service", service))
}
