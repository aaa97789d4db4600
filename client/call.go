package client

import (
	"context"
	"hash/crc32"
	"sync/atomic"

	"github.com/pkg/errors"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// Call runs a call that is safe to repeat; a refusal that says "not run" is tried
// at the next address.
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
		if !c.waitToRetry(ctx, err) {
			break
		}
	}
	return nil, last
}

// CallID is the right to run one call that may not be repeated, at one instance.
// Copies share what is known about its use, so an issued value and one built from
// its texts must not both be used: the former would not know of the latter's uses.
// One built from texts alone gets no "not run" from a dial that fails.
type CallID struct {
	ID      string
	Address string

	// uses counts the uses of the id but for those that are proven to have sent
	// nothing; nil means that it is not known.
	uses *atomic.Int64
}

// IssueCallID asks an instance for a call id. An id that was not used costs nothing.
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

// CallOnce runs a call that may not be repeated. It can be called again with the
// same id, also at once: the call runs at most once, and a kept answer is given
// again. "Not run" speaks of the call, not of this sending of it: a dial that fails
// after or during another sending leaves the outcome unknown.
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

// addUse counts a use of the id.
func (id CallID) addUse() {
	if id.uses != nil {
		id.uses.Add(1)
	}
}

// removeUse takes back a use that sent nothing; false if another use may have sent the
// call.
func (id CallID) removeUse() bool {
	return id.uses != nil && id.uses.Add(-1) == 0
}

// callAt sends a call on a connection of its own.
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
