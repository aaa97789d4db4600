package instance

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/observe"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/publisher"
	"medlarwind.dev/medlarwind/internal/settings"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/wire"
)

// newRand returns the instance's random number generator. A seed of 0 draws a random
// seed. The instance id is mixed in, so that instances with the same seed differ.
func newRand(seed uint64, id fleet.InstanceID) *rand.Rand {
	if seed == 0 {
		seed = randomSeed()
	}
	var salt uint64
	for _, b := range []byte(id) {
		salt = salt*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(seed, salt))
}

func randomSeed() uint64 {
	var raw [8]byte
	crand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:])
}

// newIncarnation returns the random incarnation number of this run. It is never zero.
func newIncarnation(seed uint64, rng *rand.Rand) fleet.Incarnation {
	if seed == 0 {
		return fleet.Incarnation(randomSeed() | 1)
	}
	return fleet.Incarnation(rng.Uint64() | 1)
}

func (i *Instance) build(rng *rand.Rand, incarnation fleet.Incarnation) {
	s := i.options.Settings
	i.directory = &directory{
		self:     s.Instance,
		address:  s.CallerAddr,
		centre:   s.DataCentre,
		lifetime: s.LocateLifetime,
		store:    i.store,
	}
	i.core = newCore(coreOptions{
		self:              s.Instance,
		incarnation:       incarnation,
		centre:            s.DataCentre,
		heartbeat:         s.HeartbeatInterval,
		limits:            i.options.Limits,
		queue:             dispatch.QueueParams{MaxTotal: s.MaxQueuedRequests},
		fairness:          fairness.Params{},
		policy:            i.options.Policy,
		noServiceExchange: i.options.NoServiceExchange,
		rng:               rng,
	}, i.options.Log, i.directory, time.Now())
	i.targets = target.NewClient(i.options.Dial, target.Options{
		// A permit must not be used later than Margin after the check that it was usable.
		DialTimeout:    i.options.Limits.Margin,
		SilenceTimeout: s.StreamSilence,
	})
	i.platform = publisher.NewClient(s.PlatformAddr, i.options.Dial)
	i.poller = newPoller(i.targets, i.core.admission.post)
	i.transport = i.newTransport(incarnation, rng.Uint64())
	i.watcher = config.NewWatcher(i.watcherOptions(), i.store, i.platform, peerFetcher{i.transport}, rng, i.options.Log)
	i.orders = &orderSender{targets: i.targets, jobs: i.core.orderJobs, post: i.core.admission.post}
	i.core.transport = i.transport
	i.core.metrics.SetControlTraffic(func() observe.ControlTraffic { return controlTraffic(i.transport.Counters()) })
	i.core.poller = i.poller
	i.core.watcher = i.watcher
	i.server = entry.NewServer(entry.Options{
		Incarnation:        incarnation,
		Instance:           s.Instance,
		MaxAnswers:         s.MaxStreams,
		AttachGrace:        s.AnswerRetention,
		CallIDLifetime:     s.CallIDLifetime,
		MaxCallAnswerBytes: int(s.MaxAnswerBytes),
		OnUnknown:          i.core.recordUnknown,
		MaxBodyBytes:       int64(s.MaxQueuedBytes),
	}, i.core.admission, i.directory, i.targets)
}

func (i *Instance) newTransport(incarnation fleet.Incarnation, seed uint64) *peer.Transport {
	s := i.options.Settings
	return peer.New(peer.Options{
		Self: wire.Hello{
			ProtocolVersion: wire.ProtocolVersion,
			Instance:        s.Instance,
			Incarnation:     incarnation,
			DataCentre:      s.DataCentre,
		},
		Dial: peer.DialFunc(i.options.Dial),
		TLS:  i.options.PeerTLS,
		Handler: &peerHandler{
			events:  i.core.events,
			store:   i.store,
			settled: func() bool { return i.watcher.Settled() },
			dropped: func() { i.dropped.Add(1) },
		},
		Log:    i.options.Log,
		Seed:   seed,
		Region: regionOf(s.DataCentres),
	})
}

func regionOf(centres []settings.DataCentre) func(fleet.DataCentreID) fleet.RegionID {
	regions := make(map[fleet.DataCentreID]fleet.RegionID, len(centres))
	for _, centre := range centres {
		regions[centre.ID] = centre.Region
	}
	return func(id fleet.DataCentreID) fleet.RegionID { return regions[id] }
}

func (i *Instance) watcherOptions() config.Options {
	s := i.options.Settings
	o := config.DefaultOptions()
	o.Self = s.Instance
	o.OnRefused = i.core.recordConfigRefused
	o.DataCentre = s.DataCentre
	o.WatchTimeout = s.ConfigWatch
	o.UnreachableAfter = s.PeerTimeout
	o.Gate.StartWait = s.ConfigStartWait
	o.Gate.MaxWait = s.ConfigLoneWait
	return o
}

// limitParams returns the default parameters with the lease times of the settings.
func limitParams(s settings.Settings) limit.Params {
	p := limit.DefaultParams()
	p.PermitTime = s.PermitTime
	p.LoanTime = s.LoanTime
	p.UnreachableAfter = s.PeerTimeout
	p.HoldDown = p.MinHoldDown()
	return p
}
