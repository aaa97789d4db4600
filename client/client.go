// Package client is the Go client for callers of the router fleet. It asks an instance
// which addresses to use, caches them for their lifetime, connects to them, and verifies
// that each answer is complete.
package client

import (
	"context"
	"hash/crc32"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/gen/medlarwind/v1/medlarwindv1connect"
)

// DialFunc opens a connection to addr, an IP:port.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options configures a Client.
type Options struct {
	// Seeds are the caller addresses (IP:port) of the instances to ask first.
	Seeds []string
	// Secret authenticates the caller as a customer.
	Secret string
	// Dial opens connections; nil means net.Dialer with a timeout of 5 seconds.
	Dial DialFunc
	// MaxTries is the maximum number of attempts of one request. A request is
	// retried only if it was refused with the kind NotRun; Generate describes an exception.
	// 0 means 4.
	MaxTries int
	// Silence is the time without a frame after which a stream is closed; 0 means 2
	// minutes.
	Silence time.Duration
	// MaxAnswerBytes is the maximum size of an answer of a model; 0 means 64 MiB.
	MaxAnswerBytes int
}

// Errors returned by this package in addition to *RequestError.
var (
	// ErrIncomplete means that frames of an answer are missing or belong to another request,
	// or that the checksum of the answer does not match.
	ErrIncomplete = errors.New("the answer is incomplete")
	// ErrAnswerTooLong means that an answer exceeds Options.MaxAnswerBytes.
	ErrAnswerTooLong = errors.New("the answer is too long")
	// ErrNoAddress means that no instance returned an address.
	ErrNoAddress = errors.New("no instance returned an address")
)

