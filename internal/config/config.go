// Package config distributes the operators' rules. It keeps the highest valid
// version received from the configuration service or any peer in force, passes it
// on between peers, and keeps a new instance from taking work until it has asked
// its peers for their versions.
//
// Store, Gate and the reader election hold the decision logic and use neither I/O
// nor a clock. Watcher does the I/O: one goroutine watches the configuration
// service, a pool of workers sends requests to peers, and one goroutine runs the
// coordinator, which owns the instance list, the peers' versions and the gate. The
// channels to the coordinator are bounded. An observation that finds its channel
// full is dropped, because the peer's next heartbeat repeats it. A new list or role
// replaces one that has not been read yet. The Store is shared by all goroutines
// and safe for concurrent use.
package config

import (
	"crypto/sha256"
	"encoding/base64"
)

// digestBytes is the number of leading bytes of the SHA-256 sum used as digest.
const digestBytes = 16

// Digest returns the digest of a document's text, 22 characters of unpadded
// base64url.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}
