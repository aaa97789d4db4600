// Package localfleet starts a whole fleet in one process: real instances, with
// stand-ins for engines, services and the platform, over loopback or an in-memory
// network. The dev command, tests and experiments use it.
//
// A Fleet's methods are called by one goroutine; the parts that it starts have
// their own.
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
	// Models are served by every engine; default "appraise".
	Models []fleet.ModelID
	// Limit and ColdLimit are the limits of each engine; defaults 8 and 1.
	Limit, ColdLimit int
	// ServiceLimit and ServiceColdLimit are those of each service; defaults 8, 2.
	ServiceLimit, ServiceColdLimit int
	// Engine is the behaviour of every engine; Name and the limits are set here.
	Engine standin.EngineOptions
	// Platform bounds the platform stand-in.
	Platform standin.PlatformOptions
	// Seed makes random choices repeatable; 0 draws one.
	Seed uint64
	// TLS runs peers over mutual TLS with keys made at the start.
	TLS bool
	Log zerolog.Logger
	// Policy and Alone choose a baseline; see instance.Options.
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
	// QueueLimit is the queue limit at one instance.
	QueueLimit int
}

// Secret is the bearer secret of a customer in a local fleet.
func (c Customer) Secret() string { return "secret-of-" + string(c.ID) }

// ServiceName is the plain service of a local fleet; its method "settle" may not be
// repeated, "lookup" may.
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

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Rules is the text of the operators' rules, with the given data centres out.
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
