// Package instance assembles one instance: the entry for callers, the core that makes the
// decisions, the connections to peers, and the clients of the platform and the targets.
//
// Concurrency: the core's goroutine makes every decision and owns all soft state. Separate
// goroutines poll targets for their load, read the list and the configuration, and serve
// the connections to peers and callers. All of them send events to the core over one
// bounded channel. When it is full, requests and poll results wait and messages from peers
// are dropped. The protocol tolerates lost messages.
package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/publisher"
	"medlarwind.dev/medlarwind/internal/settings"
	"medlarwind.dev/medlarwind/internal/target"
)

// Timing and limits of an instance.
const (
	// listInterval is the time between two reads of the platform's list. Each read also
	// confirms the list, and the use of escrow depends on a recent confirmation.
	listInterval = time.Second
	// headerTimeout bounds the time in which a caller must send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a caller's idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
)

// DialFunc opens a connection to an IP:port.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// ListenFunc opens a listener on an IP:port.
type ListenFunc = func(addr string) (net.Listener, error)

// Options are the parameters and dependencies of an instance.
type Options struct {
	Settings settings.Settings
	// PeerTLS authenticates this instance to its peers. It may be nil only if all peers
	// are on loopback or in memory.
	PeerTLS *tls.Config
	Dial    DialFunc
	Listen  ListenFunc
	Log     zerolog.Logger
	// Seed makes the random choices reproducible; 0 draws a random seed.
	Seed uint64
	// Policy orders customers; nil means dispatch.Fair.
	Policy dispatch.Policy
	// NoServiceExchange disables the exchange of service counters, as a baseline for
	// measurements.
	NoServiceExchange bool
	// Limits overrides the lease times, which must be the same on all instances. The zero
	// value means those of Settings, and limit.DefaultParams for the rest.
	Limits limit.Params
}

// Instance is one router instance of the fleet.
type Instance struct {
	options   Options
	core      *core
	server    *entry.Server
	transport *peer.Transport
	platform  *publisher.Client
	targets   *target.Client
	store     *config.Store
	watcher   *config.Watcher
	directory *directory
	poller    *poller
	orders    *orderSender
	dropped   atomic.Int64

	callers  *http.Server
	operator *http.Server
	ready    chan struct{}
}

// New builds an instance without starting it. It returns an error if the certificate in
// PeerTLS does not match the instance id.
func New(o Options) (*Instance, error) {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	if o.Listen == nil {
		o.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if o.Limits == (limit.Params{}) {
		o.Limits = limitParams(o.Settings)
	}
	if o.PeerTLS != nil {
		if err := peer.CheckIdentity(o.PeerTLS, o.Settings.Instance); err != nil {
			return nil, errors.Wrap(err, "peer certificate")
		}
	}
	rng := newRand(o.Seed, o.Settings.Instance)
	incarnation := newIncarnation(o.Seed, rng)
	i := &Instance{options: o, store: config.NewStore(), ready: make(chan struct{})}
	i.build(rng, incarnation)
	return i, nil
}

// Run serves until ctx ends. It opens all listeners before it serves any, and returns
// after every goroutine has ended. It returns an error only if a listener can't be opened.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	i.callers = newHTTPServer(i.server.Handler())
	i.operator = newHTTPServer(i.operatorHandler())
	var group sync.WaitGroup
	group.Go(func() { i.core.run(ctx) })
	group.Go(func() { i.poller.run(ctx) })
	group.Go(func() { i.watcher.Run(ctx) })
	group.Go(func() { i.orders.run(ctx) })
	group.Go(func() { i.readList(ctx) })
	group.Go(func() { i.followConfig(ctx) })
	group.Go(func() { i.awaitSettled(ctx) })
	group.Go(func() { _ = i.transport.Serve(listeners.peers) })
	group.Go(func() { _ = i.callers.Serve(limitConns(listeners.callers, maxCallerConns, maxConnsPerIP)) })
	group.Go(func() { _ = i.operator.Serve(listeners.operator) })
	close(i.ready)
	<-ctx.Done()
	i.shutdown()
	group.Wait()
	return nil
}

