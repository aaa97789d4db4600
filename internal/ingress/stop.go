package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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
	// endsAt is the instant at which requests without an answer are ended, 0 until a graceful
	// stop begins.
	endsAt atomic.Int64
	// ended ends when end is called.
	ended context.Context
	end   context.CancelFunc
}

// errStopping is the cause with which the contexts of requests end that have no answer when the
// process stops.
var errStopping = errors.New("instance stops")

// started reports whether the graceful stop has begun.
func (s *drainState) started() bool { return s.refuseAllFrom.Load() != 0 }

// refuses reports whether a new request arrives too late to finish before the process stops.
// deadline is the time up to which the request may take.
func (s *drainState) refuses(isStream bool, deadline, now clock.Instant) bool {
	refuseStreamsFrom := s.refuseStreamsFrom.Load()
	if refuseStreamsFrom == 0 || int64(now) < refuseStreamsFrom {
		return false
	}
	return isStream || int64(now) >= s.refuseAllFrom.Load() || int64(deadline) >= s.endsAt.Load()
}

// StartDrain begins a graceful stop: from now on each response closes its connection, so
// that callers connect to another instance. New requests are served for streamsFor, and later,
// up to allFor, those that are no streams and whose time is up before EndAll is called, after
// endsIn. Others are refused, since the process might stop before they finish.
func (h *Handler) StartDrain(streamsFor, allFor, endsIn time.Duration) {
	now := h.options.Now()
	h.drain.refuseStreamsFrom.Store(int64(now.Add(streamsFor)))
	h.drain.endsAt.Store(int64(now.Add(endsIn)))
	h.drain.refuseAllFrom.Store(int64(now.Add(allFor)))
}

// EndAll ends the requests that have no complete answer: those of which nothing was passed on get
// an answer that says whether they may have run.
func (h *Handler) EndAll() { h.drain.end() }

// Active returns the number of requests being served.
func (h *Handler) Active() int64 { return h.drain.active.Load() }
