package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Limits of the queue.
const (
	// maxQueueLength limits the number of waiting jobs.
	maxQueueLength = 512
	// waitFraction is the fraction of a job's remaining time that it may wait, so that a
	// refused caller has time to retry. The result is kept between minWait and maxWait.
	waitFraction = 0.12
	minWait      = 40 * time.Millisecond
	maxWait      = 1500 * time.Millisecond
	// overShareWaitFraction limits the wait of a customer over its nominal share, as a
	// fraction of the route's objective. A job that starts later would miss its objective
	// and take the place of one that can meet it.
	overShareWaitFraction = 0.5
	// maxQueueMisses limits the jobs that are examined without success in one pass.
	maxQueueMisses = 12
	// passInterval is the least time between two passes over the queue of which the first found
	// no job to start.
	passInterval = 5 * time.Millisecond
	// retryFraction limits the advised retry delay to a fraction of the job's remaining
	// time.
	retryFraction = 0.3
	// baseRetryDelay is the advised retry delay for a customer within its nominal share.
	// For a customer over it, the delay is overShareRetryFraction of the caller's timeout,
	// but at least minOverShareRetryDelay.
	baseRetryDelay         = 200 * time.Millisecond
	minOverShareRetryDelay = 500 * time.Millisecond
	overShareRetryFraction = 0.17
)

// waiter is a job in the queue.
type waiter struct {
	job *Job
	// retry says that the job was sent before.
	retry      bool
	enqueuedAt clock.Instant
	waitLimit  time.Duration
	decision   chan decision
	done       bool
	// used is the number of tokens used by the job's customer when the queue was last
	// sorted.
	used float64
}

// enqueue puts a job in the queue. It refuses the job if the queue is full, if no target may
// start it before its wait ends, or if the customer is over its nominal share and so many of
// its jobs wait that this one would not start before its wait ends. s.mu must be held.
func (s *Scheduler) enqueue(j *Job, retry bool, now clock.Instant) (*waiter, *Refusal) {
	remaining := j.Deadline.Sub(now)
	waitLimit := min(max(time.Duration(waitFraction*float64(remaining)), minWait), maxWait)
	overShare := j.Prompt > 0 && s.meter.Usage(j.Customer, now) > s.shares(now).nominal
	if overShare {
		waitLimit = min(waitLimit, time.Duration(overShareWaitFraction*float64(j.Route.FirstByteSLO)))
	}
	switch {
	case j.isHeldBack() && j.heldUntil.Sub(now) > waitLimit:
		return nil, s.refusal(j, ReasonTargetLimit, now, now)
	case len(s.queue) >= maxQueueLength:
		return nil, s.refusal(j, ReasonQueueFull, now, now)
	case overShare && s.queuedJobs(j.Customer) >= s.maxSpareQueue(j.Customer, waitLimit, now):
		return nil, s.refusal(j, ReasonOverShare, now, now)
	}
	w := &waiter{job: j, retry: retry, enqueuedAt: now, waitLimit: waitLimit, decision: make(chan decision, 1)}
	s.queue = append(s.queue, w)
	return w, nil
}

// refusal returns a refusal with the advised retry delay. s.mu must be held.
func (s *Scheduler) refusal(j *Job, reason Reason, enqueuedAt, now clock.Instant) *Refusal {
	remaining := j.Deadline.Sub(now)
	pause := baseRetryDelay
	if j.Prompt > 0 && s.meter.Usage(j.Customer, now) > s.shares(now).nominal {
		// A retry is recognized by its shorter remaining timeout, so the delay is longer
		// than the variation between the timeouts of first attempts.
		pause = max(minOverShareRetryDelay, time.Duration(overShareRetryFraction*float64(j.CallerTimeout)))
		if reason == ReasonBusy {
			reason = ReasonOverShare
		}
	}
	if reason == ReasonTargetLimit {
		pause = max(pause, j.heldUntil.Sub(now))
	}
	pause = min(pause, time.Duration(retryFraction*float64(remaining)))
	return &Refusal{Reason: reason, RetryAfter: max(pause, 0), Waited: now.Sub(enqueuedAt), Inputs: s.inputs(j, now)}
}

// await waits for the decision on a queued job, until the job's wait limit passes or ctx
// is done.
func (s *Scheduler) await(ctx context.Context, w *waiter) (*Placement, error) {
	timer := time.NewTimer(w.waitLimit)
	defer timer.Stop()
	reason := ReasonBusy
	select {
	case v := <-w.decision:
		return v.result()
	case <-ctx.Done():
		reason = ReasonCallerGone
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.done {
		// The decision was made before s.mu was locked.
		v := <-w.decision
		return v.result()
	}
	s.remove(w)
	now := s.options.Now()
	switch {
	case reason == ReasonBusy && !s.isListingCurrent(now):
		reason = ReasonListingOld
	case len(s.targetListFor(w.job, now).targets) == 0:
		reason = ReasonNoTarget
	case reason == ReasonBusy && w.job.isHeldBack():
		reason = ReasonTargetLimit
	}
	return nil, s.refusal(w.job, reason, w.enqueuedAt, now)
}

// isHeldBack reports whether bounds on the starts on targets alone kept the last decision from
// placing the job.
func (j *Job) isHeldBack() bool { return j.heldTargets > 0 && j.considered.candidates == 0 }

// result returns the placement, or the refusal as an error.
func (v decision) result() (*Placement, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return v.placement, nil
}

func (s *Scheduler) remove(w *waiter) {
	if i := slices.Index(s.queue, w); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// startQueued starts the queued jobs that may start now: those of the customers that have
// used the least of their share first, and the oldest first for each customer. After a pass
// that found no job to start, the next one follows at the earliest after passInterval: under
// load each answer leads to a pass, and a pass costs as much as a dozen decisions. Tick makes
// up for the passes that were left out. s.mu must be held.
func (s *Scheduler) startQueued() {
	now := s.options.Now()
	if len(s.queue) == 0 || now.Sub(s.vainPassAt) < passInterval || !s.isListingCurrent(now) {
		return
	}
	if s.passQueue(now) == 0 {
		s.vainPassAt = now
	}
}

// sortQueue puts the queued jobs in the order in which they are examined. s.mu must be held.
func (s *Scheduler) sortQueue(now clock.Instant) {
	for _, w := range s.queue {
		w.used = s.meter.Usage(w.job.Customer, now)
	}
	slices.SortStableFunc(s.queue, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.used, b.used), cmp.Compare(a.enqueuedAt, b.enqueuedAt))
	})
}

// passQueue examines the queued jobs in order. It returns the number of jobs that have left the
// queue. s.mu must be held.
func (s *Scheduler) passQueue(now clock.Instant) int {
	s.sortQueue(now)
	misses, done := 0, 0
	for _, w := range slices.Clone(s.queue) {
		if !w.retry && s.overLimit.has(w.job, s.loadLimit(w.job, now), now) && now < w.job.Deadline {
			continue
		}
		v := s.place(w.job, w.retry, now)
		if v.placement == nil && v.refusal == nil {
			if misses++; misses >= maxQueueMisses {
				break
			}
			continue
		}
		done++
		if v.refusal != nil {
			v.refusal.Waited = now.Sub(w.enqueuedAt)
		}
		s.remove(w)
		w.done = true
		w.decision <- v
	}
	return done
}
