package ingress

import (
	"strconv"

	"github.com/pkg/errors"
)

// minConsecutiveEvents is the number of events from which ids that always rose by one are taken
// to rise by one in the rest of the stream, too.
const minConsecutiveEvents = 2

// streamPosition is the place in a stream up to which the caller has its events. Another run may
// continue the stream only after a known place, which takes numeric ids that increase. The zero
// value is the start of the stream.
type streamPosition struct {
	// events is the number of events with an id, first and last are the ids of the first and the
	// last of them.
	events      uint64
	first, last uint64
	// unplaced is set while the last event has no id, unordered once the ids have not increased.
	unplaced, unordered bool
}

// isKnown reports whether another run may continue the stream.
func (p *streamPosition) isKnown() bool { return !p.unplaced && !p.unordered }

// add moves the position behind an event.
func (p *streamPosition) add(e event) {
	if !e.hasContent {
		return
	}
	id, err := strconv.ParseUint(string(e.id), 10, 64)
	p.unplaced = err != nil
	if err != nil {
		return
	}
	p.unordered = p.unordered || p.events > 0 && id <= p.last
	if p.events == 0 {
		p.first = id
	}
	p.events++
	p.last = id
}

// checkNext returns an error if e, an event of another run, cannot be the next one of the stream.
// first says that it is the first event of that run. Later ones may lack an id.
func (p *streamPosition) checkNext(e event, first bool) error {
	if !e.hasContent || p.events == 0 || !first && len(e.id) == 0 {
		return nil
	}
	id, err := strconv.ParseUint(string(e.id), 10, 64)
	switch {
	case err != nil:
		return errors.Errorf("id of resumed event: got %.*q, want a number above %d", maxQuotedBytes, e.id, p.last)
	case id <= p.last:
		return errors.Errorf("id of resumed event: got %d, want one above %d", id, p.last)
	case first && p.isConsecutive() && id != p.last+1:
		return errors.Errorf("id of resumed event: got %d, want %d", id, p.last+1)
	}
	return nil
}

// isConsecutive reports whether the ids have risen by one from event to event.
func (p *streamPosition) isConsecutive() bool {
	return p.events >= minConsecutiveEvents && p.last-p.first == p.events-1
}
