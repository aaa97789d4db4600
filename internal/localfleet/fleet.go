package localfleet

import (
	"net/http"
	"slices"

	"medlarwind.dev/medlarwind/client"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Ports that hosts of a local fleet reserve. A loopback network maps them to others.
const (
	callerPort   = 7100
	peerPort     = 7200
	operatorPort = 7300
	targetPort   = 8000
	platformPort = 9000
)

// platformHost is the host name of the platform stand-in.
const platformHost = "platform"

// Fleet is a running local fleet. See the package comment for concurrency.
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

// Start starts the stand-ins, publishes the list and the rules, and starts all
// instances. On an error it stops what it started.
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

// serve serves h on the given host and port, and returns its address and a function
// that stops it.
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
	f.addTarget(id, d.ID, addr)
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
	f.addTarget(id, d.ID, addr)
	return nil
}

// addTarget adds a live target to the list without publishing it.
func (f *Fleet) addTarget(id fleet.TargetID, dataCentre fleet.DataCentreID, addr string) {
	f.list.Targets = append(f.list.Targets, fleet.ListedTarget{ID: id, DataCentre: dataCentre, Addr: addr, State: fleet.StateLive})
}

// PublishRules publishes rules as the next configuration version and returns that
// version.
func (f *Fleet) PublishRules(rules []byte) uint64 {
	f.configVersion++
	f.Platform.SetConfig(f.configVersion, rules)
	return f.configVersion
}

// PublishList publishes the list of instances and targets as its next version.
func (f *Fleet) PublishList() {
	f.list.Version++
	f.Platform.SetList(f.List(), 0)
}

// List returns a copy of the current list.
func (f *Fleet) List() fleet.List {
	list := f.list
	list.Instances = slices.Clone(f.list.Instances)
	list.Targets = slices.Clone(f.list.Targets)
	return list
}

// Unlist removes an instance from the list and publishes the list.
func (f *Fleet) Unlist(id fleet.InstanceID) {
	f.list.Instances = slices.DeleteFunc(f.list.Instances, func(l fleet.ListedInstance) bool { return l.ID == id })
	f.PublishList()
}

// SetTargetState changes a target's state in the list and publishes the list.
func (f *Fleet) SetTargetState(id fleet.TargetID, state fleet.ListState) {
	for i := range f.list.Targets {
		if f.list.Targets[i].ID == id {
			f.list.Targets[i].State = state
		}
	}
	f.PublishList()
}

// Client returns a client of customer c that dials from host and uses the given
// instances as seeds. Close closes it.
func (f *Fleet) Client(host string, c Customer, seeds ...*Member) *client.Client {
	addrs := make([]string, len(seeds))
	for i, m := range seeds {
		addrs[i] = m.CallerAddr
	}
	cl := client.New(client.Options{Seeds: addrs, Secret: c.Secret(), Dial: f.network.Dialer(host)})
	f.clients = append(f.clients, cl)
	return cl
}

// Close closes all clients and stops all instances and stand-ins.
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
