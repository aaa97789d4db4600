package fairness

import "medlarwind.dev/medlarwind/internal/fleet"

// recordKind is the kind of register that a record refers to.
type recordKind uint8

const (
	ownCounter   recordKind = iota // counter of this incarnation
	endedCounter                   // forwarded counter of an ended incarnation
	foldedSum                      // largest sum of folded counters
	lift                           // lift of the customer
)

// recordID is the index of a record in a changeList, or noRecord.
type recordID int32

const noRecord recordID = -1

// record refers to one register that is sent to peers.
type record struct {
	kind        recordKind
	customer    int32
	incarnation fleet.Incarnation
	// version is the version of the last change, 0 before the first.
	version    uint64
	prev, next recordID
}

// changeList is a doubly linked list of records, in the order of their last change. The
// nodes are kept in one slice; free holds the indexes that can be reused.
type changeList struct {
	records       []record
	free          []recordID
	first, last   recordID
	latestVersion uint64
}

func newChangeList() changeList { return changeList{first: noRecord, last: noRecord} }

// add adds a record that has not changed yet and returns its id.
func (l *changeList) add(r record) recordID {
	r.prev, r.next = noRecord, noRecord
	if n := len(l.free); n > 0 {
		id := l.free[n-1]
		l.free = l.free[:n-1]
		l.records[id] = r
		return id
	}
	l.records = append(l.records, r)
	return recordID(len(l.records) - 1)
}

// remove removes a record and frees its id for reuse.
func (l *changeList) remove(id recordID) {
	l.unlink(id)
	l.records[id] = record{}
	l.free = append(l.free, id)
}

// touch moves a record to the end of the list and gives it a new version.
func (l *changeList) touch(id recordID) {
	l.unlink(id)
	l.latestVersion++
	r := &l.records[id]
	r.version = l.latestVersion
	r.prev = l.last
	if l.last == noRecord {
		l.first = id
	} else {
		l.records[l.last].next = id
	}
	l.last = id
}

// unlink takes a record out of the list and resets its version.
func (l *changeList) unlink(id recordID) {
	r := &l.records[id]
	if r.version == 0 {
		return
	}
	if r.prev == noRecord {
		l.first = r.next
	} else {
		l.records[r.prev].next = r.next
	}
	if r.next == noRecord {
		l.last = r.prev
	} else {
		l.records[r.next].prev = r.prev
	}
	r.prev, r.next, r.version = noRecord, noRecord, 0
}

// after returns the oldest record changed after version v, or noRecord. O(1) if v is 0
// or no record changed after v, else O(records changed after v).
func (l *changeList) after(v uint64) recordID {
	if v == 0 {
		return l.first
	}
	found := noRecord
	for id := l.last; id != noRecord && l.records[id].version > v; id = l.records[id].prev {
		found = id
	}
	return found
}
