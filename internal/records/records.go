// Package records keeps a copy of the records that the platform publishes: the
// operators' configuration and the targets' entries. The copy only moves forward and
// knows at what instant it was last proved to be complete.
//
// A Copy is safe for concurrent use. The Follower reads the platform; instances that
// cannot reach it take the copy of a peer.
package records

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/clock"
)

const (
	// maxEncodedBytes bounds a copy that a peer hands over, in bytes.
	maxEncodedBytes = 16 << 20
	// maxRecentChanges bounds the changes that are kept for peers that lag behind: 20 s of
	// 12 a second, four times what the large sites' targets change by on the mean.
	maxRecentChanges = 256
)

// Change is one record as it was written, or its deletion.
type Change struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// Copy holds the records of one revision.
type Copy struct {
	mu          sync.RWMutex
	revision    uint64
	confirmedAt clock.Instant
	records     map[string]Change
	changed     chan struct{}
	// recent are the changes after revision recentAfter, in the order of revisions.
	recent      []Change
	recentAfter uint64
	// encoded is the whole copy of encodedRevision as peers get it: the instances of a
	// data centre ask for the same one.
	encoded         []byte
	encodedRevision uint64
}

// NewCopy returns a copy that knows nothing.
func NewCopy() *Copy {
	return &Copy{records: make(map[string]Change), changed: make(chan struct{}, 1)}
}

// State returns the copy's revision, 0 for none, and the instant of the sending of
// the read that last proved it to be the newest.
func (c *Copy) State() (revision uint64, confirmedAt clock.Instant) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision, c.confirmedAt
}

// Changed receives a value after a change.
func (c *Copy) Changed() <-chan struct{} { return c.changed }

// All returns the records in the order of their keys.
func (c *Copy) All() []Change {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.sortedRecords()
}

func (c *Copy) sortedRecords() []Change {
	return slices.SortedFunc(maps.Values(c.records), func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

// Replace takes in all records of a revision, unless it is older than the copy.
func (c *Copy) Replace(all []Change, revision uint64, confirmedAt clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.revision {
		return
	}
	if revision > c.revision {
		c.records = make(map[string]Change, len(all))
		for _, r := range all {
			c.records[r.Key] = r
		}
		c.revision = revision
		c.recent, c.recentAfter = nil, revision
		c.signal()
	}
	c.confirmedAt = max(c.confirmedAt, confirmedAt)
}

// Apply takes in the changes after revision after, up to revision. It does nothing
// when the copy has moved on from after.
func (c *Copy) Apply(after uint64, changes []Change, revision uint64, confirmedAt clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != after || revision < after {
		return
	}
	for _, change := range changes {
		if change.Deleted {
			delete(c.records, change.Key)
		} else {
			c.records[change.Key] = change
		}
	}
	c.recent = append(c.recent, changes...)
	if excess := len(c.recent) - maxRecentChanges; excess > 0 {
		c.recentAfter = c.recent[excess-1].Revision
		c.recent = slices.Clone(c.recent[excess:])
	}
	c.revision = revision
	c.confirmedAt = max(c.confirmedAt, confirmedAt)
	if len(changes) > 0 {
		c.signal()
	}
}

// Confirm notes that revision was the newest at an instant.
func (c *Copy) Confirm(revision uint64, at clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == c.revision {
		c.confirmedAt = max(c.confirmedAt, at)
	}
}

func (c *Copy) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Since returns the changes after a revision and the revision that they lead to; false
// if they are no longer known.
func (c *Copy) Since(after uint64) (changes []Change, revision uint64, ok bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if after == 0 || after < c.recentAfter || after > c.revision {
		return nil, 0, false
	}
	for _, change := range c.recent {
		if change.Revision > after {
			changes = append(changes, change)
		}
	}
	return changes, c.revision, true
}

// EncodeChanges returns changes in the form that peers hand over.
func EncodeChanges(changes []Change) ([]byte, error) {
	text, err := json.Marshal(changes)
	return text, errors.Wrap(err, "encode changes")
}

// DecodeChanges reads what EncodeChanges wrote.
func DecodeChanges(text []byte) ([]Change, error) {
	var changes []Change
	return changes, errors.Wrap(json.Unmarshal(text, &changes), "decode changes")
}

// Encode returns the whole copy in the form that peers hand over. The text is shared
// and must not be changed.
func (c *Copy) Encode() (revision uint64, text []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encodedRevision == c.revision && c.encoded != nil {
		return c.revision, c.encoded, nil
	}
	text, err = encodeAll(c.sortedRecords())
	if err != nil {
		return 0, nil, err
	}
	c.encoded, c.encodedRevision = text, c.revision
	return c.revision, text, nil
}

func encodeAll(all []Change) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(all); err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return out.Bytes(), nil
}

// Decode reads what Encode wrote.
func Decode(text []byte) ([]Change, error) {
	r, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	var all []Change
	if err := json.NewDecoder(io.LimitReader(r, maxEncodedBytes)).Decode(&all); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	return all, nil
}
