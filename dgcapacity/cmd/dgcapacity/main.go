// Command dgcapacity prints how the cost of one VM grows with the size of the
// deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"dandeliongap.example/dandeliongap/dgcapacity"
	"github.com/alecthomas/kong"
)

func main() {
	var c dgcapacity.Command
	kong.Parse(&c, kong.Name("dgcapacity"), kong.Description("Measures the slopes of docs/CAPACITY.md."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := c.Measure(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "dgcapacity:", err)
		os.Exit(1)
	}
}
