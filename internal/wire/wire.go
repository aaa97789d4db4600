// Package wire defines the messages of the protocol between instances. It holds only
// types and limits; package peer transports them.
//
// Every message carries state rather than changes, so a late, repeated or reordered
// message does no harm: the receiver keeps the highest sequence number of each sender
// incarnation, and counters are merged by maximum.
package wire

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// ProtocolVersion is the version of the protocol between instances.
const ProtocolVersion = 1

// Method names of the protocol.
const (
	MethodHello     = "hello"
	MethodHeartbeat = "heartbeat"
	MethodGrant     = "grant"
	MethodConfig    = "config"
)

// Limits of the protocol: the size of a message in bytes, and the length of a list in a
// message.
const (
	MaxMessageBytes = 4 << 20
	MaxListLength   = 65536
)

// BrokenRetention is how long an entry instance keeps reporting a target whose
// connection broke.
const BrokenRetention = 2 * time.Second

// Hello opens a connection in both directions: it is both the request and the reply.
type Hello struct {
	ProtocolVersion int                `json:"v"`
	Instance        fleet.InstanceID   `json:"i"`
	Incarnation     fleet.Incarnation  `json:"n"`
	DataCentre      fleet.DataCentreID `json:"d"`
}

// Heartbeat is the state that one instance sends to another, at regular intervals and
// after a change. Running, Demand and Spare hold the whole state for the receiver, never
// differences.
type Heartbeat struct {
	Incarnation fleet.Incarnation `json:"n"`
	// Seq is increased by one for each heartbeat from this incarnation to this receiver.
	Seq uint64 `json:"q"`
	// EchoSeq is the highest Seq that this sender has received from the receiver's current
	// incarnation, EchoIncarnation. The leases that this heartbeat gives start at the time
	// at which the receiver sent EchoSeq.
	EchoSeq         uint64            `json:"e,omitempty"`
	EchoIncarnation fleet.Incarnation `json:"en,omitempty"`
	// View is the digest of the live instances of the sender's data centre, as the sender
	// sees them. Escrow is lent only between instances with the same view.
	View uint64 `json:"w,omitempty"`
	// LendsEscrow reports whether the sender lends the receiver its escrow on all targets
	// that the receiver owns under View, for the agreed loan time from EchoSeq.
	LendsEscrow bool `json:"l,omitempty"`
	// Leaving reports whether the sender is stopping and takes no new work.
	Leaving bool `json:"lv,omitempty"`
	// ConfigVersion and ConfigDigest identify the configuration in force at the sender.
	ConfigVersion uint64 `json:"cv,omitempty"`
	ConfigDigest  string `json:"cd,omitempty"`
	// ConfigSource reports whether the sender knows of every configuration that was in force, so
	// that the receiver may compare its own with ConfigVersion.
	ConfigSource bool `json:"ck,omitempty"`
	// KeptEvacuations holds the data centres whose evacuation the sender keeps for KeptMillis, in
	// milliseconds, although a restore of the platform's records lost it.
	KeptEvacuations []fleet.DataCentreID `json:"ke,omitempty"`
	KeptMillis      int64                `json:"km,omitempty"`
	// KeysRequired reports whether a configuration that lists customers has been in force at the
	// sender or, as far as the sender knows, at another instance.
	KeysRequired bool `json:"kr,omitempty"`
	// Running is the work that the sender runs, or holds permits for, on the targets that
	// the receiver owns in the sender's view.
	Running []Running `json:"r,omitempty"`
	// GrantSeq is the highest Grant.Seq from the receiver's EchoIncarnation that is
	// reflected in Running. Grants are numbered from 1 without gaps for each receiver
	// incarnation; one up to GrantSeq that did not arrive counts as unused.
	GrantSeq uint64 `json:"g,omitempty"`
	// BrokenTargets lists the targets to which a connection of the sender broke, or could
	// not be opened, within the last BrokenRetention. An entry instance lists only those
	// that the receiver owns.
	BrokenTargets []fleet.TargetID `json:"b,omitempty"`
	// Demand is the work that waits at the sender and for which the receiver may issue grants.
	Demand []Demand `json:"dm,omitempty"`
	// Spare holds, by workload, the number of requests that the sender, as an owner, could
	// start now.
	Spare []Spare `json:"sp,omitempty"`
	// ServiceCounter holds the service counters that changed, whether the sender's own or
	// those of other instances.
	ServiceCounter []ServiceCounter `json:"s,omitempty"`
	// Offsets holds the changed offsets of customers' virtual times.
	Offsets []Offset `json:"o,omitempty"`
	// Suspects holds the fingerprints of requests that may crash targets.
	Suspects []Suspect `json:"x,omitempty"`
	// Evidence holds the crashes held against requests that share a trait.
	Evidence []Evidence `json:"ev,omitempty"`
	// Limits holds limits that targets name: those that changed, and some of the others.
	Limits []TargetLimit `json:"tl,omitempty"`
	// LeavingTargets holds targets that said that they leave: those of which the sender has just
	// learnt it, and some of the others.
	LeavingTargets []LeavingTarget `json:"lt,omitempty"`
	// LoadReports are what targets said of their load, KeptPrefixes which prompt prefixes they keep.
	LoadReports  []LoadReport `json:"lr,omitempty"`
	KeptPrefixes []KeptPrefix `json:"kp,omitempty"`
	// Members, Loads, Usage and Records hold the whole state of the instances that serve
	// HTTP callers directly. Scope states which instances Loads and Usage cover.
	Scope   Scope    `json:"sc,omitempty"`
	Members []Member `json:"mb,omitempty"`
	// MembersSame stands for Members that have not changed but for their ages.
	MembersSame *MembersSame `json:"ms,omitempty"`
	// Standby reports that Loads and Usage are sent less often than by another relay, which
	// the receiver prefers.
	Standby bool            `json:"sb,omitempty"`
	Loads   []TargetLoad    `json:"ld,omitempty"`
	Usage   []CustomerUsage `json:"us,omitempty"`
	Records *RecordsState   `json:"rc,omitempty"`
}