// Ready returns a channel that is closed once the listeners are open.
func (i *Instance) Ready() <-chan struct{} { return i.ready }

// listeners holds the listeners of an instance's three ports.
type listeners struct {
	callers, peers, operator net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var l listeners
	ports := []struct {
		name     string
		addr     string
		listener *net.Listener
	}{
		{"caller_addr", i.options.Settings.CallerAddr, &l.callers},
		{"peer_addr", i.options.Settings.PeerAddr, &l.peers},
		{"operator_addr", i.options.Settings.OperatorAddr, &l.operator},
	}
	for _, port := range ports {
		opened, err := i.options.Listen(port.addr)
		if err != nil {
			l.close()
			return listeners{}, errors.Wrap(err, port.name)
		}
		*port.listener = opened
	}
	return l, nil
}

func (l *listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.peers, l.operator} {
		if opened != nil {
			opened.Close()
		}
	}
}

// newHTTPServer returns a server for HTTP/1.1 and unencrypted HTTP/2, which gRPC needs.
func newHTTPServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// shutdownTimeout bounds the time to close connections after the context has ended.
const shutdownTimeout = time.Second

func (i *Instance) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = i.callers.Close()
	_ = i.operator.Close()
	_ = i.transport.Close(ctx)
	i.targets.Close()
	i.server.Close()
	i.platform.Close()
}

// readList reads the platform's list every listInterval until ctx ends.
func (i *Instance) readList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	version := uint64(0)
	for {
		i.core.metrics.AddPlatformRead("list")
		list, changed, err := i.platform.ListIfChanged(ctx, version)
		read := listEvent{list: list, err: err}
		if err == nil && !changed {
			read.unchangedVersion = version
		}
		if err == nil && changed {
			version = list.Version
		}
		i.core.admission.post(ctx, read)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followConfig sends each configuration that comes into force to the core until ctx ends.
func (i *Instance) followConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.store.Changed():
			i.core.admission.post(ctx, configEvent{snapshot: i.store.Current()})
		}
	}
}

// awaitSettled sends a settledEvent to the core once the instance may take new work.
func (i *Instance) awaitSettled(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-i.watcher.Ready():
		i.core.admission.post(ctx, settledEvent{})
	}
}

// Status returns the instance's view of itself and the fleet. It returns an error if ctx
// ends or the instance has stopped.
func (i *Instance) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	if !i.core.admission.post(ctx, statusEvent{reply: reply}) {
		return Status{}, errors.New("the instance has stopped")
	}
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-i.core.done:
		return Status{}, errors.New("the instance has stopped")
	}
}

// Drain performs a planned stop. It directs callers and peers to other instances at once
// and still serves new requests for LocateLifetime, since callers may use earlier
// responses to Locate for that long. Then it refuses waiting requests as not run and lets
// started requests finish. It returns when no request runs any more, or ctx's error if ctx
// ends first.
func (i *Instance) Drain(ctx context.Context) error {
	i.core.admission.post(ctx, drainEvent{})
	timer := time.NewTimer(i.options.Settings.LocateLifetime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	closed := make(chan struct{})
	if i.core.admission.post(ctx, closeEvent{done: closed}) {
		select {
		case <-closed:
		case <-i.core.done:
		}
	}
	if err := i.server.Wait(ctx); err != nil {
		return err
	}
	return i.callers.Shutdown(ctx)
}

// Counters returns the counters of the traffic with peers.
func (i *Instance) Counters() peer.Counters { return i.transport.Counters() }

// ControlBytes returns the number of bytes sent to peers so far.
func (i *Instance) ControlBytes() int64 {
	var sent int64
	for _, t := range i.transport.Counters().Scopes {
		sent += t.BytesSent
	}
	return sent
}
