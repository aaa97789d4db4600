package instance

import (
	"slices"
	"strings"
	"time"

	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/rules"
)

// Status is one instance's view of itself and of the fleet.
type Status struct {
	Instance      fleet.InstanceID   `json:"instance"`
	Incarnation   string             `json:"incarnation"`
	DataCentre    fleet.DataCentreID `json:"data_centre"`
	ConfigVersion uint64             `json:"config_version"`
	ConfigDigest  string             `json:"config_digest"`
	ListVersion   uint64             `json:"list_version"`
	// Ready reports whether the instance takes new work.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	Waiting  int  `json:"waiting"`
	Running  int  `json:"running"`
	// Customers are in the order in which they were first seen.
	Customers    []fairness.CustomerStatus `json:"customers"`
	Targets      []TargetStatus            `json:"targets"`
	Peers        []PeerStatus              `json:"peers"`
	OutOfService []fleet.DataCentreID      `json:"out_of_service"`
	// Orders are those of targets that this instance owns.
	Orders []OrderStatus `json:"orders"`
}

// TargetStatus is one target in the view of this instance. Counts are numbers of requests.
// They are incomplete for targets that another instance owns.
type TargetStatus struct {
	Target    fleet.TargetID    `json:"target"`
	Owner     fleet.InstanceID  `json:"owner"`
	State     fleet.TargetState `json:"state"`
	BootID    string            `json:"boot_id"`
	Limit     int               `json:"limit"`
	Usable    int               `json:"usable"`
	Accounted int               `json:"accounted"`
	Foreign   int               `json:"foreign"`
	Out       bool              `json:"out"`
}

// OrderStatus is one order of the rules and its state at its target.
type OrderStatus struct {
	Target fleet.TargetID  `json:"target"`
	Kind   rules.OrderKind `json:"kind"`
	Name   string          `json:"name"`
	BootID string          `json:"boot_id"`
	State  OrderState      `json:"state"`
}

// PeerStatus is one peer in the view of this instance.
type PeerStatus struct {
	Instance   fleet.InstanceID   `json:"instance"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Connected  bool               `json:"connected"`
	Leaving    bool               `json:"leaving"`
}

func (e statusEvent) apply(c *core, now time.Time) {
	c.updateSilent(now)
	s := Status{
		Instance:    c.options.self,
		Incarnation: c.options.incarnation.String(),
		DataCentre:  c.options.centre,
		ListVersion: c.list.Version,
		Ready:       c.settled && !c.closed && c.snapshot != nil,
		Draining:    c.draining,
		Waiting:     c.queue.Len(),
		Running:     len(c.leases),
		Customers:   c.accounts.Status(nil),
		Targets:     c.targetStatus(now),
		Peers:       c.peerStatus(),
		Orders:      c.orderStatus(),
	}
	if c.snapshot != nil {
		s.ConfigVersion = c.snapshot.Version
		s.ConfigDigest = c.snapshot.Digest
		s.OutOfService = c.outOfService()
	}
	e.reply <- s
}

func (c *core) targetStatus(now time.Time) []TargetStatus {
	rows := make([]TargetStatus, 0, len(c.targets))
	for id, info := range c.targets {
		state := c.ledger.State(id)
		owner, _ := c.ledger.Owner(id, now)
		rows = append(rows, TargetStatus{
			Target:    id,
			Owner:     owner,
			State:     state.State,
			BootID:    state.BootID,
			Limit:     state.Limit,
			Usable:    state.Usable,
			Accounted: state.Accounted,
			Foreign:   state.Foreign,
			Out:       info.outOfService,
		})
	}
	slices.SortFunc(rows, func(a, b TargetStatus) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return rows
}

func (c *core) orderStatus() []OrderStatus {
	rows := make([]OrderStatus, 0, len(c.orders))
	for key, entry := range c.orders {
		rows = append(rows, OrderStatus{
			Target: key.target,
			Kind:   key.kind,
			Name:   key.name,
			BootID: key.bootID,
			State:  entry.state,
		})
	}
	slices.SortFunc(rows, func(a, b OrderStatus) int {
		return strings.Compare(string(a.Target)+a.Name, string(b.Target)+b.Name)
	})
	return rows
}

func (c *core) peerStatus() []PeerStatus {
	rows := make([]PeerStatus, 0, len(c.peers))
	for id, p := range c.peers {
		rows = append(rows, PeerStatus{
			Instance:   id,
			DataCentre: p.listed.DataCentre,
			Connected:  p.connected,
			Leaving:    p.leaving,
		})
	}
	slices.SortFunc(rows, func(a, b PeerStatus) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return rows
}

func (c *core) outOfService() []fleet.DataCentreID {
	var out []fleet.DataCentreID
	for id, centre := range c.snapshot.Rules.DataCentres {
		if centre.OutOfService {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// drainOutcome returns the outcome for a request that a stopping instance refuses. It
// contains the address of another instance.
func (c *core) drainOutcome(w *waiter) *entry.OutcomeError {
	return &entry.OutcomeError{
		Kind:       entry.NotRun,
		Reason:     entry.ReasonDraining,
		RetryAfter: time.Millisecond,
		Address:    c.otherAddress(w),
	}
}

// otherAddress returns the best caller address of another instance, or an empty string.
func (c *core) otherAddress(w *waiter) string {
	addresses, _ := c.directory.Locate(w.work.Customer)
	for _, address := range addresses {
		if address != c.directory.address {
			return address
		}
	}
	return ""
}
