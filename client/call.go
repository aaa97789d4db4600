package client

import (
	"context"
	"hash/crc32"
	"sync/atomic"

	"github.com/pkg/errors"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// Call runs a call that is safe to repeat and returns the response body. A call that was
// refused with the kind NotRun is retried at the next address, up to Options.MaxTries
// attempts in all.
func (c *Client) Call(ctx context.Context, service, method string, body []byte) ([]byte, error) {
	request := &medlarwindv1.CallRequest{Service: service, Method: method, Body: body}
	var last error
	for try := range c.options.MaxTries {
		addresses, err := c.Locate(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := c.callAt(ctx, addresses[try%len(addresses)], request)
		if err == nil {
			return answer, nil
		}
		last = err
		if !c.waitToRetry(ctx, err, c.options.MaxTries-try-1) {
			break
		}
	}
	return nil, last
}

// CallID identifies one non-repeatable call and the instance that runs it.
//
// Copies of an issued CallID share a counter of its uses. A CallID built from the ID and
// Address alone has no counter: a failed dial then returns the kind Unknown instead of
// NotRun. Do not use both an issued CallID and one built from its fields, since the uses
// of the latter are not counted in the former.
type CallID struct {
	ID      string
	Address string

	// uses counts the attempts to send the call, except those that certainly sent nothing.
	// nil means that the number is unknown.
	uses *atomic.Int64
}

// IssueCallID requests a call ID from an instance. An unused call ID has no cost.
func (c *Client) IssueCallID(ctx context.Context) (CallID, error) {
	addresses, err := c.Locate(ctx)
	if err != nil {
		return CallID{}, err
	}
	var last error
	for _, address := range addresses {
		response, err := c.router(c.http, address).IssueCallID(ctx, authorized(c, &medlarwindv1.IssueCallIDRequest{}))
		if err == nil {
			return newCallID(response.Msg), nil
		}
		last = requestError(err)
	}
	return CallID{}, last
}

func newCallID(issued *medlarwindv1.IssueCallIDResponse) CallID {
	return CallID{ID: issued.CallId, Address: issued.Address, uses: new(atomic.Int64)}
}

// CallOnce runs a non-repeatable call and returns the response body. It may be called
// again with the same call ID, even concurrently: the call runs at most once, and a stored
// answer is returned again. The kind NotRun applies to the call, not to this attempt to
// send it: if a dial fails after or during another attempt, the outcome is Unknown.
func (c *Client) CallOnce(ctx context.Context, id CallID, service, method string, body []byte) ([]byte, error) {
	request := &medlarwindv1.CallRequest{Service: service, Method: method, Body: body, CallId: id.ID}
	id.addUse()
	answer, err := c.callAt(ctx, id.Address, request)
	var failed *RequestError
	if !errors.As(err, &failed) || failed.Reason != reasonDial {
		return answer, err
	}
	if !id.removeUse() {
		failed.Kind = Unknown
	}
	return nil, failed
}

// addUse counts an attempt to send the call.
func (id CallID) addUse() {
	if id.uses != nil {
		id.uses.Add(1)
	}
}

// removeUse takes back the count of an attempt that sent nothing. It returns false if another attempt may
// have sent the call.
func (id CallID) removeUse() bool {
	return id.uses != nil && id.uses.Add(-1) == 0
}

// callAt sends a call to address on a dedicated connection and verifies the checksum of the
// response.
func (c *Client) callAt(ctx context.Context, address string, r *medlarwindv1.CallRequest) ([]byte, error) {
	response, err := c.router(c.dedicated, address).Call(ctx, authorized(c, r))
	if err != nil {
		return nil, requestError(err)
	}
	if crc32.Checksum(response.Msg.Body, castagnoli) != response.Msg.Checksum {
		return nil, ErrIncomplete
	}
	return response.Msg.Body, nil
}
