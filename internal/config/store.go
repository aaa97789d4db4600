package config

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Bounds on the patches that a Store keeps for peers.
const (
	// maxPatches is the number of previous versions from which a peer can be updated
	// with patches.
	maxPatches = 32
	// maxPatchBytes bounds the total length of the kept patches.
	maxPatchBytes = 256 << 10
)

// Snapshot is one version of the configuration. It is immutable and may be shared.
type Snapshot struct {
	Version uint64
	// Digest is Digest(Text).
	Digest string
	Text   []byte
	Rules  *rules.Document
	// Source is where the version came from: SourceService or a peer.
	Source string

	// compressed returns the compressed text, which it computes on the first call.
	compressed func() ([]byte, error)
}

// Outcome is the result of offering a version to a Store.
type Outcome int

// The outcomes of an offer.
const (
	// Applied means that the version is now in force.
	Applied Outcome = iota + 1
	// Same means that this version was already in force.
	Same
	// Older means that a higher version is in force.
	Older
	// Conflict means that another document with this version is in force.
	Conflict
	// Invalid means that the document or a patch is invalid.
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

// patch turns the text of one version into that of its successor.
type patch struct {
	from   uint64
	digest string
	data   []byte
}

// invalidVersion identifies a document that was rejected as invalid.
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
	// patches is the chain of patches that ends at the version in force, the oldest
	// first.
	patches []patch
}

// NewStore returns an empty store.
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

// ShouldFetch reports whether a version that a peer reports should be fetched: it is
// higher than the one in force and was not the last to be rejected as invalid.
func (s *Store) ShouldFetch(version uint64, digest string) bool {
	return version > s.Version() && *s.lastInvalid.Load() != invalidVersion{version, digest}
}

// Changed returns a channel that receives a value after a new version has come into
// force. Changes that happen before the value is read are coalesced.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Offer puts a version into force if it is valid and higher than the one in force.
// source is where the version came from. The text must not be changed afterwards.
// The error is nil for Applied, Same and Older, a *ConflictError for Conflict and
// an *InvalidError for Invalid. Offer takes time proportional to the text's length.
func (s *Store) Offer(version uint64, text []byte, source string) (Outcome, error) {
	if version < s.Version() {
		return Older, nil
	}
	return s.offer(version, text, Digest(text), source)
}

// offer is like Offer, for a text whose digest is known.
func (s *Store) offer(version uint64, text []byte, digest, source string) (Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 {
		return Invalid, &InvalidError{Source: source, Err: errors.New("version must not be 0")}
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

// parseNext parses the text that replaces current, which may be nil.
func parseNext(current *Snapshot, text []byte) (*rules.Document, error) {
	if current == nil {
		return rules.Parse(text)
	}
	return rules.Update(current.Rules, current.Text, text)
}

// OfferValue is like Offer, for a value of the configuration service, which may be
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

// OfferReply is like Offer, for a peer's reply to a request made by Request. The
// error is ErrPatchBase if another version has come into force since the request was
// made, and ErrPatchDamaged if a patch is damaged.
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

// Request returns the request to send to a peer that has a higher version.
func (s *Store) Request() wire.ConfigRequest {
	current := s.Current()
	if current == nil {
		return wire.ConfigRequest{}
	}
	return wire.ConfigRequest{CurrentVersion: current.Version, CurrentDigest: current.Digest}
}

// Answer returns the reply to a peer's request. It contains patches if the
// requester's version is one that the store has patches from and they are shorter
// than an eighth of the document, otherwise the whole document, compressed. It
// contains no content if VersionOnly is set, and neither version nor content if the
// store has no higher version than the requester. settled states whether this
// instance takes new work.
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

// patchesFrom returns the chain of patches from a version to the one in force and
// its total length in bytes. The chain is nil if no patch starts at that version.
// s.mu must be held.
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

// markInvalid records a version as the last one rejected as invalid, so that it is
// not fetched again, and returns an *InvalidError.
func (s *Store) markInvalid(version uint64, digest, source string, err error) error {
	s.lastInvalid.Store(&invalidVersion{version: version, digest: digest})
	return &InvalidError{Version: version, Source: source, Err: err}
}

// apply puts a snapshot into force. s.mu must be held.
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

// addPatch appends a patch and drops the oldest ones that exceed the bounds. s.mu
// must be held.
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
