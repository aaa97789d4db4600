package observe

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// ConfigSource is the origin of a configuration.
type ConfigSource string

// Sources of configurations.
const (
	SourcePlatform ConfigSource = "platform"
	SourcePeer     ConfigSource = "peer"
)

// ConfigApplied records that a configuration took effect on this instance.
type ConfigApplied struct {
	Version uint64
	Digest  string
	// Former is the version that was in force before, 0 if there was none.
	Former uint64
	Source ConfigSource
	// Peer is set only if Source is SourcePeer.
	Peer fleet.InstanceID
}

// ConfigApplied logs that a configuration took effect.
func (d *DecisionLog) ConfigApplied(c *ConfigApplied) {
	e := d.event("config_applied").Uint64("version", c.Version).Str("digest", c.Digest)
	e.Uint64("former", c.Former)
	e.Str("source", string(c.Source)).Str("peer", string(c.Peer)).Send()
}

// ConfigRefused records that a configuration was rejected.
type ConfigRefused struct {
	Version uint64
	Digest  string
	Source  ConfigSource
	Peer    fleet.InstanceID
	Reason  Reason
	// Line is the line number of the first invalid rule, starting at 1, or 0 if no
	// rule is invalid.
	Line  int
	Error error
}

// Reasons for rejecting a configuration.
const (
	ReasonInvalidRules   Reason = "invalid_rules"
	ReasonDigestConflict Reason = "digest_conflict"
)

// ConfigRefused logs that a configuration was rejected.
func (d *DecisionLog) ConfigRefused(c *ConfigRefused) {
	e := d.event("config_refused").Uint64("version", c.Version).Str("digest", c.Digest)
	e.Str("source", string(c.Source)).Str("peer", string(c.Peer))
	e.Str("reason", string(c.Reason)).Int("line", c.Line)
	e.AnErr("error", c.Error).Send()
}

// TargetState records a change of the state that an owner holds for a target.
type TargetState struct {
	Target fleet.TargetID
	State  fleet.TargetState
	Former fleet.TargetState
	BootID string
	// Limit is the number of requests that may run at once after the change.
	Limit  int
	Reason Reason
}

// Reasons for a change of a target's state.
const (
	ReasonReported Reason = "reported"
	ReasonNewBoot  Reason = "new_boot"
)

// TargetState logs a change of a target's state.
func (d *DecisionLog) TargetState(s *TargetState) {
	e := d.event("target_state").Str("target", string(s.Target))
	e.Str("state", string(s.State)).Str("former", string(s.Former))
	e.Str("boot", s.BootID).Int("limit", s.Limit)
	e.Str("reason", string(s.Reason)).Send()
}

// OwnerChanged records that a target has a new owner according to this instance.
type OwnerChanged struct {
	Target fleet.TargetID
	Owner  fleet.InstanceID
	// Former is the previous owner, empty if there was none.
	Former      fleet.InstanceID
	ListVersion uint64
}

// OwnerChanged logs a change of a target's owner.
func (d *DecisionLog) OwnerChanged(o *OwnerChanged) {
	e := d.event("owner_changed").Str("target", string(o.Target))
	e.Str("owner", string(o.Owner)).Str("former_owner", string(o.Former))
	e.Uint64("list_version", o.ListVersion).Send()
}

// PeerStatus is the state of a peer as seen by this instance.
type PeerStatus string

// States of peers.
const (
	PeerLive    PeerStatus = "live"
	PeerLeaving PeerStatus = "leaving"
	PeerGone    PeerStatus = "gone"
)

// PeerState records a change of a peer's state as seen by this instance.
type PeerState struct {
	Peer        fleet.InstanceID
	Incarnation fleet.Incarnation
	State       PeerStatus
	// LendsEscrow reports whether the peer lends its escrow to this instance.
	LendsEscrow bool
	// Error is the reason why the peer is gone, nil if it is not.
	Error error
}

// PeerState logs a change of a peer's state.
func (d *DecisionLog) PeerState(p *PeerState) {
	e := d.event("peer_state").Str("peer", string(p.Peer))
	e.Stringer("incarnation", p.Incarnation)
	e.Str("state", string(p.State)).Bool("lends", p.LendsEscrow)
	e.AnErr("error", p.Error).Send()
}

// DrainPhase is a phase of a planned shutdown.
type DrainPhase string

// Phases of a planned shutdown, in order.
const (
	DrainBegun    DrainPhase = "begun"
	DrainClosed   DrainPhase = "closed"
	DrainFinished DrainPhase = "finished"
	DrainExpired  DrainPhase = "expired"
)

// Draining records that a planned shutdown reached a phase.
type Draining struct {
	Phase DrainPhase
	// Running and Queued are the numbers of requests that are left.
	Running int
	Queued  int
	// Elapsed is the time since the shutdown was requested.
	Elapsed time.Duration
}

// Draining logs that a planned shutdown reached a phase.
func (d *DecisionLog) Draining(s *Draining) {
	e := d.event("draining").Str("phase", string(s.Phase))
	e.Int("running", s.Running).Int("queued", s.Queued)
	e.Int64("elapsed_ms", s.Elapsed.Milliseconds()).Send()
}
