package localfleet

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/client"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/instance"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/settings"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Ports of every host in a local fleet.
const (
	callerPort   = 7100
	peerPort     = 7200
	operatorPort = 7300
	targetPort   = 8000
	platformPort = 9000
)

// platformHost is the platform's host name.
const platformHost = "platform"

// Member is one instance of a local fleet.
type Member struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentreID
	CallerAddr string
	// OperatorAddr is where status and metrics are served.
	OperatorAddr string

	mu       sync.Mutex
	instance *instance.Instance

	listed   fleet.ListedInstance
	settings settings.Settings
	tls      *tls.Config
	stop     context.CancelFunc
	ended    chan struct{}
	// starts counts the runs, so that each has another seed.
	starts uint64
}

// Running returns the instance, nil while it is stopped. It is safe for concurrent
// use.
func (m *Member) Running() *instance.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instance
}

func (m *Member) set(i *instance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instance = i
}

// EngineMember is one engine stand-in.
type EngineMember struct {
	ID         fleet.TargetID
	DataCentre fleet.DataCentreID
	*standin.Engine
	stop func()
}

// ServiceMember is one plain service stand-in.
type ServiceMember struct {
	ID         fleet.TargetID
	DataCentre fleet.DataCentreID
	*standin.Service
	stop func()
}

// Fleet is a running local fleet.
type Fleet struct {
	Spec     Spec
	Platform *standin.Platform
	Members  []*Member
	Engines  []*EngineMember
	Services []*ServiceMember

	network       Network
	list          fleet.List
	configVersion uint64
	stopPlatform  func()
	clients       []*client.Client
}

