// Package config brings the operators' rules into force: it keeps the highest
// valid version seen from the configuration service or any peer, spreads it
// between peers, and holds a new instance back until it has asked its peers.
//
// Store, Gate and the election are the decisions, without I/O or clock. Watcher
// is the edge: one goroutine watches the configuration service, some ask peers,
// and one coordinates. The coordinator owns the list, the peers' versions and the
// gate. Its channels are bounded: an observation that finds its channel full is
// dropped, since the peer's next heartbeat repeats it, and a list or a role
// replaces the one not yet read. The Store is shared and safe for all of them.
package config

import (
	"crypto/sha256"
	"encoding/base64"
)

// digestBytes is the length of the part of the SHA-256 that makes a digest.
const digestBytes = 16

// Digest returns the digest of a document's text: 22 characters.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}
