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
	// OperatorAddr serves status and metrics.
	OperatorAddr string

	mu       sync.Mutex
	instance *instance.Instance

	listed   fleet.ListedInstance
	settings settings.Settings
	tls      *tls.Config
	stop     context.CancelFunc
	done     chan struct{}
	// starts counts the starts of the instance; each start uses a different seed.
	starts uint64
}

// Running returns the running instance, or nil while it is stopped. It is safe for
// concurrent use.
func (m *Member) Running() *instance.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instance
}

func (m *Member) setInstance(i *instance.Instance) {
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

// prepareMembers creates a Member with addresses, settings and TLS keys for every
// instance, and adds it to the list.
func (f *Fleet) prepareMembers(platformAddr string) error {
	var ca *peer.EphemeralCA
	if f.Spec.TLS {
		created, err := peer.NewEphemeralCA()
		if err != nil {
			return err
		}
		ca = created
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

// StartMember starts a stopped instance without any state of an earlier run, and waits
// until it is ready or fails.
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
	m.setInstance(i)
	m.stop = cancel
	m.done = make(chan struct{})
	failed := make(chan error, 1)
	go func() {
		defer close(m.done)
		failed <- i.Run(ctx)
	}()
	select {
	case <-i.Ready():
		return nil
	case err := <-failed:
		return errors.Wrap(err, string(m.ID))
	}
}

// Kill stops an instance at once, without draining, and waits until it has ended. It
// does nothing if the instance is stopped.
func (f *Fleet) Kill(m *Member) {
	if m.Running() == nil {
		return
	}
	m.setInstance(nil)
	m.stop()
	<-m.done
}

// Restart kills an instance and starts it again without its earlier state.
func (f *Fleet) Restart(m *Member) error {
	f.Kill(m)
	return f.StartMember(m)
}

// readyPollInterval is the time between two status checks of an instance in AwaitReady.
const readyPollInterval = 50 * time.Millisecond

// AwaitReady waits until every running instance accepts new work and is connected to
// every other running one.
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
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		status, err := m.Running().Status(ctx)
		if err != nil {
			return err
		}
		if status.Ready && connectedPeers(status) >= f.countRunning()-1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// connectedPeers returns the number of connected peers in s.
func connectedPeers(s instance.Status) int {
	connected := 0
	for _, p := range s.Peers {
		if p.Connected {
			connected++
		}
	}
	return connected
}

func (f *Fleet) countRunning() int {
	running := 0
	for _, m := range f.Members {
		if m.Running() != nil {
			running++
		}
	}
	return running
}
