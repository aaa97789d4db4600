package rules

import "medlarwind.dev/medlarwind/internal/fleet"

// referenceKind says what a rule refers to.
type referenceKind uint8

const (
	referenceDataCentre referenceKind = iota
	referenceModel
	referenceTarget
	// referenceServed is a service that some target must serve.
	referenceServed
	// referenceCalled is a service that some call must declare.
	referenceCalled
)

// reference is one name that another rule must define.
type reference struct {
	name   string
	line   int
	column int
	kind   referenceKind
}

func (p *parser) refer(kind referenceKind, name string, line, column int) {
	p.references = append(p.references, reference{name: name, line: line, column: column, kind: kind})
}

// checkReferences reports each name that no rule defines.
func (p *parser) checkReferences() {
	served := make(map[fleet.ServiceID]bool)
	for _, target := range p.document.Targets {
		served[target.Service] = true
	}
	called := make(map[fleet.ServiceID]bool)
	for key := range p.document.Calls {
		called[key.Service] = true
	}
	for _, r := range p.references {
		p.checkReference(r, served, called)
	}
}

func (p *parser) checkReference(r reference, served, called map[fleet.ServiceID]bool) {
	var known bool
	var source definition
	var message string
	switch r.kind {
	case referenceDataCentre:
		_, known = p.document.DataCentres[fleet.DataCentreID(r.name)]
		source = definition{"datacentre", r.name}
		message = "unknown data centre %q"
	case referenceModel:
		_, known = p.document.Models[fleet.ModelID(r.name)]
		source = definition{"model", r.name}
		message = "unknown model %q"
	case referenceTarget:
		_, known = p.document.Targets[fleet.TargetID(r.name)]
		source = definition{"target", r.name}
		message = "unknown target %q"
	case referenceServed:
		known = served[fleet.ServiceID(r.name)]
		source = definition{keyword: "target"}
		message = "unknown service %q: no target has it"
	case referenceCalled:
		known = called[fleet.ServiceID(r.name)]
		source = definition{keyword: "call"}
		message = "unknown service %q: no call has it"
	}
	if !known && !p.broken[source] {
		p.errors.add(r.line, r.column, message, r.name)
	}
}
