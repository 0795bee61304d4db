// Command dandeliongap is the command-line tool of the query tier: it administers a
// tier, sends requests to it, and runs demos and measurements.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dandeliongap.example/dandeliongap/dgcommand"
	"dandeliongap.example/dandeliongap/dgsoak"
	"dandeliongap.example/dandeliongap/platform"
	"dandeliongap.example/dandeliongap/platform/dgfleet"
	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"
)

func main() {
	var cli dgcommand.CLI
	parser := kong.Must(&cli,
		kong.Name("dandeliongap"),
		kong.Description("Command line of the dandeliongap query tier.\n\n"+
			"Exit codes: 0 done, 1 failed or refused, 2 wrong command line, 3 no answer (outcome unknown), "+
			"4 another change came first, 5 operator token missing or wrong."),
		kong.UsageOnError(),
	)
	kctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "dandeliongap:", err)
		os.Exit(dgcommand.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = kctx.Run(&dgcommand.Env{
		Ctx:    ctx,
		Out:    os.Stdout,
		Err:    os.Stderr,
		IsTerm: isatty.IsTerminal(os.Stdout.Fd()),

		DecodeReport: platform.DecodeReport,
		NewPlatform:  func() (dgsoak.Platform, error) { return dgfleet.NewPlatform() },
	})
	if err != nil && !errors.Is(err, dgcommand.ErrFailed) {
		fmt.Fprintln(os.Stderr, "dandeliongap:", err)
	}
	os.Exit(dgcommand.ExitCode(err))
}
