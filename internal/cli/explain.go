package cli

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/explain"
)

// ExplainCommand returns the "explain" command, which shows what happened to one request,
// from the logs of the instances.
func ExplainCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "medlarwind explain ID [LOGFILE...]",
		ShortHelp:  "show what happened to a request, from the logs of the instances",
		LongHelp:   "Combines the log lines of all given files, or of standard input, into the history of the request with this ID.",
		FlagSet:    newFlags("medlarwind explain", stderr),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &UsageError{errors.New("explain: the request ID is missing")}
			}
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			return explain.Explain(stdout, lines, args[0])
		},
	}
}

// readLogs reads the log lines of all files, or of standard input if paths is empty.
func readLogs(paths []string) ([]explain.Line, error) {
	if len(paths) == 0 {
		lines, _, err := explain.Read(os.Stdin)
		return lines, err
	}
	var all []explain.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, _, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		all = append(all, lines...)
	}
	return all, nil
}
