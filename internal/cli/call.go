package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// callFlags holds the flags of the "call" command.
type callFlags struct {
	seeds     string
	secret    string
	model     string
	service   string
	method    string
	maxTokens int64
	once      bool
	repeat    int
	timeout   time.Duration
}

// CallCommand returns the "call" command, which sends requests through the fleet as a
// caller does.
func CallCommand(stdout, stderr io.Writer) *ffcli.Command {
	var f callFlags
	flags := newFlags("medlarwind call", stderr)
	f.register(flags)
	return &ffcli.Command{
		Name:       "call",
		ShortUsage: "medlarwind call -seeds IP:PORT -secret SECRET (-model MODEL | -service SERVICE -method METHOD) TEXT...",
		ShortHelp:  "send a request through the fleet",
		LongHelp:   "Asks a seed for the addresses to use, caches them, connects to one and prints the complete answer.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			return f.run(ctx, strings.Join(args, " "), stdout, stderr)
		},
	}
}

func (f *callFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.seeds, "seeds", "", "caller addresses of the instances to ask first, IP:PORT separated by commas")
	flags.StringVar(&f.secret, "secret", "", "the customer's secret")
	flags.StringVar(&f.model, "model", "", "model to send the request to")
	flags.StringVar(&f.service, "service", "", "plain service to call")
	flags.StringVar(&f.method, "method", "", "method of the plain service")
	flags.Int64Var(&f.maxTokens, "max-tokens", 64, "maximum length of the answer, in tokens")
	flags.BoolVar(&f.once, "once", false, "send a call that must not be repeated")
	flags.IntVar(&f.repeat, "repeat", 1, "number of requests, one after the other")
	flags.DurationVar(&f.timeout, "timeout", time.Minute, "time limit of the whole command")
}

func (f *callFlags) check(text string) error {
	if f.seeds == "" {
		return errors.New("call: -seeds is missing")
	}
	if (f.model == "") == (f.service == "") {
		return errors.New("call: exactly one of -model and -service is required")
	}
	if f.service != "" && f.method == "" {
		return errors.New("call: -method is missing")
	}
	if text == "" {
		return errors.New("call: the request text is missing")
	}
	return nil
}

func (f *callFlags) run(ctx context.Context, text string, stdout, stderr io.Writer) error {
	if err := f.check(text); err != nil {
		return &UsageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	c := client.New(client.Options{Seeds: strings.Split(f.seeds, ","), Secret: f.secret})
	defer c.Close()
	for range f.repeat {
		if err := f.send(ctx, c, text, stdout, stderr); err != nil {
			return err
		}
	}
	return nil
}

func (f *callFlags) send(ctx context.Context, c *client.Client, text string, stdout, stderr io.Writer) error {
	if f.model != "" {
		return f.generate(ctx, c, text, stdout, stderr)
	}
	body, err := f.callService(ctx, c, text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s\n", body)
	return err
}

func (f *callFlags) generate(ctx context.Context, c *client.Client, text string, stdout, stderr io.Writer) error {
	request := &medlarwindv1.GenerateRequest{Model: f.model, Prompt: text, MaxTokens: f.maxTokens}
	answer, err := c.Generate(ctx, request, func(data []byte) { stdout.Write(data) })
	fmt.Fprintln(stdout)
	if err != nil {
		return err
	}
	fmt.Fprintf(stderr, "complete answer: %d bytes, %d tokens, from %s, first frame after %s\n",
		len(answer.Data), answer.OutputTokens, answer.Address, answer.FirstFrame.Round(time.Millisecond))
	return nil
}

func (f *callFlags) callService(ctx context.Context, c *client.Client, text string) ([]byte, error) {
	if !f.once {
		return c.Call(ctx, f.service, f.method, []byte(text))
	}
	id, err := c.IssueCallID(ctx)
	if err != nil {
		return nil, err
	}
	return c.CallOnce(ctx, id, f.service, f.method, []byte(text))
}
