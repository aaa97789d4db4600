package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// standby is a second run of a request, begun while the first one is silent. The first run
// is ended for it only once it has delivered: an answer, or the first event of a stream.
//
// begin runs in a goroutine of its own. The fields that it sets may be read once done is
// closed.
type standby struct {
	x         *exchange
	placement *scheduler.Placement
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// memory is the memory of the response.
	memory *answerPart
	body   []byte
	// resumeAfter is the event after which the run resumes the stream, empty to begin it.
	// resuming is set if the caller has a part of the stream.
	resumeAfter string
	resuming    bool
	// position is the place in the stream up to which the caller has it.
	position streamPosition
	// adopted is set once the exchange continues with this run. The watch's mutex guards it.
	adopted bool

	done chan struct{}
	// unsent is set if the request was not sent for reasons unrelated to the target.
	unsent bool
	// resp is the response, whose body can be read from its start, nil if err is set.
	resp *upstream.Response
	info ResponseInfo
	err  error
	// delivered reports whether the response can take the place of the first run's. broken
	// reports whether it broke off before, unsound whether it does not continue the stream.
	delivered, broken, unsound bool
}

// newStandby returns a run on p that goes on after what was passed on so far.
func (x *exchange) newStandby(ctx context.Context, p *scheduler.Placement) *standby {
	s := &standby{
		x: x, placement: p, body: x.body.bytes, resumeAfter: x.resumeAfter(), resuming: x.headerWritten,
		position: x.position, done: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.memory = x.h.answers.part(s.cancel)
	return s
}

// begin sends the request and waits until the response has delivered or failed.
func (s *standby) begin() {
	o := &s.x.h.options
	if s.err = o.Upstream.Connect(s.ctx, s.placement.Target.Addr); s.err != nil {
		return
	}
	s.resp, s.err = o.Upstream.Send(s.ctx, s.x.upstreamRequest(s.placement, s.body, s.resumeAfter))
	s.unsent = isUnsendable(s.err)
	if s.err == nil {
		s.info = o.Codec.DecodeResponse(s.resp.Status, s.resp.Header)
		// The report is of now, however long the response then waits to be chosen.
		s.x.observeLoad(s.placement, s.resp.Status, s.info)
		if err := s.memory.holdHead(s.resp.Header); err != nil {
			s.broken = true
			return
		}
		s.delivered = s.awaitDelivery()
	}
}

// awaitDelivery reads the response until it has delivered, and puts back what it read. It
// reports whether the response can be passed on and is neither a refusal nor an error of the target.
func (s *standby) awaitDelivery() bool {
	isStream := s.x.isStream(s.resp)
	s.unsound = !s.x.isAcceptable(s.resp, s.info) || s.resuming && !s.x.continuesStream(s.resp)
	if s.info.NotRun || s.unsound {
		return false
	}
	var read []byte
	var err error
	rest := s.resp.Body
	if isStream {
		events := newEventReader(s.resp.Body, s.memory)
		read, err = s.firstEvent(events)
		rest = events.in
	} else {
		read, err = readBuffered(s.resp.Body, s.resp.Length, s.memory)
	}
	if err != nil {
		s.broken, rest = true, failingReader{err}
	}
	s.resp.Body = io.MultiReader(bytes.NewReader(read), rest)
	return err == nil && !s.unsound && s.resp.Status < http.StatusBadRequest
}

// firstEvent reads up to the first event with content and returns all that it read. It sets
// unsound if that event does not continue the stream.
func (s *standby) firstEvent(events *eventReader) ([]byte, error) {
	var read []byte
	for {
		e, err := events.next()
		read = append(read, events.raw...)
		events.other = len(read)
		if err != nil {
			return read, err
		}
		if e.hasContent {
			s.unsound = s.resuming && s.position.checkNext(e, true) != nil
			return read, nil
		}
		if len(read) > maxEventBytes {
			return read, errors.Errorf("stream without events: got %d bytes, want at most %d", len(read), maxEventBytes)
		}
	}
}

// failingReader is a reader that returns an error.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) {
	if errors.Is(r.err, errTruncatedEvent) {
		return 0, io.EOF
	}
	return 0, r.err
}

