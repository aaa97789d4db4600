// Package entry implements the interface for callers: it authenticates them, returns
// the instance addresses they should use, waits for admission, runs a request on a
// target and relays the answer.
//
// One goroutine runs each model request and writes its answer; callers' streams only
// read the answer. The registry of non-repeatable calls and the table of answers each
// have their own mutex. All state is in memory and lost when the process ends.
package entry

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/gen/medlarwind/v1/medlarwindv1connect"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target"
)

// Limits of the interface for callers.
const (
	// MaxMessageBytes is the maximum size of one message from a caller.
	MaxMessageBytes = 1<<20 + 64<<10
	// MaxPromptBytes is the maximum size of a prompt or of the body of a call.
	MaxPromptBytes = 1 << 20
	// defaultMaxTokens is used if a caller sets no limit.
	defaultMaxTokens = 1024
	// bytesPerToken is used to estimate the size of a prompt in tokens.
	bytesPerToken = 4
	// startingRetryDelay is the retry delay sent while no rules are in force.
	startingRetryDelay = 500 * time.Millisecond
	// compressMinBytes is the smallest size at which a message is compressed.
	// Compressing the frame of every single token costs more than it saves.
	compressMinBytes = 4 << 10
	// maxAttempts is the maximum number of times that one request is started.
	maxAttempts = 3
)

// RequestIDHeader is the response header with the request id. It is sent before the
// first frame.
const RequestIDHeader = "Medlarwind-Request"