// Running is the number of the sender's requests on one target.
type Running struct {
	Target fleet.TargetID `json:"t"`
	Count  int            `json:"c"`
}

// Demand is the work of one customer for one workload that waits at the sender.
type Demand struct {
	Customer fleet.CustomerID `json:"c"`
	Workload fleet.Workload   `json:"w"`
	Waiting  int              `json:"n"`
	// Estimate is the expected cost of the next request, in cost units.
	Estimate fleet.Cost `json:"e,omitempty"`
	// WaitMillis is how long the oldest request has waited, in milliseconds.
	WaitMillis int64 `json:"a,omitempty"`
	// Alone reports whether each of these requests must be the only one on its target.
	Alone bool `json:"x,omitempty"`
}

// Spare is the number of further requests that an owner could start for a workload.
type Spare struct {
	Workload fleet.Workload `json:"w"`
	Count    int            `json:"c"`
	// MaxVirtualTime is the greatest virtual time among the customers that wait for the
	// workload at entry instances of the owner's data centre, 0 if none waits.
	MaxVirtualTime int64 `json:"v,omitempty"`
}

// ServiceCounter is a grow-only counter of the service that a customer has received from
// one incarnation. Merging keeps the larger value.
type ServiceCounter struct {
	Incarnation fleet.Incarnation `json:"n"`
	Customer    fleet.CustomerID  `json:"c"`
	Total       fleet.Cost        `json:"t"`
}

// Offset is the amount by which a customer's virtual time was lifted. Merging keeps the
// larger value.
type Offset struct {
	Customer fleet.CustomerID `json:"c"`
	// Lift is in cost units per share.
	Lift fleet.Cost `json:"l"`
}

// Grant is a permit to start one request. It is a lease: it must be used within the
// agreed permit time, counted from the time at which the entry instance sent heartbeat
// EchoSeq.
type Grant struct {
	// Incarnation is that of the owner. Seq numbers the owner's grants to the receiver
	// from 1.
	Incarnation fleet.Incarnation `json:"n"`
	Seq         uint64            `json:"q"`
	// EchoIncarnation and EchoSeq identify the heartbeat of the entry instance at whose
	// sending time the lease starts.
	EchoIncarnation fleet.Incarnation `json:"en"`
	EchoSeq         uint64            `json:"e"`
	Customer        fleet.CustomerID  `json:"c"`
	Workload        fleet.Workload    `json:"w"`
	Target          fleet.TargetID    `json:"t"`
	// BootID is the target's boot id as last seen by the owner.
	BootID string `json:"b,omitempty"`
	// Alone reports whether the request must be the only one on the target.
	Alone bool `json:"x,omitempty"`
}

// Suspect is the fingerprint of a request that may crash targets.
type Suspect struct {
	// Fingerprint is a keyed hash of customer, workload and content.
	Fingerprint uint64 `json:"f"`
	// Crashes is the number of targets that went down while the request ran. Merging keeps
	// the larger value.
	Crashes int `json:"c"`
	// Cleared reports whether the request has run to completion once.
	Cleared bool `json:"k,omitempty"`
}

