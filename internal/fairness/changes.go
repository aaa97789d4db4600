package fairness

import "medlarwind.dev/medlarwind/internal/fleet"

// recordKind tells what a record carries.
type recordKind uint8

const (
	ownCounter recordKind = iota
	endedCounter
	foldedSum
	lift
)

// recordID names a record in the change order; noRecord is none.
type recordID int32

const noRecord recordID = -1

// record is one register that peers are told, in the list of all such in the order
// of their last change.
type record struct {
	kind        recordKind
	customer    int32
	incarnation fleet.Incarnation
	// version is that of the last change, 0 before the first.
	version    uint64
	prev, next recordID
}

// changeOrder is a doubly linked list of records in one array.
type changeOrder struct {
	records     []record
	free        []recordID
	first, last recordID
	latest      uint64
}

func newChangeOrder() changeOrder { return changeOrder{first: noRecord, last: noRecord} }

// add makes a record without a change.
func (o *changeOrder) add(r record) recordID {
	r.prev, r.next = noRecord, noRecord
	if n := len(o.free); n > 0 {
		id := o.free[n-1]
		o.free = o.free[:n-1]
		o.records[id] = r
		return id
	}
	o.records = append(o.records, r)
	return recordID(len(o.records) - 1)
}

// remove takes a record out for good.
func (o *changeOrder) remove(id recordID) {
	o.unlink(id)
	o.records[id] = record{}
	o.free = append(o.free, id)
}

// touch moves a record to the end of the order and gives it a new version.
func (o *changeOrder) touch(id recordID) {
	o.unlink(id)
	o.latest++
	r := &o.records[id]
	r.version = o.latest
	r.prev = o.last
	if o.last == noRecord {
		o.first = id
	} else {
		o.records[o.last].next = id
	}
	o.last = id
}

func (o *changeOrder) unlink(id recordID) {
	r := &o.records[id]
	if r.version == 0 {
		return
	}
	if r.prev == noRecord {
		o.first = r.next
	} else {
		o.records[r.prev].next = r.next
	}
	if r.next == noRecord {
		o.last = r.prev
	} else {
		o.records[r.next].prev = r.prev
	}
	r.prev, r.next, r.version = noRecord, noRecord, 0
}

// after returns the oldest record changed after version v. O(1) when none or all
// are, else O(records changed since).
func (o *changeOrder) after(v uint64) recordID {
	if v == 0 {
		return o.first
	}
	found := noRecord
	for id := o.last; id != noRecord && o.records[id].version > v; id = o.records[id].prev {
		found = id
	}
	return found
}
