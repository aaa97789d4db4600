package scheduler

import (
	"maps"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/admission"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/pacing"
)

// rateWindow is the time over which the rate of starts is measured.
const rateWindow = time.Second

// waitingOf returns what the order of a job in the queue depends on. s.mu must be held.
func (s *Scheduler) waitingOf(j *Job, rank int, since, now clock.Instant) admission.Waiting {
	takes := time.Duration(float64(j.Prompt) / s.meanSpeed(j.Service.ID) * float64(time.Millisecond))
	waited := j.Elapsed + now.Sub(since)
	own := time.Duration(float64(j.ownTokens()) / s.meanSpeed(j.Service.ID) * float64(time.Millisecond))
	return admission.Waiting{
		Rank: rank, Late: admission.CannotBeOnTime(j.Route.FirstByteSLO, waited, own),
		Position: admission.Position(s.meter.Usage(j.Customer, now), s.shares(now).effective),
		Slack:    admission.Slack(j.Deadline.Sub(now), takes), Since: since,
	}
}

// rank returns the rank of a job: the customer's, or else the route's. s.mu must be held.
func (s *Scheduler) rank(j *Job) int {
	if s.catalog != nil {
		if priority, ok := s.catalog.CustomerPriority(j.Customer); ok {
			return priority
		}
	}
	return j.Route.Priority
}

// orderQueue sorts the jobs of services with an admission order among the places that they have in the queue. The jobs of
// other services keep theirs. s.mu must be held.
func (s *Scheduler) orderQueue(now clock.Instant) {
	var ordered []*waiter
	for _, w := range s.queue {
		if w.ordered {
			w.waiting = s.waitingOf(w.job, w.waiting.Rank, w.enqueuedAt, now)
			ordered = append(ordered, w)
		}
	}
	if len(ordered) < 2 {
		return
	}
	slices.SortStableFunc(ordered, func(a, b *waiter) int { return admission.Compare(a.waiting, b.waiting) })
	for i, w := range s.queue {
		if w.ordered {
			s.queue[i], ordered = ordered[0], ordered[1:]
		}
	}
}

// outlook returns how many jobs of its service are before a job, and how many start in a second. s.mu must be held.
func (s *Scheduler) outlook(j *Job, place admission.Waiting, now clock.Instant) admission.Outlook {
	var o admission.Outlook
	for _, w := range s.queue {
		if w.ordered && w.job.Service.ID == j.Service.ID && admission.Compare(w.waiting, place) <= 0 {
			o.Ahead++
		}
	}
	if counter := s.admission.starts[j.Service.ID]; counter != nil {
		o.StartsPerSecond = float64(counter.Count(rateWindow, now)) / rateWindow.Seconds()
	}
	return o
}

// refuseEarly returns a refusal if a job cannot be served before its deadline, or cannot start before its wait ends. s.mu
// must be held.
func (s *Scheduler) refuseEarly(j *Job, place admission.Waiting, waitLimit time.Duration, now clock.Instant) *Refusal {
	c := &j.considered
	if c.candidates > 0 && c.late == c.candidates {
		s.admission.counters.TooLate++
		return s.refusal(j, ReasonBusy, now, now)
	}
	if !s.outlook(j, place, now).StartsWithin(waitLimit) {
		s.admission.counters.NoStart++
		return s.refusal(j, ReasonBusy, now, now)
	}
	return nil
}

// countServiceStart counts a start of a service. s.mu must be held.
func (s *Scheduler) countServiceStart(id fleet.ServiceID, now clock.Instant) {
	counter := s.admission.starts[id]
	if counter == nil {
		if s.admission.starts == nil {
			s.admission.starts = make(map[fleet.ServiceID]*pacing.StartCounter)
		}
		counter = &pacing.StartCounter{}
		s.admission.starts[id] = counter
	}
	counter.Add(now)
}

// maxTurns bounds the customers whose turns are remembered. When it is reached, turns that are past are dropped, or
// else all.
const maxTurns = 1024

// givesTurns reports whether a refused job is told its turn. Other reasons than load have times of their own. s.mu must
// be held.
func (s *Scheduler) givesTurns(j *Job, reason Reason) bool {
	return (reason == ReasonBusy || reason == ReasonOverShare || reason == ReasonQueueFull) && s.ordersAdmission(j.Service)
}

// turn returns when a refused job is to come back. s.mu must be held.
func (s *Scheduler) turn(j *Job, outlook admission.Outlook, least, most time.Duration, now clock.Instant) time.Duration {
	key := turnKey{customer: j.Customer, service: j.Service.ID}
	c := admission.Comeback{
		Least: least, Most: most, LastTurn: s.admission.turns[key], Seed: j.Fingerprint,
		Expected: outlook.Expected(),
	}
	if counter := s.startCounters[j.Customer]; counter != nil {
		c.StartsPerSecond = float64(counter.Count(rateWindow, now)) / rateWindow.Seconds()
	}
	pause, turn := c.Pause(now)
	if s.admission.turns == nil {
		s.admission.turns = make(map[turnKey]clock.Instant)
	}
	if len(s.admission.turns) >= maxTurns {
		maps.DeleteFunc(s.admission.turns, func(_ turnKey, at clock.Instant) bool { return at <= now })
	}
	if len(s.admission.turns) >= maxTurns {
		clear(s.admission.turns)
	}
	s.admission.turns[key] = turn
	return pause
}

// turnKey identifies the requests that share a sequence of turns.
type turnKey struct {
	customer fleet.CustomerID
	service  fleet.ServiceID
}

// AdmissionInputs are the values on which the admission order refused a job and told its caller when to come back.
type AdmissionInputs struct {
	// Ordered is set if package admission decided on the job.
	Ordered bool
	// Rank is the job's rank, Ahead how many jobs of its service were before it, and StartsPerSecond how many of them
	// started at this instance in the last second.
	Rank, Ahead     int
	StartsPerSecond float64
	// RoomKnown is set if targets had room for all since this instance looked, RoomAge before.
	RoomKnown bool
	RoomAge   time.Duration
}

// admissionInputs returns the inputs of a refusal. s.mu must be held.
func (s *Scheduler) admissionInputs(j *Job, outlook admission.Outlook, rank int, now clock.Instant) AdmissionInputs {
	in := AdmissionInputs{Ordered: true, Rank: rank, Ahead: outlook.Ahead, StartsPerSecond: outlook.StartsPerSecond}
	if at := s.admission.rooms[j.Service.ID].enoughAt; at != 0 {
		in.RoomKnown, in.RoomAge = true, now.Sub(at)
	}
	return in
}
