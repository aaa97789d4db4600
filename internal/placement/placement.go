// Package placement chooses the target for a request.
//
// It is designed for long prompts that share parts: prefilling a part again on a second
// target costs as much engine time as dozens of short requests. Each shared part
// therefore has a home, the target selected by rendezvous hashing, and a request leaves
// its home only when it would wait there for longer than prefilling the part elsewhere
// takes. Requests without long shared parts go where they start soonest.
//
// Where many instances decide on stale loads, Spread draws among the targets of similar cost.
//
// The package keeps no state and does no I/O. Pick takes time linear in the number of
// candidates.
package placement

import "time"

// Constants of the cost estimate.
const (
	// AssumedSpeed is the number of prompt tokens that an engine prefills in a millisecond, as
	// long as its own speed is not known.
	AssumedSpeed = 55.0
	// recomputeWeight is the cost of prefilling a shared part on another target, as a
	// multiple of the prefill time at AssumedSpeed: all requests on that target wait for it,
	// and the part evicts others from the target's memory.
	recomputeWeight = 14
	// rankPenalty is the cost of each step in rank. It keeps routers from spreading a
	// part over all targets when its home is busy: the second in rank is preferred to the
	// third unless the third is faster by this much.
	rankPenalty = 4 * time.Millisecond
	// concurrencyPenalty is the delay of a new request for each request that already runs
	// on the target.
	concurrencyPenalty = 500 * time.Microsecond
	// failurePenalty is the cost of a target on which all requests fail. It is multiplied
	// by the failure rate.
	failurePenalty = 2 * time.Second
	// sureFraction is the fraction of an estimated time to the first event that a request surely
	// takes: reported loads are up to 600 ms old, and the prompt that is being prefilled counts as a
	// whole.
	sureFraction = 0.5
	// maxSpeed is the speed of the fastest engines in use, in the unit of AssumedSpeed.
	maxSpeed = 157.0
)

// MaxRank is the highest rank that is distinguished. It limits the effect of the rank.
const MaxRank = 8

// Load is the work on one target.
type Load struct {
	// Running is the number of requests, Unread the number of prompt tokens that are
	// still to be prefilled, and Memory the number of tokens that running requests hold.
	Running, Unread, Memory int
	// Starts is the number of recent starts and Waiting the number of instances that would
	// start more, on a target that names a limit. Pick does not use them.
	Starts, Waiting int
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Running: l.Running + o.Running, Unread: l.Unread + o.Unread, Memory: l.Memory + o.Memory,
		Starts: l.Starts + o.Starts, Waiting: l.Waiting + o.Waiting,
	}
}

// Request describes a request to be placed.
type Request struct {
	// Prompt is the number of prompt tokens, Output the number of output tokens to
	// reserve memory for.
	Prompt, Output int
	// Shared is the number of prompt tokens in parts that other requests share.
	Shared int
	// ServiceTime is the expected processing time on a plain service, 0 for engines.
	ServiceTime time.Duration
	// TimeLeft is the time until the request's deadline, 0 for no limit.
	TimeLeft time.Duration
	// NewConn says that a connection is opened first, which takes another round trip.
	NewConn bool
}

// Candidate is a target that may get the request.
type Candidate struct {
	Load Load
	// Slots is the number of requests that can run at once, Memory the engine's capacity
	// in tokens. 0 means no limit.
	Slots, Memory int
	// Rank is the position in the rendezvous order of the request's home, from 0. Ranks
	// from MaxRank on are equivalent.
	Rank int
	// Cached is the number of prompt tokens that the target is expected to have cached.
	Cached int
	// Copy describes the shared parts on the target if it is known which targets keep them.
	Copy Copy
	// Distance is the network cost as a time: a round trip and the cost of the
	// transferred bytes.
	Distance time.Duration
	// Interference is the cost to streams on the target, and to the request's own stream, of requests
	// whose prefills are meant for other targets.
	Interference time.Duration
	// FailureRate is the fraction of recent requests that failed, from 0 to 1.
	FailureRate float64
	// Speed is the number of prompt tokens that the engine prefills in a millisecond, 0 if it
	// is not known.
	Speed float64
	// Pace is how long work takes on the target's machine as a factor of the usual, 0 if it is not
	// known. Queued is the time, at the usual pace, that requests which wait at the target add to
	// the wait.
	Pace   float64
	Queued time.Duration
	// Key is a hash of the target's id.
	Key uint64
}

// Limit limits the load of a target on which a request may start.
type Limit struct {
	// Wait is the longest expected wait.
	Wait time.Duration
	// Slots is the fraction of the slots of which fewer must be in use, 0 for no limit.
	Slots float64
}

// allows reports whether a candidate is within the limit.
func (l *Limit) allows(c *Candidate, wait time.Duration) bool {
	return wait <= l.Wait && (l.Slots == 0 || float64(c.Load.Running) < l.Slots*float64(c.Slots))
}

