// Command dandeliongap-edge is the daemon of a VM that forwards the requests of
// callers to backend servers on the users' platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"dandeliongap.example/dandeliongap/dgedge"
	"dandeliongap.example/dandeliongap/platform"
	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// gcPercent is the argument of debug.SetGCPercent. It is below the default of 100:
// memory is scarce on small VMs, and collecting the small heap more often is cheap.
const gcPercent = 50

func main() {
	var flags struct {
		Settings string `required:"" env:"DANDELIONGAP_SETTINGS" help:"Settings file (INI)." type:"path"`
		Check    bool   `help:"Check the settings and exit."`
	}
	kong.Parse(&flags, kong.Name("dandeliongap-edge"),
		kong.Description("Daemon of a VM that forwards the requests of callers.\n\nExit codes: 0 stopped gracefully, 1 failed, 2 wrong command line or settings."))
	debug.SetGCPercent(gcPercent)
	s, err := readSettings(flags.Settings)
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

func readSettings(path string) (dgedge.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return dgedge.Settings{}, err
	}
	return dgedge.ParseSettings(text)
}

// settingsPollInterval is the time between two checks of the settings file, which may
// change without a SIGHUP.
const settingsPollInterval = time.Second

// run serves until SIGTERM or SIGINT. It reloads the settings on SIGHUP and when the
// modification time of the settings file changes.
func run(s dgedge.Settings, path string) error {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	store := platform.NewStore(s.StoreAddress)
	e, err := dgedge.Start(dgedge.Options{Settings: s, Store: store, Dialect: platform.Dialect(), Log: os.Stdout})
	if err != nil {
		return errors.Join(err, store.Close())
	}
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastModTime := modTime(path)
	for running := true; running; {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(e, path)
			} else {
				running = false
			}
		case <-tick.C:
			if at := modTime(path); !at.Equal(lastModTime) {
				lastModTime = at
				reload(e, path)
			}
		}
	}
	e.Drain()
	return errors.Join(e.Close(), store.Close())
}

func reload(e *dgedge.Edge, path string) {
	s, err := readSettings(path)
	if err != nil {
		e.ReloadFailed(err)
		return
	}
	e.Reload(s)
}

// modTime returns the modification time of a file, or the zero time if the file cannot
// be read. The next reload then reports the error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
