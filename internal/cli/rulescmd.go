package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/publisher"
	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/settings"
)

// RulesCommand returns the "rules" command, which checks, compares and formats the
// operators' rules.
func RulesCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "rules",
		ShortUsage: "medlarwind rules <check|diff|fmt> FILE...",
		ShortHelp:  "check, compare or format the operators' rules",
		LongHelp:   "A FILE is plain or gzip-compressed text. Every error is printed with file, line and column; the exit code is then 2.",
		FlagSet:    newFlags("medlarwind rules", stderr),
		Subcommands: []*ffcli.Command{
			rulesCheckCommand(stdout, stderr),
			rulesDiffCommand(stdout, stderr),
			rulesFmtCommand(stdout, stderr),
		},
		Exec: showHelp,
	}
}

func rulesCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	return fileCommand("rules check", "check a document and print its size", []string{"FILE"}, stderr,
		func(paths []string) error { return checkRules(paths[0], stdout, stderr) })
}

func rulesDiffCommand(stdout, stderr io.Writer) *ffcli.Command {
	return fileCommand("rules diff", "print the changes from one document to another and who requested them", []string{"OLD", "NEW"}, stderr,
		func(paths []string) error { return diffRules(paths[0], paths[1], stdout, stderr) })
}

func rulesFmtCommand(stdout, stderr io.Writer) *ffcli.Command {
	return fileCommand("rules fmt", "print a document with canonical spacing", []string{"FILE"}, stderr,
		func(paths []string) error { return formatRules(paths[0], stdout, stderr) })
}

// SettingsCommand returns the "settings" command, which checks settings files and prints
// an example.
func SettingsCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "settings",
		ShortUsage: "medlarwind settings <check FILE|example>",
		ShortHelp:  "check the settings of an instance or print an example",
		FlagSet:    newFlags("medlarwind settings", stderr),
		Subcommands: []*ffcli.Command{
			fileCommand("settings check", "check a settings file", []string{"FILE"}, stderr,
				func(paths []string) error { return checkSettings(paths[0], stdout, stderr) }),
			fileCommand("settings example", "print a commented settings file with every key", nil, stderr,
				func([]string) error { return printText(stdout, settings.Example()) }),
		},
		Exec: showHelp,
	}
}

// fileCommand returns a command that takes exactly the named files as its arguments.
func fileCommand(path, help string, files []string, stderr io.Writer, run func(paths []string) error) *ffcli.Command {
	usage := "medlarwind " + path
	for _, file := range files {
		usage += " " + file
	}
	return &ffcli.Command{
		Name:       path[strings.LastIndexByte(path, ' ')+1:],
		ShortUsage: usage,
		ShortHelp:  help,
		FlagSet:    newFlags("medlarwind "+path, stderr),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != len(files) {
				return &UsageError{errors.Errorf("%s: want %d arguments, got %d; usage: %s", path, len(files), len(args), usage)}
			}
			return run(args)
		},
	}
}

// readRules reads and parses a document. It prints the errors found in the document to
// stderr and returns a UsageError if there are any.
func readRules(path string, stderr io.Writer) (text []byte, document *rules.Document, err error) {
	value, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &UsageError{err}
	}
	text, err = rules.Decode(value)
	if err != nil {
		return nil, nil, &UsageError{errors.Wrap(err, path)}
	}
	document, err = rules.Parse(text)
	var faults *rules.Errors
	if errors.As(err, &faults) {
		for _, fault := range faults.List {
			fmt.Fprintf(stderr, "%s:%d:%d: %s\n", path, fault.Line, fault.Column, fault.Message)
		}
		return nil, nil, &UsageError{errors.Errorf("%s is refused: %d faults", path, len(faults.List))}
	}
	return text, document, err
}

func checkRules(path string, stdout, stderr io.Writer) error {
	text, document, err := readRules(path, stderr)
	if err != nil {
		return err
	}
	compressed, err := rules.Encode(text)
	if err != nil {
		return err
	}
	if len(compressed) > publisher.MaxConfigBytes {
		return &UsageError{errors.Errorf("%s is valid, but its compressed size of %d bytes exceeds the %d bytes that the configuration service accepts", path, len(compressed), publisher.MaxConfigBytes)}
	}
	outOfService := 0
	for _, dataCentre := range document.DataCentres {
		if dataCentre.OutOfService {
			outOfService++
		}
	}
	return printText(stdout, fmt.Sprintf(
		"%s is valid: %d customers, %d data centres (%d out), %d models, %d targets, %d calls, %d orders\ndigest %s, %d bytes, %d compressed of %d\n",
		path, len(document.Customers), len(document.DataCentres), outOfService, len(document.Models),
		len(document.Targets), len(document.Calls), len(document.Orders),
		config.Digest(text), len(text), len(compressed), publisher.MaxConfigBytes))
}

func diffRules(oldPath, newPath string, stdout, stderr io.Writer) error {
	_, old, err := readRules(oldPath, stderr)
	if err != nil {
		return err
	}
	_, updated, err := readRules(newPath, stderr)
	if err != nil {
		return err
	}
	changes := rules.Diff(old, updated)
	for _, change := range changes {
		if err := printText(stdout, change.String()+"\n"); err != nil {
			return err
		}
	}
	return printText(stdout, fmt.Sprintf("%d rules differ\n", len(changes)))
}

func formatRules(path string, stdout, stderr io.Writer) error {
	text, _, err := readRules(path, stderr)
	if err != nil {
		return err
	}
	formatted, err := rules.Format(text)
	if err != nil {
		return err
	}
	return printText(stdout, string(formatted))
}

func checkSettings(path string, stdout, stderr io.Writer) error {
	s, err := settings.Load(path)
	var faults *settings.Errors
	if errors.As(err, &faults) {
		fmt.Fprintln(stderr, faults)
		return &UsageError{errors.Errorf("%s is refused: %d faults", path, len(faults.List))}
	}
	if err != nil {
		return &UsageError{err}
	}
	return printText(stdout, fmt.Sprintf("%s is valid: instance %s in %s, %s\n", path, s.Instance, s.DataCentre, s.Region))
}

func printText(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return errors.WithStack(err)
}
