// Package backup decides which runs on engines carry a copy of their memory on a second engine, and on
// which one. The decisions are pure: what is known of crashes, the run and the engines go in.
//
// A copy costs transfers on two links and memory at the second engine. It pays where a crash within the
// run is likely, and where the crash would lose much work.
package backup

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Constants of the decision.
const (
	// MinTokens is the size from which runs carry copies. The long prompts of the deployments have
	// 12,000 tokens, the others at most 2,400.
	MinTokens = 4000
	// partsPerSecond is how often the growth of a run's memory is sent. Targets do not state it
	// exactly; each part costs the time to begin a transfer.
	partsPerSecond = 4
	// transfersPerCopy counts the transfer of a copy on both links, and that of what it evicts at the
	// second engine, which is fetched there again.
	transfersPerCopy = 3
	// MaxLinkShare bounds the part of an engine's link that this instance's copies use.
	MaxLinkShare = 0.25
	// reserveFraction of an engine's memory stays free beside copies: other instances choose the same
	// engine before they know of this choice. copiesFraction bounds this instance's copies there.
	reserveFraction = 0.25
	copiesFraction  = 0.125
	// minCopies and copiesPerRun bound the copies of an instance by its running generations.
	minCopies    = 4
	copiesPerRun = 0.5
	// minTime is the shortest time of a run that is assumed.
	minTime = 100 * time.Millisecond
)

// Run describes a run that may carry a copy.
type Run struct {
	// ID is the hash of the run's id. It spreads copies over equally good engines.
	ID      uint64
	Target  fleet.TargetID
	Service fleet.ServiceID
	// DataCentre is that of Target.
	DataCentre fleet.DataCentreID
	// Tokens is the size of the run's memory at its end.
	Tokens int
	// Time is the expected time of the run, Prefill the time to prefill its prompt.
	Time, Prefill time.Duration
	// Repeatable is set if a broken run may be repeated: it then loses its prefill only.
	Repeatable bool
	// TokenTransfer is the time to transfer a token, Setup the time to begin a transfer.
	TokenTransfer, Setup time.Duration
	// SourceShare is the part of Target's link that copies use already.
	SourceShare float64
	// Copies and Running are this instance's copies and running generations.
	Copies, Running int
}

// Candidate is an engine that may take a copy.
type Candidate struct {
	Target     fleet.TargetID
	DataCentre fleet.DataCentreID
	// Memory is the engine's memory in tokens, Used what runs and copies hold of it, Copied what copies
	// of this instance hold of it.
	Memory, Used, Copied int
	// LinkShare is the part of its link that copies use.
	LinkShare float64
	// Path is the cost of the distance from the run's target.
	Path time.Duration
}

// Choice is the engine for a copy, with the inputs of the decision.
type Choice struct {
	// Index is the position of the candidate.
	Index int
	// Chance is the probability of a crash within the run, CrashAge the age of the newest crash that
	// it rests on.
	Chance   float64
	CrashAge time.Duration
	// Saves and Costs are the expected time saved and the cost of the copy.
	Saves, Costs time.Duration
	// LinkShare is the part of each of the two links that the copy uses.
	LinkShare float64
}

// Choose returns the engine that takes the copy of a run, and false if the run carries none. candidates
// is called only if a copy pays.
func Choose(r *Run, record *Record, sizes Sizes, candidates func() []Candidate, now clock.Instant) (Choice, bool) {
	c := Choice{Index: -1}
	if r.Tokens < MinTokens || r.Copies >= max(minCopies, int(copiesPerRun*float64(r.Running))) {
		return c, false
	}
	duration := max(r.Time, minTime)
	c.Chance, c.CrashAge = record.Chance(r.Service, r.DataCentre, r.Target, sizes, duration, now)
	loss := r.Prefill
	if !r.Repeatable {
		loss += duration
	}
	transfer := time.Duration(r.Tokens) * r.TokenTransfer
	setups := time.Duration(partsPerSecond * duration.Seconds() * float64(r.Setup))
	c.LinkShare = float64(transfer+setups) / float64(duration)
	c.Saves, c.Costs = time.Duration(c.Chance*float64(loss)), transfersPerCopy*transfer+setups
	if c.Saves <= c.Costs || r.SourceShare+c.LinkShare > MaxLinkShare {
		return c, false
	}
	c.Index = r.pick(record, candidates(), c.LinkShare, now)
	return c, c.Index >= 0
}

// pick returns the engine for the copy, -1 if none can take it: in another data centre if there is one,
// since its failures are independent, and on the shortest path. Of several, two are drawn by the run's id
// and the emptier one is taken, so that instances that choose at the same moment choose differently.
func (r *Run) pick(record *Record, candidates []Candidate, share float64, now clock.Instant) int {
	first, second := -1, -1
	for i := range candidates {
		c := &candidates[i]
		if c.Target == r.Target || !c.hasRoom(r.Tokens, share) || record.crashed(c.Target, now) {
			continue
		}
		switch {
		case first < 0 || r.better(c, &candidates[first]):
			first, second = i, first
		case second < 0 || r.better(c, &candidates[second]):
			second = i
		}
	}
	if second >= 0 && r.tier(&candidates[first]) == r.tier(&candidates[second]) && candidates[second].free() > candidates[first].free() {
		return second
	}
	return first
}

// tier is the cost of the candidate's place: a data centre shared with the run's target costs more than any path.
func (r *Run) tier(c *Candidate) time.Duration {
	if c.DataCentre == r.DataCentre {
		return math.MaxInt64
	}
	return c.Path
}

// better reports whether a is to be drawn before b.
func (r *Run) better(a, b *Candidate) bool {
	if tierA, tierB := r.tier(a), r.tier(b); tierA != tierB {
		return tierA < tierB
	}
	return membership.Score(r.ID, membership.Hash(string(a.Target))) > membership.Score(r.ID, membership.Hash(string(b.Target)))
}

func (c *Candidate) free() int { return c.Memory - c.Used }

// hasRoom reports whether a copy of a number of tokens fits beside what the engine holds.
func (c *Candidate) hasRoom(tokens int, share float64) bool {
	return tokens <= c.free()-int(reserveFraction*float64(c.Memory)) &&
		c.Copied+tokens <= int(copiesFraction*float64(c.Memory)) && c.LinkShare+share <= MaxLinkShare
}
