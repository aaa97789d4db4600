package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// StandinCommand returns the "standin" command, which runs simple stand-ins for the
// external systems, to try the fleet on loopback.
func StandinCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "medlarwind standin <engine|service|platform> [flags]",
		ShortHelp:  "run a stand-in for an engine, a service or the platform",
		FlagSet:    newFlags("medlarwind standin", stderr),
		Subcommands: []*ffcli.Command{
			standinEngineCommand(stdout, stderr),
			standinServiceCommand(stdout, stderr),
			standinPlatformCommand(stdout, stderr),
		},
		Exec: showHelp,
	}
}

func standinEngineCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind standin engine", stderr)
	addr := flags.String("addr", "", "IP:PORT to serve on")
	name := flags.String("name", "engine", "prefix of the boot IDs")
	batch := flags.Int("batch", 8, "number of requests that run at once")
	cold := flags.Int("cold", 1, "number of requests that the engine can run at once while cold")
	warm := flags.Int64("warm-after", 2, "number of requests to complete before the engine is ready")
	token := flags.Duration("token-time", 5*time.Millisecond, "time for each token")
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "medlarwind standin engine -addr IP:PORT",
		ShortHelp:  "run a model engine stand-in",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			engine := standin.NewEngine(standin.EngineOptions{
				Name:           *name,
				BatchLimit:     *batch,
				ColdLimit:      *cold,
				WarmupRequests: *warm,
				TokenTime:      *token,
			})
			defer engine.Close()
			report := func() any { return EngineReport{Peak: engine.Peak(), Arrivals: engine.Arrivals()} }
			return serveStandin(ctx, *addr, withReport(engine, report), stdout)
		},
	}
}

func standinServiceCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind standin service", stderr)
	addr := flags.String("addr", "", "IP:PORT to serve on")
	delay := flags.Duration("delay", 0, "duration of a call")
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "medlarwind standin service -addr IP:PORT",
		ShortHelp:  "run a plain service stand-in",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			service := standin.NewService()
			service.SetDelay(*delay)
			report := func() any { return ServiceReport{Runs: service.AllRuns()} }
			return serveStandin(ctx, *addr, withReport(service, report), stdout)
		},
	}
}

func standinPlatformCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("medlarwind standin platform", stderr)
	addr := flags.String("addr", "", "IP:PORT to serve on")
	rulesPath := flags.String("rules", "", "rules file; reloaded as a new version whenever it changes")
	listPath := flags.String("list", "", "list file (JSON); reloaded whenever it changes")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "medlarwind standin platform -addr IP:PORT -rules FILE -list FILE",
		ShortHelp:  "run a stand-in for the configuration service and the list",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			p := standin.NewPlatform(standin.PlatformOptions{})
			files := &platformFiles{platform: p, rulesPath: *rulesPath, listPath: *listPath}
			if err := files.read(); err != nil {
				return &UsageError{err}
			}
			go files.watch(ctx)
			return serveStandin(ctx, *addr, p, stdout)
		},
	}
}

// serveStandin serves h on addr until ctx is done.
func serveStandin(ctx context.Context, addr string, h http.Handler, stdout io.Writer) error {
	if addr == "" {
		return &UsageError{errors.New("standin: -addr is missing")}
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "standin")
	}
	stop := standin.Serve(listener, h)
	defer stop()
	fmt.Fprintf(stdout, "serving on %s\n", listener.Addr())
	<-ctx.Done()
	return nil
}

// filePollInterval is the time between two checks of the platform's files for changes.
const filePollInterval = 200 * time.Millisecond

// platformFiles publishes the contents of a rules file and a list file through the
// platform stand-in.
type platformFiles struct {
	platform  *standin.Platform
	rulesPath string
	listPath  string
	rules     []byte
	list      []byte
	version   uint64
}

// read publishes the files whose contents have changed since the last read.
func (f *platformFiles) read() error {
	text, err := os.ReadFile(f.rulesPath)
	if err != nil {
		return errors.Wrap(err, "rules")
	}
	if string(text) != string(f.rules) {
		f.version++
		f.rules = text
		f.platform.SetConfig(f.version, text)
	}
	raw, err := os.ReadFile(f.listPath)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	if string(raw) == string(f.list) {
		return nil
	}
	var list fleet.List
	if err := json.Unmarshal(raw, &list); err != nil {
		return errors.Wrap(err, f.listPath)
	}
	f.list = raw
	f.platform.SetList(list, 0)
	return nil
}

// watch polls the files for changes until ctx is done. Errors are ignored; the next poll
// tries again.
func (f *platformFiles) watch(ctx context.Context) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = f.read()
		}
	}
}
