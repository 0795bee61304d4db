// Command dandeliongap-edge is the daemon of a VM that forwards the requests of
// callers on the users' platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/platform"
	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// heapGrowth is the growth of the heap between collections in percent: memory
// is dear on small VMs, and the heap is small.
const heapGrowth = 50

func main() {
	var flags struct {
		Settings string `required:"" env:"DANDELIONGAP_SETTINGS" help:"Settings file (INI)." type:"path"`
		Check    bool   `help:"Check the settings and exit."`
	}
	kong.Parse(&flags, kong.Name("dandeliongap-edge"),
		kong.Description("Daemon of a VM that forwards the requests of callers.\n\nExit codes: 0 stopped gracefully, 1 failed, 2 wrong command line or settings."))
	debug.SetGCPercent(heapGrowth)
	s, err := read(flags.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dandeliongap-edge:", err)
		os.Exit(exitUsage)
	}
	if flags.Check {
		fmt.Println(flags.Settings + ": no fault")
		return
	}
	if err := run(s, flags.Settings); err != nil {
		fmt.Fprintln(os.Stderr, "dandeliongap-edge:", err)
		os.Exit(exitFailed)
	}
}

func read(path string) (dgedge.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return dgedge.Settings{}, err
	}
	return dgedge.ParseSettings(text)
}

// run serves until SIGTERM or an interrupt.
func run(s dgedge.Settings, _ string) error {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	store := platform.NewStore(s.Store)
	e, err := dgedge.Start(dgedge.Options{Settings: s, Store: store, Dialect: platform.Dialect(), Log: os.Stdout})
	if err != nil {
		return errors.Join(err, store.Close())
	}
	for sig := range signals {
		if sig == syscall.SIGHUP {
			continue
		}
		break
	}
	e.Leave()
	return errors.Join(e.Close(), store.Close())
}
