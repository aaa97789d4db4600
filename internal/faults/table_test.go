//go:build !race

package faults

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/memnet"
)

// fault is one row of the matrix. inject starts it for a probe whose entry is known;
// heal ends it and is nil if there is nothing to do.
type fault struct {
	name   string
	inject func(w *testEnv, p *probe)
	heal   func(w *testEnv, p *probe)
	// mustServe means that the probe must get its complete answer despite the fault.
	mustServe bool
}

// entryGroup returns the host of the probe's entry.
func (w *testEnv) entryGroup(p *probe) []string { return []string{w.ip(string(p.entry.ID))} }

func (w *testEnv) others(p *probe) []string {
	return w.memberIPs(func(m *localfleet.Member) bool { return m != p.entry })
}

// targets returns the hosts of all engines and services.
func (w *testEnv) targets() []string {
	return w.targetsOf(func(fleet.DataCentreID) bool { return true })
}

func (w *testEnv) targetsOf(match func(fleet.DataCentreID) bool) []string {
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

func (w *testEnv) centreGroup(id fleet.DataCentreID, inside bool) []string {
	ips := w.memberIPs(func(m *localfleet.Member) bool { return (m.DataCentre == id) == inside })
	return append(ips, w.targetsOf(func(centre fleet.DataCentreID) bool { return (centre == id) == inside })...)
}

func (w *testEnv) platformGroup() []string { return []string{w.ip("platform")} }

// sibling returns the other instance of the entry's data centre, or nil.
func (w *testEnv) sibling(p *probe) *localfleet.Member {
	for _, m := range w.fleet.Members {
		if m.DataCentre == p.entry.DataCentre && m != p.entry {
			return m
		}
	}
	return nil
}

// restart restarts a member without state.
func (w *testEnv) restart(m *localfleet.Member) {
	if err := w.fleet.Restart(m); err != nil {
		w.t.Error(err)
	}
}

// allFaults are the rows of the matrix.
var allFaults = []fault{
	{
		name:      "none",
		inject:    func(*testEnv, *probe) {},
		mustServe: true,
	},
	{
		name:   "entry killed",
		inject: func(w *testEnv, p *probe) { w.fleet.Kill(p.entry) },
		heal:   func(w *testEnv, p *probe) { w.restart(p.entry) },
	},
	{
		name:   "entry restarted without state",
		inject: func(w *testEnv, p *probe) { w.restart(p.entry) },
	},
	{
		name:      "other instance of the data centre killed",
		inject:    func(w *testEnv, p *probe) { w.fleet.Kill(w.sibling(p)) },
		heal:      func(w *testEnv, p *probe) { w.restart(w.sibling(p)) },
		mustServe: true,
	},
	{
		name:      "other instance of the data centre restarted without state",
		inject:    func(w *testEnv, p *probe) { w.restart(w.sibling(p)) },
		mustServe: true,
	},
	{
		name: "entry cut off from peers and platform",
		inject: func(w *testEnv, p *probe) {
			w.net.Partition(w.entryGroup(p), w.others(p), memnet.PartitionDrop)
			w.net.Partition(w.entryGroup(p), w.platformGroup(), memnet.PartitionDrop)
		},
		heal: func(w *testEnv, p *probe) {
			w.net.Heal(w.entryGroup(p), w.others(p))
			w.net.Heal(w.entryGroup(p), w.platformGroup())
		},
	},
	{
		name: "region partitioned from the others",
		inject: func(w *testEnv, p *probe) {
			w.net.Partition(w.centreGroup(p.entry.DataCentre, true), w.centreGroup(p.entry.DataCentre, false), memnet.PartitionDrop)
		},
		heal: func(w *testEnv, p *probe) {
			w.net.Heal(w.centreGroup(p.entry.DataCentre, true), w.centreGroup(p.entry.DataCentre, false))
		},
		mustServe: true,
	},
	{
		name: "partition inside the data centre",
		inject: func(w *testEnv, p *probe) {
			w.net.Partition(w.entryGroup(p), []string{w.ip(string(w.sibling(p).ID))}, memnet.PartitionReject)
		},
		heal: func(w *testEnv, p *probe) {
			w.net.Heal(w.entryGroup(p), []string{w.ip(string(w.sibling(p).ID))})
		},
		mustServe: true,
	},
	{
		name: "one-way loss from the entry to its peers",
		inject: func(w *testEnv, p *probe) {
			w.net.PartitionOneWay(w.entryGroup(p), w.others(p))
		},
		heal: func(w *testEnv, p *probe) { w.net.Heal(w.entryGroup(p), w.others(p)) },
	},
	{
		name:      "connections between entry and peers drop all packets",
		inject:    func(w *testEnv, p *probe) { w.net.Blackhole(w.entryGroup(p), w.others(p)) },
		mustServe: true,
	},
	{
		name:      "connections between entry and targets drop all packets",
		inject:    func(w *testEnv, p *probe) { w.net.Blackhole(w.entryGroup(p), w.targets()) },
		mustServe: true,
	},
	{
		name:      "connections between entry and targets break",
		inject:    func(w *testEnv, p *probe) { w.net.Reset(w.entryGroup(p), w.targets()) },
		mustServe: true,
	},
	{
		name: "entry cut off from the targets of its data centre",
		inject: func(w *testEnv, p *probe) {
			w.net.Partition(w.entryGroup(p), w.targetsOf(func(id fleet.DataCentreID) bool { return id == p.entry.DataCentre }), memnet.PartitionReject)
		},
		heal: func(w *testEnv, p *probe) { w.net.Heal(w.entryGroup(p), w.targets()) },
	},
	{
		name:   "connections between caller and entry break",
		inject: func(w *testEnv, p *probe) { w.net.Reset(w.entryGroup(p), []string{w.ip(p.caller)}) },
	},
	{
		name: "every target of the data centre crashes",
		inject: func(w *testEnv, p *probe) {
			for _, e := range w.fleet.Engines {
				if e.DataCentre == p.entry.DataCentre {
					e.Crash()
				}
			}
		},
		mustServe: true,
	},
	{
		name: "every target turns cold without warning",
		inject: func(w *testEnv, p *probe) {
			for _, e := range w.fleet.Engines {
				e.SetCold()
			}
			w.unannouncedCold++
		},
		mustServe: true,
	},
	{
		name: "a target drains",
		inject: func(w *testEnv, p *probe) {
			e := w.fleet.Engines[0]
			e.SetLeaving()
			w.fleet.SetTargetState(e.ID, fleet.StateLeaving)
		},
		mustServe: true,
	},
	{
		name:      "platform down",
		inject:    func(w *testEnv, _ *probe) { w.fleet.Platform.SetDown(true) },
		heal:      func(w *testEnv, _ *probe) { w.fleet.Platform.SetDown(false) },
		mustServe: true,
	},
	{
		name: "platform stale for the entry only",
		inject: func(w *testEnv, p *probe) {
			w.fleet.Platform.SetStale(w.ip(string(p.entry.ID)))
			w.fleet.PublishRules(w.fleet.Spec.Rules())
		},
		heal:      func(w *testEnv, _ *probe) { w.fleet.Platform.ClearStale() },
		mustServe: true,
	},
	{
		name: "entry restarted while the platform is stale",
		inject: func(w *testEnv, p *probe) {
			w.fleet.Platform.SetStale()
			w.restart(p.entry)
		},
		heal: func(w *testEnv, _ *probe) { w.fleet.Platform.ClearStale() },
	},
	{
		name:   "entry removed from the list while running",
		inject: func(w *testEnv, p *probe) { w.fleet.Unlist(p.entry.ID) },
	},
	{
		name: "data centre taken out of service",
		inject: func(w *testEnv, p *probe) {
			w.fleet.PublishRules(w.fleet.Spec.Rules(p.entry.DataCentre))
		},
		heal:      func(w *testEnv, _ *probe) { w.fleet.PublishRules(w.fleet.Spec.Rules()) },
		mustServe: true,
	},
	{
		name: "two concurrent configuration changes",
		inject: func(w *testEnv, _ *probe) {
			w.fleet.Platform.SetConfig(100, w.fleet.Spec.Rules())
			w.fleet.Platform.SetConfig(99, w.fleet.Spec.Rules("dc-b"))
		},
		mustServe: true,
	},
	{
		name: "slow links",
		inject: func(w *testEnv, p *probe) {
			w.net.Delay(w.entryGroup(p), w.others(p), 300*time.Millisecond)
		},
		mustServe: true,
	},
	{
		name:      "flood by another customer",
		inject:    func(w *testEnv, p *probe) { w.flood(p) },
		mustServe: true,
	},
	{
		name:      "graceful stop of the entry",
		inject:    func(w *testEnv, p *probe) { w.drain(p) },
		mustServe: true,
	},
}
