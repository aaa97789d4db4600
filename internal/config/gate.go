package config

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// GateConfig holds the timeouts of a Gate, counted from the start of the instance.
type GateConfig struct {
	// StartWait is how long the instance waits for the answers of all peers. After
	// that, the answer of one settled peer is enough.
	StartWait time.Duration
	// MaxWait is how long the instance waits if no settled peer answers, or if a
	// version that a peer reported cannot be fetched or is invalid.
	MaxWait time.Duration
}

// GateState is the state of a Gate: whether a new instance takes new work, and why.
type GateState int

// The states of a Gate. It is closed in the first three and open in the others.
const (
	// GateNoConfig means that no configuration is in force.
	GateNoConfig GateState = iota
	// GateWaiting means that some peers have not answered yet.
	GateWaiting
	// GateBehind means that a peer reported a higher version than the one in force.
	GateBehind
	// GateAllAnswered means that every listed peer has answered.
	GateAllAnswered
	// GateSettledAnswered means that StartWait has passed and a settled peer has
	// answered.
	GateSettledAnswered
	// GateTimedOut means that MaxWait has passed without either.
	GateTimedOut
)

// Open reports whether the instance takes new work.
func (s GateState) Open() bool { return s >= GateAllAnswered }

// String returns a description of the state for the log.
func (s GateState) String() string {
	names := [...]string{"no configuration", "waiting for peers", "behind a peer", "all peers answered", "a settled peer answered", "no settled peer answered in time"}
	return names[s]
}

// Gate keeps a new instance from taking work until it has asked its peers for their
// versions, because the configuration service may return a stale one. A peer is
// settled if its own gate is open. Once open, a gate stays open.
//
// A gate opens only if a configuration is in force, as soon as one of these
// conditions holds:
//
//   - the list is known, every peer has answered, and the version in force is at
//     least the highest that any peer reported;
//   - StartWait has passed, a settled peer has answered, and the version in force
//     is at least the highest that any peer reported;
//   - MaxWait has passed.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	config GateConfig
	start  time.Time
	// peers are the peers to ask, nil until the list is known.
	peers    []fleet.InstanceID
	answered map[fleet.InstanceID]bool
	highest  uint64
	settled  bool
	state    GateState
}

// NewGate returns a closed gate for an instance that started at the given time.
func NewGate(config GateConfig, start time.Time) *Gate {
	return &Gate{config: config, start: start, answered: make(map[fleet.InstanceID]bool)}
}

// SetPeers sets the peers to ask, in this order and without the instance itself.
// Answers recorded before still count.
func (g *Gate) SetPeers(peers []fleet.InstanceID) {
	g.peers = append([]fleet.InstanceID{}, peers...)
}

// RecordAnswer records a peer's answer: the version in force at the peer and whether
// the peer is settled.
func (g *Gate) RecordAnswer(peer fleet.InstanceID, version uint64, settled bool) {
	g.RecordVersion(version)
	g.settled = g.settled || settled
	g.answered[peer] = true
}

// RecordVersion records a version that a peer's heartbeat reports.
func (g *Gate) RecordVersion(version uint64) {
	g.highest = max(g.highest, version)
}

// Unanswered returns the peers that have not answered yet, in the order of SetPeers.
func (g *Gate) Unanswered() []fleet.InstanceID {
	var missing []fleet.InstanceID
	for _, peer := range g.peers {
		if !g.answered[peer] {
			missing = append(missing, peer)
		}
	}
	return missing
}

// Update updates and returns the state at the time now. inForce is the version in
// force, 0 for none.
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
