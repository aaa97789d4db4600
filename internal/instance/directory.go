package instance

import (
	"sync/atomic"
	"time"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/rules"
)

// maxLocateAddresses bounds the addresses in a response to Locate. Each customer is
// limited to this small, stable subset, so that a flood of its requests does not reach
// the other entries.
const maxLocateAddresses = 3

// numDistances is the number of values that directory.distance returns.
const numDistances = 3

// directory answers lookups of callers from immutable snapshots that the core publishes.
// It is safe for concurrent use.
type directory struct {
	self     fleet.InstanceID
	address  string
	centre   fleet.DataCentreID
	lifetime time.Duration
	store    *config.Store
	keys     atomic.Pointer[keyIndex]
	entries  atomic.Pointer[entryList]
}

var _ entry.Directory = (*directory)(nil)

// keyIndex maps the SHA-256 of each customer's secret to the customer, for one
// configuration.
type keyIndex struct {
	version uint64
	byHash  map[[32]byte]fleet.CustomerID
}

// publishConfig replaces the key index with that of a configuration.
func (d *directory) publishConfig(s *config.Snapshot) {
	index := &keyIndex{
		version: s.Version,
		byHash:  make(map[[32]byte]fleet.CustomerID, len(s.Rules.Customers)),
	}
	for id, customer := range s.Rules.Customers {
		index.byHash[customer.KeyHash] = id
	}
	d.keys.Store(index)
}

// entryList holds the instances that callers may be directed to. Those in unreachable do
// not respond to this instance. They may still respond to callers, so they come last.
type entryList struct {
	listed      []fleet.ListedInstance
	unreachable map[fleet.InstanceID]bool
}

// publishEntries replaces the instances that callers may be directed to.
func (d *directory) publishEntries(entries entryList) {
	d.entries.Store(&entries)
}

// Authenticate implements entry.Directory.
func (d *directory) Authenticate(keyHash [32]byte) (fleet.CustomerID, error) {
	index := d.keys.Load()
	if index == nil {
		return "", entry.ErrStarting
	}
	customer, known := index.byHash[keyHash]
	if !known {
		return "", entry.ErrCredentials
	}
	return customer, nil
}

// Model implements entry.Directory.
func (d *directory) Model(id fleet.ModelID) (rules.Model, bool) {
	snapshot := d.store.Current()
	if snapshot == nil {
		return rules.Model{}, false
	}
	model, known := snapshot.Rules.Models[id]
	return model, known
}

// Call implements entry.Directory.
func (d *directory) Call(key rules.CallKey) (rules.Call, bool) {
	snapshot := d.store.Current()
	if snapshot == nil {
		return rules.Call{}, false
	}
	call, known := snapshot.Rules.Calls[key]
	return call, known
}

// SelfAddress implements entry.Directory.
func (d *directory) SelfAddress() string { return d.address }

// Locate implements entry.Directory. It returns instances of this data centre first, then
// of its region, then of other regions, and last those that do not respond. Each group is
// in the customer's rendezvous hashing order.
func (d *directory) Locate(customer fleet.CustomerID) ([]string, time.Duration) {
	entries := d.entries.Load()
	if entries == nil || len(entries.listed) == 0 {
		return []string{d.address}, d.lifetime
	}
	return rankEntries(customer, entries, d.distance), d.lifetime
}

// distance returns 0 for this data centre, 1 for its region and 2 for other regions.
func (d *directory) distance(centre fleet.DataCentreID) int {
	if centre == d.centre {
		return 0
	}
	snapshot := d.store.Current()
	if snapshot == nil {
		return 2
	}
	centres := snapshot.Rules.DataCentres
	if centres[centre].Region == centres[d.centre].Region {
		return 1
	}
	return 2
}

// rankEntries returns at most maxLocateAddresses addresses, best first. It is a pure
// function and takes time linear in the number of instances.
func rankEntries(customer fleet.CustomerID, entries *entryList, distance func(fleet.DataCentreID) int) []string {
	byDistance := make([][]fleet.InstanceID, numDistances+1)
	addresses := make(map[fleet.InstanceID]string, len(entries.listed))
	for _, e := range entries.listed {
		d := distance(e.DataCentre)
		if entries.unreachable[e.ID] {
			d = numDistances
		}
		byDistance[d] = append(byDistance[d], e.ID)
		addresses[e.ID] = e.CallerAddr
	}
	var ranked []string
	for _, group := range byDistance {
		for _, id := range membership.Rank(string(customer), group) {
			if len(ranked) == maxLocateAddresses {
				return ranked
			}
			ranked = append(ranked, addresses[id])
		}
	}
	return ranked
}