// Choice is the result of Pick.
type Choice struct {
	// Index is the index of the chosen candidate.
	Index int
	// Wait is the expected time before the target starts on the request, TimeToFirstEvent
	// the expected time to its first event.
	Wait, TimeToFirstEvent time.Duration
	// ShortestWait is the shortest wait at any candidate with room.
	ShortestWait time.Duration
	// Within reports whether the candidate is within the limit.
	Within bool
	// Late is the number of candidates with room whose first event would surely come after the
	// request's deadline.
	Late int
}

// Pick returns the candidate with the lowest cost, or false if none has room.
func Pick(r Request, candidates []Candidate, limit Limit) (Choice, bool) {
	choice, _ := survey(r, candidates)
	if choice.Index < 0 {
		return choice, false
	}
	choice.Within = limit.allows(&candidates[choice.Index], choice.Wait)
	return choice, true
}

// costs are the lowest cost of the candidates with room and the mean wait of all candidates.
type costs struct{ lowest, meanWait time.Duration }

// survey returns the candidate with the lowest cost, with index -1 if none has room.
func survey(r Request, candidates []Candidate) (Choice, costs) {
	best := Choice{Index: -1}
	var all costs
	var shortest, sum time.Duration
	for i := range candidates {
		c := &candidates[i]
		wait := c.wait(r)
		sum += wait
		if !c.hasRoom(r) {
			continue
		}
		if r.isLate(c, wait) {
			best.Late++
			continue
		}
		if best.Index < 0 || wait < shortest {
			shortest = wait
		}
		if cost := c.cost(r, wait); best.Index < 0 || cost < all.lowest {
			best.Index, best.Wait, best.TimeToFirstEvent, all.lowest = i, wait, c.timeToFirstEvent(r, wait), cost
		}
	}
	if len(candidates) > 0 {
		all.meanWait = sum / time.Duration(len(candidates))
	}
	best.ShortestWait = shortest
	return best, all
}

// timeToFirstEvent returns the expected time to the first event after the given wait.
func (c *Candidate) timeToFirstEvent(r Request, wait time.Duration) time.Duration {
	return wait + c.Copy.Transfer + c.paced(c.prefillTime(r.Prompt-c.Cached)+r.ServiceTime) + c.Distance
}

// isLate reports whether the first event from a candidate surely comes after the request's deadline.
func (r *Request) isLate(c *Candidate, wait time.Duration) bool {
	return r.TimeLeft > 0 && c.leastTimeToFirstEvent(*r, wait) >= r.TimeLeft
}

// leastTimeToFirstEvent returns the time that a request surely takes to its first event. Nothing is
// known of the processing time of a single call to a plain service.
func (c *Candidate) leastTimeToFirstEvent(r Request, wait time.Duration) time.Duration {
	least := c.Distance
	if r.NewConn {
		least += c.Distance
	}
	fraction := sureFraction
	switch {
	case r.ServiceTime > 0:
		return least
	case c.Speed == 0:
		fraction = AssumedSpeed / maxSpeed
	}
	return least + time.Duration(fraction*float64(wait+c.prefillTime(r.Prompt-c.Cached)))
}

// cost returns the cost of sending the request to the candidate, as a time.
func (c *Candidate) cost(r Request, wait time.Duration) time.Duration {
	return c.timeToFirstEvent(r, wait) + c.copyCost(r) + c.Interference +
		time.Duration(min(c.Rank, MaxRank))*rankPenalty +
		time.Duration(c.FailureRate*float64(failurePenalty))
}

// hasRoom reports whether the target has a free slot and enough memory for the request.
func (c *Candidate) hasRoom(r Request) bool {
	if c.Slots > 0 && c.Load.Running >= c.Slots {
		return false
	}
	return c.Memory == 0 || c.Load.Memory+Footprint(r, c.Cached) <= c.Memory
}

// wait returns the expected time before the target starts on a new request.
func (c *Candidate) wait(r Request) time.Duration {
	if r.ServiceTime > 0 {
		return c.paced(time.Duration(c.Load.Running)*r.ServiceTime/time.Duration(max(c.Slots, 1)) + c.Queued)
	}
	return c.paced(c.prefillTime(c.Load.Unread) + time.Duration(c.Load.Running)*concurrencyPenalty + c.Queued)
}

// paced returns how long work that usually takes d takes on the target now.
func (c *Candidate) paced(d time.Duration) time.Duration {
	if c.Pace == 0 {
		return d
	}
	return time.Duration(float64(d) * c.Pace)
}

// Footprint returns the number of tokens that a request adds to the memory of a target
// that already holds cached tokens of its prompt.
func Footprint(r Request, cached int) int { return r.Prompt - cached + r.Output }

// prefillTime returns the time in which the candidate prefills a number of prompt tokens.
func (c *Candidate) prefillTime(tokens int) time.Duration {
	if c.Speed > 0 {
		return prefillTime(tokens, c.Speed)
	}
	return prefillTime(tokens, AssumedSpeed)
}

// prefillTime returns the time to prefill a number of prompt tokens at a speed in tokens a
// millisecond.
func prefillTime(tokens int, speed float64) time.Duration {
	return time.Duration(float64(tokens) / speed * float64(time.Millisecond))
}
