// Package wire defines the messages of the inner protocol between instances. It
// holds types and limits only; package peer carries them.
//
// Every message is state based: applying one late, twice or out of order does no
// harm, because the receiver keeps the highest sequence for each sender
// incarnation, and counters merge by maximum.
package wire

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// ProtocolVersion is the version of the inner protocol.
const ProtocolVersion = 1

// Method names of the inner protocol.
const (
	MethodHello     = "hello"
	MethodHeartbeat = "heartbeat"
	MethodGrant     = "grant"
	MethodConfig    = "config"
)

// Limits of the inner protocol, in bytes and entries.
const (
	MaxMessageBytes = 4 << 20
	MaxListLength   = 65536
)

// BrokenRetention is how long an entry tells owners of a connection that broke.
const BrokenRetention = 2 * time.Second

// Hello opens a connection in both directions: it is the request and the reply.
type Hello struct {
	ProtocolVersion int                `json:"v"`
	Instance        fleet.InstanceID   `json:"i"`
	Incarnation     fleet.Incarnation  `json:"n"`
	DataCentre      fleet.DataCentreID `json:"d"`
}

// Heartbeat is what one instance tells another, regularly and after a change.
// Running, Demand and Spare are whole states for the receiver, never differences.
type Heartbeat struct {
	Incarnation fleet.Incarnation `json:"n"`
	// Seq rises by one for each heartbeat from this incarnation to this receiver.
	Seq uint64 `json:"q"`
	// EchoSeq is the highest Seq that this sender has received from the receiver's
	// current incarnation, EchoIncarnation. Leases given by this heartbeat are
	// anchored to the time at which the receiver sent EchoSeq.
	EchoSeq         uint64            `json:"e,omitempty"`
	EchoIncarnation fleet.Incarnation `json:"en,omitempty"`
	// View is the digest of the sender's view of its own data centre's live
	// instances; escrow is lent only between instances with the same view.
	View uint64 `json:"w,omitempty"`
	// LendsEscrow says that the sender lends the receiver its escrow on all targets that
	// the receiver owns under View, for the agreed loan time from EchoSeq.
	LendsEscrow bool `json:"l,omitempty"`
	// Leaving says that the sender is stopping and takes no new work.
	Leaving bool `json:"lv,omitempty"`
	// ConfigVersion and ConfigDigest name the configuration in force at the sender.
	ConfigVersion uint64 `json:"cv,omitempty"`
	ConfigDigest  string `json:"cd,omitempty"`
	// Running is the work that the sender runs, or holds permits for, on targets
	// which it believes the receiver owns.
	Running []Running `json:"r,omitempty"`
	// GrantSeq is the highest Grant.Seq from the receiver's EchoIncarnation that is
	// reflected in Running. Grants are numbered from 1 without gaps for each
	// receiver incarnation; a missing one stays missing until Forget covers it.
	GrantSeq uint64 `json:"g,omitempty"`
	// BrokenTargets names targets of the receiver that broke connections of the sender, or
	// could not be dialled, within the last BrokenMemory.
	BrokenTargets []fleet.TargetID `json:"b,omitempty"`
	// Demand is the work waiting at the sender that the receiver may grant.
	Demand []Demand `json:"dm,omitempty"`
	// Spare is the number of starts that the sender, as an owner, could grant now.
	Spare []Spare `json:"sp,omitempty"`
	// ServiceCounter carries changed service counters, the sender's or others'.
	ServiceCounter []ServiceCounter `json:"s,omitempty"`
	// Offsets carries changed lifts of customers' virtual time.
	Offsets []Offset `json:"o,omitempty"`
	// Suspects carries fingerprints of requests that may crash targets.
	Suspects []Suspect `json:"x,omitempty"`
	// Members, Loads, Usage and Records are whole states of the instances that serve
	// HTTP callers directly. Scope says of whom Loads and Usage tell.
	Scope   Scope           `json:"sc,omitempty"`
	Members []Member        `json:"mb,omitempty"`
	Loads   []TargetLoad    `json:"ld,omitempty"`
	Usage   []CustomerUsage `json:"us,omitempty"`
	Records *RecordsState   `json:"rc,omitempty"`
}

// Running counts the sender's work on one target.
type Running struct {
	Target fleet.TargetID `json:"t"`
	Count  int            `json:"c"`
}

// Demand is the work of one customer that waits at the sender for one workload.
type Demand struct {
	Customer fleet.CustomerID `json:"c"`
	Workload fleet.Workload   `json:"w"`
	Waiting  int              `json:"n"`
	// Estimate is the expected cost of the next request, in cost units.
	Estimate fleet.Cost `json:"e,omitempty"`
	// WaitMillis is how long the oldest request has waited, in milliseconds.
	WaitMillis int64 `json:"a,omitempty"`
	// Alone says that these requests must each be the only one on a target.
	Alone bool `json:"x,omitempty"`
}

// Spare is the number of further requests an owner could start for a workload.
type Spare struct {
	Workload fleet.Workload `json:"w"`
	Count    int            `json:"c"`
	// MaxVirtualTime is the greatest virtual time among the customers that wait for the
	// workload at entries of the owner's data centre, 0 if none waits.
	MaxVirtualTime int64 `json:"v,omitempty"`
}

