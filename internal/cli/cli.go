// Package cli implements the subcommands of the medlarwind binary. Each command is built
// by a function that takes its output streams, so that tests can run it.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes of the binary.
const (
	ExitOK = 0
	// ExitFailure means that the command ran and failed.
	ExitFailure = 1
	// ExitUsage means that flags, settings or rules are invalid; nothing was started.
	ExitUsage = 2
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "MEDLARWIND"

// UsageError marks an error in the user's input: flags, settings or rules. Run maps it
// to ExitUsage.
type UsageError struct{ Err error }

// Error returns the text of the wrapped error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UsageError) Unwrap() error { return e.Err }

// Run parses args, runs the subcommand and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := Root(stdout, stderr)
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
		return exitCode(err, stderr)
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintln(stderr, "medlarwind:", err)
	return ExitUsage
}

// exitCode prints err, if any, to stderr and returns its exit code.
func exitCode(err error, stderr io.Writer) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintln(stderr, "medlarwind:", err)
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailure
}

// Root returns the complete command tree.
func Root(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind", stderr)
	return &ffcli.Command{
		Name:       "medlarwind",
		ShortUsage: "medlarwind <subcommand> [flags]",
		ShortHelp:  "routes model requests for customers who share capacity",
		LongHelp:   "Exit codes: 0 success, 1 failure, 2 invalid flags, settings or rules.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			ServeCommand(stdout, stderr),
			RouteCommand(stdout, stderr),
			DevCommand(stdout, stderr),
			CallCommand(stdout, stderr),
			StatusCommand(stdout, stderr),
			ExplainCommand(stdout, stderr),
			WhereCommand(stdout, stderr),
			RulesCommand(stdout, stderr),
			SettingsCommand(stdout, stderr),
			StandinCommand(stdout, stderr),
		},
		Exec: showHelp,
	}
}

// showHelp is the Exec of a command that only groups subcommands.
func showHelp(_ context.Context, args []string) error {
	if len(args) > 0 {
		return &UsageError{errors.Errorf("unknown subcommand %q", args[0])}
	}
	return flag.ErrHelp
}

func newFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}
