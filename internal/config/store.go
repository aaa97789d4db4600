package config

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Bounds of the patches that a Store keeps for peers.
const (
	// maxPatches is the number of latest versions that a peer can catch up from
	// with patches.
	maxPatches = 32
	// maxPatchBytes is the length of the kept patches together, in bytes.
	maxPatchBytes = 256 << 10
)

// Snapshot is the configuration in force. It is not changed and may be shared.
type Snapshot struct {
	Version uint64
	// Digest is Digest(Text).
	Digest string
	Text   []byte
	Rules  *rules.Document
	// Source says where the version came from.
	Source string

	compressed func() ([]byte, error)
}

// Outcome says what became of an offered version.
type Outcome int

// The outcomes of an offer.
const (
	// Applied says that the version is now in force.
	Applied Outcome = iota + 1
	// Same says that this version is in force already.
	Same
	// Older says that a higher version is in force.
	Older
	// Conflict says that another document with this version is in force.
	Conflict
	// Invalid says that the document is faulty, whatever its version.
	Invalid
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Same:
		return "same"
	case Older:
		return "older"
	case Conflict:
		return "conflict"
	case Invalid:
		return "invalid"
	}
	return "unknown"
}

// patch leads from one version to the next that was in force.
type patch struct {
	from   uint64
	digest string
	data   []byte
}

// invalidVersion names the version that was last refused as invalid.
type invalidVersion struct {
	version uint64
	digest  string
}

// Store keeps the highest valid version offered to it. Its methods may be called
// from any number of goroutines; Current takes no lock.
type Store struct {
	current     atomic.Pointer[Snapshot]
	lastInvalid atomic.Pointer[invalidVersion]
	changed     chan struct{}

	mu sync.Mutex
	// patches are those that lead to the version in force, the oldest first.
	patches []patch
}

// NewStore returns a store with nothing in force.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}, 1)}
	s.lastInvalid.Store(&invalidVersion{})
	return s
}

// Current returns the configuration in force, nil if there is none yet.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Version returns the version in force, 0 if there is none yet.
func (s *Store) Version() uint64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}

// ShouldFetch reports whether a version that a peer names is worth fetching.
func (s *Store) ShouldFetch(version uint64, digest string) bool {
	return version > s.Version() && *s.lastInvalid.Load() != invalidVersion{version, digest}
}

// Changed returns a channel that receives after a new version is in force. Changes
// that follow one another before it is read are one.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Offer puts a version into force if it is valid and higher than the one in force.
// The source says where it came from. The text must not be changed afterwards.
// The error is nil for Applied, Same and Older, a *ConflictError for Conflict and
// an *InvalidError for Invalid. It takes time in proportion to the text.
func (s *Store) Offer(version uint64, text []byte, source string) (Outcome, error) {
	if version < s.Version() {
		return Older, nil
	}
	return s.offer(version, text, Digest(text), source)
}

// offer is Offer for a text with known digest.
func (s *Store) offer(version uint64, text []byte, digest, source string) (Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 {
		return Invalid, &InvalidError{Source: source, Err: errors.New("there is no version 0")}
	}
	current := s.Current()
	if current != nil && version < current.Version {
		return Older, nil
	}
	if current != nil && version == current.Version {
		if digest == current.Digest {
			return Same, nil
		}
		return Conflict, &ConflictError{Version: version, Source: source, CurrentDigest: current.Digest, OfferedDigest: digest}
	}
	document, err := parseNext(current, text)
	if err != nil {
		return Invalid, s.markInvalid(version, digest, source, err)
	}
	s.apply(&Snapshot{
		Version: version, Digest: digest, Text: text, Rules: document, Source: source,
		compressed: sync.OnceValues(func() ([]byte, error) { return rules.Encode(text) }),
	})
	return Applied, nil
}

// parseNext parses the text that follows a snapshot, nil for none.
func parseNext(current *Snapshot, text []byte) (*rules.Document, error) {
	if current == nil {
		return rules.Parse(text)
	}
	return rules.Update(current.Rules, current.Text, text)
}

