package config

import (
	"fmt"

	"github.com/pkg/errors"
)

// InvalidError says that a version was refused whole, because its document is
// faulty. The earlier version stays in force.
type InvalidError struct {
	Version uint64
	// Source says where the version came from.
	Source string
	// Err is the fault, for a document's rules an *rules.Errors.
	Err error
}

// Error returns the version, its source and the fault.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("config: version %d from %s refused: %v", e.Version, e.Source, e.Err)
}

// Unwrap returns the fault.
func (e *InvalidError) Unwrap() error { return e.Err }

// ConflictError says that two documents have the same version. The one that came
// first stays in force.
type ConflictError struct {
	Version uint64
	Source  string
	// CurrentDigest and Offered are the digests of the two documents.
	CurrentDigest string
	OfferedDigest string
}

// Error returns the version, the source and both digests.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: version %d from %s has digest %s, but %s is in force", e.Version, e.Source, e.OfferedDigest, e.CurrentDigest)
}

// Errors of patches.
var (
	// ErrPatchBase says that a patch was made for another text.
	ErrPatchBase = errors.New("config: the patch is for another text")
	// ErrPatchDamaged says that a patch cannot be read or gives a text with
	// another digest than it states.
	ErrPatchDamaged = errors.New("config: the patch is damaged")
)
