package quarantine

// Clone returns a copy for Check, which notes when a refused trait was last asked for. Only the records are copied;
// nothing must be recorded in the copy.
func (e *Evidence) Clone() *Evidence {
	c := *e
	c.records = make(map[uint64]*record, len(e.records))
	for key, r := range e.records {
		copied := *r
		c.records[key] = &copied
	}
	return &c
}
