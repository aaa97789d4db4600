package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target"
)

// Limits of the backoff after an attempt that sent nothing; it doubles each time.
const (
	minUnsentBackoff = 20 * time.Millisecond
	maxUnsentBackoff = time.Second
)

// backOffUnsent waits after an attempt that sent nothing, and doubles the backoff for
// the next time. Such an attempt does not count towards maxAttempts. It returns false
// if the wait would end after the deadline or if ctx ends.
func backOffUnsent(ctx context.Context, backoff *time.Duration, deadline time.Time) bool {
	if time.Now().Add(*backoff).After(deadline) {
		return false
	}
	timer := time.NewTimer(*backoff)
	defer timer.Stop()
	*backoff = min(2**backoff, maxUnsentBackoff)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// safeToSend reports whether a request may be sent to its target. If the request is
// suspected of crashing targets, the target must be up and have the boot id in the
// assignment; otherwise a target that went down before the request arrived would
// count as a crash caused by the request.
func (s *Server) safeToSend(ctx context.Context, assigned Assignment) bool {
	if !assigned.Alone {
		return true
	}
	report, err := s.targets.Load(ctx, assigned.Addr)
	return err == nil && report.BootID == assigned.BootID
}

// errDiverged means that the output of a new attempt does not start with the bytes
// that the caller has already received.
var errDiverged = errors.New("a fresh attempt's output differs from what was sent")

// attemptOutput appends the output of one attempt to the answer, without the bytes
// that an earlier attempt already sent.
type attemptOutput struct {
	generation *generation
	// skipBytes is the number of bytes still to be skipped because an earlier attempt
	// sent them. skippedDigest is the digest of the bytes skipped so far.
	skipBytes     int64
	skippedDigest hash.Hash
	// frames is the number of chunks received in this attempt and checksum is their
	// checksum; both are needed to resume the stream.
	frames       int64
	checksum     uint32
	bootID       string
	inputTokens  int64
	outputTokens int64
}

func newAttemptOutput(g *generation) *attemptOutput {
	return &attemptOutput{generation: g, skipBytes: g.sent.bytes, skippedDigest: sha256.New()}
}

// add processes the next chunk. Chunks must be added in order.
func (o *attemptOutput) add(ctx context.Context, c target.Chunk) error {
	o.inputTokens = c.InputTokens
	o.outputTokens = c.OutputTokens
	data, err := o.skipSent(c.Data)
	if err != nil {
		return err
	}
	if len(data) > 0 {
		if err := o.generation.answer.append(ctx, data); err != nil {
			return err
		}
		o.generation.sent.add(data)
	}
	o.frames = c.Sequence + 1
	o.checksum = c.Checksum
	return nil
}

// skipSent returns data without the bytes that an earlier attempt already sent. Once
// all of these were skipped it compares their digests and returns errDiverged if they
// differ.
func (o *attemptOutput) skipSent(data []byte) ([]byte, error) {
	if o.skipBytes == 0 {
		return data, nil
	}
	n := min(o.skipBytes, int64(len(data)))
	o.skippedDigest.Write(data[:n])
	o.skipBytes -= n
	if o.skipBytes == 0 && !bytes.Equal(o.skippedDigest.Sum(nil), o.generation.sent.digest.Sum(nil)) {
		return nil, errDiverged
	}
	return data[n:], nil
}

// outcomeFromTarget converts an error of a target call to an outcome. An error of any
// other type means that the outcome is unknown.
func outcomeFromTarget(err error) *OutcomeError {
	var targetErr *target.Error
	if !errors.As(err, &targetErr) {
		return &OutcomeError{Kind: Unknown, Reason: ReasonConnectionBroken, Err: err}
	}
	switch targetErr.Kind {
	case target.NotRun:
		return &OutcomeError{Kind: NotRun, Reason: ReasonNoTarget, Err: err}
	case target.Failed:
		return &OutcomeError{Kind: Failed, Reason: ReasonTargetFailed, Err: err}
	default:
		return &OutcomeError{Kind: Unknown, Reason: ReasonConnectionBroken, Err: err}
	}
}

// isBroken reports whether a target call failed with an unknown outcome, so that its
// stream may be resumed.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, errDiverged) && outcomeFromTarget(err).Kind == Unknown
}

// endKind returns how the lease of a failed attempt ended.
func endKind(outcome *OutcomeError) EndKind {
	switch outcome.Kind {
	case NotRun:
		return EndUnreachable
	case Failed:
		return EndFailed
	default:
		return EndBroken
	}
}

// fingerprint returns a hash of customer, workload, method and content. It is the same
// on every instance.
func fingerprint(customer fleet.CustomerID, workload fleet.Workload, method string, content []byte) uint64 {
	digest := sha256.New()
	for _, part := range []string{string(customer), workload.String(), method} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(content)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}