// OfferValue is Offer for a value of the configuration service, which may be
// compressed.
func (s *Store) OfferValue(version uint64, value []byte, source string) (Outcome, error) {
	if version < s.Version() {
		return Older, nil
	}
	text, err := rules.Decode(value)
	if err != nil {
		return Invalid, s.markInvalid(version, Digest(value), source, err)
	}
	return s.Offer(version, text, source)
}

// OfferReply is Offer for a peer's answer to Request. It returns ErrPatchBase if
// another version came into force since the request was made.
func (s *Store) OfferReply(reply wire.ConfigReply, source string) (Outcome, error) {
	if reply.Version <= s.Version() || len(reply.Patches) == 0 && len(reply.Text) == 0 {
		return Older, nil
	}
	if len(reply.Patches) == 0 {
		return s.OfferValue(reply.Version, reply.Text, source)
	}
	current := s.Current()
	if current == nil {
		return Invalid, ErrPatchBase
	}
	text, digest := current.Text, current.Digest
	for _, data := range reply.Patches {
		var err error
		text, digest, err = applyPatch(text, digest, data)
		if err != nil {
			return Invalid, err
		}
	}
	return s.offer(reply.Version, text, digest, source)
}

// Request returns the request for a peer that has a higher version.
func (s *Store) Request() wire.ConfigRequest {
	current := s.Current()
	if current == nil {
		return wire.ConfigRequest{}
	}
	return wire.ConfigRequest{CurrentVersion: current.Version, CurrentDigest: current.Digest}
}

// Answer returns the reply to a peer's request: patches if the asker's version is
// among the latest and they are shorter than the whole document. Settled says that
// this instance takes new work.
func (s *Store) Answer(request wire.ConfigRequest, settled bool) (wire.ConfigReply, error) {
	s.mu.Lock()
	current := s.Current()
	patches, size := s.patchesFrom(request.CurrentVersion, request.CurrentDigest)
	s.mu.Unlock()

	reply := wire.ConfigReply{Settled: settled}
	if current == nil || current.Version <= request.CurrentVersion {
		return reply, nil
	}
	reply.Version, reply.Digest = current.Version, current.Digest
	if request.VersionOnly {
		return reply, nil
	}
	if patches != nil && size < len(current.Text)/8 {
		reply.Patches = patches
		return reply, nil
	}
	text, err := current.compressed()
	if err != nil {
		return wire.ConfigReply{}, err
	}
	reply.Text = text
	return reply, nil
}

// patchesFrom returns the patches that lead from a version to the one in force,
// nil if it is not among the latest, and their length together.
func (s *Store) patchesFrom(version uint64, digest string) (chain [][]byte, size int) {
	for _, p := range s.patches {
		if chain == nil && (p.from != version || p.digest != digest) {
			continue
		}
		chain = append(chain, p.data)
		size += len(p.data)
	}
	return chain, size
}

// markInvalid notes a version that is invalid.
func (s *Store) markInvalid(version uint64, digest, source string, err error) error {
	s.lastInvalid.Store(&invalidVersion{version: version, digest: digest})
	return &InvalidError{Version: version, Source: source, Err: err}
}

// apply puts a snapshot into force.
func (s *Store) apply(next *Snapshot) {
	if current := s.Current(); current != nil {
		s.addPatch(patch{
			from: current.Version, digest: current.Digest,
			data: makePatch(current.Text, next.Text, current.Digest, next.Digest),
		})
	}
	s.current.Store(next)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// addPatch appends a patch and drops the oldest beyond the bounds.
func (s *Store) addPatch(p patch) {
	s.patches = append(s.patches, p)
	size := 0
	first := len(s.patches)
	for first > 0 && len(s.patches)-first < maxPatches {
		size += len(s.patches[first-1].data)
		if size > maxPatchBytes {
			break
		}
		first--
	}
	s.patches = append([]patch(nil), s.patches[first:]...)
}
