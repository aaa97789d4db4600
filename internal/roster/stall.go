package roster

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// maxExcused limits the silence of a member that is put down to this instance's own stalls, so
// that a member that has ended does not stay in callers' directory answers for long.
const maxExcused = 3500 * time.Millisecond

// stall is a time in which this instance did not run.
type stall struct{ begin, end clock.Instant }

// NoteStall records that this instance did not run for d up to now. What members sent meanwhile
// may still wait to be read: their silence in that time says nothing.
func (r *Roster) NoteStall(d time.Duration, now clock.Instant) {
	kept := r.stalls[:0]
	for _, s := range r.stalls {
		if now.Sub(s.end) <= RelayedUnreachableAfter+maxExcused {
			kept = append(kept, s)
		}
	}
	r.stalls = append(kept, stall{begin: now.Add(-d), end: now})
}

// isAlive reports whether a member counts as alive.
func (r *Roster) isAlive(m *Member, now clock.Instant) bool {
	silence := now.Sub(m.LastSeen)
	if silence <= r.unreachableAfter() {
		return true
	}
	var excused time.Duration
	for _, s := range r.stalls {
		if s.end > m.LastSeen {
			excused += s.end.Sub(max(s.begin, m.LastSeen))
		}
	}
	return silence-min(excused, maxExcused) <= r.unreachableAfter()
}
