// Package enginewire defines the HTTP/1.1 protocol that targets implement: paths,
// headers, JSON bodies and the frames of an answer stream. It has no state.
// docs/operators/targets.md describes the protocol.
package enginewire

import (
	"hash/crc32"
	"hash/fnv"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Paths of the protocol.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathKV          = "/v1/kv"
	PathOrders      = "/v1/orders"
	// PathCall is followed by the escaped method name.
	PathCall = "/v1/call/"
)

// Headers of the protocol.
const (
	// HeaderOutcome is set on every refusal or failure that the target itself
	// reports; its values are the Outcome constants.
	HeaderOutcome   = "Medlarwind-Outcome"
	HeaderReason    = "Medlarwind-Reason"
	HeaderBootID    = "Medlarwind-Boot-Id"
	HeaderRequestID = "Medlarwind-Request-Id"
	HeaderCallID    = "Medlarwind-Call-Id"
	// HeaderDeadline is in milliseconds since the Unix epoch.
	HeaderDeadline = "Medlarwind-Deadline"
	HeaderInstance = "Medlarwind-Instance"
	// HeaderChecksum is the CRC-32C of the body, in decimal.
	HeaderChecksum = "Medlarwind-Checksum"
	// HeaderFence is the highest fencing number that the target has seen.
	HeaderFence = "Medlarwind-Fence"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun = "not_run"
	OutcomeFailed = "failed"
)

// Values of HeaderReason.
const (
	ReasonBootChanged    = "boot_changed"
	ReasonUnknownRequest = "unknown_request"
	ReasonDeadlinePassed = "deadline_passed"
	ReasonSenderRefused  = "sender_refused"
	ReasonOldFence       = "old_fence"
	ReasonMalformed      = "malformed"
	ReasonOverloaded     = "overloaded"
)

// GenerateRequest is the body of PathGenerate.
type GenerateRequest struct {
	RequestID string        `json:"request_id"`
	Attempt   int           `json:"attempt"`
	Model     fleet.ModelID `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	MaxTokens int64         `json:"max_tokens,omitempty"`
	// BootID, if set, resumes the run of RequestID at FromFrame. An engine with
	// another boot id refuses with OutcomeNotRun.
	BootID    string `json:"boot_id,omitempty"`
	FromFrame int64  `json:"from_frame,omitempty"`
	// DeadlineMillis is in milliseconds since the Unix epoch; 0 means none.
	DeadlineMillis int64            `json:"deadline_ms,omitempty"`
	Fence          uint64           `json:"fence,omitempty"`
	Instance       fleet.InstanceID `json:"instance,omitempty"`
}

// CancelRequest is the body of PathCancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CacheOp says what happened to a prefix block.
type CacheOp string

// The operations of a cache event.
const (
	CacheStored  CacheOp = "stored"
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent is one change of an engine's prefix cache. Seq counts from 1 for each
// boot; a missing number means that an event was lost.
type CacheEvent struct {
	Seq   uint64        `json:"seq"`
	Op    CacheOp       `json:"op"`
	Model fleet.ModelID `json:"model"`
	// Hash identifies a prefix; see PrefixHashes.
	Hash uint64 `json:"hash"`
}

// CacheEvents is the response of PathCacheEvents.
type CacheEvents struct {
	BootID string       `json:"boot_id"`
	Events []CacheEvent `json:"events"`
	// Next is the sequence number after which the next request continues.
	Next uint64 `json:"next"`
}

// OrderKind says what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderSetRole     OrderKind = "set_role"
)

// Order is the body of PathOrders.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Name is the name of the model, adapter, version or role.
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
	// Instance is the sender, for targets that check it.
	Instance fleet.InstanceID `json:"instance,omitempty"`
}

// PrefixBlockBytes is the block size of prefix hashes.
const PrefixBlockBytes = 512

// PrefixHashes returns one hash for each prefix of the prompt that consists of whole
// blocks, shortest first and at most limit of them. It takes time linear in the bytes
// hashed.
func PrefixHashes(model fleet.ModelID, prompt string, limit int) []uint64 {
	blocks := min(len(prompt)/PrefixBlockBytes, limit)
	hashes := make([]uint64, 0, blocks)
	h := fnv.New64a()
	h.Write([]byte(model))
	h.Write([]byte{0})
	for i := range blocks {
		h.Write([]byte(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes]))
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// castagnoli is the lookup table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum extends before, the CRC-32C of the preceding data, by data. At the start
// of an answer before is 0.
func Checksum(before uint32, data []byte) uint32 {
	return crc32.Update(before, castagnoli, data)
}
