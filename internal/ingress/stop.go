package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// drainPollInterval is how often a planned stop looks whether requests still run.
const drainPollInterval = 20 * time.Millisecond

// drainRetryAfter is the advised pause of a caller that is to connect elsewhere.
const drainRetryAfter = 50 * time.Millisecond

// drainState is the state of a planned stop.
type drainState struct {
	active atomic.Int64
	// refuseStreamsFrom and refuseAllFrom are instants from which new streams and all new requests
	// are refused, 0 while no stop was planned.
	refuseStreamsFrom, refuseAllFrom atomic.Int64
}

func (s *drainState) started() bool { return s.refuseAllFrom.Load() != 0 }

// refuses reports whether a new request comes too late to end before the process does.
func (s *drainState) refuses(isStream bool, now clock.Instant) bool {
	from := s.refuseAllFrom.Load()
	if isStream {
		from = s.refuseStreamsFrom.Load()
	}
	return from != 0 && int64(now) >= from
}

// StartDrain begins a planned stop: answers tell callers to connect elsewhere. New streams
// are served for streamsFor, other new requests for allFor; callers that come later
// are refused, since what they ask could be cut.
func (h *Handler) StartDrain(streamsFor, allFor time.Duration) {
	now := h.options.Now()
	h.drain.refuseStreamsFrom.Store(int64(now.Add(streamsFor)))
	h.drain.refuseAllFrom.Store(int64(now.Add(allFor)))
}

// Active returns the number of requests being served.
func (h *Handler) Active() int64 { return h.drain.active.Load() }

// AwaitIdle waits until no request is being served, or ctx ends.
func (h *Handler) AwaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for h.Active() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
