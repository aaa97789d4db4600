package scheduler

import (
	"fmt"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Job is a request that is to be started on a target.
type Job struct {
	// ID is the caller's id of the request, for logs.
	ID       string
	Route    *catalog.Route
	Service  *catalog.Service
	Customer fleet.CustomerID
	// Regions may serve the request; AnyRegion means that all may.
	Regions   []fleet.RegionID
	AnyRegion bool
	// Prompt and Output are the tokens of a generation, 0 for calls of plain services.
	// Output is what is expected, not the most that is allowed.
	Prompt, Output int
	Parts          []Part
	// Fingerprint identifies the content, to find requests that crash targets.
	Fingerprint uint64
	Arrived     clock.Instant
	// Elapsed is the time since the caller's first try, 0 if this may be it; CallerTimeout is
	// how long such callers wait in all, 0 if unknown.
	Elapsed, CallerTimeout time.Duration
	// Deadline is when the caller or the route gives up.
	Deadline clock.Instant

	// excluded are targets that the request was sent to before.
	excluded []fleet.TargetID
	// home and prefixes are hashes of the prompt's parts; sharedTokens are the tokens
	// of all parts but the last.
	home         uint64
	prefixes     []uint64
	sharedTokens int
	prepared     bool
	// homes are the first targets in the rendezvous order of the home, as indices into
	// the prospects of one listing.
	homes        [placement.MaxRank]int
	homesListing uint64
}

// minHomeTokens is the length of shared parts from which a prompt has a home.
const minHomeTokens = 32

// prepare computes the hashes of a job's parts.
func (j *Job) prepare() {
	if j.prepared {
		return
	}
	j.prepared = true
	chain := ""
	for i, p := range j.Parts {
		chain += p.ID + ","
		hash := membership.Hash(chain)
		j.prefixes = append(j.prefixes, hash)
		if i < len(j.Parts)-1 {
			j.sharedTokens += p.Tokens
			j.home = hash
		}
	}
	if j.sharedTokens < minHomeTokens {
		j.home = 0
	}
}

// rankHomes finds the targets that come first for the job's home. O(targets), once for
// each listing.
func (j *Job) rankHomes(known *prospects) {
	if j.home == 0 || j.homesListing == known.listing {
		return
	}
	j.homesListing = known.listing
	var scores [placement.MaxRank]uint64
	found := 0
	for i := range known.all {
		score := membership.Score(j.home, known.all[i].hash)
		if found == len(scores) && score <= scores[found-1] {
			continue
		}
		found = min(found+1, len(scores))
		at := found - 1
		for ; at > 0 && scores[at-1] < score; at-- {
			scores[at], j.homes[at] = scores[at-1], j.homes[at-1]
		}
		scores[at], j.homes[at] = score, i
	}
	for i := found; i < len(j.homes); i++ {
		j.homes[i] = -1
	}
}

// rankOf returns the position of a target in the rendezvous order of the job's home, at
// most placement.MaxRank; 0 for a job without a home.
func (j *Job) rankOf(index int) int {
	if j.home == 0 {
		return 0
	}
	for rank, i := range j.homes {
		if i == index {
			return rank
		}
	}
	return placement.MaxRank
}

// cachedTokens returns the tokens of the first n parts, without the last part.
func (j *Job) cachedTokens(n int) int {
	tokens := 0
	for _, p := range j.Parts[:min(n, max(len(j.Parts)-1, 0))] {
		tokens += p.Tokens
	}
	return tokens
}

// weight is what a request counts in its customer's share: each token of its prompt
// once, whether the target holds it or not, and each generated one twice.
func (j *Job) weight() float64 { return float64(j.Prompt + 2*j.Output) }

// isLate reports whether the objective has passed since the caller's first try.
func (j *Job) isLate() bool { return j.Elapsed > 0 && j.Elapsed >= j.Route.Objective }

// request is the job as placement sees it.
func (j *Job) request() placement.Request {
	r := placement.Request{Prompt: j.Prompt, Output: j.Output, Shared: j.sharedTokens}
	if j.Service.Engine == nil {
		r.ServiceTime = plainWork
	}
	return r
}

// Exclude keeps a job from being placed again on a target.
func (j *Job) Exclude(id fleet.TargetID) { j.excluded = append(j.excluded, id) }

// Reason says why a job is refused.
type Reason string

// The reasons of a refusal. In all of them the request has not run.
const (
	ReasonOverShare      Reason = "over_share"
	ReasonBusy           Reason = "busy"
	ReasonNoTarget       Reason = "no_target"
	ReasonTooLarge       Reason = "too_large"
	ReasonRetryBudget    Reason = "retry_budget"
	ReasonDeadline       Reason = "deadline"
	ReasonCallerGone     Reason = "caller_gone"
	ReasonQueueFull      Reason = "queue_full"
	ReasonCrashesTargets Reason = "crashes_targets"
	ReasonLeaving        Reason = "leaving"
)

// Refusal is the error of a job that was not started.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the request is likely to be served.
	RetryAfter time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not run: %s after %s", r.Reason, r.Waited.Round(time.Millisecond))
}

// Outcome is how a run on a target ended.
type Outcome int

// The outcomes of a run.
const (
	// Completed: the target answered.
	Completed Outcome = iota
	// Failed: the target answered with a failure of its own.
	Failed
	// Rejected: the target said that it did not run the request.
	Rejected
	// Unreachable: no connection came up.
	Unreachable
	// Broken: the connection broke, went silent or carried nonsense.
	Broken
	// Unsent: nothing was sent for reasons that say nothing of the target.
	Unsent
	// Abandoned: the caller left or its time was up.
	Abandoned
)

// Placement is the right to send one job to one target.
type Placement struct {
	Target inventory.Target
	// Wait is the expected time before the target turns to the request.
	Wait time.Duration
	// Cached is the number of prompt tokens that the target is believed to hold.
	Cached int
	// Rank is the target's position in the rendezvous order of the request's home.
	Rank int

	scheduler *Scheduler
	job       *Job
	load      placement.Load
	started   clock.Instant
	reading   bool
	ended     bool
}
