// Package fleet holds the identifiers and the platform's listing, which every
// other package shares. It has no state and no behaviour beyond comparison.
package fleet

import (
	"fmt"
	"time"
)

// InstanceID names one listed instance; the platform chooses it.
type InstanceID string

// Incarnation is a random number drawn when an instance starts, so that two runs
// under the same InstanceID are told apart. Zero is never drawn.
type Incarnation uint64

// String formats the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// DataCentreID names a data centre.
type DataCentreID string

// RegionID names a region, which holds one or more data centres.
type RegionID string

// CustomerID names a customer.
type CustomerID string

// TargetID names a model engine or a plain service process.
type TargetID string

// ModelID names a model.
type ModelID string

// ServiceID names a plain service.
type ServiceID string

// Cost is an amount of service in cost units. A model's weights turn tokens into
// units; a plain call has a declared cost.
type Cost int64

// Workload says what a request needs from a target: a model or a plain service.
// Exactly one field is set. It is comparable and is used as a map key.
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

// ListState is the platform's word on an instance or a target.
type ListState string

// The states a listing can give. An unlisted process has no state.
const (
	StateLive    ListState = "live"
	StateLeaving ListState = "leaving"
)

// ListedInstance is one instance of the fleet in the platform's list.
type ListedInstance struct {
	ID         InstanceID   `json:"id"`
	DataCentre DataCentreID `json:"data_centre"`
	// CallerAddr is the IP:port for callers.
	CallerAddr string `json:"caller_addr"`
	// PeerAddr is the IP:port for the other instances.
	PeerAddr string    `json:"peer_addr"`
	State    ListState `json:"state"`
}

// ListedTarget is one target in the platform's list.
type ListedTarget struct {
	ID         TargetID     `json:"id"`
	DataCentre DataCentreID `json:"data_centre"`
	// Addr is the IP:port that serves requests and load reports.
	Addr  string    `json:"addr"`
	State ListState `json:"state"`
}

// List is one version of the platform's list. It may lag behind the truth and may
// be staler at one reader than at another.
type List struct {
	Version   uint64           `json:"version"`
	Instances []ListedInstance `json:"instances"`
	Targets   []ListedTarget   `json:"targets"`
}

// TargetState is a target's own word on what it can bear.
type TargetState string

// The states a target reports.
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
	// Running counts requests in the batch; Waiting those queued in the engine.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Completed counts requests finished since boot.
	Completed int64 `json:"completed"`
	// AgeMillis is how old the figures were when the report was sent, in
	// milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// Age returns how old the figures were when the report was sent.
func (r LoadReport) Age() time.Duration {
	return time.Duration(r.AgeMillis) * time.Millisecond
}
