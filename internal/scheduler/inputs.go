package scheduler

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/quarantine"
)

// Inputs are the values on which the refusal of a job rests.
type Inputs struct {
	// Used is the number of tokens that the customer used within the share window, Nominal
	// and Effective are its shares. Metered is false if the job counts towards no share,
	// and Limited if no limit is configured; the shares are then 0.
	Metered, Limited         bool
	Used, Nominal, Effective float64
	// Lead is the usage beyond which the customer waits for a starved one, 0 if none is.
	Lead float64
	// Reports is the number of peers' reports that Used includes, and OldestReport the time
	// since the oldest of them was received.
	Reports      int
	OldestReport time.Duration
	// Decisions counts the decisions on the job since it was admitted or queued. The fields
	// below describe the last of them, which was made LastDecision before the refusal.
	Decisions    int
	LastDecision time.Duration
	// Preferred is the target that placement chose, empty if no candidate had room.
	// PreferredWait is the expected wait there and WaitLimit the longest wait at which the
	// shares would have let the job start.
	Preferred                fleet.TargetID
	PreferredWait, WaitLimit time.Duration
	// PreferredRunning and PreferredSlots are the numbers of running requests and of slots
	// of the preferred target.
	PreferredRunning, PreferredSlots int
	// SlotLimit is the number of requests that may run at the preferred target before the
	// shares no longer let the job start there, 0 if they set no such limit.
	SlotLimit int
	// ShortestWait is the shortest expected wait at any candidate with room.
	ShortestWait time.Duration
	// LateTargets is the number of candidates whose first event would surely have come after the
	// job's deadline.
	LateTargets int
	// HeldTargets is the number of targets that could have taken the job but for a bound on the
	// starts there, HeldFor the time until the first target may take it that could not.
	HeldTargets int
	HeldFor     time.Duration
	// ProcessorDelay is by how much this instance's timers are late.
	ProcessorDelay time.Duration
	// Suspect is the judgement that refused a job because requests like it crash targets.
	Suspect quarantine.Judgement
	// Retries and RetriesAllowed are the state of the retry budget that refused a retry.
	Retries, RetriesAllowed float64
}

// consideration is what a decision on a job rested on. It is kept in the job, so that it
// need not be computed again if the job is refused later.
type consideration struct {
	decisions      int
	decidedAt      clock.Instant
	preferred      fleet.TargetID
	choice         placement.Choice
	limit          placement.Limit
	running, slots int
	// candidates is the number of targets that could start the job now.
	candidates int
	// late is the number of them whose first event would surely come after the deadline.
	late int
}

// record replaces the description of the last decision.
func (c *consideration) record(candidates []placement.Candidate, from []*usableTarget, choice placement.Choice, now clock.Instant) {
	*c = consideration{decisions: c.decisions + 1, decidedAt: now, candidates: len(candidates), late: choice.Late}
	if choice.Index >= 0 {
		chosen := &candidates[choice.Index]
		c.preferred, c.choice = from[choice.Index].entry.ID, choice
		c.running, c.slots = chosen.Load.Running, chosen.Slots
	}
}

// inputs returns the values that a refusal of the job at this time rests on. s.mu must be
// held.
func (s *Scheduler) inputs(j *Job, now clock.Instant) Inputs {
	c := &j.considered
	in := Inputs{
		Decisions: c.decisions, Preferred: c.preferred, PreferredWait: c.choice.Wait, WaitLimit: c.limit.Wait,
		SlotLimit:      int(math.Ceil(c.limit.Slots * float64(c.slots))),
		ProcessorDelay: s.processor.Delay, LateTargets: c.late,
		PreferredRunning: c.running, PreferredSlots: c.slots, ShortestWait: c.choice.ShortestWait,
	}
	if c.decisions > 0 {
		in.LastDecision = now.Sub(c.decidedAt)
	}
	if in.HeldTargets = j.heldTargets; in.HeldTargets > 0 {
		in.HeldFor = max(j.heldUntil.Sub(now), 0)
	}
	if j.Prompt == 0 && j.Service.Engine == nil {
		return in
	}
	in.Metered, in.Used = true, s.meter.Usage(j.Customer, now)
	in.Reports, in.OldestReport = s.exchange.Included(now)
	if s.hasTokenLimit() {
		shares := s.shares(now)
		in.Limited, in.Nominal, in.Effective, in.Lead = true, shares.nominal, shares.effective, shares.finiteLead()
	}
	return in
}
