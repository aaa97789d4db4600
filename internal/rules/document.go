// Package rules reads the operators' rules: a plain text document with one rule
// a line, each with a trailing comment that names who asked for it. It parses,
// checks, formats and compares documents.
//
// Everything here is pure and keeps no state. A Document is not changed after
// Parse returns it, so it may be read from any number of goroutines.
package rules

import (
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Ranges of the numbers in a rule. The minimum of each is 1.
const (
	// MaxShare is the largest share of a customer, without unit.
	MaxShare = 1_000_000
	// MaxQueueLimit is the largest queue limit of a customer, in requests.
	MaxQueueLimit = 1_000_000
	// MaxTargetLimit is the largest concurrency limit of a target, in requests.
	MaxTargetLimit = 65_535
	// MaxWeight is the largest weight of a model, in cost units a token.
	MaxWeight = 1_000_000
	// MaxCallCost is the largest cost of one plain call, in cost units.
	MaxCallCost = 1_000_000_000
	// MaxNameBytes is the greatest length of a name, in bytes.
	MaxNameBytes = 64
)

// Document is one checked version of the operators' rules.
type Document struct {
	Customers   map[fleet.CustomerID]Customer
	DataCentres map[fleet.DataCentreID]DataCentre
	Models      map[fleet.ModelID]Model
	Targets     map[fleet.TargetID]Target
	Calls       map[CallKey]Call
	// Orders are in the order of their lines.
	Orders []Order
}

// Customer is one customer's part of the fleet.
type Customer struct {
	ID fleet.CustomerID
	// Share is the customer's weight against the other customers.
	Share int
	// QueueLimit is the number of requests that may wait at one instance.
	QueueLimit int
	// KeyHash is the SHA-256 of the bearer secret that the customer's callers
	// present. No two customers have the same one.
	KeyHash [32]byte
	// RequestedBy is the text of the rule's comment; Line is its line, from 1.
	RequestedBy string
	Line        int
}

// DataCentre is one data centre and whether operators have taken it out.
type DataCentre struct {
	ID     fleet.DataCentreID
	Region fleet.RegionID
	// OutOfService says that targets of this data centre get no new work.
	OutOfService bool
	RequestedBy  string
	Line         int
}

// Model is one model's cost weights, in cost units a token.
type Model struct {
	ID           fleet.ModelID
	InputWeight  fleet.Cost
	OutputWeight fleet.Cost
	RequestedBy  string
	Line         int
}

// Target is one model engine or plain service process.
type Target struct {
	ID         fleet.TargetID
	DataCentre fleet.DataCentreID
	// Models are the models served, in the order of the rule, empty for a plain
	// service. Targets share the slice: it must not be changed.
	Models []fleet.ModelID
	// Service is the plain service, empty for a model engine.
	Service fleet.ServiceID
	// Limit is the number of requests that may run at once; ColdLimit is the
	// same while the target is cold, at most Limit.
	Limit     int
	ColdLimit int
	// FencingChecked says that the target refuses an old fencing number.
	FencingChecked bool
	// SenderChecked says that the target checks who gives it an order.
	SenderChecked bool
	RequestedBy   string
	Line          int
}

// Serves reports whether the target can run the workload. It takes time in
// proportion to the number of the target's models.
func (t Target) Serves(w fleet.Workload) bool {
	if w.Service != "" {
		return w.Model == "" && w.Service == t.Service
	}
	return w.Model != "" && slices.Contains(t.Models, w.Model)
}

// CallKey names one method of a plain service.
type CallKey struct {
	Service fleet.ServiceID
	Method  string
}

// String returns "SERVICE.METHOD".
func (k CallKey) String() string { return string(k.Service) + "." + k.Method }

// Call says how one method of a plain service may be called.
type Call struct {
	CallKey
	// Once says that a call may not be repeated.
	Once bool
	// Cost is the declared cost of one call, in cost units.
	Cost        fleet.Cost
	RequestedBy string
	Line        int
}

// OrderKind is what an order asks of a target.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderLoadVersion OrderKind = "load-version"
	OrderRole        OrderKind = "role"
)

// Order asks one target to load something or to change its role.
type Order struct {
	Kind OrderKind
	// Name is the model, adapter, version or role.
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
