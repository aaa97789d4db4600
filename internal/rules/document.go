// Package rules parses, checks, formats and compares the operators' rules: a plain
// text document with one rule per line, each with a trailing comment that names who
// asked for it.
//
// The package performs no I/O and keeps no state. A Document is not modified after
// Parse returns it, so any number of goroutines may read it.
package rules

import (
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Upper bounds of the values in a rule. The minimum of each is 1.
const (
	// MaxShare is the largest share of a customer. Shares have no unit.
	MaxShare = 1_000_000
	// MaxQueueLimit is the largest queue limit of a customer, in requests.
	MaxQueueLimit = 1_000_000
	// MaxTargetLimit is the largest concurrency limit of a target, in requests.
	MaxTargetLimit = 65_535
	// MaxWeight is the largest weight of a model, in cost units per token.
	MaxWeight = 1_000_000
	// MaxCallCost is the largest cost of one call of a plain service, in cost units.
	MaxCallCost = 1_000_000_000
	// MaxNameBytes is the maximum length of a name, in bytes.
	MaxNameBytes = 64
)

// Document is a valid version of the operators' rules.
type Document struct {
	Customers   map[fleet.CustomerID]Customer
	DataCentres map[fleet.DataCentreID]DataCentre
	Models      map[fleet.ModelID]Model
	Targets     map[fleet.TargetID]Target
	Calls       map[CallKey]Call
	// Orders are sorted by line.
	Orders []Order
}

// Customer is a customer's share of the fleet, queue limit and key.
type Customer struct {
	ID fleet.CustomerID
	// Share is the customer's weight relative to the other customers.
	Share int
	// QueueLimit is the maximum number of requests that may wait at one instance.
	QueueLimit int
	// KeyHash is the SHA-256 of the bearer secret that the customer's callers
	// present. It is unique among the customers.
	KeyHash [32]byte
	// RequestedBy is the text of the rule's comment; Line is its line, from 1.
	RequestedBy string
	Line        int
}

// DataCentre is a data centre, its region and whether operators have taken it out of
// service.
type DataCentre struct {
	ID     fleet.DataCentreID
	Region fleet.RegionID
	// OutOfService means that targets of this data centre get no new requests.
	OutOfService bool
	RequestedBy  string
	Line         int
}

// Model holds the cost weights of a model, in cost units per token.
type Model struct {
	ID           fleet.ModelID
	InputWeight  fleet.Cost
	OutputWeight fleet.Cost
	RequestedBy  string
	Line         int
}

// Target is a model engine or a process of a plain service.
type Target struct {
	ID         fleet.TargetID
	DataCentre fleet.DataCentreID
	// Models are the models served, in the order of the rule, empty for a plain
	// service. Several targets may share the slice, so it must not be modified.
	Models []fleet.ModelID
	// Service is the plain service, empty for a model engine.
	Service fleet.ServiceID
	// Limit is the maximum number of requests that may run at once. ColdLimit
	// applies instead while the target is cold; it is at most Limit.
	Limit     int
	ColdLimit int
	// FencingChecked means that the target refuses outdated fencing numbers.
	FencingChecked bool
	// SenderChecked means that the target authenticates the sender of an order.
	SenderChecked bool
	RequestedBy   string
	Line          int
}

// Serves reports whether the target can run the workload. It takes time linear in the
// number of the target's models.
func (t Target) Serves(w fleet.Workload) bool {
	if w.Service != "" {
		return w.Model == "" && w.Service == t.Service
	}
	return w.Model != "" && slices.Contains(t.Models, w.Model)
}

// CallKey identifies a method of a plain service.
type CallKey struct {
	Service fleet.ServiceID
	Method  string
}

// String returns "SERVICE.METHOD".
func (k CallKey) String() string { return string(k.Service) + "." + k.Method }

// Call holds the properties of calls of one method of a plain service.
type Call struct {
	CallKey
	// Once means that a call must not be repeated.
	Once bool
	// Cost is the declared cost of one call, in cost units.
	Cost        fleet.Cost
	RequestedBy string
	Line        int
}

// OrderKind is the kind of action that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderLoadVersion OrderKind = "load-version"
	OrderRole        OrderKind = "role"
)

// Order requests that a target load a model, adapter or version, or change its role.
type Order struct {
	Kind OrderKind
	// Name is that of the model, adapter, version or role.
	Name        string
	Target      fleet.TargetID
	RequestedBy string
	Line        int
}

func newDocument(customers, targets int) *Document {
	return &Document{
		Customers:   make(map[fleet.CustomerID]Customer, customers),
		DataCentres: make(map[fleet.DataCentreID]DataCentre),
		Models:      make(map[fleet.ModelID]Model),
		Targets:     make(map[fleet.TargetID]Target, targets),
		Calls:       make(map[CallKey]Call),
	}
}
