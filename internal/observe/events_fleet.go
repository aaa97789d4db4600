package observe

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// ConfigSource says where a configuration came from.
type ConfigSource string

// The sources of configurations.
const (
	SourcePlatform ConfigSource = "platform"
	SourcePeer     ConfigSource = "peer"
)

// ConfigApplied says that a configuration came into force here.
type ConfigApplied struct {
	Version uint64
	Digest  string
	// Former is the version that was in force, 0 for none.
	Former uint64
	Source ConfigSource
	// Peer is set where Source is SourcePeer.
	Peer fleet.InstanceID
}

// ConfigApplied logs a ConfigApplied.
func (d *DecisionLog) ConfigApplied(c *ConfigApplied) {
	e := d.event("config_applied").Uint64("version", c.Version).Str("digest", c.Digest)
	e.Uint64("former", c.Former)
	e.Str("source", string(c.Source)).Str("peer", string(c.Peer)).Send()
}

// ConfigRefused says that a configuration was not taken.
type ConfigRefused struct {
	Version uint64
	Digest  string
	Source  ConfigSource
	Peer    fleet.InstanceID
	Reason  Reason
	// Line is the line of the first invalid rule, from 1; 0 if none is.
	Line  int
	Error error
}

// Reasons of refused configurations.
const (
	ReasonInvalidRules   Reason = "invalid_rules"
	ReasonDigestConflict Reason = "digest_conflict"
)

// ConfigRefused logs a ConfigRefused.
func (d *DecisionLog) ConfigRefused(c *ConfigRefused) {
	e := d.event("config_refused").Uint64("version", c.Version).Str("digest", c.Digest)
	e.Str("source", string(c.Source)).Str("peer", string(c.Peer))
	e.Str("reason", string(c.Reason)).Int("line", c.Line)
	e.AnErr("error", c.Error).Send()
}

// TargetState says that an owner's view of a target changed.
type TargetState struct {
	Target fleet.TargetID
	State  fleet.TargetState
	Former fleet.TargetState
	BootID string
	// Limit is the number of requests that may run from now on.
	Limit  int
	Reason Reason
}

// Reasons of changes of targets.
const (
	ReasonReported Reason = "reported"
	ReasonNewBoot  Reason = "new_boot"
)

// TargetState logs a TargetState.
func (d *DecisionLog) TargetState(s *TargetState) {
	e := d.event("target_state").Str("target", string(s.Target))
	e.Str("state", string(s.State)).Str("former", string(s.Former))
	e.Str("boot", s.BootID).Int("limit", s.Limit)
	e.Str("reason", string(s.Reason)).Send()
}

// OwnerChanged says that a target has another owner in this instance's view.
type OwnerChanged struct {
	Target fleet.TargetID
	Owner  fleet.InstanceID
	// Former is empty if there was none.
	Former      fleet.InstanceID
	ListVersion uint64
}

// OwnerChanged logs an OwnerChanged.
func (d *DecisionLog) OwnerChanged(o *OwnerChanged) {
	e := d.event("owner_changed").Str("target", string(o.Target))
	e.Str("owner", string(o.Owner)).Str("former_owner", string(o.Former))
	e.Uint64("list_version", o.ListVersion).Send()
}

// PeerStatus is this instance's view of a peer.
type PeerStatus string

// The states of peers.
const (
	PeerLive    PeerStatus = "live"
	PeerLeaving PeerStatus = "leaving"
	PeerGone    PeerStatus = "gone"
)

// PeerState says that the view of a peer changed.
type PeerState struct {
	Peer        fleet.InstanceID
	Incarnation fleet.Incarnation
	State       PeerStatus
	// LendsEscrow says whether the peer lends its escrow to this instance.
	LendsEscrow bool
	// Error is why the peer is gone, nil otherwise.
	Error error
}

// PeerState logs a PeerState.
func (d *DecisionLog) PeerState(p *PeerState) {
	e := d.event("peer_state").Str("peer", string(p.Peer))
	e.Stringer("incarnation", p.Incarnation)
	e.Str("state", string(p.State)).Bool("lends", p.LendsEscrow)
	e.AnErr("error", p.Error).Send()
}

// DrainPhase is a step of a planned stop.
type DrainPhase string

// The phases, in their order.
const (
	DrainBegun    DrainPhase = "begun"
	DrainClosed   DrainPhase = "closed"
	DrainFinished DrainPhase = "finished"
	DrainExpired  DrainPhase = "expired"
)

// Draining says that a planned stop reached a phase.
type Draining struct {
	Phase DrainPhase
	// Running and Queued are the requests that are left.
	Running int
	Queued  int
	// Elapsed is the time since the stop was asked for.
	Elapsed time.Duration
}

// Draining logs a Draining.
func (d *DecisionLog) Draining(s *Draining) {
	e := d.event("draining").Str("phase", string(s.Phase))
	e.Int("running", s.Running).Int("queued", s.Queued)
	e.Int64("elapsed_ms", s.Elapsed.Milliseconds()).Send()
}
