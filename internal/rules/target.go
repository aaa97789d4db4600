package rules

import (
	"slices"
	"strings"

	"medlarwind.dev/medlarwind/internal/fleet"
)

func (p *parser) parseTarget(c *cursor) {
	name := c.name("target")
	c.keyword("datacentre")
	dataCentre := c.name("data centre")
	target := Target{
		ID: fleet.TargetID(name.text), DataCentre: fleet.DataCentreID(dataCentre.text),
		RequestedBy: c.comment, Line: c.line,
	}
	p.parseWorkload(c, &target)
	parseTargetLimits(c, &target)
	target.FencingChecked = parseChecked(c, "fencing")
	target.SenderChecked = parseChecked(c, "sender")
	if !c.finish() {
		return
	}
	if first, seen := p.document.Targets[target.ID]; seen {
		c.failDuplicate(name, "target", first.Line)
		return
	}
	p.document.Targets[target.ID] = target
	p.refer(referenceDataCentre, dataCentre.text, c.line, dataCentre.column)
}

// parseWorkload reads "serves MODEL,MODEL" or "service SERVICE".
func (p *parser) parseWorkload(c *cursor, target *Target) {
	if c.choice("serves", "service") == "serves" {
		target.Models = p.parseModels(c)
		return
	}
	service := c.name("service")
	if !c.failed && strings.Contains(service.text, ".") {
		c.fail(service, "the name of a service has no '.'")
	}
	target.Service = fleet.ServiceID(service.text)
	if !c.failed {
		p.refer(referenceCalled, service.text, c.line, service.column)
	}
}

// parseModels reads a list of models separated by commas. Equal lists share one
// slice.
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
		p.refer(referenceModel, string(model), c.line, column)
		column += len(model) + 1
	}
	return models
}

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
			c.fail(at, "bad name %q", part)
		case slices.Contains(models, model):
			c.fail(at, "model %q is listed twice", part)
		}
		models = append(models, model)
	}
	return models
}

// parseTargetLimits reads "limit N cold N".
func parseTargetLimits(c *cursor, target *Target) {
	c.keyword("limit")
	target.Limit = c.number("limit", MaxTargetLimit)
	c.keyword("cold")
	cold := token{column: c.tokens[len(c.tokens)-1].column}
	if c.at < len(c.tokens) {
		cold = c.tokens[c.at]
	}
	target.ColdLimit = c.number("cold", MaxTargetLimit)
	if target.ColdLimit > target.Limit {
		c.fail(cold, "cold %d is above limit %d", target.ColdLimit, target.Limit)
	}
}

// parseChecked reads "WORD checked" or "WORD ignored"; left out it means ignored.
func parseChecked(c *cursor, word string) bool {
	if c.peek() != word {
		return false
	}
	c.keyword(word)
	return c.choice("checked", "ignored") == "checked"
}
