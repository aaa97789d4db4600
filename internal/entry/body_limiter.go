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

// envelopeBytes is the length of the prefix of a streamed message.
const envelopeBytes = 5

// customerBodyDivisor limits the bodies of one customer to this part of the total
// limit: a quarter.
const customerBodyDivisor = 4

// bodyLimiter is HTTP middleware that checks a caller's credentials and then reads
// the whole body before it calls the next handler. It limits the size of a body, the
// time to read it, and the memory for all bodies. It is safe for concurrent use.
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

// ServeHTTP implements http.Handler. A body of unknown length counts as MaxMessageBytes
// while it is read. After that a body counts by its size until the request has ended or
// its caller has disconnected.
func (l *bodyLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(l.timeout))
	customer, outcome := l.server.authenticate(r.Header)
	if outcome != nil && outcome.Reason != ReasonStarting {
		l.refuse(w, r, outcome)
		return
	}
	// While no rules are in force, all bodies count towards the empty customer id, and
	// the handler refuses the request with the outcome for its method.
	size, outcome := l.reserve(customer, r.ContentLength)
	if outcome != nil {
		// Read the body to its end: a caller that is still sending would otherwise see
		// a connection reset instead of the refusal.
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

// read returns the whole body. It fails if the body is too large or does not arrive
// before the read deadline.
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

// refuse writes the refusal of a request whose body was not read. The outcome of a call
// is Unknown, since an earlier call may have run under the same id.
func (l *bodyLimiter) refuse(w http.ResponseWriter, r *http.Request, outcome *OutcomeError) {
	if r.URL.Path == medlarwindv1connect.RouterServiceCallProcedure {
		outcome.Kind = Unknown
	}
	_ = l.errors.Write(w, r, connectError(outcome))
}

// reserve reserves memory for a body and returns the number of bytes reserved. The
// length is negative if it is unknown.
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

// release returns reserved memory.
func (l *bodyLimiter) release(customer fleet.CustomerID, size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totalBytes -= size
	l.customerBytes[customer] -= size
	if l.customerBytes[customer] == 0 {
		delete(l.customerBytes, customer)
	}
}
