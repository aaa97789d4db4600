package cli

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/instance"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/settings"
)

// ServeCommand returns the "serve" command, which runs one instance. SIGINT or SIGTERM
// starts a graceful stop.
func ServeCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind serve", stderr)
	path := flags.String("settings", "", "settings file: JSON with comments")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "medlarwind serve -settings FILE",
		ShortHelp:  "run one instance",
		LongHelp:   "Runs one instance; the log goes to standard output as JSON lines. SIGINT or SIGTERM starts a graceful stop.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *path == "" {
				return &UsageError{errors.New("serve: -settings is missing")}
			}
			return serve(ctx, *path, stdout)
		},
	}
}

func serve(ctx context.Context, path string, stdout io.Writer) error {
	s, err := settings.Load(path)
	if err != nil {
		return &UsageError{err}
	}
	debug.SetMemoryLimit(int64(s.MemoryLimit))
	log, err := newLog(stdout, s)
	if err != nil {
		return &UsageError{err}
	}
	options := instance.Options{Settings: s, Log: log}
	if s.PeerTLS != nil {
		tls, err := peer.LoadTLS([]byte(s.PeerTLS.Cert), []byte(s.PeerTLS.Key), []byte(s.PeerTLS.CA))
		if err != nil {
			return &UsageError{errors.Wrap(err, "peer_tls")}
		}
		options.PeerTLS = tls
	}
	i, err := instance.New(options)
	if err != nil {
		return &UsageError{err}
	}
	return runUntilDrained(ctx, i, s.LocateLifetime+s.DrainTimeout, log)
}

// runUntilDrained runs an instance until ctx is done, then drains it for at most
// drainTimeout and stops it.
func runUntilDrained(ctx context.Context, i *instance.Instance, drainTimeout time.Duration, log zerolog.Logger) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- i.Run(runCtx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := i.Drain(drainCtx); err != nil {
		log.Warn().Str("event", "drain_timeout").Err(err).Msg("")
	}
	stop()
	return <-done
}

func newLog(w io.Writer, s settings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.Logger{}, errors.Wrap(err, "log_level")
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("instance", string(s.Instance)).Logger(), nil
}
