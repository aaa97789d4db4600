// Package catalog holds one version of the operators' configuration as the HTTP ingress
// uses it: routes, services, customers and limits. A Catalog is immutable after New and
// safe for concurrent use.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Kind is the kind of a route: how often a request may run and how it is answered.
type Kind int

// The kinds of route.
const (
	// Once: a request runs at most once.
	Once Kind = iota
	// Idempotent: a request may run more than once.
	Idempotent
	// Stream: the answer is a stream of events. A request runs at most once unless its
	// route is Resumable.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{Once: "once", Idempotent: "idempotent", Stream: "stream"}[k]
}

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service fleet.ServiceID
	// Weight is relative to the weights of the route's other services.
	Weight int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request may be held, 0 for no limit.
	Timeout time.Duration
	// FirstByteSLO is the objective for the time to the first byte. An answer that misses
	// it does not have its full value.
	FirstByteSLO time.Duration
	// GapSLO is the objective for the gap between two events of a stream. A stream with a
	// longer gap does not have its full value.
	GapSLO time.Duration
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxTargets is the maximum number of targets on which one request may run.
	MaxTargets int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable streams may continue on another target after their last complete event.
	Resumable bool
	// Regions lists the regions that may serve the route; empty means all.
	Regions []fleet.RegionID
}

// Repeatable reports whether a request that may already have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns one of the route's services, chosen by the request's hash in proportion
// to the weights. It returns false if no service has a positive weight.
func (r *Route) Service(hash uint64) (fleet.ServiceID, bool) {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	point := int(hash % uint64(total))
	for _, s := range r.Services {
		if point -= max(s.Weight, 0); point < 0 {
			return s.Service, true
		}
	}
	return "", false
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the capacity for prompts and outputs of running requests and for the
	// prefix cache, in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token in an engine's memory in bytes, LinkMbps the bandwidth of an
	// engine's link in Mbit/s. Each is 0 if it is unknown.
	TokenBytes int
	LinkMbps   float64
	// Backups is set if engines send the memory of a run to another engine as it grows. HandleTime is how
	// long a copy of a run that did not end well is kept after its last part.
	Backups    bool
	HandleTime time.Duration
}

// Service is a set of interchangeable targets.
type Service struct {
	ID fleet.ServiceID
	// HealthPath is the path of a target's health check.
	HealthPath string
	// MaxConns is the maximum number of connections to one target over all callers, 0 for
	// no limit.
	MaxConns int
	// ColdPeriod is how long a target stays cold after a start.
	ColdPeriod time.Duration
	// ColdRate is the number of requests a second that a cold target can handle, 0 for no
	// limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Customer is a tenant with its API keys.
type Customer struct {
	ID fleet.CustomerID
	// Keys may be empty, for a customer whose keys were all revoked. An empty key is no key.
	Keys []string
	// Regions lists the regions that may serve the customer; empty means all.
	Regions []fleet.RegionID
}

// Limits holds the limits on what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may stay open without a request.
	IdleTimeout time.Duration
	// TokensPerSecond is the throughput of all engines together, in which a prompt token
	// counts once and a generated token twice. 0 if it is unknown.
	TokensPerSecond float64
}

// Config is the input from which New builds a Catalog.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// RequiresKey is set if the configuration lists customers, even if the list is empty.
	RequiresKey bool
	Limits      Limits
}

// Catalog is an indexed version of the configuration.
type Catalog struct {
	Version     uint64
	Limits      Limits
	requiresKey bool
	hosts       map[string]map[string]*Route
	services    map[fleet.ServiceID]*Service
	customers   []Customer
	keys        map[string]*Customer
}

// New builds the catalog of a configuration. It keeps references to the slices of c,
// which must not be changed afterwards.
func New(c Config) *Catalog {
	catalog := &Catalog{
		Version:     c.Version,
		Limits:      c.Limits,
		requiresKey: c.RequiresKey || len(c.Customers) > 0,
		hosts:       make(map[string]map[string]*Route),
		services:    make(map[fleet.ServiceID]*Service, len(c.Services)),
		customers:   c.Customers,
		keys:        make(map[string]*Customer),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if catalog.hosts[host] == nil {
			catalog.hosts[host] = make(map[string]*Route)
		}
		catalog.hosts[host][r.Prefix] = r
	}
	for i := range c.Services {
		catalog.services[c.Services[i].ID] = &c.Services[i]
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			if key != "" {
				catalog.keys[key] = &c.Customers[i]
			}
		}
	}
	return catalog
}

// Route returns the route of a host with the longest prefix that matches the path. It
// takes time linear in the length of the path, whatever the number of routes.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	routes := c.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests on routes that are not anonymous need a key. That does
// not depend on whether any key is left.
func (c *Catalog) RequiresKey() bool { return c.requiresKey }

// Keys returns the numbers of customers and of their keys.
func (c *Catalog) Keys() (customers, keys int) { return len(c.customers), len(c.keys) }

// Customer returns the customer that owns a key.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	customer, ok := c.keys[key]
	return customer, ok
}

// CustomerNamed returns the customer with the given id. It goes through all customers.
func (c *Catalog) CustomerNamed(id fleet.CustomerID) (*Customer, bool) {
	for i := range c.customers {
		if c.customers[i].ID == id {
			return &c.customers[i], true
		}
	}
	return nil, false
}

// Service returns the service with the given id.
func (c *Catalog) Service(id fleet.ServiceID) (*Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// AllowedRegions returns the regions that both lists allow, sorted. unrestricted means
// that every region is allowed.
func AllowedRegions(route, customer []fleet.RegionID) (regions []fleet.RegionID, unrestricted bool) {
	switch {
	case len(route) == 0 && len(customer) == 0:
		return nil, true
	case len(route) == 0:
		regions = slices.Clone(customer)
	case len(customer) == 0:
		regions = slices.Clone(route)
	default:
		for _, r := range route {
			if slices.Contains(customer, r) {
				regions = append(regions, r)
			}
		}
	}
	slices.SortFunc(regions, func(a, b fleet.RegionID) int { return cmp.Compare(a, b) })
	return regions, false
}
