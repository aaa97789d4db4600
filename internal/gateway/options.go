package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/ingress"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/locate"
	"medlarwind.dev/medlarwind/internal/records"
)

// Settings is the configuration with which one instance is started, independent of the
// platform's file format.
type Settings struct {
	// Name identifies the instance in logs.
	Name       string
	DataCentre fleet.DataCentreID
	// Regions maps every data centre to its region.
	Regions map[fleet.DataCentreID]fleet.RegionID
	// CallerAddr, ReadyAddr, DirectoryAddr and PeerAddr are the IP:ports to listen on.
	// PeerAddr is also the instance's ID.
	CallerAddr, ReadyAddr, DirectoryAddr, PeerAddr string
	// HandOverAddr is the IP:port at which peers hand over connections; empty for none.
	HandOverAddr string
	// OperatorAddr is the IP:port that serves metrics; empty for none.
	OperatorAddr string
	// Seeds are peer addresses of other instances; they may be stale.
	Seeds []fleet.InstanceID
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// MemoryLimit is the memory that the process may use, in bytes.
	MemoryLimit int64
	// ProcessorMillis is the machine's share of a processor, in thousandths of one.
	ProcessorMillis int
	// MaxCallerConns bounds the open connections of callers; 0 for no bound.
	MaxCallerConns int
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// RevokeWithin is the time within which a revoked key must stop working; 0 for no
	// bound.
	RevokeWithin time.Duration
	// ChangeWithin is the time within which a change of the platform's records must take effect:
	// no target gets a request later than this after it has been listed as leaving. 0 for no
	// bound.
	ChangeWithin time.Duration
	// ShareWindow is the time over which customers' shares are accounted.
	ShareWindow time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound the retries of the whole fleet for each
	// service: within RetryWindow, RetryRatio for each first attempt plus RetryExtra.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// LocateLifetime is the lifetime of a directory answer.
	LocateLifetime time.Duration
	// Features are the parts that are switched on.
	Features feature.Set
}

// PlatformState is the decoded content of the platform's records.
type PlatformState struct {
	// Position is the place in the platform's history that the state belongs to.
	Position records.Position
	// Catalog is nil if there is no valid configuration.
	Catalog *catalog.Catalog
	// Configuration is the content that Catalog was decoded from.
	Configuration []byte
	Targets       []inventory.Target
	Evacuated     []fleet.DataCentreID
}

// Interpreter decodes the platform's records. It is used by one goroutine at a time and
// may cache what it decoded before.
type Interpreter interface {
	// Interpret returns the state that all records of a position together describe.
	Interpret(at records.Position, all []records.Change) PlatformState
	// DecodeConfiguration decodes the content of a configuration. Unlike Interpret, it may be
	// called at any time.
	DecodeConfiguration(content []byte) (*catalog.Catalog, error)
}

// LocateResult is an answer of the directory.
type LocateResult struct {
	// Addrs are the caller addresses of instances, at least one.
	Addrs []string
	// Lifetime is how long the answer may be kept.
	Lifetime time.Duration
}

// Endpoints builds the platform's HTTP handlers other than the one for requests.
type Endpoints interface {
	// Readiness returns the handler that reports whether the instance accepts requests.
	Readiness(ready func() bool) http.Handler
	// Directory returns the handler that tells callers which addresses to use. locate
	// returns false if no instance is known.
	Directory(locate func(locate.Caller) (LocateResult, bool)) http.Handler
}

// Options configures a Gateway.
type Options struct {
	Settings    Settings
	Reader      records.Reader
	Interpreter Interpreter
	Codec       ingress.Codec
	Endpoints   Endpoints
	// Dial and Listen default to TCP, Now to clock.BootTime.
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
	// HandOverDial opens the connections for hand-over and defaults to Dial. A dialer for targets gives up
	// too early for an instance that is late itself.
	HandOverDial func(ctx context.Context, network, addr string) (net.Conn, error)
	Now          clock.Source
	Log          zerolog.Logger
	// SchedulingDelay returns the mean time that goroutines have waited for the processor since
	// the last call; nil if it is not measured. One goroutine calls it.
	SchedulingDelay func() time.Duration
	// ProcessorTime returns the processor time that the process has used; nil if it is not measured.
	// Without it the instance takes over no connections.
	ProcessorTime func() time.Duration
	// LogDropped returns the number of log lines dropped so far; nil if none can be.
	LogDropped func() int64
	// Seed makes random choices repeatable; 0 for a random seed.
	Seed uint64
}
