package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// Bounds of answers.
const (
	// wholeAnswerBytes is the largest answer that is read to its end before its head is
	// passed on, so that a broken one can still be replaced.
	wholeAnswerBytes = 256 << 10
	// drainBytes bounds what is read of an answer that is not passed on, so that its
	// connection can be reused.
	drainBytes = 16 << 10
	// stallFactor and minStall bound the pause between events after which a stream that
	// may be resumed goes on at another target.
	stallFactor = 3
	minStall    = time.Second
)

// drain reads the rest of a short answer; false means that some is left.
func drain(a *upstream.Response) bool {
	n, err := io.CopyN(io.Discard, a.Body, drainBytes)
	return n < drainBytes && errors.Is(err, io.EOF)
}

// relayWhole passes on an answer that is not a stream.
func (x *exchange) relayWhole(ctx context.Context, p *scheduler.Placement, a *upstream.Response) fate {
	head, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswerBytes))
	if err != nil || a.Length > 0 && a.Length <= wholeAnswerBytes && int64(len(head)) < a.Length {
		a.Finish(false)
		return x.broken(ctx, p, err)
	}
	x.stopTry()
	p.Read()
	header := x.w.Header()
	for name, values := range x.h.options.Codec.ResponseHeader(a.Header) {
		header[name] = values
	}
	if len(head) < wholeAnswerBytes {
		header.Set("Content-Length", strconv.Itoa(len(head)))
	}
	x.begin(a.Status)
	_, err = x.w.Write(head)
	if err == nil && len(head) == wholeAnswerBytes {
		_, err = io.Copy(x.w, a.Body)
	}
	if err != nil {
		a.Finish(false)
		return x.broken(ctx, p, err)
	}
	a.Finish(true)
	outcome := scheduler.Completed
	if a.Status >= http.StatusInternalServerError {
		outcome = scheduler.Failed
	}
	p.End(outcome)
	return answered
}

// begin writes the head of the answer.
func (x *exchange) begin(status int) {
	if x.begun {
		return
	}
	x.begun = true
	x.result.Status = status
	x.result.FirstByte = x.h.options.Now().Sub(x.arrived)
	x.w.WriteHeader(status)
}

// broken notes an answer that ended before its end.
func (x *exchange) broken(ctx context.Context, p *scheduler.Placement, err error) fate {
	x.result.Reason = "answer_broken"
	if err != nil {
		x.result.Cause = err.Error()
	}
	if ctx.Err() != nil {
		p.End(scheduler.Abandoned)
	} else {
		p.End(scheduler.Broken)
	}
	return unclear
}

// relayStream passes on whole events as they come.
func (x *exchange) relayStream(ctx context.Context, p *scheduler.Placement, a *upstream.Response) fate {
	events := newEventReader(a.Body)
	flusher := http.NewResponseController(x.w)
	for first := true; ; first = false {
		e, err := events.next()
		if errors.Is(err, io.EOF) && (x.begun || !first) {
			a.Finish(true)
			p.End(scheduler.Completed)
			return answered
		}
		if err != nil {
			a.Finish(false)
			return x.broken(ctx, p, err)
		}
		if first {
			x.stopTry()
			p.Read()
			x.beginStream(a)
		}
		if err := x.passOn(flusher, e, events.buffered()); err != nil {
			a.Finish(false)
			p.End(scheduler.Abandoned)
			return unclear
		}
		a.SetReadTimeout(x.stallLimit())
	}
}

// beginStream writes the head of the first run's answer; a run that goes on keeps it.
func (x *exchange) beginStream(a *upstream.Response) {
	if x.begun {
		return
	}
	header := x.w.Header()
	for name, values := range x.h.options.Codec.ResponseHeader(a.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	x.begin(a.Status)
}

// passOn writes an event, and sends it off unless another is at hand.
func (x *exchange) passOn(flusher *http.ResponseController, e event, more bool) error {
	if _, err := x.w.Write(e.raw); err != nil {
		return err
	}
	x.result.Events++
	if len(e.id) > 0 {
		x.lastEvent = string(e.id)
	}
	if more {
		return nil
	}
	return flusher.Flush()
}

// stallLimit is the pause after which a stream is taken for broken, 0 for none.
func (x *exchange) stallLimit() time.Duration {
	if !x.route.Resumable || x.runs+1 >= x.route.MaxTargets {
		return 0
	}
	return max(stallFactor*x.route.GapSLO, minStall)
}

// stopTry ends the limit on an attempt's first byte.
func (x *exchange) stopTry() {
	if x.stopTryTimer != nil {
		x.stopTryTimer()
		x.stopTryTimer = nil
	}
}
