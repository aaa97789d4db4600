package loadreport

import "maps"

// Clone returns a copy that shares the beliefs but not the set of targets: Of adds a target that it
// does not know. No report must be recorded in the copy.
func (t *Table) Clone() *Table {
	c := *t
	c.targets = maps.Clone(t.targets)
	return &c
}
