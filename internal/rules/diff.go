package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the kind of difference of a rule between two documents.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// FieldChange is the change of one value of a rule. Old is empty for an added rule,
// New for a removed one.
type FieldChange struct {
	Name string
	Old  string
	New  string
}

// Change is the difference of one rule between two documents.
type Change struct {
	Kind ChangeKind
	// Keyword is the rule's first word. Name identifies the rule among those with
	// the same keyword.
	Keyword string
	Name    string
	// Fields holds the values that differ. It is empty if only the comment changed,
	// and for orders.
	Fields []FieldChange
	// Effect is a text with the number of targets that a changed or removed data
	// centre or model affects. It is empty for other changes.
	Effect string
	// RequestedBy is the comment of the new rule, or of the old one if it was removed.
	RequestedBy string
	// OldRequestedBy is the comment of the old rule, empty if it was added.
	OldRequestedBy string
	// Line is the line of the new rule, or of the old one if it was removed.
	Line int
}

// String returns the change as one line of text.
func (c Change) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s %s", c.Kind, c.Keyword, c.Name)
	separator := ": "
	for _, field := range c.Fields {
		out.WriteString(separator)
		separator = ", "
		switch c.Kind {
		case Added:
			fmt.Fprintf(&out, "%s %s", field.Name, field.New)
		case Removed:
			fmt.Fprintf(&out, "%s %s", field.Name, field.Old)
		default:
			fmt.Fprintf(&out, "%s %s -> %s", field.Name, field.Old, field.New)
		}
	}
	if c.Effect != "" {
		fmt.Fprintf(&out, "; %s", c.Effect)
	}
	fmt.Fprintf(&out, " (%s)", c.requester())
	return out.String()
}

// requester returns a text that names who asked for the change, according to the
// comments of the rules.
func (c Change) requester() string {
	switch {
	case c.Kind == Removed:
		return "the removed rule was asked for by " + c.RequestedBy
	case c.Kind == Changed && c.RequestedBy == c.OldRequestedBy:
		return "comment unchanged: " + c.RequestedBy
	case c.Kind == Changed:
		return "asked for by " + c.RequestedBy + "; before: " + c.OldRequestedBy
	}
	return "asked for by " + c.RequestedBy
}

// Diff returns the changes from the old document to the new one: data centres,
// customers, models, targets, calls and orders, each sorted by name. It takes time
// linear in the size of both documents, plus the time to sort the changes.
func Diff(old, new *Document) []Change {
	before, after := describeDocument(old), describeDocument(new)
	var changes []Change
	for key, rule := range after {
		earlier, known := before[key]
		if !known {
			changes = append(changes, addedRule(key, rule))
		} else if change, differs := changedRule(key, earlier, rule); differs {
			changes = append(changes, change)
		}
	}
	for key, rule := range before {
		if _, known := after[key]; !known {
			changes = append(changes, removedRule(key, rule))
		}
	}
	for i := range changes {
		changes[i].Effect = affectedTargets(changes[i], old, new)
	}
	slices.SortFunc(changes, compareChanges)
	return changes
}

func addedRule(key ruleKey, rule ruleDescription) Change {
	change := Change{Kind: Added, Keyword: key.keyword, Name: key.name, RequestedBy: rule.requestedBy, Line: rule.line}
	for _, f := range rule.fields {
		change.Fields = append(change.Fields, FieldChange{Name: f.name, New: f.value})
	}
	return change
}

func removedRule(key ruleKey, rule ruleDescription) Change {
	change := Change{
		Kind: Removed, Keyword: key.keyword, Name: key.name,
		RequestedBy: rule.requestedBy, OldRequestedBy: rule.requestedBy, Line: rule.line,
	}
	for _, f := range rule.fields {
		change.Fields = append(change.Fields, FieldChange{Name: f.name, Old: f.value})
	}
	return change
}

// changedRule compares two rules with the same key and returns the change, if any.
// Both must have the same field names in the same order.
func changedRule(key ruleKey, old, new ruleDescription) (change Change, differs bool) {
	change = Change{
		Kind: Changed, Keyword: key.keyword, Name: key.name,
		RequestedBy: new.requestedBy, OldRequestedBy: old.requestedBy, Line: new.line,
	}
	for i, f := range new.fields {
		if earlier := old.fields[i].value; earlier != f.value {
			change.Fields = append(change.Fields, FieldChange{Name: f.name, Old: earlier, New: f.value})
		}
	}
	return change, change.Fields != nil || old.requestedBy != new.requestedBy
}

// affectedTargets returns a text with the number of targets that a changed or removed
// data centre or model affects. It returns "" for other changes.
func affectedTargets(c Change, old, new *Document) string {
	if c.Fields == nil || c.Kind == Added {
		return ""
	}
	document := new
	if c.Kind == Removed {
		document = old
	}
	count := 0
	for _, target := range document.Targets {
		if c.affects(target) {
			count++
		}
	}
	switch c.Keyword {
	case ruleDataCentre:
		return fmt.Sprintf("%d targets there", count)
	case ruleModel:
		return fmt.Sprintf("%d targets serve it", count)
	}
	return ""
}

// affects reports whether the change concerns a data centre or model of the target.
func (c Change) affects(target Target) bool {
	switch c.Keyword {
	case ruleDataCentre:
		return string(target.DataCentre) == c.Name
	case ruleModel:
		return target.Serves(modelWorkload(c.Name))
	}
	return false
}

func compareChanges(a, b Change) int {
	return cmp.Or(
		cmp.Compare(slices.Index(changeOrder, a.Keyword), slices.Index(changeOrder, b.Keyword)),
		cmp.Compare(a.Name, b.Name),
	)
}
