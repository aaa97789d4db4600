package cli

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/gateway"
	"medlarwind.dev/medlarwind/internal/upstream"
	"medlarwind.dev/medlarwind/platform"
)

// RouteCommand returns the "route" command, which runs one instance on the users'
// platform. SIGINT or SIGTERM starts a graceful stop, SIGHUP reloads the settings.
func RouteCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind route", stderr)
	enable := flags.String("enable", "", "parts to switch on that are off otherwise, separated by commas: "+feature.Optional())
	disable := flags.String("disable", "", "parts to switch off, separated by commas: "+feature.List())
	return &ffcli.Command{
		Name:       "route",
		ShortUsage: "medlarwind route [-enable PART,...] [-disable PART,...]",
		ShortHelp:  "run one instance on the users' platform",
		LongHelp: "Runs one instance that serves callers over plain HTTP. The environment names the settings file;\n" +
			"docs/operators/route.md lists its fields. SIGINT or SIGTERM starts a graceful stop, SIGHUP reloads the settings.",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			s, err := platform.LoadSettings()
			if err != nil {
				return &UsageError{err}
			}
			if s.Gateway.Features, err = feature.New(*enable, *disable); err != nil {
				return &UsageError{err}
			}
			return route(ctx, s, stdout)
		},
	}
}

// logTimeFormat has milliseconds, so that log lines of several instances can be ordered.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// route runs a gateway until ctx is done, then stops it gracefully.
func route(ctx context.Context, s platform.Settings, stdout io.Writer) error {
	// The handler comes first: an unhandled SIGHUP terminates the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	debug.SetMemoryLimit(s.Gateway.MemoryLimit)
	zerolog.TimeFieldFormat = logTimeFormat
	lines := newAsyncLog(stdout)
	defer lines.Close()
	log := zerolog.New(lines).With().Timestamp().Str("instance", s.Gateway.Name).Logger()
	dial := upstream.NewDialer().DialContext
	g := gateway.New(gateway.Options{
		Settings:    s.Gateway,
		Reader:      platform.NewStoreClient(s.StoreAddr, dial),
		Interpreter: &platform.Interpreter{Regions: s.Gateway.Regions, Log: log},
		Codec:       platform.HeaderCodec{},
		Endpoints:   platform.Endpoints{Log: log},
		Dial:        dial,
		// The gateway bounds the time of each dial itself.
		HandOverDial: (&net.Dialer{}).DialContext,
		Now:          clock.BootTime,
		Log:          log,
		LogDropped:   lines.Dropped,
		// Goroutines wait for the processor long before timers are late.
		SchedulingDelay: clock.NewSchedulingDelay().Mean,
		ProcessorTime:   clock.ProcessorTime,
	})
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- g.Run(runCtx) }()
	go reloadOnHangup(runCtx, hangups, g, log)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	g.Stop()
	stop()
	return <-done
}

// reloadOnHangup reloads the settings on each SIGHUP until ctx is done. If they are
// invalid, it logs the error and the previous settings stay in force.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, g *gateway.Gateway, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			log.Error().Str("event", "reload_refused").Err(err).Msg("")
			continue
		}
		g.Reload(s.Gateway)
		log.Info().Str("event", "reloaded").Int("seeds", len(s.Gateway.Seeds)).Msg("")
	}
}
