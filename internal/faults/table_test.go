//go:build !race

package faults

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/memnet"
)

// fault is one row of the matrix. inject brings it about for a probe whose entry
// and target are known; heal ends it, nil if nothing is to be done.
type fault struct {
	name   string
	inject func(w *world, p *probe)
	heal   func(w *world, p *probe)
	// serves says that the probe must get its whole answer in spite of the fault.
	serves bool
}

// names of host groups of a probe.
func (w *world) entryGroup(p *probe) []string { return []string{w.ip(string(p.entry.ID))} }

func (w *world) others(p *probe) []string {
	return w.memberIPs(func(m *localfleet.Member) bool { return m != p.entry })
}

// targets are the hosts of all engines and services.
func (w *world) targets() []string {
	return w.targetsOf(func(fleet.DataCentreID) bool { return true })
}

func (w *world) targetsOf(match func(fleet.DataCentreID) bool) []string {
	var ips []string
	for _, e := range w.fleet.Engines {
		if match(e.DataCentre) {
			ips = append(ips, w.ip(string(e.ID)))
		}
	}
	for _, s := range w.fleet.Services {
		if match(s.DataCentre) {
			ips = append(ips, w.ip(string(s.ID)))
		}
	}
	return ips
}

func (w *world) centreGroup(id fleet.DataCentreID, inside bool) []string {
	ips := w.memberIPs(func(m *localfleet.Member) bool { return (m.DataCentre == id) == inside })
	return append(ips, w.targetsOf(func(centre fleet.DataCentreID) bool { return (centre == id) == inside })...)
}

func (w *world) platformGroup() []string { return []string{w.ip("platform")} }

// sibling is the other instance of the entry's data centre.
func (w *world) sibling(p *probe) *localfleet.Member {
	for _, m := range w.fleet.Members {
		if m.DataCentre == p.entry.DataCentre && m != p.entry {
			return m
		}
	}
	return nil
}

// restart starts a member again with nothing.
func (w *world) restart(m *localfleet.Member) {
	if err := w.fleet.Restart(m); err != nil {
		w.t.Error(err)
	}
}

