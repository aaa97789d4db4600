// Package localfleet starts a whole fleet in one process: real instances, with
// stand-ins for engines, services and the platform, over loopback or an in-memory
// network. It is used by the dev command, tests and experiments.
//
// The methods of a Fleet must not be called concurrently. The instances and stand-ins
// that it starts run in goroutines of their own.
package localfleet

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/settings"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Spec describes a fleet to start.
type Spec struct {
	DataCentres []DataCentre
	Customers   []Customer
	// Models lists the models that every engine serves; default "appraise".
	Models []fleet.ModelID
	// Limit and ColdLimit bound the concurrent requests of each engine, warm and cold;
	// defaults 8 and 1.
	Limit, ColdLimit int
	// ServiceLimit and ServiceColdLimit are the same for each service; defaults 8 and 2.
	ServiceLimit, ServiceColdLimit int
	// Engine configures every engine stand-in. Start sets Name, and limits that are 0.
	Engine standin.EngineOptions
	// Platform configures the platform stand-in.
	Platform standin.PlatformOptions
	// Seed makes random choices repeatable; with 0 each instance draws its own.
	Seed uint64
	// TLS makes peers use mutual TLS with keys created at the start.
	TLS bool
	Log zerolog.Logger
	// Policy and NoServiceExchange select a baseline for comparison; see
	// instance.Options.
	Policy            dispatch.Policy
	NoServiceExchange bool
	Limits            limit.Params
	// AdjustSettings changes an instance's settings before it starts; may be nil.
	AdjustSettings func(*settings.Settings)
}

// DataCentre is one data centre of a Spec.
type DataCentre struct {
	ID        fleet.DataCentreID
	Region    fleet.RegionID
	Instances int
	Engines   int
	Services  int
}

// Customer is one customer of a Spec.
type Customer struct {
	ID    fleet.CustomerID
	Share int
	// QueueLimit bounds the customer's waiting requests at one instance.
	QueueLimit int
}

// Secret returns the customer's bearer secret.
func (c Customer) Secret() string { return "secret-of-" + string(c.ID) }

// ServiceName is the service that the service stand-ins of a local fleet serve. Its
// method "settle" is not repeatable, "lookup" is.
const ServiceName fleet.ServiceID = "registry"

func (s Spec) withDefaults() Spec {
	if len(s.Models) == 0 {
		s.Models = []fleet.ModelID{"appraise"}
	}
	setDefault(&s.Limit, 8)
	setDefault(&s.ColdLimit, 1)
	setDefault(&s.ServiceLimit, 8)
	setDefault(&s.ServiceColdLimit, 2)
	return s
}

// setDefault sets *field to value if it is 0.
func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Rules returns the text of the operators' rules, with the given data centres out of
// service.
func (s Spec) Rules(out ...fleet.DataCentreID) []byte {
	s = s.withDefaults()
	var b strings.Builder
	for _, d := range s.DataCentres {
		state := "in"
		for _, id := range out {
			if id == d.ID {
				state = "out"
			}
		}
		fmt.Fprintf(&b, "datacentre %s region %s %s # asked by operations\n", d.ID, d.Region, state)
	}
	for _, m := range s.Models {
		fmt.Fprintf(&b, "model %s input 1 output 4 # asked by the board\n", m)
	}
	for _, c := range s.Customers {
		fmt.Fprintf(&b, "customer %s share %d queue %d key sha256:%x # asked by the board\n",
			c.ID, c.Share, c.QueueLimit, sha256.Sum256([]byte(c.Secret())))
	}
	fmt.Fprintf(&b, "call %s.settle once cost 50 # asked by the registry\n", ServiceName)
	fmt.Fprintf(&b, "call %s.lookup repeatable cost 5 # asked by the registry\n", ServiceName)
	s.writeTargets(&b)
	return []byte(b.String())
}

func (s Spec) writeTargets(b *strings.Builder) {
	names := make([]string, len(s.Models))
	for i, m := range s.Models {
		names[i] = string(m)
	}
	serves := strings.Join(names, ",")
	for _, d := range s.DataCentres {
		for n := range d.Engines {
			fmt.Fprintf(b, "target %s datacentre %s serves %s limit %d cold %d fencing checked sender ignored # asked by operations\n",
				engineID(d.ID, n), d.ID, serves, s.Limit, s.ColdLimit)
		}
		for n := range d.Services {
			fmt.Fprintf(b, "target %s datacentre %s service %s limit %d cold %d fencing ignored sender ignored # asked by operations\n",
				serviceID(d.ID, n), d.ID, ServiceName, s.ServiceLimit, s.ServiceColdLimit)
		}
	}
}

func instanceID(d fleet.DataCentreID, n int) fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("%s-i%d", d, n+1))
}

func engineID(d fleet.DataCentreID, n int) fleet.TargetID {
	return fleet.TargetID(fmt.Sprintf("%s-e%d", d, n+1))
}

func serviceID(d fleet.DataCentreID, n int) fleet.TargetID {
	return fleet.TargetID(fmt.Sprintf("%s-s%d", d, n+1))
}
