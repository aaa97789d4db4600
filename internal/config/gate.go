package config

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// GateConfig holds the times of a Gate, counted from the start of the instance.
type GateConfig struct {
	// StartWait is how long the instance waits for every peer; afterwards one
	// settled peer's answer is enough.
	StartWait time.Duration
	// MaxWait is how long it waits if no settled peer answers, or if a version
	// that a peer named cannot be fetched or is refused.
	MaxWait time.Duration
}

// GateState says whether a new instance takes new work, and why.
type GateState int

// The states of a Gate. It is shut in the first three and open in the others.
const (
	// GateNoConfig says that no configuration is in force.
	GateNoConfig GateState = iota
	// GateWaiting says that peers have not answered yet.
	GateWaiting
	// GateBehind says that a peer named a version above the one in force.
	GateBehind
	// GateAllAnswered says that every listed peer has answered.
	GateAllAnswered
	// GateSettledAnswered says that StartWait passed and a settled peer answered.
	GateSettledAnswered
	// GateTimedOut says that LoneWait passed without either.
	GateTimedOut
)

// Open reports whether the instance takes new work.
func (s GateState) Open() bool { return s >= GateAllAnswered }

// String returns the state in words for the log.
func (s GateState) String() string {
	names := [...]string{"no configuration", "waiting for peers", "behind a peer", "all peers answered", "a settled peer answered", "no settled peer answered in time"}
	return names[s]
}

// Gate keeps a new instance from taking work until it has asked its peers for the
// highest version, since the configuration service may be stale. A peer is settled
// if its own gate is open. Once open, a gate stays open.
//
// It opens only while a configuration is in force, and then as soon as one of
// these holds:
//
//   - the list is known, every peer has answered, and the version in force is at
//     least the highest that any peer named;
//   - StartWait has passed, a settled peer has answered, and the version in force
//     is at least the highest that any peer named;
//   - LoneWait has passed.
//
// A Gate belongs to one goroutine.
type Gate struct {
	config GateConfig
	start  time.Time
	// peers are to be asked; nil until the list is known.
	peers    []fleet.InstanceID
	answered map[fleet.InstanceID]bool
	highest  uint64
	settled  bool
	state    GateState
}

// NewGate returns a shut gate for an instance that started at a time.
func NewGate(config GateConfig, start time.Time) *Gate {
	return &Gate{config: config, start: start, answered: make(map[fleet.InstanceID]bool)}
}

// SetPeers gives the peers to be asked, in that order and without the instance
// itself. Answers that are there already count.
func (g *Gate) SetPeers(peers []fleet.InstanceID) {
	g.peers = append([]fleet.InstanceID{}, peers...)
}

// RecordAnswer takes a peer's answer: the version in force there and whether the peer
// is settled.
func (g *Gate) RecordAnswer(peer fleet.InstanceID, version uint64, settled bool) {
	g.RecordVersion(version)
	g.settled = g.settled || settled
	g.answered[peer] = true
}

// RecordVersion takes a version that a peer's heartbeat names.
func (g *Gate) RecordVersion(version uint64) {
	g.highest = max(g.highest, version)
}

// Unanswered returns the peers that have not answered yet, in the order given.
func (g *Gate) Unanswered() []fleet.InstanceID {
	var missing []fleet.InstanceID
	for _, peer := range g.peers {
		if !g.answered[peer] {
			missing = append(missing, peer)
		}
	}
	return missing
}

// Update returns the state at a time with a version in force, 0 for none.
func (g *Gate) Update(now time.Time, inForce uint64) GateState {
	if !g.state.Open() {
		g.state = g.next(now.Sub(g.start), inForce)
	}
	return g.state
}

func (g *Gate) next(waited time.Duration, inForce uint64) GateState {
	behind := inForce < g.highest
	all := g.peers != nil && len(g.Unanswered()) == 0
	switch {
	case inForce == 0:
		return GateNoConfig
	case !behind && all:
		return GateAllAnswered
	case !behind && g.settled && waited >= g.config.StartWait:
		return GateSettledAnswered
	case waited >= g.config.MaxWait:
		return GateTimedOut
	case behind:
		return GateBehind
	}
	return GateWaiting
}
