package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// drainPoll is how often a planned stop looks whether requests still run.
const drainPoll = 20 * time.Millisecond

// stopRetry is the advised pause of a caller that is to connect elsewhere.
const stopRetry = 50 * time.Millisecond

// stopping is the state of a planned stop.
type stopping struct {
	active atomic.Int64
	// streamsUntil and allUntil are instants from which new streams and all new requests
	// are refused, 0 while no stop was planned.
	streamsUntil, allUntil atomic.Int64
}

func (s *stopping) leaving() bool { return s.allUntil.Load() != 0 }

// refuses reports whether a new request comes too late to end before the process does.
func (s *stopping) refuses(isStream bool, now clock.Instant) bool {
	until := s.allUntil.Load()
	if isStream {
		until = s.streamsUntil.Load()
	}
	return until != 0 && int64(now) >= until
}

// StartDrain begins a planned stop: answers tell callers to connect elsewhere. New streams
// are served for streamsFor, other new requests for allFor; callers that come later
// are refused, since what they ask could be cut.
func (h *Handler) StartDrain(streamsFor, allFor time.Duration) {
	now := h.options.Now()
	h.stop.streamsUntil.Store(int64(now.Add(streamsFor)))
	h.stop.allUntil.Store(int64(now.Add(allFor)))
}

// Active returns the number of requests being served.
func (h *Handler) Active() int64 { return h.stop.active.Load() }

// AwaitIdle waits until no request is being served, or ctx ends.
func (h *Handler) AwaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
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
