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

// refer notes that a rule refers to a name. Most names are defined before and need
// no second look.
func (p *parser) refer(kind referenceKind, name string, line, column int) {
	if !p.defined(kind, name) {
		p.references = append(p.references, reference{name: name, line: line, column: column, kind: kind})
	}
}

// defined reports whether a name is defined by the lines read so far. Services are
// looked up once all lines are read.
func (p *parser) defined(kind referenceKind, name string) bool {
	known := false
	switch kind {
	case referenceDataCentre:
		_, known = p.document.DataCentres[fleet.DataCentreID(name)]
	case referenceModel:
		_, known = p.document.Models[fleet.ModelID(name)]
	case referenceTarget:
		_, known = p.document.Targets[fleet.TargetID(name)]
	}
	return known
}

// checkReferences reports each name that no rule defines.
func (p *parser) checkReferences() {
	if len(p.references) == 0 {
		return
	}
	served := make(map[string]bool)
	for _, target := range p.document.Targets {
		served[string(target.Service)] = true
	}
	called := make(map[string]bool)
	for key := range p.document.Calls {
		called[string(key.Service)] = true
	}
	for _, r := range p.references {
		known := p.defined(r.kind, r.name)
		switch r.kind {
		case referenceServed:
			known = served[r.name]
		case referenceCalled:
			known = called[r.name]
		}
		if !known {
			p.reportUnknown(r)
		}
	}
}

// reportUnknown reports a name that no rule defines, unless a faulty rule would
// have done so.
func (p *parser) reportUnknown(r reference) {
	var source definition
	var message string
	switch r.kind {
	case referenceDataCentre:
		source = definition{ruleDataCentre, r.name}
		message = "unknown data centre %q"
	case referenceModel:
		source = definition{ruleModel, r.name}
		message = "unknown model %q"
	case referenceTarget:
		source = definition{ruleTarget, r.name}
		message = "unknown target %q"
	case referenceServed:
		source = definition{keyword: ruleTarget}
		message = "unknown service %q: no target has it"
	case referenceCalled:
		source = definition{keyword: ruleCall}
		message = "unknown service %q: no call has it"
	}
	if !p.broken[source] {
		p.errors.add(r.line, r.column, message, r.name)
	}
}
