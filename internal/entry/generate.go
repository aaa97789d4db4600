package entry

import (
	"context"
	"crypto/sha256"
	"hash"
	"io"
	"time"

	"github.com/pkg/errors"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// maxPrefixes is the maximum number of prefix hashes of one prompt.
const maxPrefixes = 16

// cancelTimeout limits the call that cancels a request at its target.
const cancelTimeout = 2 * time.Second

// generation runs one model request. Its fields are owned by the goroutine of run.
type generation struct {
	server           *Server
	answer           *answer
	admissionRequest AdmissionRequest
	request          *medlarwindv1.GenerateRequest
	ctx              context.Context
	stop             context.CancelFunc
	// endDeadline is when the request must have ended.
	endDeadline time.Time
	sent        sentPrefix
	// mayHaveRun is set once any byte of the request may have reached a target.
	mayHaveRun bool
}

// sentPrefix holds the length and digest of the bytes sent to the caller so far. A new
// attempt may continue the answer only if its output starts with the same bytes.
type sentPrefix struct {
	bytes  int64
	digest hash.Hash
}

func (p *sentPrefix) add(data []byte) {
	p.bytes += int64(len(data))
	p.digest.Write(data)
}

func (s *Server) newGeneration(customer fleet.CustomerID, m *medlarwindv1.GenerateRequest) (*generation, *OutcomeError) {
	if len(m.Prompt) > MaxPromptBytes || m.MaxTokens < 0 || m.ExpectedTokens < 0 {
		return nil, refuse(ReasonBadRequest, 0)
	}
	if _, found := s.directory.Model(fleet.ModelID(m.Model)); !found {
		return nil, refuse(ReasonUnknownWorkload, 0)
	}
	now := time.Now()
	endDeadline := now.Add(s.options.RequestTimeout)
	ctx, stop := context.WithDeadline(s.ctx, endDeadline)
	workload := fleet.Workload{Model: fleet.ModelID(m.Model)}
	g := &generation{
		server:      s,
		answer:      newAnswer(randomHex(16), customer, s.options.AnswerWindow),
		request:     m,
		ctx:         ctx,
		stop:        stop,
		endDeadline: endDeadline,
		sent:        sentPrefix{digest: sha256.New()},
	}
	g.admissionRequest = AdmissionRequest{
		RequestID:      g.answer.id,
		Customer:       customer,
		Workload:       workload,
		PromptTokens:   int64(len(m.Prompt)+bytesPerToken-1) / bytesPerToken,
		ExpectedTokens: m.ExpectedTokens,
		Fingerprint:    fingerprint(customer, workload, "", []byte(m.Prompt)),
		Prefixes:       enginewire.PrefixHashes(workload.Model, m.Prompt, maxPrefixes),
		Deadline:       now.Add(s.options.QueueTimeout),
	}
	if !s.answers.add(&answerEntry{answer: g.answer, cancel: stop}) {
		stop()
		return nil, refuse(ReasonInstanceMemory, time.Second)
	}
	return g, nil
}

// run attempts the request until it has a complete answer or a final outcome.
func (g *generation) run() {
	defer g.stop()
	defer g.server.answers.end(g.answer)
	backoff := minUnsentBackoff
	for attempt := 1; ; attempt++ {
		g.admissionRequest.Attempt = attempt
		g.admissionRequest.MayHaveRun = g.mayHaveRun
		lease, outcome := g.server.admission.Admit(g.ctx, &g.admissionRequest)
		if outcome != nil {
			g.fail(outcome)
			return
		}
		outcome = g.attempt(lease)
		if outcome == nil {
			return
		}
		if outcome.Kind == NotRun && backOffUnsent(g.ctx, &backoff, g.admissionRequest.Deadline) {
			attempt--
			continue
		}
		if !g.retryable(outcome, attempt) {
			g.fail(outcome)
			return
		}
	}
}

// fail ends the answer with the final outcome of the request.
func (g *generation) fail(outcome *OutcomeError) {
	outcome = g.finalOutcome(outcome)
	g.server.reportUnknown(&g.admissionRequest, outcome)
	g.answer.fail(outcome)
}

// retryable reports whether the request may be attempted again. Model requests are
// safe to run again; only a failure that the target itself reported is final.
func (g *generation) retryable(outcome *OutcomeError, attempt int) bool {
	if g.ctx.Err() != nil || attempt >= maxAttempts {
		return false
	}
	return outcome.Kind != Failed
}

// finalOutcome returns the outcome for the caller. NotRun becomes Unknown once any byte
// of the request may have reached a target, since a later refusal then no longer means
// that the request did not run.
func (g *generation) finalOutcome(outcome *OutcomeError) *OutcomeError {
	if g.mayHaveRun && outcome.Kind == NotRun {
		changed := *outcome
		changed.Kind = Unknown
		return &changed
	}
	return outcome
}

// attempt runs the request once under a lease, which it ends, and resumes a broken
// stream once. It returns nil if the answer is complete.
func (g *generation) attempt(lease Lease) *OutcomeError {
	if !lease.Begin() {
		lease.End(EndUnused)
		return refuse(ReasonNoTarget, 0)
	}
	assigned := lease.Assignment()
	if !g.server.safeToSend(g.ctx, assigned) {
		lease.End(EndUnreachable)
		return refuse(ReasonNoTarget, 0)
	}
	request := target.GenerateRequest{
		RequestID: g.answer.id,
		Attempt:   g.admissionRequest.Attempt,
		Model:     g.admissionRequest.Workload.Model,
		Prompt:    g.request.Prompt,
		MaxTokens: g.maxTokens(),
		Deadline:  g.endDeadline,
		Instance:  g.server.options.Instance,
	}
	output := newAttemptOutput(g)
	err := g.stream(assigned, request, lease, output)
	if isBroken(err) && output.bootID != "" {
		request.BootID = output.bootID
		request.FromFrame = output.frames
		request.Checksum = output.checksum
		err = g.stream(assigned, request, lease, output)
	}
	return g.endAttempt(err, lease, assigned, output)
}

// stream copies the chunks from one connection to a target into the answer.
func (g *generation) stream(assigned Assignment, r target.GenerateRequest, lease Lease, output *attemptOutput) error {
	stream, err := g.server.targets.Generate(g.ctx, assigned.Addr, r)
	if err != nil {
		return err
	}
	defer stream.Close()
	g.mayHaveRun = true
	output.bootID = stream.BootID()
	for {
		chunk, err := stream.Next()
		if err == io.EOF && output.skipBytes > 0 {
			return errDiverged
		}
		if err == io.EOF {
			g.answer.finish(output.inputTokens, output.outputTokens)
			return nil
		}
		if err != nil {
			return err
		}
		if err := output.add(g.ctx, chunk); err != nil {
			return err
		}
		lease.Charge(chunk.InputTokens, chunk.OutputTokens)
	}
}

// endAttempt ends the lease and converts the error of the attempt to an outcome.
func (g *generation) endAttempt(err error, lease Lease, assigned Assignment, output *attemptOutput) *OutcomeError {
	if err == nil {
		lease.End(EndFinished)
		return nil
	}
	if g.ctx.Err() != nil {
		lease.End(g.cancelAtTarget(assigned))
		return g.cancelOutcome()
	}
	if errors.Is(err, errDiverged) {
		lease.End(g.cancelAtTarget(assigned))
		return &OutcomeError{Kind: Failed, Reason: ReasonAnswerDiverged, Err: err}
	}
	outcome := outcomeFromTarget(err)
	if output.bootID != "" && outcome.Kind == NotRun {
		// The engine had accepted the request, then restarted and refused to resume it.
		outcome.Kind = Unknown
	}
	g.mayHaveRun = g.mayHaveRun || outcome.Kind != NotRun
	lease.End(endKind(outcome))
	return outcome
}

func (g *generation) cancelOutcome() *OutcomeError {
	reason := ReasonCancelled
	if errors.Is(g.ctx.Err(), context.DeadlineExceeded) {
		reason = ReasonDeadline
	}
	return &OutcomeError{Kind: Unknown, Reason: reason, Err: g.ctx.Err()}
}

// cancelAtTarget cancels the request at the engine. Closing the stream alone would
// leave it running until its next write.
func (g *generation) cancelAtTarget(assigned Assignment) EndKind {
	ctx, cancel := context.WithTimeout(g.server.ctx, cancelTimeout)
	defer cancel()
	if g.server.targets.Cancel(ctx, assigned.Addr, g.answer.id) != nil {
		return EndAbandoned
	}
	return EndCancelled
}

func (g *generation) maxTokens() int64 {
	if g.request.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return g.request.MaxTokens
}