// Client sends requests to the router fleet. It is safe for concurrent use.
type Client struct {
	options Options
	// http reuses connections. dedicated opens one for each request, so that the transport
	// never sends a call a second time.
	http      *http.Client
	dedicated *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// Limits of what the client accepts from an instance, in bytes.
const (
	// maxMessageBytes limits one message. It allows for the largest answer of a call, 4 MiB.
	maxMessageBytes = 4<<20 + 64<<10
	// maxHeaderBytes limits the headers of a response.
	maxHeaderBytes = 64 << 10
	// defaultMaxAnswerBytes is the default of Options.MaxAnswerBytes.
	defaultMaxAnswerBytes = 64 << 20
)

// Answer is a complete, verified answer of a model.
type Answer struct {
	RequestID    string
	Data         []byte
	InputTokens  int64
	OutputTokens int64
	// Address is the address of the instance that served the request.
	Address string
	// FirstFrame is the time from sending the request to receiving the first frame.
	FirstFrame time.Duration
}

// New returns a client, which connects on first use.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: 5 * time.Second}).DialContext
	}
	if o.MaxTries == 0 {
		o.MaxTries = 4
	}
	if o.Silence == 0 {
		o.Silence = 2 * time.Minute
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return &Client{
		options: o,
		http: &http.Client{Transport: &http.Transport{
			DialContext: o.Dial, MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		dedicated: &http.Client{Transport: &http.Transport{
			DialContext: o.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.dedicated.CloseIdleConnections()
}

// Locate returns the addresses to use, best first. It asks an instance unless cached
// addresses are still valid, and returns a *RequestError if no instance responds.
func (c *Client) Locate(ctx context.Context) ([]string, error) {
	if cached := c.cached(); cached != nil {
		return cached, nil
	}
	var last error = ErrNoAddress
	for _, seed := range c.candidates() {
		addresses, err := c.locateAt(ctx, seed)
		if err == nil {
			return addresses, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, &RequestError{Kind: NotRun, Reason: reasonLocate, RetryAfter: locateRetryDelay, Err: last}
}

// cached returns the cached addresses, or nil if they have expired.
func (c *Client) cached() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses
	}
	return nil
}

// candidates returns the addresses that Locate asks: first the seeds, which the caller chose
// as close to it, then the last known addresses. In the opposite order, a caller that was
// once sent to another region would stay there, since the instances there list themselves
// first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]string(nil), c.options.Seeds...), c.addresses...)
}

// Timeout and retry delay of Locate.
const (
	// locateTimeout is the timeout of one request to one instance.
	locateTimeout = 2 * time.Second
	// locateRetryDelay is the time after which to ask again if no instance responded.
	locateRetryDelay = 500 * time.Millisecond
)

// locateAt asks the instance at seed for addresses and caches them.
func (c *Client) locateAt(ctx context.Context, seed string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	response, err := c.router(c.http, seed).Locate(ctx, authorized(c, &medlarwindv1.LocateRequest{}))
	if err != nil {
		return nil, err
	}
	if len(response.Msg.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = response.Msg.Addresses
	c.expires = time.Now().Add(time.Duration(response.Msg.LifetimeMs) * time.Millisecond)
	return c.addresses, nil
}

// expireAddresses makes the next request ask for addresses again.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) router(h *http.Client, address string) medlarwindv1connect.RouterServiceClient {
	return medlarwindv1connect.NewRouterServiceClient(h, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// authorized returns a request that carries the client's secret.
func authorized[T any](c *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+c.options.Secret)
	return request
}

// Generate runs a model request and returns the complete answer. onData, if not nil, is
// called with each piece of data as it arrives. A request that was refused with the kind
// NotRun is retried at the next address, up to Options.MaxTries attempts in all. A request
// whose connection failed before any response, such as an idle one that the instance
// closed at the same moment, is also retried once at the next address, since a model
// request may run twice; this retry does not count as an attempt. Any other failure is
// returned.
func (c *Client) Generate(ctx context.Context, r *medlarwindv1.GenerateRequest, onData func([]byte)) (*Answer, error) {
	var last error
	mayResend := true
	maxTries := c.options.MaxTries
	for try := 0; try < maxTries; try++ {
		addresses, err := c.Locate(ctx)
		if err != nil {
			return nil, err
		}
		address := addresses[try%len(addresses)]
		answer, err := c.generateAt(ctx, address, r, onData)
		if err == nil {
			return answer, nil
		}
		last = err
		if mayResend && noResponse(err) && ctx.Err() == nil {
			mayResend = false
			maxTries++
			continue
		}
		if !c.waitToRetry(ctx, err, maxTries-try-1) {
			break
		}
	}
	return nil, last
}

// noResponse reports whether the connection failed before any response arrived.
func noResponse(err error) bool {
	var failed *RequestError
	return errors.As(err, &failed) && failed.noResponse
}

// waitToRetry waits as long as the refusal requests and makes the next attempt, of this
// request or another, ask for addresses again. It returns false at once if the request must
// not be retried or has no attempts left.
func (c *Client) waitToRetry(ctx context.Context, err error, attemptsLeft int) bool {
	var failed *RequestError
	if !errors.As(err, &failed) || failed.Kind != NotRun || failed.RetryAfter < 0 {
		return false
	}
	c.expireAddresses()
	if attemptsLeft <= 0 {
		return false
	}
	timer := time.NewTimer(failed.RetryAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// assembler collects the frames of an answer in order and verifies the trailer.
type assembler struct {
	answer   Answer
	limit    int
	next     int64
	checksum uint32
	done     bool
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// add appends the data of a frame. It ignores a repeated frame and returns ErrIncomplete for
// a missing one, and ErrAnswerTooLong if the answer exceeds the limit.
func (a *assembler) add(f *medlarwindv1.Frame, onData func([]byte)) error {
	if a.answer.RequestID == "" {
		a.answer.RequestID = f.RequestId
	}
	if f.RequestId != a.answer.RequestID || f.Sequence > a.next {
		return ErrIncomplete
	}
	if f.Sequence < a.next {
		return nil
	}
	a.next++
	if f.Trailer != nil {
		return a.finish(f)
	}
	if size := len(a.answer.Data) + len(f.Data); size > a.limit {
		return errors.Wrapf(ErrAnswerTooLong, "%d bytes, want at most %d", size, a.limit)
	}
	a.answer.Data = append(a.answer.Data, f.Data...)
	a.checksum = crc32.Update(a.checksum, castagnoli, f.Data)
	if onData != nil {
		onData(f.Data)
	}
	return nil
}

// finish verifies the trailer and completes the answer.
func (a *assembler) finish(f *medlarwindv1.Frame) error {
	if f.Trailer.Frames != f.Sequence || f.Trailer.Checksum != a.checksum {
		return ErrIncomplete
	}
	a.done = true
	a.answer.InputTokens = f.Trailer.InputTokens
	a.answer.OutputTokens = f.Trailer.OutputTokens
	return nil
}

// generateAt runs the request at one address. If the stream breaks, it attaches once more
// and continues with the next missing frame.
func (c *Client) generateAt(ctx context.Context, address string, r *medlarwindv1.GenerateRequest, onData func([]byte)) (*Answer, error) {
	a := &assembler{answer: Answer{Address: address}, limit: c.options.MaxAnswerBytes}
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.router(c.http, address).Generate(ctx, authorized(c, r))
	if err != nil {
		return nil, markNoResponse(requestError(err), a)
	}
	err = c.collect(stream, a, onData, start)
	if err != nil && a.answer.RequestID != "" && connectionBroken(err) && ctx.Err() == nil {
		err = c.reattach(ctx, address, a, onData, start)
	}
	if err != nil {
		return nil, markNoResponse(requestError(err), a)
	}
	return &a.answer, nil
}

// markNoResponse sets noResponse in err if the connection failed before the first frame,
// and returns err.
func markNoResponse(err error, a *assembler) error {
	var failed *RequestError
	if errors.As(err, &failed) && failed.Reason == reasonConnection && a.answer.RequestID == "" {
		failed.noResponse = true
	}
	return err
}

// reattach reads the rest of an answer over a new connection.
func (c *Client) reattach(ctx context.Context, address string, a *assembler, onData func([]byte), start time.Time) error {
	request := &medlarwindv1.AttachRequest{RequestId: a.answer.RequestID, Sequence: a.next}
	stream, err := c.router(c.dedicated, address).Attach(ctx, authorized(c, request))
	if err != nil {
		return err
	}
	return c.collect(stream, a, onData, start)
}

// collect reads a stream to its end. It closes a stream that delivers no frame for
// Options.Silence.
func (c *Client) collect(stream *connect.ServerStreamForClient[medlarwindv1.Frame], a *assembler, onData func([]byte), start time.Time) error {
	watchdog := time.AfterFunc(c.options.Silence, func() { stream.Close() })
	defer watchdog.Stop()
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(c.options.Silence)
		if a.next == 0 {
			a.answer.FirstFrame = time.Since(start)
		}
		if err := a.add(stream.Msg(), onData); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if !a.done {
		return ErrIncomplete
	}
	return nil
}

// Cancel stops a request at the instance that accepted it.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.router(c.http, address).Cancel(ctx, authorized(c, &medlarwindv1.CancelRequest{RequestId: requestID}))
	return requestError(err)
}
