package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/ingress"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/records"
)

// Settings are what one instance is started with, in this project's terms.
type Settings struct {
	// Name names the instance in logs.
	Name       string
	DataCentre fleet.DataCentreID
	// Regions maps every data centre to its region.
	Regions map[fleet.DataCentreID]fleet.RegionID
	// CallerAddr, ReadyAddr, DirectoryAddr and PeerAddr are IP:ports to listen on.
	// PeerAddr is also the instance's id.
	CallerAddr, ReadyAddr, DirectoryAddr, PeerAddr string
	// OperatorAddr serves metrics; empty for none.
	OperatorAddr string
	// Seeds are addresses for peers of other instances; they may be stale.
	Seeds []fleet.InstanceID
	// MemoryLimit is what the process may use, in bytes.
	MemoryLimit int64
	// ProcessorMillis is the machine's share of a processor, in thousandths of one.
	ProcessorMillis int
	// MaxCallerConns bounds the connections of callers, 0 for no bound.
	MaxCallerConns int
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// RevokeWithin is how soon a key that was taken away must stop working, 0 if no
	// bound holds.
	RevokeWithin time.Duration
	// ShareWindow is the time over which customers' shares are kept.
	ShareWindow time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound the second sends of the whole fleet
	// for each service.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// LocateLifetime bounds how long callers keep an answer of the directory.
	LocateLifetime time.Duration
}

// PlatformState is what the platform's records say, in this project's terms.
type PlatformState struct {
	// Catalog is nil if there is no valid configuration.
	Catalog   *catalog.Catalog
	Targets   []inventory.Target
	Evacuated []fleet.DataCentreID
}

// Interpreter turns the platform's records into Published. It is used by one goroutine
// at a time and may keep what it decoded before.
type Interpreter interface {
	Interpret(all []records.Change) PlatformState
}

// CallerLocation is where a caller is.
type CallerLocation struct {
	Region     fleet.RegionID
	DataCentre fleet.DataCentreID
}

// LocateResult is the directory's answer.
type LocateResult struct {
	// Addrs are callers' addresses of instances, at least one.
	Addrs []string
	// Lifetime is how long the answer may be kept.
	Lifetime time.Duration
}

// Endpoints builds the handlers that the platform and callers ask beside requests.
type Endpoints interface {
	// Readiness answers whether the instance takes requests.
	Readiness(ready func() bool) http.Handler
	// Directory answers which addresses to use; false means that none is known.
	Directory(locate func(CallerLocation) (LocateResult, bool)) http.Handler
}

// Options is what a Gateway needs from outside.
type Options struct {
	Settings    Settings
	Reader      records.Reader
	Interpreter Interpreter
	Codec       ingress.Codec
	Endpoints    Endpoints
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen      func(addr string) (net.Listener, error)
	Now         clock.Source
	Log         zerolog.Logger
	// LogDropped returns the number of log lines dropped so far; nil if none can be.
	LogDropped func() int64
	// Seed makes random choices repeatable; 0 draws one.
	Seed uint64
}
