// Package client is the callers' Go client of the router fleet. It asks an instance
// which addresses to use, keeps the answer for its lifetime, connects itself, and
// checks that it holds the whole answer.
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

// DialFunc opens a connection to an IP:port.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options sets up a Client.
type Options struct {
	// Seeds are callers' addresses (IP:port) to ask first.
	Seeds []string
	// Secret proves which customer this caller is.
	Secret string
	// Dial opens connections; nil takes net.Dialer.
	Dial DialFunc
	// MaxTries bounds how many addresses one request is tried at, as long as each
	// refusal says that it did not run; 0 takes 4.
	MaxTries int
	// Silence closes a stream that gives no frame for so long; 0 takes 2 minutes.
	Silence time.Duration
}

// Errors of this package, besides *RequestError.
var (
	// ErrIncomplete means that the answer's count or checksum does not fit.
	ErrIncomplete = errors.New("the answer is not whole")
	// ErrNoAddress means that no seed answered.
	ErrNoAddress = errors.New("no instance gave an address")
)

// Client is safe for concurrent use.
type Client struct {
	options Options
	// http keeps connections; single never reuses one, so that no transport can send
	// a call a second time.
	http      *http.Client
	dedicated *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// Answer is a whole, checked answer of a model.
type Answer struct {
	RequestID    string
	Data         []byte
	InputTokens  int64
	OutputTokens int64
	// Address is the instance that served it.
	Address string
	// FirstFrame is the time from sending to the first frame.
	FirstFrame time.Duration
}

// New returns a client; it connects on first use.
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
	return &Client{
		options:   o,
		http:      &http.Client{Transport: &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: 64}},
		dedicated: &http.Client{Transport: &http.Transport{DialContext: o.Dial, DisableKeepAlives: true}},
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.dedicated.CloseIdleConnections()
}

// Locate returns the addresses to use, best first, from the kept answer or a seed.
func (c *Client) Locate(ctx context.Context) ([]string, error) {
	if cached := c.cachedAddresses(); cached != nil {
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

// cachedAddresses returns the cachedAddresses answer while it lives.
func (c *Client) cachedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses
	}
	return nil
}

// candidates are the seeds, which the caller chose as near, then the last known
// addresses. Asked the other way round, a caller that was once sent to another
// region would stay there, since instances there name themselves first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]string(nil), c.options.Seeds...), c.addresses...)
}

// Times of Locate.
const (
	// locateTimeout bounds one question to one seed.
	locateTimeout = 2 * time.Second
	// locateRetryDelay is when to ask again after no instance answered.
	locateRetryDelay = 500 * time.Millisecond
)

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

// expireAddresses makes the next request ask again.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) router(h *http.Client, address string) medlarwindv1connect.RouterServiceClient {
	return medlarwindv1connect.NewRouterServiceClient(h, "http://"+address)
}

func authorized[T any](c *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+c.options.Secret)
	return request
}

// Generate runs a model request and returns the whole answer. onData, if not nil,
// gets each piece as it comes. A refusal that says "not run" is tried at the next
// address. So is, once, a connection that failed before anything came back, such as a
// kept one that the instance closed at the same moment: a model request may run twice.
// That try does not count.
// Any other failure is returned.
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
		if !c.waitToRetry(ctx, err) {
			break
		}
	}
	return nil, last
}

// noResponse reports whether a connection failed before anything came back.
func noResponse(err error) bool {
	var failed *RequestError
	return errors.As(err, &failed) && failed.noResponse
}

// waitToRetry waits as the refusal asks; false if the request must not be tried again.
func (c *Client) waitToRetry(ctx context.Context, err error) bool {
	var failed *RequestError
	if !errors.As(err, &failed) || failed.Kind != NotRun || failed.RetryAfter < 0 {
		return false
	}
	c.expireAddresses()
	timer := time.NewTimer(failed.RetryAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// assembler collects frames in order and checks the trailer.
type assembler struct {
	answer   Answer
	next     int64
	checksum uint32
	done     bool
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// add adds a frame; a repeated one is dropped, a gap is an error.
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
	a.answer.Data = append(a.answer.Data, f.Data...)
	a.checksum = crc32.Update(a.checksum, castagnoli, f.Data)
	if onData != nil {
		onData(f.Data)
	}
	return nil
}

func (a *assembler) finish(f *medlarwindv1.Frame) error {
	if f.Trailer.Frames != f.Sequence || f.Trailer.Checksum != a.checksum {
		return ErrIncomplete
	}
	a.done = true
	a.answer.InputTokens = f.Trailer.InputTokens
	a.answer.OutputTokens = f.Trailer.OutputTokens
	return nil
}

// generateAt runs the request at one address, and attaches once more at the place
// reached if the stream breaks.
func (c *Client) generateAt(ctx context.Context, address string, r *medlarwindv1.GenerateRequest, onData func([]byte)) (*Answer, error) {
	a := &assembler{answer: Answer{Address: address}}
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

// markNoResponse notes whether a connection failed before the first frame.
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

// collect reads a stream to its end. A stream that stays silent is closed.
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

// Cancel stops a request at the instance that took it.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.router(c.http, address).Cancel(ctx, authorized(c, &medlarwindv1.CancelRequest{RequestId: requestID}))
	return requestError(err)
}
