package config

import (
	"fmt"

	"github.com/pkg/errors"
)

// InvalidError reports that a version was rejected as a whole because its document
// is invalid. The previous version stays in force.
type InvalidError struct {
	Version uint64
	// Source says where the version came from.
	Source string
	// Err is the cause. For faults in the rules it is a *rules.Errors.
	Err error
}

// Error returns a message with the version, its source and the cause.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("config: version %d from %s refused: %v", e.Version, e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// ConflictError reports that two documents have the same version. The one received
// first stays in force.
type ConflictError struct {
	Version uint64
	Source  string
	// CurrentDigest is the digest of the document in force, and OfferedDigest that of
	// the rejected one.
	CurrentDigest string
	OfferedDigest string
}

// Error returns a message with the version, its source and both digests.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: version %d from %s has digest %s, but %s is in force", e.Version, e.Source, e.OfferedDigest, e.CurrentDigest)
}

// Errors of patches.
var (
	// ErrPatchBase is returned for a patch that was made for another old text.
	ErrPatchBase = errors.New("config: patch was made for another text")
	// ErrPatchDamaged is returned for a patch that is malformed or whose result does
	// not match the digest in it.
	ErrPatchDamaged = errors.New("config: patch is damaged")
)
