// Package entry serves callers: it authenticates them, answers which address to
// use, waits for the Admission's permission, runs the request on a target and
// relays the answer.
//
// Ownership: each request has one goroutine that runs it and writes its answer;
// callers' streams only read the answer. The register of once-calls and the table
// of answers are guarded by their own mutexes. Nothing here outlives the process.
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

// Limits of the callers' interface.
const (
	// MaxMessageBytes bounds one message from a caller.
	MaxMessageBytes = 1<<20 + 64<<10
	// MaxPromptBytes bounds a prompt or a call's body.
	MaxPromptBytes = 1 << 20
	// defaultMaxTokens is used when a caller gives no bound.
	defaultMaxTokens = 1024
	// bytesPerToken estimates the size of a prompt in tokens.
	bytesPerToken = 4
	// startingRetryDelay is when to try again at an instance without rules.
	startingRetryDelay = 500 * time.Millisecond
	// compressMinBytes is the size from which on a message is compressed; compressing
	// each token's frame costs more than it saves.
	compressMinBytes = 4 << 10
	// maxAttempts bounds how often one request is started.
	maxAttempts = 3
)

// RequestIDHeader is the response header that carries the request id before the
// first frame.
const RequestIDHeader = "Medlarwind-Request"

// Options sets one entry's bounds. Zero values take the defaults.
type Options struct {
	Incarnation fleet.Incarnation
	Instance    fleet.InstanceID
	// AnswerWindow is the number of bytes held of one answer; default 1 MiB.
	AnswerWindow int
	// MaxAnswers bounds the requests that run at once, and likewise the ended answers
	// that are kept; default 4096.
	MaxAnswers int
	// AttachGrace is how long an answer is kept without a reader; default 10 s.
	AttachGrace time.Duration
	// RequestTimeout bounds a request from arrival to its end; default 10 min.
	RequestTimeout time.Duration
	// QueueTimeout bounds the time until a request starts; default 2 min.
	QueueTimeout time.Duration
	// CallIDLifetime is how long a once-call id can be used; default 2 min.
	CallIDLifetime time.Duration
	// MaxCallIDs and MaxCallIDsPerCustomer bound the ids held; defaults 65536, 4096.
	MaxCallIDs            int
	MaxCallIDsPerCustomer int
	// OnUnknown is told of each request whose caller is told that its outcome is
	// unknown; may be nil. It is called from the requests' goroutines.
	OnUnknown func(r *Request, reason string)
	// MaxCallAnswerBytes bounds the kept answers of once-calls; default 32 MiB.
	MaxCallAnswerBytes int
	// MaxBodyBytes bounds the bodies of all requests at once, a quarter of it for one
	// customer; default 64 MiB. BodyTimeout bounds the time that a caller takes to
	// send a body; default 30 s.
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

// Server implements the callers' interface of one instance.
type Server struct {
	options   Options
	admission Admission
	directory Directory
	targets   *target.Client
	answers   *answerTable

	onceMu sync.Mutex
	once   *onceRegistry

	running sync.WaitGroup
	// ctx bounds every request; stop ends it.
	ctx  context.Context
	stop context.CancelFunc
}

var _ medlarwindv1connect.RouterServiceHandler = (*Server)(nil)

// NewServer returns a server that starts work only as admission allows.
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

// Handler returns the http.Handler for callers: connect, gRPC and gRPC-Web.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := medlarwindv1connect.NewRouterServiceHandler(s, connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes))
	mux.Handle(path, newBodyLimiter(s, handler))
	return mux
}

// Wait returns when no request is running, or with ctx's error.
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

// Close cancels every request and returns after their goroutines have ended.
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

// relay sends frames to one caller until the answer or the caller's stream ends.
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

// detach starts the grace period when the last reader has gone.
func (s *Server) detach(a *answer, r *reader) {
	if a.detach(r) > 0 {
		return
	}
	if entry := s.answers.get(a.id, a.customer); entry != nil {
		entry.startGrace(s.options.AttachGrace, func() { s.answers.remove(a.id) })
	}
}

// authenticate finds the customer that the bearer secret belongs to.
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

// reportUnknown tells of an outcome that is unknown.
func (s *Server) reportUnknown(r *Request, outcome *OutcomeError) {
	if s.options.OnUnknown != nil && outcome != nil && outcome.Kind == Unknown {
		s.options.OnUnknown(r, outcome.Reason)
	}
}

// randomHex returns n random bytes in hexadecimal, which cannot be guessed.
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
