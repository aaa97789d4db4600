package exchange

import "maps"

// Clone returns a copy on which the loads and ages may be read without a change of the table: reading
// sums up the reports again when the sums are old. The copy shares the reports and the usage with the
// table and must not get heartbeats.
func (t *Table) Clone() *Table {
	c := *t
	c.peerLoads, c.relays, c.changes = maps.Clone(t.peerLoads), maps.Clone(t.relays), Changes{}
	return &c
}
