// Package placement chooses the target of a request.
//
// It answers a load of long prompts that share parts: a part that is read again at a
// second target costs as much engine time as dozens of short requests. So each shared
// part has a home, the target that rendezvous hashing names, and a request leaves its
// home only when it would wait there for longer than reading the part elsewhere takes.
// Requests without long shared parts go where they start soonest.
//
// The package is pure. Pick takes time linear in the candidates.
package placement

import "time"

// Rates of the estimate.
const (
	// PrefillTokensPerMillisecond is the prompt tokens that an engine reads in a millisecond
	// beside the tokens it generates; published engines read 66 when they do nothing
	// else.
	PrefillTokensPerMillisecond = 55.0
	// rereadWeight is the worth of not reading a shared part again, as a multiple of the
	// time that it takes: all requests of the target wait for it, and the part pushes
	// others out of the target's memory.
	rereadWeight = 14
	// rankStep keeps routers that leave a busy home from spreading a part over all
	// targets: the second in rank comes before the third unless that is quicker by
	// this much.
	rankStep = 4 * time.Millisecond
	// busyStep is the slowdown by each request that runs beside a new one.
	busyStep = 500 * time.Microsecond
	// failurePenalty is the expected loss at a target all of whose requests fail.
	failurePenalty = 2 * time.Second
)

// MaxRank is the highest rank that is told apart: it bounds the effect of the rank.
const MaxRank = 8

// Load is the work on one target.
type Load struct {
	// Running counts requests, Unread the prompt tokens yet to be read, Memory the
	// tokens held by running requests.
	Running, Unread, Memory int
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, Unread: l.Unread + o.Unread, Memory: l.Memory + o.Memory}
}

// Request is what a choice depends on.
type Request struct {
	// Prompt is the number of prompt tokens, Output the most tokens generated.
	Prompt, Output int
	// Shared is the number of prompt tokens in parts that other requests share.
	Shared int
	// ServiceTime is the expected time on a plain service; 0 for engines.
	ServiceTime time.Duration
}

// Candidate is a target that may get the request.
type Candidate struct {
	Load Load
	// Slots is the number of requests that run at once, Memory the engine's tokens; 0
	// for no bound.
	Slots, Memory int
	// Rank is the position in the rendezvous order of the request's home, from 0; those
	// past MaxRank count alike.
	Rank int
	// Cached is the number of prompt tokens that the target is believed to hold.
	Cached int
	// Distance is the time of a round trip and what the bytes are worth.
	Distance time.Duration
	// FailureRate is the part of recent requests that failed, from 0 to 1.
	FailureRate float64
}

// Choice is the outcome of Pick.
type Choice struct {
	// Index is the chosen candidate.
	Index int
	// Wait is the expected time before the target turns to the request, TimeToFirstEvent the
	// expected time to its first event.
	Wait, TimeToFirstEvent time.Duration
}

// Pick returns the candidate with the lowest cost; false if none has room.
func Pick(r Request, candidates []Candidate) (Choice, bool) {
	best := Choice{Index: -1}
	var lowest time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !c.hasRoom(r) {
			continue
		}
		wait := c.wait(r)
		start := wait + reading(r.Prompt-c.Cached) + r.ServiceTime + c.Distance
		cost := start + rereadWeight*reading(max(r.Shared-c.Cached, 0)) +
			time.Duration(min(c.Rank, MaxRank))*rankStep +
			time.Duration(c.FailureRate*float64(failurePenalty))
		if best.Index < 0 || cost < lowest {
			best, lowest = Choice{Index: i, Wait: wait, TimeToFirstEvent: start}, cost
		}
	}
	return best, best.Index >= 0
}

// hasRoom reports whether the request can run at once beside the others.
func (c *Candidate) hasRoom(r Request) bool {
	if c.Slots > 0 && c.Load.Running >= c.Slots {
		return false
	}
	return c.Memory == 0 || c.Load.Memory+Footprint(r, c.Cached) <= c.Memory
}

// wait is the time before the target turns to a new request.
func (c *Candidate) wait(r Request) time.Duration {
	if r.ServiceTime > 0 {
		return time.Duration(c.Load.Running) * r.ServiceTime / time.Duration(max(c.Slots, 1))
	}
	return reading(c.Load.Unread) + time.Duration(c.Load.Running)*busyStep
}

// Footprint returns the tokens that a request adds to a target's memory.
func Footprint(r Request, cached int) int { return r.Prompt - cached + r.Output }

// reading is the time to read prompt tokens.
func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / PrefillTokensPerMillisecond * float64(time.Millisecond))
}
