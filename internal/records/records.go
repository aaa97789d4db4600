// Package records keeps a copy of the records that the platform publishes: the
// operators' configuration and the targets' entries. The position of the copy never goes
// back, and the copy records when it was last confirmed to be current.
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
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
	// Revision is comparable only within the era of the copy that holds the record.
	Revision uint64 `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// Copy holds all records as of one position.
type Copy struct {
	mu          sync.RWMutex
	position    Position
	confirmedAt clock.Instant
	records     map[string]Change
	changed     chan struct{}
	// recent holds the changes after recentAfter, in order of revision. All of them are of
	// one era.
	recent      []Change
	recentAfter Position

	// encoded caches the copy of encodedAt as encoded for peers, because all instances of a
	// data centre request the same one.
	encoded   []byte
	encodedAt Position
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{records: make(map[string]Change), changed: make(chan struct{}, 1)}
}

// State returns the copy's position and the time at which the last read that confirmed it as
// the newest was sent.
func (c *Copy) State() (at Position, confirmedAt clock.Instant) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.position, c.confirmedAt
}

// Changed returns a channel that receives a value after the position has moved, even if no
// record has changed. Several moves may share one value.
func (c *Copy) Changed() <-chan struct{} { return c.changed }

// All returns the copy's position and its records sorted by key.
func (c *Copy) All() (Position, []Change) {
	at, _, all := c.Snapshot()
	return at, all
}

// Snapshot returns State and the records sorted by key.
func (c *Copy) Snapshot() (at Position, confirmedAt clock.Instant, all []Change) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.position, c.confirmedAt, c.sortedRecords()
}

// sortedRecords returns the records sorted by key. c.mu must be held.
func (c *Copy) sortedRecords() []Change {
	return slices.SortedFunc(maps.Values(c.records), func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

// Replace replaces the copy by all records of a position that was the newest at confirmedAt.
// It does nothing and returns false if the copy is newer.
func (c *Copy) Replace(all []Change, at Position, confirmedAt clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position.After(at) {
		return false
	}
	if at.After(c.position) {
		c.records = make(map[string]Change, len(all))
		for _, r := range all {
			c.records[r.Key] = r
		}
		c.position = at
		c.recent, c.recentAfter = nil, at
		c.signal()
	}
	c.confirmedAt = max(c.confirmedAt, confirmedAt)
	return true
}

// Apply applies changes that lead from one position to a later one of the same era, which was
// the newest at confirmedAt. It does nothing and returns false if the copy is not at the
// position from, or if no changes lead from there to the position to.
func (c *Copy) Apply(from Position, changes []Change, to Position, confirmedAt clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position != from || !from.SharesHistory(to) || from.After(to) {
		return false
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
		c.recentAfter = NewPosition(to.Era(), c.recent[excess-1].Revision)
		c.recent = slices.Clone(c.recent[excess:])
	}
	c.position = to
	c.confirmedAt = max(c.confirmedAt, confirmedAt)
	if to != from || len(changes) > 0 {
		c.signal()
	}
	return true
}

// Confirm records that a position was the newest at the instant confirmedAt. It does nothing
// if the copy is at another position.
func (c *Copy) Confirm(at Position, confirmedAt clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at == c.position {
		c.confirmedAt = max(c.confirmedAt, confirmedAt)
	}
}

// signal sends to changed unless a value is already pending.
func (c *Copy) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Since returns the changes after a position and the position that they lead to. ok is false
// if the copy does not hold all of these changes.
func (c *Copy) Since(from Position) (changes []Change, to Position, ok bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if from.IsZero() || !from.SharesHistory(c.position) || c.recentAfter.After(from) || from.After(c.position) {
		return nil, Position{}, false
	}
	for _, change := range c.recent {
		if change.Revision > from.Revision() {
			changes = append(changes, change)
		}
	}
	return changes, c.position, true
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

// Encode encodes the whole copy for a peer and returns it with its position. The text is
// cached and shared between callers, which must not modify it.
func (c *Copy) Encode() (at Position, text []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encodedAt == c.position && c.encoded != nil {
		return c.position, c.encoded, nil
	}
	text, err = encodeAll(c.sortedRecords())
	if err != nil {
		return Position{}, nil, err
	}
	c.encoded, c.encodedAt = text, c.position
	return c.position, text, nil
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