// Evidence holds the crashes held against one trait: a whole request, or a part of a prompt
// that requests share. Merging keeps each crash once.
type Evidence struct {
	Trait uint64 `json:"t"`
	// Whole reports whether the trait is a whole request, Depth is the greatest index at which
	// a part occurred in a prompt.
	Whole bool `json:"w,omitempty"`
	Depth int  `json:"d,omitempty"`
	// Group is the key that the part has in common at all services, 0 for none.
	Group uint64 `json:"g,omitempty"`
	// Sound reports whether some target has answered with the part at some time.
	Sound   bool    `json:"s,omitempty"`
	Crashes []Crash `json:"c,omitempty"`
	// Trials counts the requests that ran although the trait was refused, the last of them
	// TrialAgeMillis ago, in milliseconds.
	Trials         int   `json:"n,omitempty"`
	TrialAgeMillis int64 `json:"a,omitempty"`
}

// Crash is a crash of a target while a request with a trait ran.
type Crash struct {
	// Target is a hash of the target's id and start.
	Target uint64 `json:"i"`
	// AgeMillis is the time since the crash, in milliseconds.
	AgeMillis int64 `json:"a"`
	// Customer and Request are hashes of the request's customer and content.
	Customer uint32 `json:"u,omitempty"`
	Request  uint32 `json:"r,omitempty"`
	// Cleared reports whether the crash is not held against the trait. It stays set unless
	// Excused, which reports that the trait was found sound shortly before the crash only.
	Cleared bool `json:"k,omitempty"`
	Excused bool `json:"e,omitempty"`
	// Telling reports whether other parts of the request were found sound shortly before the crash,
	// but this one was not.
	Telling bool `json:"l,omitempty"`
}

// ConfigRequest asks a peer for the configuration that it has in force.
type ConfigRequest struct {
	// CurrentVersion is the version in force at the requester, 0 for none, and
	// CurrentDigest its digest.
	CurrentVersion uint64 `json:"h,omitempty"`
	CurrentDigest  string `json:"hd,omitempty"`
	// CurrentEra is the era of the platform in which CurrentVersion was read, 0 without eras.
	CurrentEra uint64 `json:"e,omitempty"`
	// VersionOnly asks for a reply without content, which is short.
	VersionOnly bool `json:"o,omitempty"`
	// InForce asks a gateway for ConfigReply.InForce in place of the platform's records.
	InForce bool `json:"f,omitempty"`
}

// ConfigReply holds the configuration in force at the replying instance.
type ConfigReply struct {
	// Version is 0 if the replying instance has no configuration or none newer than
	// CurrentVersion.
	Version uint64 `json:"v,omitempty"`
	Digest  string `json:"d,omitempty"`
	// Era is the era of the platform in which Version was read, 0 without eras.
	Era uint64 `json:"e,omitempty"`
	// Settled reports whether the replying instance takes new work: it has asked its own
	// peers for their versions, or has stopped waiting for their answers.
	Settled bool `json:"k,omitempty"`
	// Patches, applied in order, turn the document of CurrentVersion into that of Version.
	// They are sent in place of Text.
	Patches [][]byte `json:"p,omitempty"`
	// Text is the whole document, compressed with gzip.
	Text []byte `json:"t,omitempty"`
	// InForce is the configuration in force at a gateway, as the platform held it.
	InForce []byte `json:"f,omitempty"`
}

// Scope states which instances the Loads and Usage of a heartbeat cover.
type Scope string

// The scopes. A relay sends aggregates to instances that do not exchange heartbeats with
// each other.
const (
	// ScopeOwn covers the sender alone.
	ScopeOwn Scope = ""
	// ScopeDataCentre covers all instances of the sender's data centre.
	ScopeDataCentre Scope = "centre"
	// ScopeKept covers what the sender's last heartbeat with another scope covered; it has no
	// Loads and Usage, those of that heartbeat stay in use.
	ScopeKept Scope = "kept"
	// ScopeNone covers no instance: the receiver gets its loads from other senders.
	ScopeNone Scope = "none"
	// ScopeRest covers the whole fleet except the receiver.
	ScopeRest Scope = "rest"
)

// MembersSame stands for the last Members that the receiver has got from the sender.
type MembersSame struct {
	// Digest is that of these members without their ages.
	Digest uint64 `json:"d"`
	// AgeMillis is the greatest time since any instance last received a message from one of
	// them, in milliseconds.
	AgeMillis int64 `json:"g,omitempty"`
}

