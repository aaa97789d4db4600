package scheduler

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// fairShares holds the max-min fair shares for one window, in tokens.
type fairShares struct {
	computedAt clock.Instant
	// nominal is one customer's share of the published throughput. effective is its share
	// of the throughput that the engines actually reach, which is higher while prompts
	// are held in their caches.
	nominal, effective float64
	// lead is the usage beyond which customers wait for a starved one, infinite if none is.
	lead float64
}

// hasTokenLimit reports whether a throughput is configured, which the shares divide. s.mu
// must be held.
func (s *Scheduler) hasTokenLimit() bool {
	return s.catalog != nil && s.catalog.Limits.TokensPerSecond > 0
}

// shares returns the fair shares, which are recomputed every shareInterval. s.mu must be
// held.
func (s *Scheduler) shares(now clock.Instant) fairShares {
	if !s.hasTokenLimit() {
		return fairShares{nominal: math.Inf(1), effective: math.Inf(1), lead: math.Inf(1)}
	}
	if s.fairShares.computedAt == 0 || now.Sub(s.fairShares.computedAt) >= shareInterval {
		published := s.catalog.Limits.TokensPerSecond
		nominal := s.meter.FairShare(published, now)
		effective := s.meter.FairShare(max(published, shareHeadroom*s.meter.Throughput(now)), now)
		s.fairShares = fairShares{
			computedAt: now, nominal: nominal, effective: effective, lead: s.lead(nominal, effective, now),
		}
	}
	return s.fairShares
}

// Constants of the fair shares.
const (
	// shareInterval is the time between two computations of the shares.
	shareInterval = 50 * time.Millisecond
	// shareHeadroom multiplies the measured throughput, so that the effective share can
	// grow while the engines have spare capacity.
	shareHeadroom = 1.2
)
