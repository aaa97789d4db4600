package target

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// CallRequest is one call to a plain service.
type CallRequest struct {
	Method string
	Body   []byte
	// CallID lets services that record calls recognise a repeated one.
	CallID string
	// Once sends the call at most once, on a dedicated connection.
	Once bool
	// Deadline bounds the call and is sent along for services that check it. Zero
	// means Options.CallTimeout.
	Deadline time.Time
	Instance fleet.InstanceID
}

// Call sends one call and returns the complete answer after verifying its checksum.
// Every error is an *Error.
func (c *Client) Call(ctx context.Context, addr string, r CallRequest) ([]byte, error) {
	ctx, cancel := c.callContext(ctx, r.Deadline)
	defer cancel()
	m := message{
		method:    http.MethodPost,
		addr:      addr,
		path:      enginewire.PathCall + url.PathEscape(r.Method),
		header:    callHeader(r),
		body:      r.Body,
		dedicated: r.Once,
	}
	resp, x, err := c.services.send(ctx, m)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer discardRefusal(resp)
		return nil, refusal(resp)
	}
	body, err := readAll(ctx, resp, x, c.opts.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	sum := strconv.FormatUint(uint64(enginewire.Checksum(0, body)), 10)
	switch want := resp.Header.Get(enginewire.HeaderChecksum); {
	case want == "" && endsWithConn(resp):
		return nil, &Error{Kind: Unknown, Reason: ReasonAnswerCut}
	case want != "" && want != sum:
		return nil, &Error{Kind: Unknown, Reason: ReasonChecksum}
	}
	return body, nil
}

// callContext returns a context that ends at deadline, or after CallTimeout if
// deadline is zero.
func (c *Client) callContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithTimeout(ctx, c.opts.CallTimeout)
	}
	return context.WithDeadline(ctx, deadline)
}

// callHeader returns the headers of a call.
func callHeader(r CallRequest) http.Header {
	h := make(http.Header)
	setHeader(h, enginewire.HeaderCallID, r.CallID)
	setHeader(h, enginewire.HeaderInstance, string(r.Instance))
	if !r.Deadline.IsZero() {
		h.Set(enginewire.HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	}
	return h
}

// setHeader sets a header unless value is empty.
func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
