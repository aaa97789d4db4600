// Package publisher is the adapter to what the platform publishes: the
// configuration service, the list of instances and targets, and the weight store.
// All are read over HTTP/1.1; nothing is written.
//
// A Client is safe for concurrent use and starts no goroutine of its own beside
// those of net/http. Every failure is an *Error.
package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Paths, query parameters and headers of the platform's interface.
const (
	PathConfig  = "/v1/config"
	PathList    = "/v1/list"
	PathWeights = "/v1/weights/"
	// QueryAfter is the version that the reader has; QueryWait is how long the
	// service may hold a watch, in milliseconds.
	QueryAfter = "after"
	QueryWait  = "wait_ms"
	// HeaderVersion is the version of the value in the body.
	HeaderVersion = "Medlarwind-Version"
)

// Bounds of sizes and waits.
const (
	MaxConfigBytes = 1 << 20
	MaxListBytes   = 8 << 20
	MaxWeightBytes = 256 << 20
	// DefaultWatchTime is how long the service may hold a watch.
	DefaultWatchTime = 4 * time.Second
	dialTimeout      = 2 * time.Second
	// replyTimeout is how long an answer may take beside the watch time.
	replyTimeout = 2 * time.Second
	// weightTimeout bounds one fetch of weights.
	weightTimeout  = 5 * time.Minute
	maxRetryAfter  = 5 * time.Minute
	maxHeaderBytes = 16 << 10
	maxIdleConns   = 4
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Kind says what went wrong.
type Kind int

// The kinds of failure.
const (
	// Unavailable: there was no whole answer.
	Unavailable Kind = iota + 1
	// Limited: the service asks to be left alone for Error.RetryAfter.
	Limited
	// Malformed: the answer breaks the interface or its bounds.
	Malformed
	// Missing: there is no value of that name.
	Missing
)

// String returns the kind's name.
func (k Kind) String() string {
	names := map[Kind]string{Unavailable: "unavailable", Limited: "limited", Malformed: "malformed", Missing: "missing"}
	return names[k]
}

// Error is the failure of every method of Client.
type Error struct {
	Kind Kind
	// RetryAfter is set for Limited.
	RetryAfter time.Duration
	err        error
}

// Error returns the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %v", e.Kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Option changes a Client.
type Option func(*Client)

// WithWatchTime sets how long the service may hold a watch.
func WithWatchTime(d time.Duration) Option { return func(c *Client) { c.watchTime = d } }

// Client reads from the platform at one address.
type Client struct {
	addr      string
	watchTime time.Duration
	transport *http.Transport
}

// NewClient returns a client of the platform at addr, IP:port.
func NewClient(addr string, dial DialFunc, options ...Option) *Client {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	c := &Client{addr: addr, watchTime: DefaultWatchTime}
	c.transport = &http.Transport{
		DialContext:            withDialTimeout(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        DefaultWatchTime,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              &protocols,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// withDialTimeout bounds the time of each dial.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Config returns the configuration. With after = 0 it returns at once; otherwise
// it waits for a version above after, and returns after and no value if none came
// in the watch time. The service may be stale: the version may be older than one
// that another reader saw.
func (c *Client) Config(ctx context.Context, after uint64) (version uint64, value []byte, err error) {
	return c.read(ctx, PathConfig, after, MaxConfigBytes)
}

// List returns the list as it is now.
func (c *Client) List(ctx context.Context) (fleet.List, error) {
	list, _, err := c.WatchList(ctx, 0)
	return list, err
}

// ListIfChanged returns the list as it is now, or changed false if the service says that
// it holds the version known. A service that does not name its version, or holds
// another one that is not above known, is asked for the whole list.
func (c *Client) ListIfChanged(ctx context.Context, known uint64) (list fleet.List, changed bool, err error) {
	if known > 0 {
		version, body, err := c.readNewer(ctx, PathList, known, 0, MaxListBytes)
		switch {
		case err != nil:
			return fleet.List{}, false, err
		case body != nil:
			return parseList(version, body)
		case version == known:
			return fleet.List{}, false, nil
		}
	}
	list, err = c.List(ctx)
	return list, true, err
}

// WatchList waits for a list with a version above after; changed is false if none
// came in the watch time. With after = 0 it returns at once.
func (c *Client) WatchList(ctx context.Context, after uint64) (list fleet.List, changed bool, err error) {
	version, body, err := c.read(ctx, PathList, after, MaxListBytes)
	if err != nil || version == after {
		return fleet.List{}, false, err
	}
	return parseList(version, body)
}

// parseList parses and checks the list under a version.
func parseList(version uint64, body []byte) (list fleet.List, changed bool, err error) {
	if err := json.Unmarshal(body, &list); err != nil {
		return fleet.List{}, false, &Error{Kind: Malformed, err: err}
	}
	if list.Version != version {
		return fleet.List{}, false, malformed("list version %d under header %d", list.Version, version)
	}
	if err := checkList(list); err != nil {
		return fleet.List{}, false, err
	}
	return list, true, nil
}

// Weights returns a named value of the weight store. While the store asks to be
// left alone it waits and tries again, until ctx ends.
func (c *Client) Weights(ctx context.Context, name string) ([]byte, error) {
	for {
		body, err := c.fetchWeights(ctx, name)
		var limited *Error
		if !errors.As(err, &limited) || limited.Kind != Limited {
			return body, err
		}
		if !sleep(ctx, limited.RetryAfter) {
			return nil, err
		}
	}
}

// fetchWeights fetches a value once.
func (c *Client) fetchWeights(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, weightTimeout)
	defer cancel()
	resp, err := c.get(ctx, PathWeights+url.PathEscape(name))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	return c.readBody(resp, MaxWeightBytes)
}

// sleep waits for d or the end of ctx, and reports whether d passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// read reads a versioned value; after a watch without news it returns after.
func (c *Client) read(ctx context.Context, path string, after uint64, limit int64) (uint64, []byte, error) {
	version, body, err := c.readNewer(ctx, path, after, c.watchTime, limit)
	if err == nil && body == nil {
		return after, nil, nil
	}
	return version, body, err
}

// readNewer reads a versioned value above after, for which it waits. Without news the
// body is nil, and the version is the one that the service holds, 0 if it is not told.
func (c *Client) readNewer(ctx context.Context, path string, after uint64, wait time.Duration, limit int64) (uint64, []byte, error) {
	timeout := replyTimeout
	if after > 0 {
		timeout += wait
		query := url.Values{
			QueryAfter: {strconv.FormatUint(after, 10)},
			QueryWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
		}
		path += "?" + query.Encode()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.get(ctx, path)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNoContent && after > 0:
		current, _ := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
		return current, nil, nil
	case resp.StatusCode != http.StatusOK:
		return 0, nil, statusError(resp)
	}
	version, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	if err != nil || version <= after {
		return 0, nil, malformed("version %q after %d", resp.Header.Get(HeaderVersion), after)
	}
	body, err := c.readBody(resp, limit)
	if err != nil {
		return 0, nil, err
	}
	return version, body, nil
}

// get sends one GET request. A failure, also of reading the body, drops the pooled connections, since they
// may be silent too.
func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+path, nil)
	if err != nil {
		return nil, &Error{Kind: Unavailable, err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, &Error{Kind: Unavailable, err: err}
	}
	return resp, nil
}

// statusError turns a status other than 200.
func statusError(resp *http.Response) error {
	_, _ = io.CopyN(io.Discard, resp.Body, maxHeaderBytes)
	e := &Error{Kind: Unavailable, err: errors.Errorf("status %d", resp.StatusCode)}
	switch resp.StatusCode {
	case http.StatusNotFound:
		e.Kind = Missing
	case http.StatusTooManyRequests:
		e.Kind = Limited
		e.RetryAfter = retryAfter(resp.Header)
	}
	return e
}

// retryAfter parses a Retry-After header in seconds, one second if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil || seconds == 0 {
		seconds = 1
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// readBody reads a body of at most limit bytes.
func (c *Client) readBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, &Error{Kind: Unavailable, err: err}
	}
	if int64(len(body)) > limit {
		return nil, malformed("more than %d bytes", limit)
	}
	return body, nil
}

