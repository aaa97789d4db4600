package placement

import "time"

// Cost is the cost of sending a request to a candidate by its parts. Wait and Prefill are at the usual pace of the
// target's machine, Pace is what the current pace adds to both, negative if it is faster. For a plain service Prefill
// is the processing time.
type Cost struct {
	Wait, Prefill, Pace, Transfer, Distance, Rank, Copy, Interference, Failures time.Duration
}

// Total returns the cost by which Pick compares candidates.
func (c *Cost) Total() time.Duration {
	return c.Wait + c.Prefill + c.Pace + c.Transfer + c.Distance + c.Rank + c.Copy + c.Interference + c.Failures
}

// Room is whether a candidate has room for a request.
type Room int

// The values of Room.
const (
	HasRoom Room = iota
	SlotsFull
	MemoryFull
	// TooLate means that the first event would surely come after the deadline.
	TooLate
)

// Explanation is how Pick sees a candidate.
type Explanation struct {
	Cost Cost
	// Wait is the expected wait at the current pace, TimeToFirstEvent the expected time to the first event.
	Wait, TimeToFirstEvent time.Duration
	Room                   Room
	// Within reports whether the candidate is within the limit.
	Within bool
}

// Explain returns how Pick sees a candidate.
func Explain(r Request, c *Candidate, limit Limit) Explanation {
	usual := *c
	usual.Pace = 0
	wait := c.wait(r)
	e := Explanation{Wait: wait, TimeToFirstEvent: c.timeToFirstEvent(r, wait), Room: c.room(r, wait), Within: limit.allows(c, wait)}
	work := c.prefillTime(r.Prompt-c.Cached) + r.ServiceTime
	e.Cost = Cost{
		Wait: usual.wait(r), Prefill: work, Transfer: c.Copy.Transfer, Distance: c.Distance, Copy: c.copyCost(r), Interference: c.Interference,
		Rank:     time.Duration(min(c.Rank, MaxRank)) * rankPenalty,
		Failures: time.Duration(c.FailureRate * float64(failurePenalty)),
	}
	e.Cost.Pace = wait + c.paced(work) - e.Cost.Wait - work
	return e
}

func (c *Candidate) room(r Request, wait time.Duration) Room {
	switch {
	case c.hasRoom(r) && r.isLate(c, wait):
		return TooLate
	case c.hasRoom(r):
		return HasRoom
	case c.Slots > 0 && c.Load.Running >= c.Slots:
		return SlotsFull
	}
	return MemoryFull
}

// Window returns by how much more than the lowest a candidate may cost and still be drawn.
func (s Spread) Window(r Request, candidates []Candidate) time.Duration {
	_, all := survey(r, candidates)
	return windowSteepness * s.steepness(all.meanWait)
}
