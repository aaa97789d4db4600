package client

import (
	"context"
	"hash/crc32"

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
		if !c.pause(ctx, err) {
			break
		}
	}
	return nil, last
}

// CallID is the right to run one call that may not be repeated, at one instance.
type CallID struct {
	ID      string
	Address string
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
			return CallID{ID: response.Msg.CallId, Address: response.Msg.Address}, nil
		}
		last = requestError(err)
	}
	return CallID{}, last
}

// CallOnce runs a call that may not be repeated. It can be called again with the
// same id: the call runs at most once, and a kept answer is given again.
func (c *Client) CallOnce(ctx context.Context, id CallID, service, method string, body []byte) ([]byte, error) {
	request := &medlarwindv1.CallRequest{Service: service, Method: method, Body: body, CallId: id.ID}
	return c.callAt(ctx, id.Address, request)
}

// callAt sends a call on a connection of its own.
func (c *Client) callAt(ctx context.Context, address string, r *medlarwindv1.CallRequest) ([]byte, error) {
	response, err := c.router(c.single, address).Call(ctx, authorized(c, r))
	if err != nil {
		return nil, requestError(err)
	}
	if crc32.Checksum(response.Msg.Body, castagnoli) != response.Msg.Checksum {
		return nil, ErrIncomplete
	}
	return response.Msg.Body, nil
}
