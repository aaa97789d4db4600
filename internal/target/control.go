package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// Load returns the load report of a target. It rejects reports without a boot id,
// with negative counts or with an unknown state.
func (c *Client) Load(ctx context.Context, addr string) (fleet.LoadReport, error) {
	var report fleet.LoadReport
	if err := c.get(ctx, addr, enginewire.PathLoad, &report); err != nil {
		return fleet.LoadReport{}, err
	}
	if report.BootID == "" || report.Running < 0 || report.Waiting < 0 || !knownState(report.State) {
		return fleet.LoadReport{}, &Error{Kind: Failed, Reason: ReasonMalformedAnswer}
	}
	return report, nil
}

// knownState reports whether s is one of the states that targets report.
func knownState(s fleet.TargetState) bool {
	return s == fleet.TargetCold || s == fleet.TargetReady || s == fleet.TargetLeaving
}

// Cancel stops a request that the engine is running. It succeeds also if the engine
// is not running it.
func (c *Client) Cancel(ctx context.Context, addr, requestID string) error {
	return c.post(ctx, addr, enginewire.PathCancel, enginewire.CancelRequest{RequestID: requestID})
}

// CacheEvents are the changes of an engine's prefix cache after a sequence number.
type CacheEvents struct {
	// BootID identifies the boot of the engine. With each boot the cache starts
	// empty and the sequence numbers start again.
	BootID string
	Events []enginewire.CacheEvent
	// Next is the sequence number to pass to the next call.
	Next uint64
	// Gap is set if events are missing, so that a copy of the cache's state may
	// contain prefixes that were evicted.
	Gap bool
}

// CacheEvents returns the published events with sequence numbers above after. The
// engine may publish events with a delay.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) (CacheEvents, error) {
	var reply enginewire.CacheEvents
	path := enginewire.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if err := c.get(ctx, addr, path, &reply); err != nil {
		return CacheEvents{}, err
	}
	events := CacheEvents{BootID: reply.BootID, Events: reply.Events, Next: reply.Next}
	last := after
	for _, e := range reply.Events {
		if e.Seq <= last {
			return CacheEvents{}, &Error{Kind: Failed, Reason: ReasonMalformedAnswer}
		}
		events.Gap = events.Gap || e.Seq != last+1
		last = e.Seq
	}
	events.Gap = events.Gap || reply.Next > last
	return events, nil
}

// KVExport returns the engine's KV cache of one prefix, as the engine encodes it.
func (c *Client) KVExport(ctx context.Context, addr string, model fleet.ModelID, hash uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TransferTimeout)
	defer cancel()
	m := message{method: http.MethodGet, addr: addr, path: kvPath(model, hash)}
	return c.exchangeBody(ctx, c.engines, m, c.opts.MaxKVBytes)
}

// KVImport loads an exported KV cache of one prefix into the engine.
func (c *Client) KVImport(ctx context.Context, addr string, model fleet.ModelID, hash uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TransferTimeout)
	defer cancel()
	m := message{method: http.MethodPost, addr: addr, path: kvPath(model, hash), body: data}
	_, err := c.exchangeBody(ctx, c.engines, m, c.opts.MaxBodyBytes)
	return err
}

// kvPath returns the path and query for the KV cache of one prefix.
func kvPath(model fleet.ModelID, hash uint64) string {
	query := url.Values{"model": {string(model)}, "hash": {strconv.FormatUint(hash, 10)}}
	return enginewire.PathKV + "?" + query.Encode()
}

// Order instructs a target to load a model, adapter or version or to change its
// role.
type Order = enginewire.Order

// Order sends an order. If the target refuses its fencing number, the *Error wraps
// a *FenceError. A target that does not check fencing numbers also carries out
// outdated orders.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	err := c.post(ctx, addr, enginewire.PathOrders, o)
	var fence *FenceError
	if errors.As(err, &fence) {
		fence.Sent = o.Fence
	}
	return err
}

// get sends a control request and decodes the JSON answer into reply.
func (c *Client) get(ctx context.Context, addr, path string, reply any) error {
	body, err := c.control(ctx, message{method: http.MethodGet, addr: addr, path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &Error{Kind: Failed, Reason: ReasonMalformedAnswer, err: err}
	}
	return nil
}

// post sends a JSON control request and ignores the content of the answer.
func (c *Client) post(ctx context.Context, addr, path string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &Error{Kind: NotRun, Reason: ReasonInvalidRequest, err: err}
	}
	_, err = c.control(ctx, message{method: http.MethodPost, addr: addr, path: path, body: body})
	return err
}
