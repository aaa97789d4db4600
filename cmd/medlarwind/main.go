// Command medlarwind is the binary of the router fleet. Package cli implements its
// subcommands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"medlarwind.dev/medlarwind/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
