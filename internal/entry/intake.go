package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/gen/medlarwind/v1/medlarwindv1connect"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// envelopeBytes is the length of the frame around a streamed message.
const envelopeBytes = 5

// customerBodyDivisor is the part of all bodies' bytes that one customer may hold.
const customerBodyDivisor = 4

// bodyLimiter reads callers' requests before the handlers see them: the credentials
// first, then the whole body within its bounds of size, of time and of the memory
// that all bodies share. It is safe for concurrent use.
type bodyLimiter struct {
	server  *Server
	next    http.Handler
	errors  *connect.ErrorWriter
	timeout time.Duration
	limit   int64

	mu            sync.Mutex
	totalBytes    int64
	customerBytes map[fleet.CustomerID]int64
}

func newBodyLimiter(s *Server, next http.Handler) *bodyLimiter {
	return &bodyLimiter{
		server:        s,
		next:          next,
		errors:        connect.NewErrorWriter(),
		timeout:       s.options.BodyTimeout,
		limit:         s.options.MaxBodyBytes,
		customerBytes: make(map[fleet.CustomerID]int64),
	}
}

// ServeHTTP implements http.Handler. While a body of unknown length is read it counts
// as a whole message; then its bytes count until its request has ended or its caller
// has gone.
func (l *bodyLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(l.timeout))
	customer, outcome := l.server.authenticate(r.Header)
	if outcome != nil && outcome.Reason != ReasonStarting {
		l.refuse(w, r, outcome)
		return
	}
	// While no rules are in force every body counts for one customer without a name,
	// and the handler refuses the request by what it asks for.
	size, outcome := l.reserve(customer, r.ContentLength)
	if outcome != nil {
		// A caller that is still sending would see its connection reset instead of
		// the refusal.
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, MaxMessageBytes+envelopeBytes))
		l.refuse(w, r, outcome)
		return
	}
	body, outcome := l.read(w, r)
	kept := int64(len(body))
	l.release(customer, size-kept)
	defer l.release(customer, kept)
	if outcome != nil {
		l.refuse(w, r, outcome)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.next.ServeHTTP(w, r)
}

// read reads the whole body by the deadline of its connection or stream.
func (l *bodyLimiter) read(w http.ResponseWriter, r *http.Request) ([]byte, *OutcomeError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageBytes+envelopeBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(ReasonTooLarge, 0)
	}
	return nil, refuse(ReasonSlowBody, time.Second)
}

// refuse ends a request whose body was not read. A call may have run under its id
// before, so that nothing is said about calls but that this one was not taken.
func (l *bodyLimiter) refuse(w http.ResponseWriter, r *http.Request, outcome *OutcomeError) {
	if r.URL.Path == medlarwindv1connect.RouterServiceCallProcedure {
		outcome.Kind = Unknown
	}
	_ = l.errors.Write(w, r, connectError(outcome))
}

// reserve takes room for a body of a length, which is negative if it is unknown.
func (l *bodyLimiter) reserve(customer fleet.CustomerID, length int64) (int64, *OutcomeError) {
	if length > MaxMessageBytes+envelopeBytes {
		return 0, refuse(ReasonTooLarge, 0)
	}
	if length < 0 {
		length = MaxMessageBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.totalBytes+length > l.limit || l.customerBytes[customer]+length > l.limit/customerBodyDivisor {
		return 0, refuse(ReasonInstanceMemory, time.Second)
	}
	l.totalBytes += length
	l.customerBytes[customer] += length
	return length, nil
}

func (l *bodyLimiter) release(customer fleet.CustomerID, size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totalBytes -= size
	l.customerBytes[customer] -= size
	if l.customerBytes[customer] == 0 {
		delete(l.customerBytes, customer)
	}
}
