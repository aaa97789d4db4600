package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Bounds of the queue.
const (
	// maxQueue bounds the jobs that wait.
	maxQueue = 512
	// waitPart is the part of a job's remaining time that it may wait; a caller that
	// is refused then has time to come back.
	waitPart = 0.12
	minWait  = 40 * time.Millisecond
	maxWait  = 1500 * time.Millisecond
	// beyondWait bounds the wait of a customer beyond its share, as a part of the route's
	// objective: started later it would be late, in the place of one that is not.
	beyondWait = 0.5
	// pumpMisses bounds the jobs that are looked at in vain in one round.
	pumpMisses = 12
	// retryPart is the longest advised pause, as a part of the job's remaining time.
	retryPart  = 0.3
	minRetry   = 200 * time.Millisecond
	shareRetry = 500 * time.Millisecond
	sharePause = 0.17
	// hopelessUse is how far past its share a customer must be for its jobs to be
	// refused at once: the window will not let it in before the wait is over.
	hopelessUse = 1.5
)

// waiter is a job in the queue.
type waiter struct {
	job     *Job
	since   clock.Instant
	limit   time.Duration
	verdict chan verdict
	done    bool
	// used are the tokens of its customer when the queue was last sorted.
	used float64
}

// enqueue puts a job in the queue or refuses it if waiting is in vain. The mutex is
// held.
func (s *Scheduler) enqueue(j *Job, now clock.Instant) (*waiter, *Refusal) {
	left := j.Deadline.Sub(now)
	limit := min(max(time.Duration(waitPart*float64(left)), minWait), maxWait)
	if j.Prompt > 0 && s.meter.Usage(j.Customer, now) > s.shares(now).owed {
		limit = min(limit, time.Duration(beyondWait*float64(j.Route.Objective)))
	}
	switch {
	case len(s.queue) >= maxQueue:
		return nil, s.refusal(j, ReasonQueueFull, now, now)
	case j.Prompt > 0 && s.meter.Usage(j.Customer, now) > hopelessUse*s.shares(now).owed:
		return nil, s.refusal(j, ReasonOverShare, now, now)
	}
	w := &waiter{job: j, since: now, limit: limit, verdict: make(chan verdict, 1)}
	s.queue = append(s.queue, w)
	return w, nil
}

// refusal describes why and for how long a job is turned away. The mutex is held.
func (s *Scheduler) refusal(j *Job, reason Reason, since, now clock.Instant) *Refusal {
	left := j.Deadline.Sub(now)
	pause := minRetry
	if j.Prompt > 0 && s.meter.Usage(j.Customer, now) > s.shares(now).owed {
		// Longer than first tries' budgets differ, so that the caller is known when it
		// comes back.
		pause = max(shareRetry, time.Duration(sharePause*float64(j.CallerTimeout)))
		if reason == ReasonBusy {
			reason = ReasonOverShare
		}
	}
	pause = min(pause, time.Duration(retryPart*float64(left)))
	return &Refusal{Reason: reason, RetryAfter: max(pause, 0), Waited: now.Sub(since)}
}

// await waits for a queued job's verdict.
func (s *Scheduler) await(ctx context.Context, w *waiter) (*Placement, error) {
	timer := time.NewTimer(w.limit)
	defer timer.Stop()
	reason := ReasonBusy
	select {
	case v := <-w.verdict:
		return v.result()
	case <-ctx.Done():
		reason = ReasonCallerGone
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.done {
		// The verdict came while the wait ended.
		v := <-w.verdict
		return v.result()
	}
	s.remove(w)
	now := s.options.Now()
	if len(s.prospectsOf(w.job, now).all) == 0 {
		reason = ReasonNoTarget
	}
	return nil, s.refusal(w.job, reason, w.since, now)
}

func (v verdict) result() (*Placement, error) {
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

// pump starts queued jobs that may start now: the customers that have had the
// smallest part of their share first, each one's oldest first. The mutex is held.
func (s *Scheduler) pump() {
	if len(s.queue) == 0 {
		return
	}
	now := s.options.Now()
	for _, w := range s.queue {
		w.used = s.meter.Usage(w.job.Customer, now)
	}
	slices.SortStableFunc(s.queue, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.used, b.used), cmp.Compare(a.since, b.since))
	})
	misses := 0
	for _, w := range slices.Clone(s.queue) {
		v := s.decide(w.job, now)
		if v.placement == nil && v.refusal == nil {
			if misses++; misses >= pumpMisses {
				return
			}
			continue
		}
		if v.refusal != nil {
			v.refusal.Waited = now.Sub(w.since)
		}
		s.remove(w)
		w.done = true
		w.verdict <- v
	}
}
