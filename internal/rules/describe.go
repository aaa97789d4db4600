package rules

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// The keywords, each of which is the first word of a rule.
const (
	ruleCustomer   = "customer"
	ruleDataCentre = "datacentre"
	ruleModel      = "model"
	ruleTarget     = "target"
	ruleCall       = "call"
	ruleOrder      = "order"
)

// changeOrder is the order in which Diff lists the changes, by keyword.
var changeOrder = []string{ruleDataCentre, ruleCustomer, ruleModel, ruleTarget, ruleCall, ruleOrder}

// printedKeyBytes is the number of leading bytes of a key's hash that a change shows.
const printedKeyBytes = 4

// ruleKey identifies a rule within a document.
type ruleKey struct {
	keyword string
	name    string
}

// ruleDescription is a rule as names and values for output to operators.
type ruleDescription struct {
	fields      []field
	requestedBy string
	line        int
}

// field is one named value of a rule. All rules with the same keyword have the same
// field names in the same order.
type field struct {
	name  string
	value string
}

// describeDocument returns the descriptions of all rules of a document.
func describeDocument(d *Document) map[ruleKey]ruleDescription {
	all := make(map[ruleKey]ruleDescription, len(d.Customers)+len(d.Targets))
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
		all[ruleKey{ruleOrder, name}] = ruleDescription{requestedBy: order.RequestedBy, line: order.Line}
	}
	return all
}

func (c Customer) describe() ruleDescription {
	return ruleDescription{requestedBy: c.RequestedBy, line: c.Line, fields: []field{
		{"share", strconv.Itoa(c.Share)},
		{"queue", strconv.Itoa(c.QueueLimit)},
		{"key", keyPrefix + hex.EncodeToString(c.KeyHash[:printedKeyBytes]) + "..."},
	}}
}

func (d DataCentre) describe() ruleDescription {
	return ruleDescription{requestedBy: d.RequestedBy, line: d.Line, fields: []field{
		{"region", string(d.Region)},
		{"service", choose(d.OutOfService, "out", "in")},
	}}
}

func (m Model) describe() ruleDescription {
	return ruleDescription{requestedBy: m.RequestedBy, line: m.Line, fields: []field{
		{"input", strconv.FormatInt(int64(m.InputWeight), 10)},
		{"output", strconv.FormatInt(int64(m.OutputWeight), 10)},
	}}
}

func (t Target) describe() ruleDescription {
	models := make([]string, len(t.Models))
	for i, model := range t.Models {
		models[i] = string(model)
	}
	workload := "models " + strings.Join(models, ",")
	if t.Service != "" {
		workload = "service " + string(t.Service)
	}
	return ruleDescription{requestedBy: t.RequestedBy, line: t.Line, fields: []field{
		{"datacentre", string(t.DataCentre)},
		{"serves", workload},
		{"limit", strconv.Itoa(t.Limit)},
		{"cold", strconv.Itoa(t.ColdLimit)},
		{"fencing", choose(t.FencingChecked, "checked", "ignored")},
		{"sender", choose(t.SenderChecked, "checked", "ignored")},
	}}
}

func (c Call) describe() ruleDescription {
	return ruleDescription{requestedBy: c.RequestedBy, line: c.Line, fields: []field{
		{"repeat", choose(c.Once, "once", "repeatable")},
		{"cost", strconv.FormatInt(int64(c.Cost), 10)},
	}}
}

// choose returns yes if the condition holds, otherwise no.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func modelWorkload(name string) fleet.Workload {
	return fleet.Workload{Model: fleet.ModelID(name)}
}