// Options configures a Server. Zero values mean the defaults.
type Options struct {
	Incarnation fleet.Incarnation
	Instance    fleet.InstanceID
	// AnswerWindow is the maximum number of bytes buffered per answer; default 1 MiB.
	AnswerWindow int
	// MaxAnswers is the maximum number of concurrent model requests, and also that of
	// ended answers that are kept; default 4096.
	MaxAnswers int
	// AttachGrace is how long an answer is kept without a reader; default 10 s.
	AttachGrace time.Duration
	// RequestTimeout is the maximum time from arrival to end; default 10 min.
	RequestTimeout time.Duration
	// QueueTimeout is the maximum time from arrival to start; default 2 min.
	QueueTimeout time.Duration
	// CallIDLifetime is how long a call id can be used; default 2 min.
	CallIDLifetime time.Duration
	// MaxCallIDs and MaxCallIDsPerCustomer limit the number of call ids held; defaults
	// 65536 and 4096.
	MaxCallIDs            int
	MaxCallIDsPerCustomer int
	// OnUnknown is called for each request whose outcome is reported as unknown. It
	// may be nil, and must be safe for concurrent use.
	OnUnknown func(r *AdmissionRequest, reason string)
	// MaxCallAnswerBytes limits the kept answers of non-repeatable calls; default
	// 32 MiB.
	MaxCallAnswerBytes int
	// MaxBodyBytes limits the total size of the bodies of all current requests; one
	// customer may use a quarter of it; default 64 MiB. BodyTimeout is the maximum
	// time that a caller may take to send a body; default 30 s.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.AnswerWindow, 1<<20)
	setDefault(&o.MaxAnswers, 4096)
	setDefault(&o.AttachGrace, 10*time.Second)
	setDefault(&o.RequestTimeout, 10*time.Minute)
	setDefault(&o.QueueTimeout, 2*time.Minute)
	setDefault(&o.CallIDLifetime, 2*time.Minute)
	setDefault(&o.MaxCallIDs, 65536)
	setDefault(&o.MaxCallIDsPerCustomer, 4096)
	setDefault(&o.MaxCallAnswerBytes, 32<<20)
	setDefault(&o.MaxBodyBytes, 64<<20)
	setDefault(&o.BodyTimeout, 30*time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server implements RouterService for the callers of one instance.
type Server struct {
	options   Options
	admission Admission
	directory Directory
	targets   *target.Client
	answers   *answerTable

	onceMu sync.Mutex
	once   *onceRegistry

	running sync.WaitGroup
	// ctx is the parent context of requests that outlive their stream; stop cancels
	// it.
	ctx  context.Context
	stop context.CancelFunc
}

var _ medlarwindv1connect.RouterServiceHandler = (*Server)(nil)

// NewServer returns a Server that starts a request only under a lease from admission.
func NewServer(o Options, admission Admission, directory Directory, targets *target.Client) *Server {
	o = o.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Server{
		ctx:       ctx,
		stop:      stop,
		options:   o,
		admission: admission,
		directory: directory,
		targets:   targets,
		answers:   newAnswerTable(o.MaxAnswers),
		once: newOnceRegistry(o.Incarnation, o.CallIDLifetime, o.MaxCallIDs,
			o.MaxCallIDsPerCustomer, o.MaxCallAnswerBytes),
	}
}

// Handler returns the HTTP handler for callers. It serves the Connect, gRPC and
// gRPC-Web protocols.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := medlarwindv1connect.NewRouterServiceHandler(s, connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes), connect.WithCompression("gzip", newDecompressor, newCompressor))
	mux.Handle(path, newBodyLimiter(s, handler))
	return mux
}

// Wait blocks until no request is running. It returns ctx.Err() if ctx ends first.
func (s *Server) Wait(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		s.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cancels the requests that run independently of their callers and waits until no
// request is running.
func (s *Server) Close() {
	s.stop()
	s.answers.close()
	s.running.Wait()
}

// Locate implements RouterService.
func (s *Server) Locate(_ context.Context, req *connect.Request[medlarwindv1.LocateRequest]) (*connect.Response[medlarwindv1.LocateResponse], error) {
	customer, outcome := s.authenticate(req.Header())
	if outcome != nil {
		return nil, connectError(outcome)
	}
	addresses, lifetime := s.directory.Locate(customer)
	return connect.NewResponse(&medlarwindv1.LocateResponse{
		Addresses:  addresses,
		LifetimeMs: lifetime.Milliseconds(),
	}), nil
}

// Generate implements RouterService.
func (s *Server) Generate(ctx context.Context, req *connect.Request[medlarwindv1.GenerateRequest], stream *connect.ServerStream[medlarwindv1.Frame]) error {
	customer, outcome := s.authenticate(req.Header())
	if outcome != nil {
		return connectError(outcome)
	}
	g, outcome := s.newGeneration(customer, req.Msg)
	if outcome != nil {
		return connectError(outcome)
	}
	first, _ := g.answer.attach(0)
	s.running.Go(g.run)
	return s.relay(ctx, g.answer, first, stream)
}

// Attach implements RouterService.
func (s *Server) Attach(ctx context.Context, req *connect.Request[medlarwindv1.AttachRequest], stream *connect.ServerStream[medlarwindv1.Frame]) error {
	customer, outcome := s.authenticate(req.Header())
	if outcome != nil {
		return connectError(outcome)
	}
	entry := s.answers.get(req.Msg.RequestId, customer)
	if entry == nil {
		return connectError(&OutcomeError{Kind: Unknown, Reason: ReasonAnswerGone})
	}
	r, ok := entry.answer.attach(req.Msg.Sequence)
	if !ok {
		return connectError(&OutcomeError{Kind: Unknown, Reason: ReasonAnswerGone})
	}
	entry.stopGrace()
	return s.relay(ctx, entry.answer, r, stream)
}

// Cancel implements RouterService.
func (s *Server) Cancel(_ context.Context, req *connect.Request[medlarwindv1.CancelRequest]) (*connect.Response[medlarwindv1.CancelResponse], error) {
	customer, outcome := s.authenticate(req.Header())
	if outcome != nil {
		return nil, connectError(outcome)
	}
	if entry := s.answers.get(req.Msg.RequestId, customer); entry != nil {
		entry.cancel()
	}
	return connect.NewResponse(&medlarwindv1.CancelResponse{}), nil
}

// relay sends frames to one caller until the answer or the caller's stream ends. It
// detaches the reader before it returns.
func (s *Server) relay(ctx context.Context, a *answer, r *reader, stream *connect.ServerStream[medlarwindv1.Frame]) error {
	defer s.detach(a, r)
	stream.ResponseHeader().Set(RequestIDHeader, a.id)
	for {
		frame, done, err := a.read(ctx, r)
		if frame != nil {
			if err := stream.Send(frame); err != nil {
				return err
			}
			continue
		}
		if done {
			return relayError(err)
		}
	}
}

func relayError(err error) error {
	if err == nil {
		return nil
	}
	if outcome, ok := err.(*OutcomeError); ok {
		return connectError(outcome)
	}
	return err
}

// detach removes a reader. If it was the last one, the grace period starts.
func (s *Server) detach(a *answer, r *reader) {
	if a.detach(r) > 0 {
		return
	}
	if entry := s.answers.get(a.id, a.customer); entry != nil {
		entry.startGrace(s.options.AttachGrace, func() { s.answers.remove(a.id) })
	}
}

// authenticate returns the customer to whom the bearer secret belongs.
func (s *Server) authenticate(header http.Header) (fleet.CustomerID, *OutcomeError) {
	secret, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !found {
		return "", refuse(ReasonCredentials, 0)
	}
	customer, err := s.directory.Authenticate(sha256.Sum256([]byte(secret)))
	switch {
	case err == nil:
		return customer, nil
	case errors.Is(err, ErrStarting):
		return "", refuse(ReasonStarting, startingRetryDelay)
	default:
		return "", refuse(ReasonCredentials, 0)
	}
}

// reportUnknown calls Options.OnUnknown if the outcome is unknown.
func (s *Server) reportUnknown(r *AdmissionRequest, outcome *OutcomeError) {
	if s.options.OnUnknown != nil && outcome != nil && outcome.Kind == Unknown {
		s.options.OnUnknown(r, outcome.Reason)
	}
}

// randomHex returns n cryptographically random bytes in hexadecimal.
func randomHex(n int) string {
	raw := make([]byte, n)
	crand.Read(raw)
	return hex.EncodeToString(raw)
}

func randomUint64() uint64 {
	var raw [8]byte
	crand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:])
}
