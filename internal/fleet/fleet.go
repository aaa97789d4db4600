// Package fleet defines the identifiers and the platform's list of instances and targets,
// which all other packages share. It has no state and no behaviour beyond formatting.
package fleet

import (
	"fmt"
	"time"
)

// InstanceID identifies a listed instance; the platform chooses it.
type InstanceID string

// Incarnation is a random number drawn when an instance starts. It distinguishes two runs
// under the same InstanceID. Zero is never drawn.
type Incarnation uint64

// String formats the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a region, which holds one or more data centres.
type RegionID string

// CustomerID identifies a customer.
type CustomerID string

// TargetID identifies a model engine or a process of a plain service.
type TargetID string

// ModelID identifies a model.
type ModelID string

// ServiceID identifies a plain service.
type ServiceID string

// Cost is an amount of service in cost units. The weights of a model convert tokens to
// units; a call of a plain service has a declared cost.
type Cost int64

// Workload is what a request needs from a target: a model or a plain service. Exactly one
// field is set. A Workload is comparable and is used as a map key.
type Workload struct {
	Model   ModelID   `json:"m,omitempty"`
	Service ServiceID `json:"s,omitempty"`
}

// String returns "model:NAME" or "service:NAME".
func (w Workload) String() string {
	if w.Service != "" {
		return "service:" + string(w.Service)
	}
	return "model:" + string(w.Model)
}

// ListState is the state of an instance or a target in the platform's list.
type ListState string

// The states in the list. A process that is not listed has none.
const (
	StateLive    ListState = "live"
	StateLeaving ListState = "leaving"
)

// ListedInstance is an instance of the fleet in the platform's list.
type ListedInstance struct {
	ID         InstanceID   `json:"id"`
	DataCentre DataCentreID `json:"data_centre"`
	// CallerAddr is the IP:port for callers.
	CallerAddr string `json:"caller_addr"`
	// PeerAddr is the IP:port for the other instances.
	PeerAddr string    `json:"peer_addr"`
	State    ListState `json:"state"`
}

// ListedTarget is a target in the platform's list.
type ListedTarget struct {
	ID         TargetID     `json:"id"`
	DataCentre DataCentreID `json:"data_centre"`
	// Addr is the IP:port that serves requests and load reports.
	Addr  string    `json:"addr"`
	State ListState `json:"state"`
}

// List is one version of the platform's list. It may lag behind the actual state, and some
// readers may have an older version than others.
type List struct {
	Version   uint64           `json:"version"`
	Instances []ListedInstance `json:"instances"`
	Targets   []ListedTarget   `json:"targets"`
}

// TargetState is the state that a target reports for itself. It tells whether the target
// can take load.
type TargetState string

// The states that a target reports.
const (
	TargetCold    TargetState = "cold"
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving"
)

// LoadReport is a target's report of its own load.
type LoadReport struct {
	// BootID changes each time the target's process starts.
	BootID string      `json:"boot_id"`
	State  TargetState `json:"state"`
	// Running is the number of requests in the batch, Waiting the number of requests
	// queued in the engine.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Completed is the number of requests finished since boot.
	Completed int64 `json:"completed"`
	// AgeMillis is the age of the values when the report was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// Age returns the age of the values when the report was sent.
func (r LoadReport) Age() time.Duration {
	return time.Duration(r.AgeMillis) * time.Millisecond
}
