// Command medlarwind is the router fleet's one binary. Its subcommands are in
// package cli.
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
