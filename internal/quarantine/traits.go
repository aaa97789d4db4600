package quarantine

import "fmt"

// Traits identify a request and what it shares with others. Keys are hashes that all
// instances compute alike.
type Traits struct {
	// Whole is the key of the request's customer and content.
	Whole uint64
	// Parts are the keys of the shared parts of the prompt, in their order. A part has another key
	// at each service.
	Parts []uint64
	// Groups are, for each of Parts, the key that the part has in common at all services, 0 or left
	// out for none.
	Groups []uint64
	// Customer identifies the customer.
	Customer uint32
}

// request returns a short identity of the request.
func (t *Traits) request() uint32 { return uint32(t.Whole) }

// group returns the common key of the part with index i, 0 for none.
func (t *Traits) group(i int) uint64 {
	if i < len(t.Groups) {
		return t.Groups[i]
	}
	return 0
}

// FormatTrait formats the key of a trait for logs.
func FormatTrait(key uint64) string { return fmt.Sprintf("%016x", key) }
