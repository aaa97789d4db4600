package localfleet

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/instance"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/settings"
	"medlarwind.dev/medlarwind/internal/standin"
)

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
	if f.Spec.AdjustSettings != nil {
		f.Spec.AdjustSettings(&s)
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
		Settings:          m.settings,
		PeerTLS:           m.tls,
		Dial:              f.network.Dialer(string(m.ID)),
		Listen:            func(addr string) (net.Listener, error) { return f.network.Listen(addr) },
		Log:               f.Spec.Log.With().Str("instance", string(m.ID)).Logger(),
		Policy:            f.Spec.Policy,
		NoServiceExchange: f.Spec.NoServiceExchange,
		Limits:            f.Spec.Limits,
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
