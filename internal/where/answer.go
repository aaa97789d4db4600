package where

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Outcome is what would become of the request now.
type Outcome string

// The outcomes.
const (
	Admitted Outcome = "admitted"
	Waits    Outcome = "waits"
	Refused  Outcome = "refused"
)

// Limits on the length of the answer.
const (
	MaxCandidates = 64
	MaxLeftOut    = 256
)

// Millis is a time in milliseconds.
type Millis float64

// MillisOf converts a duration.
func MillisOf(d time.Duration) Millis { return Millis(float64(d.Microseconds()) / 1000) }

// Answer says where a request would go now.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	// Refusal is set for Refused, Wait for Waits.
	Refusal *Refusal `json:"refusal,omitempty"`
	Wait    *Wait    `json:"wait,omitempty"`
	// Target is the target that the request would be sent to, or that it would go to with room there or within its limits.
	Target  fleet.TargetID  `json:"target,omitempty"`
	Route   string          `json:"route,omitempty"`
	Service fleet.ServiceID `json:"service,omitempty"`
	// ConfigVersion is the version of the configuration.
	ConfigVersion uint64 `json:"config_version"`
	// Trial says that the request would run as a trial of parts that are refused because they crashed targets.
	Trial  bool    `json:"trial,omitempty"`
	Limit  *Limit  `json:"limit,omitempty"`
	Share  *Share  `json:"share,omitempty"`
	Belief *Belief `json:"belief,omitempty"`
	// DrawWithin is set if targets are drawn: by how much more than the least a drawn one may cost.
	DrawWithin *Millis `json:"draw_within_ms,omitempty"`
	// Candidates are those with room, the least cost first, and MoreCandidates the number of those not listed.
	Candidates     []Candidate `json:"candidates"`
	MoreCandidates int         `json:"more_candidates,omitempty"`
	LeftOut        []LeftOut   `json:"left_out"`
	MoreLeftOut    int         `json:"more_left_out,omitempty"`
}

// Refusal is why the request would be refused.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfter is 0 if the answer would name none.
	RetryAfter Millis `json:"retry_after_ms"`
}

// Wait is how the request would wait.
type Wait struct {
	// Expected is nil if nothing known says when the request can start.
	Expected *Millis `json:"expected_ms"`
	// Before is the number of requests that wait at this instance and would be examined first, those of
	// other services included.
	Before int `json:"before"`
	// Limit is the time after which the request would be refused.
	Limit Millis `json:"limit_ms"`
}

// Limit is the load of a target up to which the customer's share lets the request start.
type Limit struct {
	Wait Millis `json:"wait_ms"`
	// Slots is the fraction of a target's slots, 0 for no limit.
	Slots float64 `json:"slots,omitempty"`
}

// Share is the customer's use of its share in tokens within the window.
type Share struct {
	Used      float64 `json:"used"`
	Nominal   float64 `json:"nominal"`
	Effective float64 `json:"effective"`
	// Lead is the usage beyond which the customer waits for a starved one, 0 if none is.
	Lead float64 `json:"lead,omitempty"`
}

// Belief is how old the knowledge of the instance is.
type Belief struct {
	// Listing is the age of the list of targets, PeerLoads that of the peers' loads in use, with a heartbeat interval
	// for each relay; Reports is the number of peers' reports and OldestReport the time since the oldest came.
	Listing      Millis `json:"listing_age_ms"`
	PeerLoads    Millis `json:"peer_loads_age_ms"`
	Reports      int    `json:"reports"`
	OldestReport Millis `json:"oldest_report_age_ms"`
	// ProcessorDelay is how late the instance's processor is.
	ProcessorDelay Millis `json:"processor_delay_ms"`
}

// Cost is the cost of a candidate by its parts. Wait and Prefill are at the usual pace of the target's machine, Pace is
// what its current pace adds.
type Cost struct {
	Total        Millis `json:"total"`
	Wait         Millis `json:"wait"`
	Prefill      Millis `json:"prefill"`
	Pace         Millis `json:"pace"`
	Transfer     Millis `json:"transfer"`
	Distance     Millis `json:"distance"`
	Rank         Millis `json:"rank"`
	Copy         Millis `json:"copy"`
	Interference Millis `json:"interference"`
	Failures     Millis `json:"failures"`
}

// Candidate is a target that may get the request now.
type Candidate struct {
	Target     fleet.TargetID     `json:"target"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Chosen     bool               `json:"chosen,omitempty"`
	// Within reports whether the target is within the request's limit.
	Within     bool   `json:"within_limit"`
	Cost       Cost   `json:"cost_ms"`
	Wait       Millis `json:"expected_wait_ms"`
	FirstEvent Millis `json:"first_event_ms"`
	Rank       int    `json:"rank"`
	Running    int    `json:"running"`
	Slots      int    `json:"slots"`
	Unread     int    `json:"unread_tokens"`
	Cached     int    `json:"cached_tokens"`
	// Speed is in tokens a millisecond, 0 if it is not known. Pace is a factor, 0 if it is not known.
	Speed float64 `json:"tokens_per_ms,omitempty"`
	Pace  float64 `json:"pace,omitempty"`
	// ReportAge is the age of the target's own report, nil if none is in use; CopyAge the time since the target was last
	// known to keep the longest long prefix that it has, nil if it is not known to keep any.
	ReportAge *Millis `json:"report_age_ms,omitempty"`
	CopyAge   *Millis `json:"copy_age_ms,omitempty"`
	Fetch     *Fetch  `json:"fetch,omitempty"`
}

// Fetch is the transfer of a prefix from another target.
type Fetch struct {
	Source fleet.TargetID `json:"source"`
	Tokens int            `json:"tokens"`
	// Age is the time since the source was last known to keep the prefix.
	Age Millis `json:"age_ms"`
}

// Reason is why a target is left out.
type Reason string

// The reasons.
const (
	Leaving      Reason = "leaving"
	Evacuated    Reason = "evacuated"
	OtherRegion  Reason = "region_not_allowed"
	Avoided      Reason = "avoided_after_failures"
	Probing      Reason = "probing"
	Paused       Reason = "pause"
	TargetLimit  Reason = "target_limit"
	ColdStarts   Reason = "cold_starts"
	SlotsFull    Reason = "slots_full"
	MemoryFull   Reason = "memory_full"
	FirstTooLate Reason = "too_late"
)

// LeftOut is a target that may not get the request now.
type LeftOut struct {
	Target fleet.TargetID `json:"target"`
	Reason Reason         `json:"reason"`
	// Until is the time until the reason ends, nil if that is not known.
	Until *Millis `json:"until_ms,omitempty"`
}
