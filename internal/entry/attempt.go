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

// Bounds of the pause after an attempt that sent nothing; it doubles each time.
const (
	minUnsentBackoff = 20 * time.Millisecond
	maxUnsentBackoff = time.Second
)

// backOffUnsent waits before another attempt after one that sent nothing, which does
// not count as an attempt; false if the time to start is over.
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

// safeToSend checks, for a request suspected of crashing targets, that the target is
// up on the boot that the owner knows. Otherwise a target that went down before the
// request came would count against the request.
func (s *Server) safeToSend(ctx context.Context, assigned Assignment) bool {
	if !assigned.Alone {
		return true
	}
	report, err := s.targets.Load(ctx, assigned.Addr)
	return err == nil && report.BootID == assigned.BootID
}

// errDiverged means that a fresh attempt's output does not start with what the
// caller already has.
var errDiverged = errors.New("a fresh attempt's output differs from what was sent")

// attemptOutput passes on what one attempt adds to the bytes already sent.
type attemptOutput struct {
	generation *generation
	// skipBytes is how many bytes of this attempt the caller already has from an earlier
	// one; seen digests them.
	skipBytes     int64
	skippedDigest hash.Hash
	// frames counts the chunks taken in this attempt and checksum covers them, for
	// resuming.
	frames       int64
	checksum     uint32
	bootID       string
	inputTokens  int64
	outputTokens int64
}

func newAttemptOutput(g *generation) *attemptOutput {
	return &attemptOutput{generation: g, skipBytes: g.sent.bytes, skippedDigest: sha256.New()}
}

// add takes the next chunk in order.
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

// skipSent drops the part that the caller already has, and compares it.
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

// outcomeFromTarget turns the target layer's error into the entry's.
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

func isBroken(err error) bool {
	return err != nil && !errors.Is(err, errDiverged) && outcomeFromTarget(err).Kind == Unknown
}

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

// fingerprint hashes customer, workload and content, the same on every instance.
func fingerprint(customer fleet.CustomerID, workload fleet.Workload, method string, content []byte) uint64 {
	digest := sha256.New()
	for _, part := range []string{string(customer), workload.String(), method} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(content)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}
