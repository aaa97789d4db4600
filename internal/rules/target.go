package rules

import (
	"slices"
	"strings"

	"medlarwind.dev/medlarwind/internal/fleet"
)

func (p *parser) parseTarget(c *cursor) {
	name := c.name("target")
	c.expect("datacentre")
	dataCentre := c.name("data centre")
	target := Target{
		ID: fleet.TargetID(name.text), DataCentre: fleet.DataCentreID(dataCentre.text),
		RequestedBy: c.comment, Line: c.line,
	}
	p.parseWorkload(c, &target)
	parseTargetLimits(c, &target)
	target.FencingChecked = parseChecked(c, "fencing")
	target.SenderChecked = parseChecked(c, "sender")
	if !c.expectEnd() {
		return
	}
	if first, seen := p.document.Targets[target.ID]; seen {
		c.failDuplicate(name, "target", first.Line)
		return
	}
	p.document.Targets[target.ID] = target
	p.addReference(referenceDataCentre, dataCentre.text, c.line, dataCentre.column)
}

// parseWorkload parses "serves MODEL,MODEL" or "service SERVICE".
func (p *parser) parseWorkload(c *cursor, target *Target) {
	if c.oneOf("serves", "service") == "serves" {
		target.Models = p.parseModels(c)
		return
	}
	service := c.name("service")
	if !c.failed && strings.Contains(service.text, ".") {
		c.fail(service, "the name of a service must not contain '.'")
	}
	target.Service = fleet.ServiceID(service.text)
	if !c.failed {
		p.addReference(referenceCallService, service.text, c.line, service.column)
	}
}

// parseModels parses a comma-separated list of models. Lists with the same text share
// one slice.
func (p *parser) parseModels(c *cursor) []fleet.ModelID {
	t := c.next()
	if c.failed {
		return nil
	}
	models, known := p.models[t.text]
	if !known {
		models = splitModels(c, t)
		if c.failed {
			return nil
		}
		p.models[t.text] = models
	}
	column := t.column
	for _, model := range models {
		p.addReference(referenceModel, string(model), c.line, column)
		column += len(model) + 1
	}
	return models
}

// splitModels splits a list of models and checks each name. It fails on a name that is
// empty, invalid or listed twice.
func splitModels(c *cursor, t token) []fleet.ModelID {
	var models []fleet.ModelID
	column := t.column
	for part := range strings.SplitSeq(t.text, ",") {
		at := token{text: part, column: column}
		column += len(part) + 1
		model := fleet.ModelID(part)
		switch {
		case part == "":
			c.fail(at, "the name of the model is missing")
		case !validName(part):
			c.fail(at, "invalid name %q", part)
		case slices.Contains(models, model):
			c.fail(at, "model %q is listed twice", part)
		}
		models = append(models, model)
	}
	return models
}

// parseTargetLimits parses "limit N cold N".
func parseTargetLimits(c *cursor, target *Target) {
	c.expect("limit")
	target.Limit = c.number("limit", MaxTargetLimit)
	c.expect("cold")
	cold := token{column: c.tokens[len(c.tokens)-1].column}
	if c.position < len(c.tokens) {
		cold = c.tokens[c.position]
	}
	target.ColdLimit = c.number("cold", MaxTargetLimit)
	if target.ColdLimit > target.Limit {
		c.fail(cold, "cold %d is above limit %d", target.ColdLimit, target.Limit)
	}
}

// parseChecked parses the optional "WORD checked" or "WORD ignored" and reports whether
// it is "checked". Without it, the default is "ignored".
func parseChecked(c *cursor, word string) bool {
	if c.peek() != word {
		return false
	}
	c.expect(word)
	return c.oneOf("checked", "ignored") == "checked"
}
