package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// Limits for relaying responses.
const (
	// maxBufferedBytes is how much of a response is read before its headers are passed on,
	// so that a shorter response that breaks off can still be replaced by a retry.
	maxBufferedBytes = 256 << 10
	// maxDiscardBytes limits how much of a response that is not passed on is read so that
	// its connection can be reused.
	maxDiscardBytes = 16 << 10
	// discardTimeout limits the time for that, since a retry may wait for it.
	discardTimeout = 100 * time.Millisecond
	// stallFactor and minStallTimeout set the pause between events after which another target
	// is asked to resume a resumable stream: this multiple of the route's gap objective, but at
	// least minStallTimeout.
	stallFactor     = 3
	minStallTimeout = time.Second
)

// discardRest reads and discards up to maxDiscardBytes of the body for up to discardTimeout.
// It reports whether the body was read to its end.
func discardRest(resp *upstream.Response) bool {
	resp.SetReadTimeout(discardTimeout)
	n, err := io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	return n < maxDiscardBytes && errors.Is(err, io.EOF)
}

// readBuffered reads up to maxBufferedBytes of a body. length is its declared length, -1 if it is
// unknown; the error is io.ErrUnexpectedEOF if it ends before.
func readBuffered(body io.Reader, length int64, memory *answerPart) ([]byte, error) {
	buffered, err := memory.readAll(body, maxBufferedBytes)
	if err == nil && length > 0 && length <= maxBufferedBytes && int64(len(buffered)) < length {
		err = io.ErrUnexpectedEOF
	}
	return buffered, err
}

// relayBuffered relays a response that is not a stream. It reads up to maxBufferedBytes
// before it writes the headers.
func (x *exchange) relayBuffered(ctx context.Context, p *scheduler.Placement, resp *upstream.Response) attemptResult {
	body := &watchedReader{Reader: resp.Body, silence: x.silence, timeout: x.firstByteTimeout(p)}
	buffered, err := readBuffered(body, resp.Length, x.memory)
	if err != nil || !x.silence.received() {
		resp.Finish(false)
		return x.markBroken(ctx, p, err)
	}
	p.PrefillDone()
	header := x.w.Header()
	for name, values := range x.h.options.Codec.ResponseHeader(resp.Header) {
		header[name] = values
	}
	if len(buffered) < maxBufferedBytes {
		header.Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	x.writeHeader(resp.Status)
	_, err = x.w.Write(buffered)
	if err == nil && len(buffered) == maxBufferedBytes {
		// What was passed on takes no memory, for which the answer could be ended.
		x.memory.release()
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		resp.Finish(false)
		return x.markBroken(ctx, p, err)
	}
	resp.Finish(true)
	outcome := scheduler.Completed
	if resp.Status >= http.StatusInternalServerError {
		outcome = scheduler.Failed
	}
	p.End(outcome)
	return answered
}

// writeHeader writes the status and headers to the caller, unless it has done so before.
func (x *exchange) writeHeader(status int) {
	if x.headerWritten {
		return
	}
	x.headerWritten = true
	x.result.Status = status
	x.result.FirstByte = x.h.options.Now().Sub(x.arrived)
	x.w.WriteHeader(status)
}

// markBroken records a response that broke off before its end. err may be nil.
func (x *exchange) markBroken(ctx context.Context, p *scheduler.Placement, err error) attemptResult {
	x.result.Reason = "answer_broken"
	switch {
	case x.memory.wasEnded():
		err = errAnswerMemory
	case x.silence.gaveUp():
		err = errTargetSilent
	case ctx.Err() != nil:
		// The error of the read is only a consequence.
		err = context.Cause(ctx)
	}
	x.failure = err
	if err != nil {
		x.result.Cause, x.result.GaveUp = err.Error(), isSilence(err)
	}
	x.endBroken(ctx, p, err)
	return mayHaveRun
}

// relayStream relays complete events as they arrive.
func (x *exchange) relayStream(ctx context.Context, p *scheduler.Placement, resp *upstream.Response) attemptResult {
	events := newEventReader(resp.Body, x.memory)
	flusher := http.NewResponseController(x.w)
	resumed, begun := x.headerWritten, false
	for first := true; ; first = false {
		e, err := events.next()
		// A resumed stream may have no further events. If nothing but the connection marks its end,
		// that cannot be told from a target that crashed before its first event.
		complete := errors.Is(err, io.EOF) && (begun || !resp.EndsWithConn && x.headerWritten)
		if (err == nil || complete) && !x.silence.received() {
			complete, err = false, errTargetSilent
		}
		if complete {
			resp.Finish(true)
			p.End(scheduler.Completed)
			return answered
		}
		if err != nil {
			x.flushEvents(flusher)
			resp.Finish(false)
			return x.markBroken(ctx, p, err)
		}
		if resumed {
			err := x.position.checkNext(e, !begun)
			if err == nil && p.Continues() && !begun {
				err = x.position.checkDirect(e)
			}
			if err != nil {
				x.flushEvents(flusher)
				return x.refuseResumed(p, resp, err)
			}
		}
		begun = begun || e.hasContent
		if first {
			p.PrefillDone()
			x.writeStreamHeader(resp)
		} else {
			p.Answering()
		}
		if err := x.writeEvent(flusher, e, events.hasBuffered()); err != nil {
			resp.Finish(false)
			p.End(scheduler.Abandoned)
			x.failure = errCallerGone
			return mayHaveRun
		}
		x.silence.await(x.stallTimeout())
	}
}

// writeStreamHeader writes the status and headers of the first run's response. A run that
// resumes the stream writes none.
func (x *exchange) writeStreamHeader(resp *upstream.Response) {
	if x.headerWritten {
		return
	}
	header := x.w.Header()
	for name, values := range x.h.options.Codec.ResponseHeader(resp.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	x.streaming, x.streamType = true, mediaType(resp)
	x.writeHeader(resp.Status)
}

// mediaType returns the media type of a response without its parameters.
func mediaType(resp *upstream.Response) string {
	name, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// continuesStream reports whether a response is of the kind that was being written.
func (x *exchange) continuesStream(resp *upstream.Response) bool {
	return resp.Status == http.StatusOK && mediaType(resp) == x.streamType
}

// isContinuable reports whether another run can continue the response from where it is: nothing
// of it has been written, or the events of a stream up to a known position.
func (x *exchange) isContinuable() bool {
	return !x.headerWritten || x.streaming && x.position.isKnown()
}

// refuseResumed ends a run that was to resume the stream, but whose response does not continue it.
func (x *exchange) refuseResumed(p *scheduler.Placement, resp *upstream.Response, err error) attemptResult {
	resp.Finish(false)
	p.End(scheduler.Failed)
	x.result.Reason, x.result.Cause, x.failure = "resume_refused", err.Error(), err
	return mayHaveRun
}

// writeEvent writes an event to the caller. It flushes unless the next event has arrived, too,
// so that events that arrive together are sent together.
func (x *exchange) writeEvent(flusher *http.ResponseController, e event, nextBuffered bool) error {
	if _, err := x.w.Write(e.raw); err != nil {
		return err
	}
	x.result.Events++
	x.runEvents++
	x.position.add(e)
	if len(e.id) > 0 {
		x.lastEvent = string(e.id)
	}
	if nextBuffered {
		return nil
	}
	return flusher.Flush()
}

// flushEvents sends the events that were written and not flushed, since what was to follow them
// does not.
func (x *exchange) flushEvents(flusher *http.ResponseController) {
	if x.headerWritten {
		// A caller that has left is noticed by the next write.
		_ = flusher.Flush()
	}
}
