// Package enginewire holds the types and names of the interface that targets
// offer over HTTP/1.1: paths, headers, JSON bodies and the frames of an answer
// stream. It has no state. docs/operators/targets.md describes the interface.
package enginewire

import (
	"hash/crc32"
	"hash/fnv"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Paths of the interface.
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

// Headers of the interface.
const (
	// HeaderOutcome is set on every refusal or failure that the target itself
	// decided; its values are the Outcome constants.
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

// Reasons that targets give in HeaderReason.
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
	// BootID makes it a resume: the run of RequestID goes on at FromFrame, or the
	// engine refuses, not run, when its boot id is another.
	BootID    string `json:"boot_id,omitempty"`
	FromFrame int64  `json:"from_frame,omitempty"`
	// DeadlineMillis is in milliseconds since the Unix epoch, 0 for none.
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

// CacheEvent is one change of an engine's prefix cache. Seq counts from 1 for
// each boot; a missing number is an event that was lost.
type CacheEvent struct {
	Seq   uint64        `json:"seq"`
	Op    CacheOp       `json:"op"`
	Model fleet.ModelID `json:"model"`
	// Hash names a prefix as PrefixHashes does.
	Hash uint64 `json:"hash"`
}

// CacheEvents is the answer of PathCacheEvents.
type CacheEvents struct {
	BootID string       `json:"boot_id"`
	Events []CacheEvent `json:"events"`
	// Next is the number to ask after next time.
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
	// Name is the model, adapter, version or role.
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
	// Instance is the sender, for targets that check it.
	Instance fleet.InstanceID `json:"instance,omitempty"`
}

// PrefixBlockBytes is the size of one block of a prompt for prefix hashes.
const PrefixBlockBytes = 512

// PrefixHashes returns one hash for each prefix of whole blocks of the prompt,
// shortest first, at most limit of them. It is linear in the bytes hashed.
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

// castagnoli is the table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum extends the CRC-32C of what came before data; start with 0.
func Checksum(before uint32, data []byte) uint32 {
	return crc32.Update(before, castagnoli, data)
}