// ServiceCounter is one grow-only service counter. Merge keeps the larger value.
type ServiceCounter struct {
	Incarnation fleet.Incarnation `json:"n"`
	Customer    fleet.CustomerID  `json:"c"`
	Total       fleet.Cost        `json:"t"`
}

// Offset is the lift of a customer's virtual time. Merge keeps the larger value.
type Offset struct {
	Customer fleet.CustomerID `json:"c"`
	// Lift is in cost units for one share.
	Lift fleet.Cost `json:"l"`
}

// Grant is a permit to start one request. It is a lease: it must be used within
// the agreed permit time of the moment at which the entry sent heartbeat EchoSeq.
type Grant struct {
	// Incarnation is the owner's; Seq numbers its grants to the receiver from 1.
	Incarnation fleet.Incarnation `json:"n"`
	Seq         uint64            `json:"q"`
	// EchoIncarnation and EchoSeq name the entry's heartbeat that anchors the lease.
	EchoIncarnation fleet.Incarnation `json:"en"`
	EchoSeq         uint64            `json:"e"`
	Customer        fleet.CustomerID  `json:"c"`
	Workload        fleet.Workload    `json:"w"`
	Target          fleet.TargetID    `json:"t"`
	// BootID is the target's boot id as the owner knows it.
	BootID string `json:"b,omitempty"`
	// Alone says that the request must be the only one on the target.
	Alone bool `json:"x,omitempty"`
}

// Suspect is one fingerprint that may crash targets.
type Suspect struct {
	// Fingerprint is a keyed hash of customer, workload and content.
	Fingerprint uint64 `json:"f"`
	// Crashes counts the targets that went down while it ran. Merge by maximum.
	Crashes int `json:"c"`
	// Cleared says that it ran to its end once.
	Cleared bool `json:"k,omitempty"`
}

// ConfigRequest asks a peer for the configuration it has in force.
type ConfigRequest struct {
	// CurrentVersion is the version that the asker has in force, 0 for none, and HaveDigest
	// its digest.
	CurrentVersion uint64 `json:"h,omitempty"`
	CurrentDigest  string `json:"hd,omitempty"`
	// VersionOnly asks for no content, so that the reply is short.
	VersionOnly bool `json:"o,omitempty"`
}

// ConfigReply carries the configuration in force at the answering instance.
type ConfigReply struct {
	// Version is 0 if the answering instance has none or none above Have.
	Version uint64 `json:"v,omitempty"`
	Digest  string `json:"d,omitempty"`
	// Settled says that the answering instance takes new work: it has itself asked
	// its peers for the highest version.
	Settled bool `json:"k,omitempty"`
	// Patches lead from Have to Version one after another; they are in place of
	// Text.
	Patches [][]byte `json:"p,omitempty"`
	// Text is the whole document, compressed with gzip.
	Text []byte `json:"t,omitempty"`
}

// Scope says of which instances a heartbeat tells.
type Scope string

// The scopes. A relay sums up instances for those that do not hear them.
const (
	// ScopeOwn is the sender alone.
	ScopeOwn Scope = ""
	// ScopeDataCentre is all instances of the sender's data centre.
	ScopeDataCentre Scope = "centre"
	// ScopeNone is nobody: the receiver hears of loads elsewhere.
	ScopeNone Scope = "none"
	// ScopeRest is the whole fleet without the receiver.
	ScopeRest Scope = "rest"
)

// Member is what the sender knows of one instance, itself included. Instances that
// no list names find each other by these.
type Member struct {
	// ID is the instance's address for its peers, IP:port.
	ID          fleet.InstanceID   `json:"i"`
	Incarnation fleet.Incarnation  `json:"n"`
	DataCentre  fleet.DataCentreID `json:"d"`
	// CallerAddr is the IP:port for callers.
	CallerAddr string `json:"a"`
	// ProcessorMillis is the instance's share of a processor, in thousandths of one.
	ProcessorMillis int `json:"c,omitempty"`
	// Leaving says that the instance is stopping; NotReady that it cannot serve yet.
	Leaving  bool `json:"l,omitempty"`
	NotReady bool `json:"u,omitempty"`
	// AgeMillis is the time since the instance was last heard of by anyone, as far as
	// the sender knows.
	AgeMillis int64 `json:"g,omitempty"`
}

// TargetLoad is the work that the sender runs on one target.
type TargetLoad struct {
	Target fleet.TargetID `json:"t"`
	// Running counts the requests.
	Running int `json:"c"`
	// Unread is the number of prompt tokens that the target has yet to read before
	// the first events of these requests.
	Unread int `json:"p,omitempty"`
	// Memory is the number of tokens that the requests hold in the target's memory.
	Memory int `json:"m,omitempty"`
}

// CustomerUsage counts one customer's tokens at the sender since its start. The
// counters only grow.
type CustomerUsage struct {
	Customer fleet.CustomerID `json:"c"`
	// Requested counts what arrived, Started what was sent to targets.
	Requested int64 `json:"a"`
	Started   int64 `json:"s"`
}

// RecordsState says how far the sender knows the records that the platform publishes.
type RecordsState struct {
	Revision uint64 `json:"r"`
	// AgeMillis is the time since the sending of the read that proved that the
	// platform had nothing newer.
	AgeMillis int64 `json:"a"`
}
