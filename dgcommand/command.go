// Package dgcommand implements the subcommands of the dandeliongap command.
package dgcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgclient"
	"dandeliongap.example/dandeliongap/dgsoak"
)

// Exit codes of the command line.
const (
	ExitOK           = 0
	ExitFailed       = 1 // faults found, a promise of the tier broken, a request refused, or any other error
	ExitUsage        = 2 // wrong command line
	ExitUnreachable  = 3 // no answer; a change may or may not have taken effect
	ExitConflict     = 4 // another change came first; nothing was changed
	ExitUnauthorized = 5 // operator token missing or wrong
)

// Version is printed by the version command. The release build sets it.
var Version = "0.1.0-dev"

// CLI declares all subcommands and flags for kong.
type CLI struct {
	Check    CheckCommand    `cmd:"" help:"Check a configuration text and print every fault."`
	Apply    ApplyCommand    `cmd:"" help:"Check a configuration text and put it in force."`
	Show     ShowCommand     `cmd:"" help:"Print the configuration text in force."`
	Status   StatusCommand   `cmd:"" help:"Show services, replicas and VMs."`
	Zone     ZoneCommand     `cmd:"" help:"Take an availability zone out of service or return it."`
	Search   SearchCommand   `cmd:"" help:"Run one search."`
	Act      ActCommand      `cmd:"" help:"Run one request that may not be repeated."`
	Demo     DemoCommand     `cmd:"" help:"Run stand-ins and six VMs in this process and show each promise as held or broken."`
	Load     LoadCommand     `cmd:"" help:"Run an open-loop load with one fault and compare with the baseline policy."`
	Measure  MeasureCommand  `cmd:"" help:"Measure the decisions of the request path on a virtual clock against their targets."`
	Capacity CapacityCommand `cmd:"" help:"Measure how the cost of one VM grows with the deployment, for docs/CAPACITY.md."`
	Control  ControlCommand  `cmd:"" help:"Measure platform calls, bytes and the time of changes on an embedded cluster."`
	Soak     SoakCommand     `cmd:"" help:"Inject faults into processes of the edge daemon and check its promises."`
	Plot     PlotCommand     `cmd:"" help:"Draw reports of runs side by side."`
	Standins StandinsCommand `cmd:"" name:"stand-ins" help:"Run the stand-ins of the platform and of all backend servers until interrupted."`
	Version  VersionCommand  `cmd:"" help:"Print the version."`
}

// Env holds the context, the output streams and the report decoder for commands.
type Env struct {
	Ctx    context.Context
	Out    io.Writer
	Err    io.Writer
	IsTerm bool // Out is a terminal
	// DecodeReport decodes the report of one run of the benchmark that the
	// platform's users run.
	DecodeReport func([]byte) (dandeliongap.RunReport, error)
	// NewPlatform starts a stand-in of the users' platform for a soak.
	NewPlatform func() (dgsoak.Platform, error)
}

// VersionCommand prints the version.
type VersionCommand struct{}

// Help adds an example.
func (VersionCommand) Help() string { return "Example: dandeliongap version" }

// Run prints the version.
func (VersionCommand) Run(env *Env) error {
	_, err := fmt.Fprintln(env.Out, "dandeliongap", Version)
	return err
}

// Connection holds the flags of commands that talk to the tier.
type Connection struct {
	Addresses []string      `name:"address" short:"a" default:"127.0.0.1:20001" help:"Address of a VM, IP:port; may be repeated." env:"DANDELIONGAP_ADDRESSES"`
	TokenFile string        `name:"token-file" help:"File with the operator token." env:"DANDELIONGAP_TOKEN_FILE" type:"existingfile"`
	Timeout   time.Duration `default:"10s" help:"Time limit of one call."`
}

// client returns a client for the tier. The caller closes it.
func (c *Connection) client() (*dgclient.Client, error) {
	o := dgclient.Options{Addresses: c.Addresses, Timeout: c.Timeout}
	if c.TokenFile != "" {
		b, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return nil, err
		}
		o.Token = trimToken(b)
	}
	return dgclient.New(o)
}

// trimToken removes the line breaks that editors add at the end of a token file.
func trimToken(b []byte) string {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r') {
		b = b[:len(b)-1]
	}
	return string(b)
}

// printJSON writes v as JSON on one line.
func printJSON(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}

// ErrFailed reports that a command ran to its end with a negative result, which it
// has already printed.
var ErrFailed = errors.New("failed")

// ErrUsage reports a command line with a missing argument.
var ErrUsage = errors.New("wrong command line")

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, dandeliongap.ErrConflict):
		return ExitConflict
	case errors.Is(err, dandeliongap.ErrUnauthorized):
		return ExitUnauthorized
	case errors.Is(err, dandeliongap.ErrNotRun):
		return ExitFailed
	case errors.Is(err, dandeliongap.ErrUnreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}
