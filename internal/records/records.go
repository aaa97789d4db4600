// Package records keeps a copy of the records that the platform publishes: the
// operators' configuration and the targets' entries. The revision of the copy never
// decreases, and the copy records when it was last confirmed to be current.
//
// A Copy is safe for concurrent use. A Follower updates it from the platform; instances
// that do not read the platform take the copy of a peer.
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
	// maxDecodedBytes bounds the decompressed size of a copy received from a peer.
	maxDecodedBytes = 16 << 20
	// maxDecodedRecords bounds the number of records received from a peer at once. An empty
	// record takes 100 times its size in memory.
	maxDecodedRecords = 50000
	// maxDecodedCommas bounds the elements of the list, whatever they are. A record has four
	// fields.
	maxDecodedCommas = 4 * maxDecodedRecords
	// maxRecentChanges bounds the changes kept for peers that lag behind. It covers 20 s at
	// 12 changes a second, four times the mean rate of changes to the targets of large sites.
	maxRecentChanges = 256
)

// Change is a record as written at a revision, or its deletion.
type Change struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// Copy holds all records as of one revision.
type Copy struct {
	mu          sync.RWMutex
	revision    uint64
	confirmedAt clock.Instant
	records     map[string]Change
	changed     chan struct{}
	// recent holds the changes after revision recentAfter, in order of revision.
	recent      []Change
	recentAfter uint64
	// encoded caches the copy of encodedRevision as encoded for peers, because all
	// instances of a data centre request the same one.
	encoded         []byte
	encodedRevision uint64
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{records: make(map[string]Change), changed: make(chan struct{}, 1)}
}

// State returns the copy's revision, 0 for an empty copy, and the time at which the last
// read that confirmed it as the newest was sent.
func (c *Copy) State() (revision uint64, confirmedAt clock.Instant) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision, c.confirmedAt
}

// Changed returns a channel that receives a value after a change. Several changes may share
// one value.
func (c *Copy) Changed() <-chan struct{} { return c.changed }

// All returns the records sorted by key.
func (c *Copy) All() []Change {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.sortedRecords()
}

// sortedRecords returns the records sorted by key. c.mu must be held.
func (c *Copy) sortedRecords() []Change {
	return slices.SortedFunc(maps.Values(c.records), func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

// Replace replaces the copy by all records of a revision that was the newest at confirmedAt.
// It does nothing if the copy is newer.
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

// Apply applies changes that lead from the revision after to revision, which was the newest
// at confirmedAt. It does nothing if the copy is not at the revision after.
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

// Confirm records that revision was the newest at the instant at. It does nothing if the
// copy is at another revision.
func (c *Copy) Confirm(revision uint64, at clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == c.revision {
		c.confirmedAt = max(c.confirmedAt, at)
	}
}

// signal sends to changed unless a value is already pending.
func (c *Copy) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Since returns the changes after a revision and the revision that they lead to. ok is
// false if the copy does not hold all of these changes.
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

// EncodeChanges encodes changes for a peer.
func EncodeChanges(changes []Change) ([]byte, error) {
	text, err := json.Marshal(changes)
	return text, errors.Wrap(err, "encode changes")
}

// DecodeChanges decodes the output of EncodeChanges.
func DecodeChanges(text []byte) ([]Change, error) {
	changes, err := unmarshal(text)
	return changes, errors.Wrap(err, "decode changes")
}

// unmarshal decodes a JSON list of records. It returns an error before it allocates memory for
// more than maxDecodedRecords.
func unmarshal(text []byte) ([]Change, error) {
	// Each record is an object. Braces in keys count, too; values are base64 and have none.
	if n := bytes.Count(text, []byte("{")); n > maxDecodedRecords {
		return nil, errors.Errorf("%d records, want at most %d", n, maxDecodedRecords)
	}
	if n := bytes.Count(text, []byte(",")); n > maxDecodedCommas {
		return nil, errors.Errorf("%d commas, want at most %d", n, maxDecodedCommas)
	}
	var all []Change
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	if len(all) > maxDecodedRecords {
		return nil, errors.Errorf("%d records, want at most %d", len(all), maxDecodedRecords)
	}
	return all, nil
}

// Encode encodes the whole copy for a peer and returns it with its revision. The text is
// cached and shared between callers, which must not modify it.
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

// encodeAll returns the records as gzip-compressed JSON.
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

// Decode decodes the output of Encode.
func Decode(text []byte) ([]Change, error) {
	r, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	decoded, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	if len(decoded) > maxDecodedBytes {
		return nil, errors.Errorf("decode records: more than %d bytes, want at most %d", maxDecodedBytes, maxDecodedBytes)
	}
	all, err := unmarshal(decoded)
	return all, errors.Wrap(err, "decode records")
}
