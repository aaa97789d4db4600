// Package catalog holds one version of the operators' configuration as the HTTP
// ingress uses it: routes, services, customers and limits. A Catalog does not change
// after New and is safe for concurrent use.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Kind says how often a request may run.
type Kind int

// The kinds of route.
const (
	// Once: a request runs at most once.
	Once Kind = iota
	// Idempotent: a request may run again.
	Idempotent
	// Stream: the answer is a series of events. A request runs at most once unless its
	// route is Resumable.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{Once: "once", Idempotent: "idempotent", Stream: "stream"}[k]
}

// WeightedService is one service's part of a route.
type WeightedService struct {
	Service fleet.ServiceID
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept, 0 for no limit.
	Timeout time.Duration
	// FirstByteSLO is the time to the first byte of an answer in full value.
	FirstByteSLO time.Duration
	// GapSLO is the longest pause between two events of a stream in full value.
	GapSLO time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	Services []WeightedService
	// MaxTargets bounds the targets on which one request may run.
	MaxTargets int
	// Anonymous requests need no key.
	Anonymous bool
	// Resumable streams may go on at another target after their last whole event.
	Resumable bool
	// Regions are those that may serve the route; none means all.
	Regions []fleet.RegionID
}

// Repeatable reports whether a request may be sent again when it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks one of the route's services by a request's hash, in proportion to the
// weights.
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
	// MemoryTokens is the room for prompts and outputs of running requests and for the
	// prefix cache, in tokens.
	MemoryTokens int
}

// Service is a set of equal targets.
type Service struct {
	ID fleet.ServiceID
	// HealthPath is asked for a target's health.
	HealthPath string
	// MaxConns bounds the connections of all callers to one target, 0 for no bound.
	MaxConns int
	// ColdPeriod is how long a target stays cold after a start.
	ColdPeriod time.Duration
	// ColdRate is the number of requests a second that a cold target bears, 0 for no
	// bound.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Customer is a tenant with its keys.
type Customer struct {
	ID   fleet.CustomerID
	Keys []string
	// Regions are those that may serve the customer; none means all.
	Regions []fleet.RegionID
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout closes callers' connections without requests.
	IdleTimeout time.Duration
	// TokensPerSecond is what all engines together produce: each token read counts
	// once, each generated one twice. 0 if it is unknown.
	TokensPerSecond float64
}

// Config is what a Catalog is made of.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  uint64
	Limits   Limits
	hosts    map[string]map[string]*Route
	services map[fleet.ServiceID]*Service
	keys     map[string]*Customer
}

// New indexes a configuration.
func New(c Config) *Catalog {
	catalog := &Catalog{
		Version:  c.Version,
		Limits:   c.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[fleet.ServiceID]*Service, len(c.Services)),
		keys:     make(map[string]*Customer),
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
			catalog.keys[key] = &c.Customers[i]
		}
	}
	return catalog
}

// Route returns the route of a host with the longest prefix that begins the path. It
// takes time linear in the path, whatever the number of routes.
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

// HasCustomers reports whether requests need keys at all.
func (c *Catalog) HasCustomers() bool { return len(c.keys) > 0 }

// Customer returns the customer that holds a key.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	customer, ok := c.keys[key]
	return customer, ok
}

// Service returns a service by its name.
func (c *Catalog) Service(id fleet.ServiceID) (*Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// AllowedRegions returns the regions that both lists allow, sorted. any means that
// every region is allowed.
func AllowedRegions(route, customer []fleet.RegionID) (regions []fleet.RegionID, any bool) {
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
