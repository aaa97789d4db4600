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

// maxLocateAddresses is how many addresses an answer to Locate holds at most. A customer
// is kept to this small, stable subset, so that its flood reaches no other entry.
const maxLocateAddresses = 3

// numDistances is the number of values of directory.distance.
const numDistances = 3

// directory answers callers' look-ups from immutable snapshots, which the core
// publishes. It is safe for concurrent use.
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

// keyIndex finds customers by the SHA-256 of their secret, for one configuration.
type keyIndex struct {
	version uint64
	byHash  map[[32]byte]fleet.CustomerID
}

// publishConfig indexes a configuration's keys.
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

// entryList is the instances that callers may be sent to. Those in unheard do not
// answer this instance; they may still answer callers, so they are named last.
type entryList struct {
	listed      []fleet.ListedInstance
	unreachable map[fleet.InstanceID]bool
}

// publishEntries sets the instances that callers may be sent to.
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

// Locate implements entry.Directory: instances of this data centre first, then of
// its region, then the others, and last those that do not answer; each group in the
// customer's rendezvous order.
func (d *directory) Locate(customer fleet.CustomerID) ([]string, time.Duration) {
	entries := d.entries.Load()
	if entries == nil || len(entries.listed) == 0 {
		return []string{d.address}, d.lifetime
	}
	return rankEntries(customer, entries, d.distance), d.lifetime
}

// distance is 0 for this data centre, 1 for its region and 2 for other regions.
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

// rankEntries returns at most locateWidth addresses. It is pure; the cost is linear
// in the instances.
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