// outcome returns what became of a run that has not taken over, and what it counts as among
// the request's attempts. It must be called once done is closed, or by the goroutine of begin.
func (s *standby) outcome() (ReplacementResult, attemptResult) {
	var failure *upstream.Error
	result := mayHaveRun
	if s.unsent || errors.As(s.err, &failure) && !failure.Sent {
		result = notSent
	} else if s.resp != nil && s.info.NotRun {
		result = notRun
	}
	switch {
	case s.unsent:
		return replacementLeft, result
	case s.ctx.Err() != nil || s.delivered:
		return replacementUnneeded, result
	case result == notSent:
		return replacementUnreachable, result
	case result == notRun:
		return replacementRefused, result
	case s.resp == nil || s.broken:
		return replacementBroken, result
	case s.unsound:
		return replacementUnsound, result
	}
	return replacementFailed, result
}

// standbyOutcomes holds the outcomes of runs that did not take over and were not withdrawn.
var standbyOutcomes = map[ReplacementResult]scheduler.Outcome{
	replacementUnneeded:    scheduler.Abandoned,
	replacementUnreachable: scheduler.Unreachable,
	replacementRefused:     scheduler.Rejected,
	replacementBroken:      scheduler.Broken,
	replacementUnsound:     scheduler.Failed,
	replacementFailed:      scheduler.Failed,
}

// discard releases a run that is not to be passed on, with its outcome. It may block.
func (s *standby) discard(became ReplacementResult, result attemptResult) {
	defer s.memory.release()
	defer s.cancel(nil)
	x, p := s.x, s.placement
	if result == notSent {
		if became == replacementUnreachable {
			var failure *upstream.Error
			errors.As(s.err, &failure)
			p.End(dialOutcome(s.ctx, failure))
		}
		p.Withdraw()
		return
	}
	p.End(standbyOutcomes[became])
	if s.resp != nil {
		x.observeLeaving(p, s.resp.Status, s.info)
		x.observeLimit(p, s.resp.Status, s.info)
		x.observePause(p, s.info)
		s.resp.Finish(result == notRun && discardRest(s.resp))
	}
	if became == replacementBroken {
		x.logBrokenRun(p, x.checkCrash(s.ctx, p), 0, s.err)
	}
}

// release ends a run that the exchange has adopted and does not need any more.
func (s *standby) release() {
	s.cancel(nil)
	go func() {
		<-s.done
		s.discard(s.outcome())
	}()
}

// isStream reports whether a response is a stream of events.
func (x *exchange) isStream(resp *upstream.Response) bool {
	return x.route.Kind == catalog.Stream && resp.Status == http.StatusOK
}

// upstreamRequest returns the request to send to a placement's target.
func (x *exchange) upstreamRequest(p *scheduler.Placement, body []byte, resumeAfter string) upstream.Request {
	o := &x.h.options
	return upstream.Request{
		Addr:   p.Target.Addr,
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: o.Codec.ForwardHeader(x.r.Header, Forwarding{
			Remaining: x.job.Deadline.Sub(o.Now()), Target: p.Target.ID, Customer: x.customer, ResumeAfter: resumeAfter,
			FetchFrom: p.Fetch.Addr(), CopyTo: p.Backup.Addr(), Continues: x.continued(p),
		}),
		Body:    body,
		Ready:   func() error { return x.sendable(p) },
		NewConn: x.needsNewConn(p.Target.Addr),
		Match:   func(h http.Header) upstream.Match { return o.Codec.MatchResponse(x.call, h) },
		Skipped: func(status int) { x.logSkipped(p, status) },
	}
}
