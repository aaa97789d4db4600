package scheduler

import (
	"fmt"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/prefixindex"
	"medlarwind.dev/medlarwind/internal/quarantine"
)

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Job is a request to be started on a target.
type Job struct {
	// ID is the caller's id of the request, for logs.
	ID       string
	Route    *catalog.Route
	Service  *catalog.Service
	Customer fleet.CustomerID
	// Regions lists the regions that may serve the request. AnyRegion allows all regions.
	Regions   []fleet.RegionID
	AnyRegion bool
	// Prompt and Output are the numbers of prompt tokens and output tokens of a
	// generation, 0 for calls to plain services. Output is the expected number, not the
	// maximum.
	Prompt, Output int
	Parts          []Part
	// Fingerprint identifies the content, to detect requests that crash targets.
	Fingerprint uint64
	Arrived     clock.Instant
	// Elapsed is the estimated time since the caller's first attempt, 0 if the request is
	// taken for a first attempt.
	// CallerTimeout is how long callers of this route wait in total, 0 if unknown.
	Elapsed, CallerTimeout time.Duration
	// Deadline is when the timeout of the caller or the route expires.
	Deadline clock.Instant

	// excluded lists the targets to which the job was sent before.
	excluded []fleet.TargetID
	// homeHash is the hash of all parts but the last, which selects the home target, 0 if
	// these parts have fewer than minHomeTokens tokens. prefixes are the hashes of the
	// prompt's prefixes, one for each part. sharedTokens is the number of tokens in all
	// parts but the last.
	homeHash     uint64
	prefixes     []uint64
	sharedTokens int
	// longPrefixes are the prefixes that the prefix index tracks, the longest first.
	longPrefixes []longPrefix
	// traits identify what the job may share with others that crash targets.
	traits   *quarantine.Traits
	prepared bool
	// longPrefill is set if the job's prefill is kept apart from other streams.
	longPrefill bool
	// replacing is set while a replacement of a running run is placed.
	replacing bool
	// ran is set once a run of the job may have begun and has ended.
	ran bool
	// idHash is the hash of ID.
	idHash uint64
	// rankedTargets holds the first targets in the rendezvous order of homeHash, as
	// indices into the target list of generation rankedGeneration, and -1 where there are
	// fewer targets.
	rankedTargets    [placement.MaxRank]int
	rankedGeneration uint64
	// heldTargets is the number of targets that could take the job but for a bound on the starts
	// there. heldUntil is the time at which the first target may take it that may not now.
	heldTargets int
	heldUntil   clock.Instant
	// considered describes the last decision on the job within the current call of Admit.
	considered consideration
}

// minHomeTokens is the minimum number of shared tokens for a prompt to have a home target.
const minHomeTokens = 32

// prepare computes the hashes of the job's parts on the first call.
func (j *Job) prepare() {
	if j.prepared {
		return
	}
	j.prepared = true
	j.traits = traitsOf(j)
	j.idHash = membership.Hash(j.ID)
	chain := ""
	for i, p := range j.Parts {
		chain += p.ID + ","
		hash := membership.Hash(chain)
		j.prefixes = append(j.prefixes, hash)
		if i < len(j.Parts)-1 {
			j.sharedTokens += p.Tokens
			j.homeHash = hash
			if j.sharedTokens >= prefixindex.MinTokens {
				j.longPrefixes = slices.Insert(j.longPrefixes, 0, longPrefix{hash, j.sharedTokens})
			}
		}
	}
	if j.sharedTokens < minHomeTokens {
		j.homeHash = 0
	}
}

// rankTargets finds the first targets in the rendezvous order of the job's homeHash. It
// takes O(targets) time, once for each generation of the list.
func (j *Job) rankTargets(list *targetList) {
	if j.homeHash == 0 || j.rankedGeneration == list.generation {
		return
	}
	j.rankedGeneration = list.generation
	var scores [placement.MaxRank]uint64
	found := 0
	for i := range list.targets {
		if j.isApart(list, &list.targets[i]) {
			continue
		}
		score := membership.Score(j.homeHash, list.targets[i].hash)
		if found == len(scores) && score <= scores[found-1] {
			continue
		}
		found = min(found+1, len(scores))
		at := found - 1
		for ; at > 0 && scores[at-1] < score; at-- {
			scores[at], j.rankedTargets[at] = scores[at-1], j.rankedTargets[at-1]
		}
		scores[at], j.rankedTargets[at] = score, i
	}
	for i := found; i < len(j.rankedTargets); i++ {
		j.rankedTargets[i] = -1
	}
}

