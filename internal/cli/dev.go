package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// devStartTimeout is how long the local fleet may take to become ready.
const devStartTimeout = 30 * time.Second

// devFlags holds the flags of the "dev" command.
type devFlags struct {
	requests  int
	customers int
	duration  time.Duration
	seed      uint64
	stay      bool
	json      bool
	verbose   bool
}

// DevCommand returns the "dev" command, which runs a complete fleet in one process on
// loopback, sends sample requests and prints a summary.
func DevCommand(stdout, stderr io.Writer) *ffcli.Command {
	var f devFlags
	flags := newFlags("medlarwind dev", stderr)
	f.register(flags)
	return &ffcli.Command{
		Name:       "dev",
		ShortUsage: "medlarwind dev [flags]",
		ShortHelp:  "run a complete fleet on loopback with sample requests",
		LongHelp: "Starts three regions with six instances, and stand-ins for engines, services and the platform;\n" +
			"sends sample requests of several customers and prints a summary. Exits 0 only if every request\n" +
			"got a complete answer or a refusal that says that it did not run.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			return f.run(ctx, stdout, stderr)
		},
	}
}

func (f *devFlags) register(flags *flag.FlagSet) {
	flags.IntVar(&f.requests, "requests", 60, "number of sample requests")
	flags.IntVar(&f.customers, "customers", 5, "number of customers, 1 to 100")
	flags.DurationVar(&f.duration, "duration", time.Minute, "time limit of the sample requests")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the sample requests")
	flags.BoolVar(&f.stay, "stay", false, "keep the fleet running until interrupted, and print its addresses")
	flags.BoolVar(&f.json, "json", false, "print the summary as one JSON object on the last line")
	flags.BoolVar(&f.verbose, "log", false, "write the logs of the instances to standard error")
}

func (f *devFlags) check() error {
	switch {
	case f.requests < 0:
		return errors.New("dev: -requests is negative")
	case f.customers < 1 || f.customers > 100:
		return errors.New("dev: -customers is not between 1 and 100")
	case f.duration <= 0:
		return errors.New("dev: -duration is not positive")
	}
	return nil
}

// spec returns the specification of the sample fleet.
func (f *devFlags) spec(stderr io.Writer) localfleet.Spec {
	log := zerolog.Nop()
	if f.verbose {
		log = zerolog.New(stderr).With().Timestamp().Logger()
	}
	spec := localfleet.Spec{
		DataCentres: []localfleet.DataCentre{
			{ID: "taipei", Region: "north", Instances: 2, Engines: 2, Services: 1},
			{ID: "tainan", Region: "south", Instances: 2, Engines: 2, Services: 1},
			{ID: "hualien", Region: "east", Instances: 2, Engines: 2},
		},
		Engine: standin.EngineOptions{TokenTime: time.Millisecond, WarmupRequests: 2},
		Seed:   f.seed,
		TLS:    true,
		Log:    log,
	}
	for i := range f.customers {
		spec.Customers = append(spec.Customers, localfleet.Customer{
			ID:         fleet.CustomerID(fmt.Sprintf("mill-%02d", i+1)),
			Share:      1 + i%3,
			QueueLimit: 64,
		})
	}
	return spec
}

func (f *devFlags) run(ctx context.Context, stdout, stderr io.Writer) error {
	if err := f.check(); err != nil {
		return &UsageError{err}
	}
	local, err := localfleet.Start(f.spec(stderr), localfleet.Loopback())
	if err != nil {
		return err
	}
	defer local.Close()
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := local.AwaitReady(startCtx); err != nil {
		return err
	}
	summary := runSamples(ctx, local, f)
	if err := f.print(stdout, summary); err != nil {
		return err
	}
	if f.stay {
		f.printAddresses(stdout, local)
		<-ctx.Done()
		return nil
	}
	if summary.Broken > 0 {
		return errors.Errorf("%d requests got neither a complete answer nor a refusal that says that they did not run", summary.Broken)
	}
	return nil
}

func (f *devFlags) print(w io.Writer, s devSummary) error {
	if f.json {
		return json.NewEncoder(w).Encode(s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tSHARE\tCOMPLETE ANSWERS\tREFUSED, NOT RUN\tBROKEN\tSERVICE (COST UNITS)")
	for _, c := range s.Customers {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\n", c.Customer, c.Share, c.Completed, c.Refused, c.Broken, c.Service)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%d requests: %d complete answers, %d refused as not run, %d broken; %d control bytes between instances in %s\n",
		s.Requests, s.Completed, s.Refused, s.Broken, s.ControlBytes, time.Duration(s.Millis)*time.Millisecond)
	return err
}

// printfEnvelope returns the argument with which printf writes a message enveloped for a
// Connect stream: the flags, the length and the message. The length must be from 8 to
// 255.
func printfEnvelope(message string) string {
	return fmt.Sprintf(`\0\0\0\0\%03o%s`, len(message), message)
}

// printAddresses prints the addresses of a fleet that keeps running and sample commands
// that send requests to it.
func (f *devFlags) printAddresses(w io.Writer, local *localfleet.Fleet) {
	fmt.Fprintln(w)
	for _, m := range local.Members {
		fmt.Fprintf(w, "%s in %s: callers %s, operators http://%s/status\n", m.ID, m.DataCentre, m.CallerAddr, m.OperatorAddr)
	}
	customer := local.Spec.Customers[0]
	message := `{"model":"appraise","prompt":"a","maxTokens":8}`
	fmt.Fprintf(w, "\ncurl -sN -H 'Authorization: Bearer %s' -H 'Content-Type: application/connect+json' \\\n"+
		"  --data-binary @<(printf '%s') \\\n"+
		"  http://%s/medlarwind.v1.RouterService/Generate\n", customer.Secret(), printfEnvelope(message), local.Members[0].CallerAddr)
	fmt.Fprintf(w, "\nmedlarwind call -seeds %s -secret %s -model appraise 'a lot of rosewood'\n", local.Members[0].CallerAddr, customer.Secret())
}
