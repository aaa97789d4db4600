package rules

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// The first words of the rules.
const (
	ruleCustomer   = "customer"
	ruleDataCentre = "datacentre"
	ruleModel      = "model"
	ruleTarget     = "target"
	ruleCall       = "call"
	ruleOrder      = "order"
)

// changeOrder is the order in which changes are listed.
var changeOrder = []string{ruleDataCentre, ruleCustomer, ruleModel, ruleTarget, ruleCall, ruleOrder}

// shownKeyBytes is the length of the part of a key's hash that a change shows.
const shownKeyBytes = 4

// ruleKey tells one rule of a document from the others.
type ruleKey struct {
	rule string
	name string
}

// ruleText is one rule as names and values that a reader knows.
type ruleText struct {
	fields  []field
	askedBy string
	line    int
}

// field is one value of a rule. Rules of one kind have the same names in the same
// order.
type field struct {
	name  string
	value string
}

// describeDocument returns every rule of a document.
func describeDocument(d *Document) map[ruleKey]ruleText {
	all := make(map[ruleKey]ruleText, len(d.Customers)+len(d.Targets))
	for id, dataCentre := range d.DataCentres {
		all[ruleKey{ruleDataCentre, string(id)}] = dataCentre.describe()
	}
	for id, customer := range d.Customers {
		all[ruleKey{ruleCustomer, string(id)}] = customer.describe()
	}
	for id, model := range d.Models {
		all[ruleKey{ruleModel, string(id)}] = model.describe()
	}
	for id, target := range d.Targets {
		all[ruleKey{ruleTarget, string(id)}] = target.describe()
	}
	for key, call := range d.Calls {
		all[ruleKey{ruleCall, key.String()}] = call.describe()
	}
	for _, order := range d.Orders {
		name := fmt.Sprintf("%s %s on %s", order.Kind, order.Name, order.Target)
		all[ruleKey{ruleOrder, name}] = ruleText{askedBy: order.RequestedBy, line: order.Line}
	}
	return all
}

func (c Customer) describe() ruleText {
	return ruleText{askedBy: c.RequestedBy, line: c.Line, fields: []field{
		{"share", strconv.Itoa(c.Share)},
		{"queue", strconv.Itoa(c.QueueLimit)},
		{"key", keyPrefix + hex.EncodeToString(c.KeyHash[:shownKeyBytes]) + "..."},
	}}
}

func (d DataCentre) describe() ruleText {
	return ruleText{askedBy: d.RequestedBy, line: d.Line, fields: []field{
		{"region", string(d.Region)},
		{"service", either(d.OutOfService, "out", "in")},
	}}
}

func (m Model) describe() ruleText {
	return ruleText{askedBy: m.RequestedBy, line: m.Line, fields: []field{
		{"input", strconv.FormatInt(int64(m.InputWeight), 10)},
		{"output", strconv.FormatInt(int64(m.OutputWeight), 10)},
	}}
}

func (t Target) describe() ruleText {
	models := make([]string, len(t.Models))
	for i, model := range t.Models {
		models[i] = string(model)
	}
	workload := "models " + strings.Join(models, ",")
	if t.Service != "" {
		workload = "service " + string(t.Service)
	}
	return ruleText{askedBy: t.RequestedBy, line: t.Line, fields: []field{
		{"datacentre", string(t.DataCentre)},
		{"serves", workload},
		{"limit", strconv.Itoa(t.Limit)},
		{"cold", strconv.Itoa(t.ColdLimit)},
		{"fencing", either(t.FencingChecked, "checked", "ignored")},
		{"sender", either(t.SenderChecked, "checked", "ignored")},
	}}
}

func (c Call) describe() ruleText {
	return ruleText{askedBy: c.RequestedBy, line: c.Line, fields: []field{
		{"repeat", either(c.Once, "once", "repeatable")},
		{"cost", strconv.FormatInt(int64(c.Cost), 10)},
	}}
}

func either(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func modelWorkload(name string) fleet.Workload {
	return fleet.Workload{Model: fleet.ModelID(name)}
}
