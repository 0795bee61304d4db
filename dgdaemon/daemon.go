// Package dgdaemon runs the daemon with the settings from its file and flags. When
// another VM has fenced this VM, the daemon starts a node with a new incarnation.
package dgdaemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgbackend"
	"dandeliongap.example/dandeliongap/dgnode"
	"dandeliongap.example/dandeliongap/dgplatform"
	"dandeliongap.example/dandeliongap/dgsettings"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
)

// Exit codes of the daemon.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Flags are the command-line flags of the daemon. They take precedence over the
// settings file.
type Flags struct {
	Settings     string `required:"" help:"Settings file (INI)." type:"path"`
	VM           string `name:"vm" help:"Name of this VM."`
	Zone         string `help:"Availability zone of this VM."`
	CallerListen string `help:"Address for callers and operators, IP:port."`
	PeerListen   string `help:"Address for the other VMs, IP:port."`
	Platform     string `help:"Address of the platform, host:port."`
	LogLevel     string `help:"debug, info, warn or error."`
	CheckOnly    bool   `name:"check" help:"Check the settings and exit."`
}

// Main runs the daemon until a signal arrives on stop, and returns the exit code.
func Main(f *Flags, out, errOut io.Writer, stop <-chan os.Signal) int {
	s, err := f.loadSettings()
	if err != nil {
		fmt.Fprintln(errOut, "dandeliongapd:", err)
		return ExitUsage
	}
	if f.CheckOnly {
		fmt.Fprintln(out, f.Settings+": no fault")
		return ExitOK
	}
	logger, err := newLogger(out, s)
	if err != nil {
		fmt.Fprintln(errOut, "dandeliongapd:", err)
		return ExitUsage
	}
	if err := run(s, logger, decisionWriter(out, s), stop); err != nil {
		logger.Error("failed", "Error", err)
		return ExitFailed
	}
	return ExitOK
}

// loadSettings reads the settings file, applies the flags and checks the result.
func (f *Flags) loadSettings() (dgsettings.Daemon, error) {
	text, err := os.ReadFile(f.Settings)
	if err != nil {
		return dgsettings.Daemon{}, trace.Wrap(err)
	}
	s, faults := dgsettings.ParseDaemon(f.Settings, text)
	if faults.Any() {
		return dgsettings.Daemon{}, fmt.Errorf("%w:\n%s", dandeliongap.ErrInvalid, faults)
	}
	f.override(&s)
	return s, checkEffective(s)
}

// checkEffective applies the checks of the settings parser to the effective
// values, since flags may have replaced some of the values in the file. It formats
// the values as a settings file and parses that text.
func checkEffective(s dgsettings.Daemon) error {
	text := fmt.Sprintf("[daemon]\nvm = %s\nzone = %s\ncaller listen = %s\npeer listen = %s\ncaller announce = %s\npeer announce = %s\n"+
		"platform = %s\nlog level = %s\noperator token = %s\n",
		s.VM, s.Zone, s.CallerListen, s.PeerListen, s.CallerAnnounce, s.PeerAnnounce, s.Platform, s.LogLevel, string(s.OperatorToken))
	parsed, faults := dgsettings.ParseDaemon("flags", []byte(text))
	if faults.Any() {
		return fmt.Errorf("flags: %w:\n%s", dandeliongap.ErrInvalid, faults)
	}
	// No flag sets these fields, and text does not contain them.
	parsed.Seeds, parsed.Limits, parsed.Shutdown, parsed.ClockSkew = s.Seeds, s.Limits, s.Shutdown, s.ClockSkew
	// The parser ends a value at a comment or a line break, so such a value differs.
	if !reflect.DeepEqual(parsed, s) {
		return fmt.Errorf("flags: a value contains a comment or a line break: %w", dandeliongap.ErrInvalid)
	}
	return nil
}

// override replaces settings by the flags that are set. The flag for a listen
// address also replaces the announced address if both addresses were equal.
func (f *Flags) override(s *dgsettings.Daemon) {
	if f.VM != "" {
		s.VM = dandeliongap.VMName(f.VM)
	}
	if f.Zone != "" {
		s.Zone = dandeliongap.ZoneName(f.Zone)
	}
	if f.CallerListen != "" {
		if s.CallerAnnounce == s.CallerListen {
			s.CallerAnnounce = f.CallerListen
		}
		s.CallerListen = f.CallerListen
	}
	if f.PeerListen != "" {
		if s.PeerAnnounce == s.PeerListen {
			s.PeerAnnounce = f.PeerListen
		}
		s.PeerListen = f.PeerListen
	}
	if f.Platform != "" {
		s.Platform = f.Platform
	}
	if f.LogLevel != "" {
		s.LogLevel = f.LogLevel
	}
}

func newLogger(out io.Writer, s dgsettings.Daemon) (*log.Logger, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, trace.Wrap(err, "parse log level %q", s.LogLevel)
	}
	l := log.NewWithOptions(out, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: dgnode.LogTime, Level: level})
	return l.With("VM", s.VM), nil
}

// decisionWriter returns the writer for the log lines of the request path, which
// have level info, or nil if the log level in the settings excludes them. Several
// goroutines write to it concurrently, a whole line in each call, which is safe for
// a file.
func decisionWriter(out io.Writer, s dgsettings.Daemon) io.Writer {
	if level, err := log.ParseLevel(s.LogLevel); err != nil || level > log.InfoLevel {
		return nil
	}
	return out
}

// run serves requests until a signal arrives on stop. Each time another VM has
// fenced this VM, run starts a node with a new incarnation.
func run(s dgsettings.Daemon, logger *log.Logger, decisions io.Writer, stop <-chan os.Signal) error {
	store, err := dgplatform.New(dgplatform.Options{Address: s.Platform})
	if err != nil {
		return trace.Wrap(err)
	}
	backend := dgbackend.New(dgbackend.Options{ClockSkew: s.ClockSkew})
	for {
		n, err := dgnode.Start(dgnode.Options{Settings: s, Store: store, VMs: store, Backend: backend, Log: logger, Decisions: decisions})
		if err != nil {
			return errors.Join(trace.Wrap(err), backend.Close(), store.Close())
		}
		select {
		case <-stop:
			return errors.Join(n.Close(), backend.Close(), store.Close())
		case <-n.Fenced():
			logger.Warn("membership", "Rule", "M4", "Choice", "restart with a new incarnation", "Member", n.Member())
			if err := n.Close(); err != nil {
				logger.Error("failed", "Error", err)
			}
		}
	}
}
