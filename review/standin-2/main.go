// Command standin2 has the stand-ins of the cases 6 to 10 of the review: the platform's store,
// replicas and clients, and one scenario for each case. It starts the program of the deploy file
// as separate processes on loopback addresses. It exits with 1 if the rule of the case was
// broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is the environment of a case.
type scenario struct {
	trouble bool // with the disruption
	dir     string
	store   *store
	vms     []*vm
	begin   time.Time

	mu     sync.Mutex
	record []string
	runs   []run
}

// log adds a line to the record.
func (s *scenario) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = append(s.record, fmt.Sprintf("%8.3f ", time.Since(s.begin).Seconds())+fmt.Sprintf(format, args...))
}

// ran records that a server began to work on a request.
func (s *scenario) ran(r run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.at = time.Now()
	s.runs = append(s.runs, r)
}

// close ends all processes and writes the record.
func (s *scenario) close(file string) {
	for _, v := range s.vms {
		v.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := os.WriteFile(file, []byte(strings.Join(s.record, "\n")+"\n"), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

var scenarios = map[string]func(*scenario) (broken bool, err error){
	"entry":      oddEntry,
	"lift":       liftedLimit,
	"quota":      quotaAfterFreeze,
	"stray":      strayRejection,
	"unreadable": unreadableName,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(f func(*scenario) (bool, error), file string) int {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	s := &scenario{trouble: os.Getenv("TROUBLE") != "0", dir: dir, begin: time.Now()}
	if s.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := f(s)
	if err != nil {
		s.log("the case could not run: %v", err)
	}
	s.close(file)
	fmt.Println(filepath.Base(dir), "broken:", broken, "error:", err)
	switch {
	case err != nil:
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

// startTier starts VMs with the given names, for the first time, in the given zones by turns,
// and waits until all are ready.
func (s *scenario) startTier(zones []string, names ...string) error {
	for i, name := range names {
		v, err := newVM(name, zones[i%len(zones)], s.store.addr(), s.dir)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		if err := v.start(true); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := v.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	s.log("%d VMs are ready", len(s.vms))
	return nil
}
