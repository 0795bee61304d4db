// Command dandeliongapd is the query tier daemon. One runs on every entry VM.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dandeliongap.example/dandeliongap/dgdaemon"
	"github.com/alecthomas/kong"
)

func main() {
	var flags dgdaemon.Flags
	parser := kong.Must(&flags,
		kong.Name("dandeliongapd"),
		kong.Description("Daemon of the dandeliongap query tier, one on every entry VM.\n\n"+
			"Example: dandeliongapd --settings daemon.ini\n\n"+
			"Exit codes: 0 shut down gracefully, 1 failed, 2 wrong command line or settings."),
	)
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "dandeliongapd:", err)
		os.Exit(dgdaemon.ExitUsage)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	os.Exit(dgdaemon.Main(&flags, os.Stdout, os.Stderr, stop))
}
