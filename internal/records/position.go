package records

import (
	"cmp"
	"fmt"
)

// Position is a place in the platform's history: a revision within an era. The platform begins a
// new era when it returns from an older copy. It then gives revisions out again, so that two
// revisions can be compared only together with their eras. The zero value is before all others.
// Positions are equal by == only if they name the same content.
type Position struct {
	era, revision uint64
}

// NewPosition returns the position of a revision within an era, 0 for a platform without eras.
func NewPosition(era, revision uint64) Position { return Position{era: era, revision: revision} }

// Era returns the era, for logs and messages.
func (p Position) Era() uint64 { return p.era }

// Revision returns the revision within the era, for logs and messages.
func (p Position) Revision() uint64 { return p.revision }

// IsZero reports whether p is the position of an empty copy.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns -1, 0 or 1. Any position of a later era is newer.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.revision, q.revision))
}

// After reports whether p is newer than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// SharesHistory reports whether changes can lead from one position to the other.
func (p Position) SharesHistory(q Position) bool { return p.era == q.era }

func (p Position) String() string { return fmt.Sprintf("revision %d of era %d", p.revision, p.era) }