// Start starts the stand-ins, publishes list and rules, and starts all instances.
func Start(spec Spec, network Network) (*Fleet, error) {
	f := &Fleet{Spec: spec.withDefaults(), network: network}
	f.Platform = standin.NewPlatform(spec.Platform)
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	stop, platformAddr, err := f.serve(platformHost, platformPort, f.Platform)
	if err != nil {
		return err
	}
	f.stopPlatform = stop
	if err := f.startTargets(); err != nil {
		return err
	}
	if err := f.prepareMembers(platformAddr); err != nil {
		return err
	}
	f.PublishList()
	f.PublishRules(f.Spec.Rules())
	for _, m := range f.Members {
		if err := f.StartMember(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) serve(host string, port int, h http.Handler) (stop func(), addr string, err error) {
	addr, err = f.network.Reserve(host, port)
	if err != nil {
		return nil, "", err
	}
	listener, err := f.network.Listen(addr)
	if err != nil {
		return nil, "", err
	}
	return standin.Serve(listener, h), addr, nil
}

func (f *Fleet) startTargets() error {
	for _, d := range f.Spec.DataCentres {
		for n := range d.Engines {
			if err := f.startEngine(d, n); err != nil {
				return err
			}
		}
		for n := range d.Services {
			if err := f.startService(d, n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(d DataCentre, n int) error {
	id := engineID(d.ID, n)
	options := f.Spec.Engine
	options.Name = string(id)
	if options.BatchLimit == 0 {
		options.BatchLimit = f.Spec.Limit
	}
	if options.ColdLimit == 0 {
		options.ColdLimit = f.Spec.ColdLimit
	}
	engine := standin.NewEngine(options)
	stop, addr, err := f.serve(string(id), targetPort, engine)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, &EngineMember{ID: id, DataCentre: d.ID, Engine: engine, stop: stop})
	f.listTarget(id, d.ID, addr)
	return nil
}

func (f *Fleet) startService(d DataCentre, n int) error {
	id := serviceID(d.ID, n)
	service := standin.NewService()
	stop, addr, err := f.serve(string(id), targetPort, service)
	if err != nil {
		return err
	}
	f.Services = append(f.Services, &ServiceMember{ID: id, DataCentre: d.ID, Service: service, stop: stop})
	f.listTarget(id, d.ID, addr)
	return nil
}

func (f *Fleet) listTarget(id fleet.TargetID, centre fleet.DataCentreID, addr string) {
	f.list.Targets = append(f.list.Targets, fleet.ListedTarget{ID: id, DataCentre: centre, Addr: addr, State: fleet.StateLive})
}

// prepareMembers gives every instance its addresses, settings and keys.
func (f *Fleet) prepareMembers(platformAddr string) error {
	var ca *peer.EphemeralCA
	if f.Spec.TLS {
		made, err := peer.NewEphemeralCA()
		if err != nil {
			return err
		}
		ca = made
	}
	for _, d := range f.Spec.DataCentres {
		for n := range d.Instances {
			m, err := f.newMember(d, n, platformAddr)
			if err != nil {
				return err
			}
			if ca != nil {
				if m.tls, err = ca.Issue(m.ID); err != nil {
					return err
				}
			}
			f.Members = append(f.Members, m)
			f.list.Instances = append(f.list.Instances, m.listed)
		}
	}
	return nil
}

func (f *Fleet) newMember(d DataCentre, n int, platformAddr string) (*Member, error) {
	id := instanceID(d.ID, n)
	var addrs [3]string
	for i, port := range []int{callerPort, peerPort, operatorPort} {
		addr, err := f.network.Reserve(string(id), port)
		if err != nil {
			return nil, errors.Wrap(err, string(id))
		}
		addrs[i] = addr
	}
	s := settings.Defaults()
	s.Instance = id
	s.DataCentre = d.ID
	s.Region = d.Region
	s.CallerAddr, s.PeerAddr, s.OperatorAddr = addrs[0], addrs[1], addrs[2]
	s.PlatformAddr = platformAddr
	for _, other := range f.Spec.DataCentres {
		s.DataCentres = append(s.DataCentres, settings.DataCentre{ID: other.ID, Region: other.Region})
	}
	if f.Spec.Adjust != nil {
		f.Spec.Adjust(&s)
	}
	return &Member{
		ID:           id,
		DataCentre:   d.ID,
		CallerAddr:   s.CallerAddr,
		OperatorAddr: s.OperatorAddr,
		settings:     s,
		listed: fleet.ListedInstance{
			ID:         id,
			DataCentre: d.ID,
			CallerAddr: s.CallerAddr,
			PeerAddr:   s.PeerAddr,
			State:      fleet.StateLive,
		},
	}, nil
}

// StartMember starts an instance that is stopped, with nothing of its former run.
func (f *Fleet) StartMember(m *Member) error {
	m.starts++
	options := instance.Options{
		Settings: m.settings,
		PeerTLS:  m.tls,
		Dial:     f.network.Dialer(string(m.ID)),
		Listen:   func(addr string) (net.Listener, error) { return f.network.Listen(addr) },
		Log:      f.Spec.Log.With().Str("instance", string(m.ID)).Logger(),
		Policy:   f.Spec.Policy,
		Alone:    f.Spec.Alone,
		Limits:   f.Spec.Limits,
	}
	if f.Spec.Seed != 0 {
		options.Seed = f.Spec.Seed + m.starts<<32
	}
	i, err := instance.New(options)
	if err != nil {
		return errors.Wrap(err, string(m.ID))
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.set(i)
	m.stop = cancel
	m.ended = make(chan struct{})
	failed := make(chan error, 1)
	go func() {
		defer close(m.ended)
		failed <- i.Run(ctx)
	}()
	select {
	case <-i.Ready():
		return nil
	case err := <-failed:
		return errors.Wrap(err, string(m.ID))
	}
}

// Kill stops an instance at once, with whatever it runs.
func (f *Fleet) Kill(m *Member) {
	if m.Running() == nil {
		return
	}
	m.set(nil)
	m.stop()
	<-m.ended
}

// Restart kills an instance and starts it again with nothing.
func (f *Fleet) Restart(m *Member) error {
	f.Kill(m)
	return f.StartMember(m)
}

// PublishRules publishes rules as the next version and returns it.
func (f *Fleet) PublishRules(text []byte) uint64 {
	f.configVersion++
	f.Platform.SetConfig(f.configVersion, text)
	return f.configVersion
}

// PublishList publishes the list as the next version.
func (f *Fleet) PublishList() {
	f.list.Version++
	f.Platform.SetList(f.List(), 0)
}

// List returns a copy of the list last published.
func (f *Fleet) List() fleet.List {
	list := f.list
	list.Instances = slices.Clone(f.list.Instances)
	list.Targets = slices.Clone(f.list.Targets)
	return list
}

// Unlist takes an instance off the list and publishes it.
func (f *Fleet) Unlist(id fleet.InstanceID) {
	f.list.Instances = slices.DeleteFunc(f.list.Instances, func(l fleet.ListedInstance) bool { return l.ID == id })
	f.PublishList()
}

// SetTargetState changes a target's state in the list and publishes it.
func (f *Fleet) SetTargetState(id fleet.TargetID, state fleet.ListState) {
	for i := range f.list.Targets {
		if f.list.Targets[i].ID == id {
			f.list.Targets[i].State = state
		}
	}
	f.PublishList()
}

// Client returns a client of a customer, on a host of its own, that asks the given
// instances first.
func (f *Fleet) Client(host string, c Customer, seeds ...*Member) *client.Client {
	addrs := make([]string, len(seeds))
	for i, m := range seeds {
		addrs[i] = m.CallerAddr
	}
	made := client.New(client.Options{Seeds: addrs, Secret: c.Secret(), Dial: f.network.Dialer(host)})
	f.clients = append(f.clients, made)
	return made
}

// readyPoll is the time between two looks at an instance that starts.
const readyPoll = 50 * time.Millisecond

// AwaitReady waits until every running instance takes new work and is connected to
// every other one.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, m := range f.Members {
		if m.Running() == nil {
			continue
		}
		if err := f.awaitMember(ctx, m); err != nil {
			return errors.Wrapf(err, "%s is not ready", m.ID)
		}
	}
	return nil
}

func (f *Fleet) awaitMember(ctx context.Context, m *Member) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		status, err := m.Running().Status(ctx)
		if err != nil {
			return err
		}
		if status.Ready && connectedTo(status) >= f.runningMembers()-1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func connectedTo(s instance.Status) int {
	connected := 0
	for _, p := range s.Peers {
		if p.Connected {
			connected++
		}
	}
	return connected
}

func (f *Fleet) runningMembers() int {
	running := 0
	for _, m := range f.Members {
		if m.Running() != nil {
			running++
		}
	}
	return running
}

// Close stops everything.
func (f *Fleet) Close() {
	for _, c := range f.clients {
		c.Close()
	}
	for _, m := range f.Members {
		f.Kill(m)
	}
	for _, e := range f.Engines {
		e.stop()
		e.Engine.Close()
	}
	for _, s := range f.Services {
		s.stop()
	}
	if f.stopPlatform != nil {
		f.stopPlatform()
	}
}
