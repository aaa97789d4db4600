package rules

import "medlarwind.dev/medlarwind/internal/fleet"

// referenceKind is the kind of definition that a name refers to.
type referenceKind uint8

const (
	referenceDataCentre referenceKind = iota
	referenceModel
	referenceTarget
	// referenceTargetService is a service that at least one target must serve.
	referenceTargetService
	// referenceCallService is a service for which at least one call must be declared.
	referenceCallService
)

// reference is the use of a name that another rule must define.
type reference struct {
	name   string
	line   int
	column int
	kind   referenceKind
}

// addReference records the use of a name for checkReferences. Names that earlier lines
// define are not recorded, since they need no further check.
func (p *parser) addReference(kind referenceKind, name string, line, column int) {
	if !p.defined(kind, name) {
		p.references = append(p.references, reference{name: name, line: line, column: column, kind: kind})
	}
}

// defined reports whether the lines read so far define the name. It returns false for
// services, which checkReferences looks up after all lines are read.
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

// checkReferences reports each recorded name that no rule defines.
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
		case referenceTargetService:
			known = served[r.name]
		case referenceCallService:
			known = called[r.name]
		}
		if !known {
			p.reportUnknown(r)
		}
	}
}

// reportUnknown reports an undefined name, unless an invalid rule was meant to
// define it.
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
	case referenceTargetService:
		source = definition{keyword: ruleTarget}
		message = "unknown service %q: no target serves it"
	case referenceCallService:
		source = definition{keyword: ruleCall}
		message = "unknown service %q: no call is declared for it"
	}
	if !p.invalid[source] {
		p.errors.add(r.line, r.column, message, r.name)
	}
}