// rankOf returns the position of the target with this index in the rendezvous order of
// the job's homeHash, at most placement.MaxRank; 0 for a job without a home target.
func (j *Job) rankOf(index int) int {
	if j.homeHash == 0 {
		return 0
	}
	for rank, i := range j.rankedTargets {
		if i == index {
			return rank
		}
	}
	return placement.MaxRank
}

// cachedTokens returns the number of tokens in the first n parts. The last part of the
// prompt is never counted.
func (j *Job) cachedTokens(n int) int {
	tokens := 0
	for _, p := range j.Parts[:min(n, max(len(j.Parts)-1, 0))] {
		tokens += p.Tokens
	}
	return tokens
}

// weight returns the number of tokens charged to the customer's share: each prompt token
// once, whether the target has it cached or not, and each output token twice.
func (j *Job) weight() float64 { return float64(j.Prompt + 2*j.Output) }

// isLate reports whether the time since the caller's first attempt has reached the
// route's objective.
func (j *Job) isLate() bool { return j.Elapsed > 0 && j.Elapsed >= j.Route.FirstByteSLO }

// request returns the job's parameters for placement.
func (j *Job) request() placement.Request {
	r := placement.Request{Prompt: j.Prompt, Output: j.Output, Shared: j.sharedTokens, NewConn: j.replacing}
	if j.Service.Engine == nil {
		r.ServiceTime = plainServiceTime
	}
	return r
}

// waitUntil notes that a target may not get the job before the given time.
func (j *Job) waitUntil(at clock.Instant) {
	if j.heldUntil == 0 || at < j.heldUntil {
		j.heldUntil = at
	}
}

// Exclude keeps the job from being placed on a target again.
func (j *Job) Exclude(id fleet.TargetID) { j.excluded = append(j.excluded, id) }

// Reason is why a job was refused.
type Reason string

// Reasons for a refusal. In all cases the request has not run.
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
	ReasonTargetLimit    Reason = "target_limit"
	ReasonInstanceBusy   Reason = "instance_busy"
	ReasonListingOld     Reason = "listing_old"
)

// Refusal is the error returned for a job that was not started.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry is likely to be served.
	RetryAfter time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Inputs are the values that led to the refusal, for logs.
	Inputs Inputs
}

// Error returns the reason and the time spent in the queue.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not run: %s after %s", r.Reason, r.Waited.Round(time.Millisecond))
}

// Outcome is the result of a run on a target.
type Outcome int

// Outcomes of a run.
const (
	// Completed means that the target answered.
	Completed Outcome = iota
	// Failed means that the target answered with an error of its own.
	Failed
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// Unreachable means that the target refused the connection.
	Unreachable
	// DialTimedOut means that no connection was opened in time: the target, the network or
	// this instance may be the cause.
	DialTimedOut
	// Broken means that the connection broke or carried malformed data.
	Broken
	// Silent means that the target sent nothing for too long, so that another one took the
	// request over.
	Silent
	// Unsent means that nothing was sent, for reasons unrelated to the target.
	Unsent
	// Abandoned means that the caller disconnected, its deadline passed, or this instance had no
	// memory left for the answer.
	Abandoned
)

// Placement is a reservation of one target for one job. It must be released with End.
type Placement struct {
	Target inventory.Target
	// Wait is the expected time before the target starts on the request.
	Wait time.Duration
	// Cached is the number of prompt tokens that the target is expected to have cached.
	Cached int
	// Rank is the target's position in the rendezvous order of the request's home.
	Rank int
	// Fetch is what the target is to fetch from another one, nil for nothing.
	Fetch *Fetch
	// Backup is the copy of the run on another target, nil for none.
	Backup *Backup
	// Reported is set if the choice rested on the target's own report of its load. ReportAge is the age of that
	// report, Pace the estimated pace as a factor.
	Reported  bool
	ReportAge time.Duration
	Pace      float64

	scheduler  *Scheduler
	job        *Job
	load       placement.Load
	started    clock.Instant
	prefilling bool
	// toPrefill is the number of tokens that the target had to prefill up to the first event,
	// distance the cost of its distance.
	toPrefill int
	distance  time.Duration
	// queueFactor is the expected time of a call to a plain service, with its wait at the target, as a multiple
	// of its processing time. paceAtStart is the target's pace at the start as a factor, 0 if it is not known.
	queueFactor, paceAtStart float64
	// responded is set once the head of a response has arrived.
	responded bool
	// answering is set once the target has sent more than its first event. It is used by the
	// goroutine of the request only.
	answering bool
	// believed is the number of tokens of the long prefix that the target was believed to have
	// cached or to fetch, aheadUnread the tokens that it had to prefill before this request.
	believed, aheadUnread int
	// continues is set for a run that goes on from its copy. copyAbandoned is when the run ended and left
	// its copy behind, 0 if it has not.
	continues     bool
	copyAbandoned clock.Instant
	ended         bool
}
