package ingress

import (
	"sync/atomic"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// drainRetryAfter is the retry delay sent to callers that must connect to another instance.
const drainRetryAfter = 50 * time.Millisecond

// drainState is the state of a graceful stop.
type drainState struct {
	// active is the number of requests being served.
	active atomic.Int64
	// refuseStreamsFrom and refuseAllFrom are the instants from which new streams and other
	// new requests are refused, 0 until a graceful stop begins.
	refuseStreamsFrom, refuseAllFrom atomic.Int64
}

// started reports whether the graceful stop has begun.
func (s *drainState) started() bool { return s.refuseAllFrom.Load() != 0 }

// refuses reports whether a new request arrives too late to finish before the process
// stops.
func (s *drainState) refuses(isStream bool, now clock.Instant) bool {
	from := s.refuseAllFrom.Load()
	if isStream {
		from = s.refuseStreamsFrom.Load()
	}
	return from != 0 && int64(now) >= from
}

// StartDrain begins a graceful stop: from now on each response closes its connection, so
// that callers connect to another instance. New streams are served for streamsFor, other new
// requests for allFor. Later ones are refused, since the process might stop before they
// finish.
func (h *Handler) StartDrain(streamsFor, allFor time.Duration) {
	now := h.options.Now()
	h.drain.refuseStreamsFrom.Store(int64(now.Add(streamsFor)))
	h.drain.refuseAllFrom.Store(int64(now.Add(allFor)))
}

// Active returns the number of requests being served.
func (h *Handler) Active() int64 { return h.drain.active.Load() }
