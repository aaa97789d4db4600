// Package publisher is a read-only HTTP/1.1 client of the platform: the configuration
// service, the list of instances and targets, and the weight store.
//
// A Client is safe for concurrent use and starts no goroutines except those of
// net/http. Every error that its methods return is an *Error.
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

// Paths, query parameters and headers of the platform's HTTP interface.
const (
	PathConfig  = "/v1/config"
	PathList    = "/v1/list"
	PathWeights = "/v1/weights/"
	// QueryAfter is the version that the client has. QueryWait is how long the
	// service may delay its response while it has no newer version, in milliseconds.
	QueryAfter = "after"
	QueryWait  = "wait_ms"
	// HeaderVersion is the version of the value in the body. In a response without a
	// body it is the version that the service holds.
	HeaderVersion = "Medlarwind-Version"
)

// Size limits and timeouts.
const (
	MaxConfigBytes = 1 << 20
	MaxListBytes   = 8 << 20
	MaxWeightBytes = 256 << 20
	// DefaultWatchTime is how long the service may delay the response to a watch.
	DefaultWatchTime = 4 * time.Second
	dialTimeout      = 2 * time.Second
	// replyTimeout is how long a request may take in addition to its watch time.
	replyTimeout = 2 * time.Second
	// weightTimeout bounds one download of weights.
	weightTimeout  = 5 * time.Minute
	maxRetryAfter  = 5 * time.Minute
	maxHeaderBytes = 16 << 10
	maxIdleConns   = 4
)

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Kind classifies an Error.
type Kind int

// The kinds of errors.
const (
	// Unavailable: no complete response was received, or its status was an error.
	Unavailable Kind = iota + 1
	// Limited: the service refused the request because of its rate limit. Retry after
	// Error.RetryAfter.
	Limited
	// Malformed: the response violates the interface or its size limits.
	Malformed
	// Missing: the requested value does not exist.
	Missing
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := map[Kind]string{Unavailable: "unavailable", Limited: "limited", Malformed: "malformed", Missing: "missing"}
	return names[k]
}

// Error is the error type of all methods of Client.
type Error struct {
	Kind Kind
	// RetryAfter is how long to wait before the next request. It is set for Limited only.
	RetryAfter time.Duration
	err        error
}

// Error implements error. It returns the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %v", e.Kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Option configures a Client.
type Option func(*Client)

// WithWatchTime sets how long the service may delay the response to a watch. The default is
// DefaultWatchTime.
func WithWatchTime(d time.Duration) Option { return func(c *Client) { c.watchTime = d } }

// Client reads from a platform.
type Client struct {
	addr      string
	watchTime time.Duration
	transport *http.Transport
}

// NewClient returns a client of the platform at addr, in the form IP:port. Connections are
// opened with dial.
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

// withDialTimeout returns dial bounded by dialTimeout.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Config returns the configuration and its version. With after = 0 it returns at once.
// Otherwise it waits for a newer version. If there is none within the watch time, the
// returned version equals after and the value is nil. Reads are not linearizable: the
// version may be older than one that another client has read.
func (c *Client) Config(ctx context.Context, after uint64) (version uint64, value []byte, err error) {
	return c.read(ctx, PathConfig, after, MaxConfigBytes)
}

// List returns the current list.
func (c *Client) List(ctx context.Context) (fleet.List, error) {
	list, _, err := c.WatchList(ctx, 0)
	return list, err
}

// ListIfChanged returns the current list. changed is false, and the list empty, if the
// service reports that its version equals known. If the service sends no newer list and
// reports another version or none, ListIfChanged requests the whole list.
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

// WatchList waits for a list with a version above after. changed is false if there is none
// within the watch time. With after = 0 it returns the current list at once.
func (c *Client) WatchList(ctx context.Context, after uint64) (list fleet.List, changed bool, err error) {
	version, body, err := c.read(ctx, PathList, after, MaxListBytes)
	if err != nil || version == after {
		return fleet.List{}, false, err
	}
	return parseList(version, body)
}

// parseList parses and validates a list, which must have the given version. On success
// changed is true.
func parseList(version uint64, body []byte) (list fleet.List, changed bool, err error) {
	if err := json.Unmarshal(body, &list); err != nil {
		return fleet.List{}, false, &Error{Kind: Malformed, err: err}
	}
	if list.Version != version {
		return fleet.List{}, false, malformed("list has version %d, but the version header is %d", list.Version, version)
	}
	if err := checkList(list); err != nil {
		return fleet.List{}, false, err
	}
	return list, true, nil
}

// Weights returns a named value of the weight store. While the store limits the rate, it
// waits as requested and retries until ctx ends.
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

// fetchWeights makes one attempt to fetch a named value.
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

// sleep waits for d or the end of ctx, and reports whether it waited for d.
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

// read reads a versioned value. If there is no newer one within the watch time, the returned
// version equals after and the value is nil.
func (c *Client) read(ctx context.Context, path string, after uint64, limit int64) (uint64, []byte, error) {
	version, body, err := c.readNewer(ctx, path, after, c.watchTime, limit)
	if err == nil && body == nil {
		return after, nil, nil
	}
	return version, body, err
}

// readNewer reads a versioned value. With after > 0 it asks the service to wait up to the
// duration wait for a version above after. If there is none the body is nil, and the version
// is the one that the service holds, or 0 if the service does not report it.
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
		return 0, nil, malformed("version header is %q, want a number above %d", resp.Header.Get(HeaderVersion), after)
	}
	body, err := c.readBody(resp, limit)
	if err != nil {
		return 0, nil, err
	}
	return version, body, nil
}

// get sends one GET request. An error, here or later when reading the body, closes the idle
// connections, because the same fault may have broken them without notice.
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

// statusError returns the Error for a response with a status other than 200.
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

// retryAfter returns the value of a Retry-After header in seconds, at most maxRetryAfter. It
// returns one second if the header is missing, invalid, 0 or above 65535.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil || seconds == 0 {
		seconds = 1
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// readBody reads a body. A body of more than limit bytes is an error.
func (c *Client) readBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, &Error{Kind: Unavailable, err: err}
	}
	if int64(len(body)) > limit {
		return nil, malformed("body has more than %d bytes", limit)
	}
	return body, nil
}

// checkList verifies that IDs are unique among instances and among targets, and that all
// fields are set and valid.
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

// checkEntry verifies the instance or target with the given key, and adds the key to seen.
func checkEntry(seen map[string]struct{}, key string, dc fleet.DataCentreID, state fleet.ListState, addrs ...string) error {
	if _, duplicate := seen[key]; duplicate {
		return malformed("%s is listed twice", key)
	}
	seen[key] = struct{}{}
	if dc == "" || (state != fleet.StateLive && state != fleet.StateLeaving) {
		return malformed("%s has missing or invalid data centre %q or state %q", key, dc, state)
	}
	for _, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return malformed("%s: %v", key, err)
		}
	}
	return nil
}

// malformed returns an Error of kind Malformed.
func malformed(format string, args ...any) error {
	return &Error{Kind: Malformed, err: errors.Errorf(format, args...)}
}