// Member describes one instance, which may be the sender itself. Instances that are in no
// configured list discover each other through Members.
type Member struct {
	// ID is the instance's address for its peers, IP:port.
	ID          fleet.InstanceID   `json:"i"`
	Incarnation fleet.Incarnation  `json:"n"`
	DataCentre  fleet.DataCentreID `json:"d"`
	// CallerAddr is the IP:port for callers.
	CallerAddr string `json:"a"`
	// ProcessorMillis is the instance's share of a processor, in thousandths of one.
	ProcessorMillis int `json:"c,omitempty"`
	// Leaving reports whether the instance is stopping; NotReady whether it cannot serve
	// yet.
	Leaving  bool `json:"l,omitempty"`
	NotReady bool `json:"u,omitempty"`
	// Behind reports whether the instance gets less processor time than its work needs.
	Behind bool `json:"b,omitempty"`
	// TakesPerSecond is how many connections a second the instance takes over from each late peer of its
	// data centre, at HandOverAddr, its IP:port for them.
	TakesPerSecond int    `json:"tk,omitempty"`
	HandOverAddr   string `json:"ho,omitempty"`
	// AgeMillis is the time since any instance last received a message from this one, as far
	// as the sender can tell, in milliseconds.
	AgeMillis int64 `json:"g,omitempty"`
}

// TargetLoad is the work that the instances of the heartbeat's Scope run on one target.
type TargetLoad struct {
	Target fleet.TargetID `json:"t"`
	// Running is the number of requests.
	Running int `json:"c"`
	// Unread is the number of prompt tokens that the target has yet to process before these
	// requests produce their first events.
	Unread int `json:"p,omitempty"`
	// Memory is the number of tokens that the requests hold in the target's memory.
	Memory int `json:"m,omitempty"`
	// Starts is the number of requests started within pacing.StartsKept, Waiting the number of
	// instances that would start more. Both are set only for a target that names a limit.
	Starts  int `json:"s,omitempty"`
	Waiting int `json:"w,omitempty"`
}

// TargetLimit is the limit that a target named in an answer to some instance, or that it
// named none.
type TargetLimit struct {
	Target      fleet.TargetID `json:"t"`
	StartMillis int64          `json:"b"`
	// PerSecond is the number of requests a second that the target takes from the whole fleet.
	PerSecond float64 `json:"p,omitempty"`
	// Ended reports that the target names no limit any more.
	Ended bool `json:"e,omitempty"`
	// Origin is the incarnation of the instance that got the answer, Seq its number of the
	// observation.
	Origin uint64 `json:"o"`
	Seq    uint64 `json:"q"`
	// AgeMillis is the time since the answer, in milliseconds.
	AgeMillis int64 `json:"a"`
}

// LeavingTarget is a run of a target that said in an answer to some instance that it leaves.
type LeavingTarget struct {
	Target      fleet.TargetID `json:"t"`
	StartMillis int64          `json:"b"`
	// AgeMillis is the time since the answer, in milliseconds.
	AgeMillis int64 `json:"a"`
}

// LoadReport is what a start of a target said of its load.
type LoadReport struct {
	Target      fleet.TargetID `json:"t"`
	StartMillis int64          `json:"b"`
	Running     int            `json:"r,omitempty"`
	Waiting     int            `json:"w,omitempty"`
	Slots       int            `json:"s,omitempty"`
	// Pace is how long work takes on the target's machine, in percent of the usual, 0 if unknown.
	Pace int `json:"p,omitempty"`
	// AgeMillis is the time since the target made the report, in milliseconds.
	AgeMillis int64 `json:"a,omitempty"`
}

// KeptPrefix is a prefix of prompts that a start of a target keeps in its memory.
type KeptPrefix struct {
	Target      fleet.TargetID `json:"t"`
	StartMillis int64          `json:"b"`
	// Prefix is the hash of the parts of the prefix, Tokens their number of tokens.
	Prefix uint64 `json:"h"`
	Tokens int    `json:"n"`
	// Reading reports whether the target was still reading the prefix.
	Reading bool `json:"r,omitempty"`
	// AgeMillis is the time since the observation, in milliseconds.
	AgeMillis int64 `json:"a,omitempty"`
}

// CustomerUsage counts one customer's tokens at the instances of the heartbeat's Scope
// since their start. The counters only grow.
type CustomerUsage struct {
	Customer fleet.CustomerID `json:"c"`
	// Requested counts the tokens of requests that arrived, Started those of requests that
	// were sent to targets.
	Requested int64 `json:"a"`
	Started   int64 `json:"s"`
}

// RecordsState states how current the sender's copy of the platform's records is.
type RecordsState struct {
	// Era is 0 if the platform has no eras, or if the sender's release does not know them.
	Era      uint64 `json:"e,omitempty"`
	Revision uint64 `json:"r"`
	// AgeMillis is the time since the sender issued the read that proved that the platform
	// had nothing newer, in milliseconds.
	AgeMillis int64 `json:"a"`
}
