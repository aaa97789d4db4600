package ingress

import (
	"context"
	"io"
	"net/http"
	"time"
)

// maxBodyBeforeRefusal is how much of the body of a refused request is read before the refusal, in
// bytes, so that the connection can be kept. It is the limit of net/http.
const maxBodyBeforeRefusal = 256 << 10

// answerBeforeBody prepares a refusal while much of the body has not been read, and reports whether
// it has. net/http would close the connection half a second later, and the bytes that still arrive
// would reset it, which may destroy the refusal. discardBody reads them instead.
func (x *exchange) answerBeforeBody() bool {
	// A caller that awaits 100 Continue sends no body once it is refused.
	if x.body != nil || x.r.ContentLength == 0 || x.r.Header.Get("Expect") != "" {
		return false
	}
	// A connection that closes after the refusal anyway need not wait for the body.
	closes := x.w.Header().Get("Connection") == "close"
	switch {
	case x.r.ContentLength >= 0 && x.r.ContentLength <= maxBodyBeforeRefusal:
		return false
	case x.r.ContentLength < 0 && !closes:
		if _, err := io.CopyN(io.Discard, x.r.Body, maxBodyBeforeRefusal); err != nil {
			return false
		}
	}
	if http.NewResponseController(x.w).EnableFullDuplex() != nil {
		return false
	}
	x.w.Header().Set("Connection", "close")
	x.bodyUnread = true
	return true
}

// discardBody reads what is left of the body of a refused request, if answerBeforeBody asks for it,
// up to the limit for bodies and while the caller may wait.
func (x *exchange) discardBody() {
	if !x.bodyUnread {
		return
	}
	controller := http.NewResponseController(x.w)
	timeout := defaultTimeout
	if x.call.Budget > 0 {
		timeout = min(timeout, x.call.Budget)
	}
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	defer context.AfterFunc(x.h.drain.ended, func() { _ = controller.SetReadDeadline(time.Now()) })()
	_, _ = io.CopyN(io.Discard, x.r.Body, x.h.maxBody())
}
