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

// maxPrefixes bounds the prefix hashes of one prompt.
const maxPrefixes = 16

// cancelTimeout bounds the order to a target to stop a cancelled request.
const cancelTimeout = 2 * time.Second

// generation runs one model request. Its fields belong to the goroutine of run.
type generation struct {
	server      *Server
	answer      *answer
	request     Request
	message     *medlarwindv1.GenerateRequest
	ctx         context.Context
	stop        context.CancelFunc
	endDeadline time.Time
	sent        sentPrefix
	// mayHaveRun is set once a byte of the request may have reached a target.
	mayHaveRun bool
}

// sentPrefix is a digest of what the caller was already given, so that a fresh
// attempt continues only if its output starts with exactly that.
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
		message:     m,
		ctx:         ctx,
		stop:        stop,
		endDeadline: endDeadline,
		sent:        sentPrefix{digest: sha256.New()},
	}
	g.request = Request{
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

// run tries the request until it has a whole answer or a final outcome.
func (g *generation) run() {
	defer g.stop()
	defer g.server.answers.end(g.answer)
	backoff := minUnsentBackoff
	for attempt := 1; ; attempt++ {
		g.request.Attempt = attempt
		g.request.MayHaveRun = g.mayHaveRun
		lease, outcome := g.server.admission.Admit(g.ctx, &g.request)
		if outcome != nil {
			g.fail(outcome)
			return
		}
		outcome = g.attempt(lease)
		if outcome == nil {
			return
		}
		if outcome.Kind == NotRun && backOffUnsent(g.ctx, &backoff, g.request.Deadline) {
			attempt--
			continue
		}
		if !g.retryable(outcome, attempt) {
			g.fail(outcome)
			return
		}
	}
}

// fail ends the answer with what is known of the request.
func (g *generation) fail(outcome *OutcomeError) {
	outcome = g.finalOutcome(outcome)
	g.server.reportUnknown(&g.request, outcome)
	g.answer.fail(outcome)
}

// retryable reports whether another attempt may serve the caller. Model requests
// are safe to run again; only a target's own word that it failed is final.
func (g *generation) retryable(outcome *OutcomeError, attempt int) bool {
	if g.ctx.Err() != nil || attempt >= maxAttempts {
		return false
	}
	return outcome.Kind != Failed
}

// finalOutcome keeps "not run" honest: once a byte of the request may have reached a
// target, a later refusal no longer means that the request did not run.
func (g *generation) finalOutcome(outcome *OutcomeError) *OutcomeError {
	if g.mayHaveRun && outcome.Kind == NotRun {
		changed := *outcome
		changed.Kind = Unknown
		return &changed
	}
	return outcome
}

// attempt runs the request once under a lease; nil means that the answer is whole.
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
		Attempt:   g.request.Attempt,
		Model:     g.request.Workload.Model,
		Prompt:    g.message.Prompt,
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

// stream relays one connection's chunks to the answer.
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

// endAttempt ends the lease and turns the target's error into an outcome.
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
		// The engine took the request and a resume was refused: it started again.
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

// cancelAtTarget tells the engine to stop; closing the stream alone would leave it
// running until its next write.
func (g *generation) cancelAtTarget(assigned Assignment) EndKind {
	ctx, cancel := context.WithTimeout(g.server.ctx, cancelTimeout)
	defer cancel()
	if g.server.targets.Cancel(ctx, assigned.Addr, g.answer.id) != nil {
		return EndAbandoned
	}
	return EndCancelled
}

func (g *generation) maxTokens() int64 {
	if g.message.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return g.message.MaxTokens
}