// checkList verifies that identifiers are unique and that every field is set.
func checkList(list fleet.List) error {
	seen := make(map[string]struct{}, len(list.Instances)+len(list.Targets))
	for _, i := range list.Instances {
		if err := checkEntry(seen, "instance/"+string(i.ID), i.DataCentre, i.State, i.CallerAddr, i.PeerAddr); err != nil {
			return err
		}
	}
	for _, t := range list.Targets {
		if err := checkEntry(seen, "target/"+string(t.ID), t.DataCentre, t.State, t.Addr); err != nil {
			return err
		}
	}
	return nil
}

// checkEntry verifies one listed process.
func checkEntry(seen map[string]struct{}, key string, dc fleet.DataCentreID, state fleet.ListState, addrs ...string) error {
	if _, duplicate := seen[key]; duplicate {
		return malformed("%s is listed twice", key)
	}
	seen[key] = struct{}{}
	if dc == "" || (state != fleet.StateLive && state != fleet.StateLeaving) {
		return malformed("%s has data centre %q and state %q", key, dc, state)
	}
	for _, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return malformed("%s: %v", key, err)
		}
	}
	return nil
}

// malformed returns an Error of that kind.
func malformed(format string, args ...any) error {
	return &Error{Kind: Malformed, err: errors.Errorf(format, args...)}
}