// faultsOfBrief are the rows of the matrix.
var faultsOfBrief = []fault{
	{
		name:   "none",
		inject: func(*world, *probe) {},
		serves: true,
	},
	{
		name:   "entry killed",
		inject: func(w *world, p *probe) { w.fleet.Kill(p.entry) },
		heal:   func(w *world, p *probe) { w.restart(p.entry) },
	},
	{
		name:   "entry restarted with nothing",
		inject: func(w *world, p *probe) { w.restart(p.entry) },
	},
	{
		name:   "other instance of the data centre killed",
		inject: func(w *world, p *probe) { w.fleet.Kill(w.sibling(p)) },
		heal:   func(w *world, p *probe) { w.restart(w.sibling(p)) },
		serves: true,
	},
	{
		name:   "other instance of the data centre restarted with nothing",
		inject: func(w *world, p *probe) { w.restart(w.sibling(p)) },
		serves: true,
	},
	{
		name: "entry cut off from peers and platform",
		inject: func(w *world, p *probe) {
			w.net.Partition(w.entryGroup(p), w.others(p), memnet.PartitionDrop)
			w.net.Partition(w.entryGroup(p), w.platformGroup(), memnet.PartitionDrop)
		},
		heal: func(w *world, p *probe) {
			w.net.Heal(w.entryGroup(p), w.others(p))
			w.net.Heal(w.entryGroup(p), w.platformGroup())
		},
	},
	{
		name: "region cut off",
		inject: func(w *world, p *probe) {
			w.net.Partition(w.centreGroup(p.entry.DataCentre, true), w.centreGroup(p.entry.DataCentre, false), memnet.PartitionDrop)
		},
		heal: func(w *world, p *probe) {
			w.net.Heal(w.centreGroup(p.entry.DataCentre, true), w.centreGroup(p.entry.DataCentre, false))
		},
		serves: true,
	},
	{
		name: "partition inside the data centre",
		inject: func(w *world, p *probe) {
			w.net.Partition(w.entryGroup(p), []string{w.ip(string(w.sibling(p).ID))}, memnet.PartitionReject)
		},
		heal: func(w *world, p *probe) {
			w.net.Heal(w.entryGroup(p), []string{w.ip(string(w.sibling(p).ID))})
		},
		serves: true,
	},
	{
		name: "one-way loss from the entry to its peers",
		inject: func(w *world, p *probe) {
			w.net.PartitionOneWay(w.entryGroup(p), w.others(p))
		},
		heal: func(w *world, p *probe) { w.net.Heal(w.entryGroup(p), w.others(p)) },
	},
	{
		name:   "connections between entry and peers go silent",
		inject: func(w *world, p *probe) { w.net.Blackhole(w.entryGroup(p), w.others(p)) },
		serves: true,
	},
	{
		name:   "connections between entry and targets go silent",
		inject: func(w *world, p *probe) { w.net.Blackhole(w.entryGroup(p), w.targets()) },
		serves: true,
	},
	{
		name:   "connections between entry and targets break",
		inject: func(w *world, p *probe) { w.net.Reset(w.entryGroup(p), w.targets()) },
		serves: true,
	},
	{
		name: "entry cut off from the targets of its data centre",
		inject: func(w *world, p *probe) {
			w.net.Partition(w.entryGroup(p), w.targetsOf(func(id fleet.DataCentreID) bool { return id == p.entry.DataCentre }), memnet.PartitionReject)
		},
		heal: func(w *world, p *probe) { w.net.Heal(w.entryGroup(p), w.targets()) },
	},
	{
		name:   "connections between caller and entry break",
		inject: func(w *world, p *probe) { w.net.Reset(w.entryGroup(p), []string{w.ip(p.caller)}) },
	},
	{
		name: "every target of the data centre crashes",
		inject: func(w *world, p *probe) {
			for _, e := range w.fleet.Engines {
				if e.DataCentre == p.entry.DataCentre {
					e.Crash()
				}
			}
		},
		serves: true,
	},
	{
		name: "every target turns cold without warning",
		inject: func(w *world, p *probe) {
			for _, e := range w.fleet.Engines {
				e.SetCold()
			}
			w.unwarned++
		},
		serves: true,
	},
	{
		name: "a target leaves",
		inject: func(w *world, p *probe) {
			e := w.fleet.Engines[0]
			e.SetLeaving()
			w.fleet.SetTargetState(e.ID, fleet.StateLeaving)
		},
		serves: true,
	},
	{
		name:   "platform down",
		inject: func(w *world, _ *probe) { w.fleet.Platform.SetDown(true) },
		heal:   func(w *world, _ *probe) { w.fleet.Platform.SetDown(false) },
		serves: true,
	},
	{
		name: "platform stale for the entry only",
		inject: func(w *world, p *probe) {
			w.fleet.Platform.SetStale(w.ip(string(p.entry.ID)))
			w.fleet.PublishRules(w.fleet.Spec.Rules())
		},
		heal:   func(w *world, _ *probe) { w.fleet.Platform.ClearStale() },
		serves: true,
	},
	{
		name: "entry restarted while the platform is stale",
		inject: func(w *world, p *probe) {
			w.fleet.Platform.SetStale()
			w.restart(p.entry)
		},
		heal: func(w *world, _ *probe) { w.fleet.Platform.ClearStale() },
	},
	{
		name:   "list drops the entry while it lives",
		inject: func(w *world, p *probe) { w.fleet.Unlist(p.entry.ID) },
	},
	{
		name: "data centre taken out",
		inject: func(w *world, p *probe) {
			w.fleet.PublishRules(w.fleet.Spec.Rules(p.entry.DataCentre))
		},
		heal:   func(w *world, _ *probe) { w.fleet.PublishRules(w.fleet.Spec.Rules()) },
		serves: true,
	},
	{
		name: "two changes race",
		inject: func(w *world, _ *probe) {
			w.fleet.Platform.SetConfig(100, w.fleet.Spec.Rules())
			w.fleet.Platform.SetConfig(99, w.fleet.Spec.Rules("dc-b"))
		},
		serves: true,
	},
	{
		name: "slow links",
		inject: func(w *world, p *probe) {
			w.net.Delay(w.entryGroup(p), w.others(p), 300*time.Millisecond)
		},
		serves: true,
	},
	{
		name:   "flood by another customer",
		inject: func(w *world, p *probe) { w.flood(p) },
		serves: true,
	},
	{
		name:   "planned stop of the entry",
		inject: func(w *world, p *probe) { w.drain(p) },
		serves: true,
	},
}
