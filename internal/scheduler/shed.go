package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// All requests of a large customer can come to one instance with a small part of a processor.
// What it takes on beyond that delays everything it does: answers pass their deadlines, callers
// that leave are noticed late, and targets go on for nobody. New generations are therefore refused
// while the processor is late, at once and before they cost more.

// Delays of the instance's own timers from which generations are refused.
const (
	// shedSpareFrom applies to customers over their nominal share, shedBehindFrom to those of them
	// that are not ahead of a starved customer.
	shedSpareFrom  = 8 * time.Millisecond
	shedBehindFrom = 24 * time.Millisecond
	// shedAllFrom applies to all customers.
	shedAllFrom = 80 * time.Millisecond
)

// ProcessorState is how the processor of an instance keeps up with its work.
type ProcessorState struct {
	// Delay is by how much the instance's timers are late, smoothed.
	Delay time.Duration
	// Behind is set while the instance gets less processor time than its work needs.
	Behind bool
}

// isShed reports whether a job is refused because the processor is late. Calls to plain services
// cost less than their refusal and the return of their caller. s.mu must be held.
func (s *Scheduler) isShed(j *Job, now clock.Instant) bool {
	if j.Service.Engine == nil || s.processor.Delay < shedSpareFrom {
		return false
	}
	if s.processor.Delay >= shedAllFrom {
		return true
	}
	used, shares := s.meter.Usage(j.Customer, now), s.shares(now)
	if used < shares.finiteLead() && s.processor.Delay < shedBehindFrom {
		return false
	}
	return used > shares.nominal
}

// IsLate reports whether the processor is so late that some generations are refused. It takes no lock.
func (s *Scheduler) IsLate() bool { return s.late.Load() }

// WouldShed reports whether Admit would refuse a job for the processor now. It counts nothing.
func (s *Scheduler) WouldShed(j *Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	return s.isListingCurrent(now) && s.isShed(j, now)
}

// RefuseEarly refuses a job for the processor if Admit would do so now, and returns nil otherwise. It
// counts the arrival of a job that it refuses, as RecordArrival does: without its demand, a customer's
// share would seem larger the more of its requests are refused.
func (s *Scheduler) RefuseEarly(j *Job) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.isListingCurrent(now) || !s.isShed(j, now) {
		return nil
	}
	s.countArrival(j, now)
	return s.refusal(j, ReasonInstanceBusy, now, now)
}
