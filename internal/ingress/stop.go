package ingress

import (
	"context"
	"sync/atomic"
	"time"
)

// drainPoll is how often a planned stop looks whether requests still run.
const drainPoll = 20 * time.Millisecond

// stopping is the state of a planned stop.
type stopping struct {
	active atomic.Int64
	began  atomic.Bool
}

func (s *stopping) leaving() bool { return s.began.Load() }

// Leave begins a planned stop: answers tell callers to connect elsewhere.
func (h *Handler) Leave() { h.stop.began.Store(true) }

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
