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

// customerPart is the part of all bodies' bytes that one customer may hold.
const customerPart = 4

// intake reads callers' requests before the handlers see them: the credentials
// first, then the whole body within its bounds of size, of time and of the memory
// that all bodies share. It is safe for concurrent use.
type intake struct {
	server  *Server
	next    http.Handler
	errors  *connect.ErrorWriter
	timeout time.Duration
	limit   int64

	mu   sync.Mutex
	sum  int64
	held map[fleet.CustomerID]int64
}

func newIntake(s *Server, next http.Handler) *intake {
	return &intake{
		server:  s,
		next:    next,
		errors:  connect.NewErrorWriter(),
		timeout: s.options.BodyTimeout,
		limit:   s.options.MaxBodyBytes,
		held:    make(map[fleet.CustomerID]int64),
	}
}

// ServeHTTP implements http.Handler. While a body of unknown length is read it counts
// as a whole message; then its bytes count until its request has ended or its caller
// has gone.
func (in *intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(in.timeout))
	customer, outcome := in.server.authenticate(r.Header)
	if outcome != nil && outcome.Reason != ReasonStarting {
		in.refuse(w, r, outcome)
		return
	}
	// While no rules are in force every body counts for one customer without a name,
	// and the handler refuses the request by what it asks for.
	size, outcome := in.reserve(customer, r.ContentLength)
	if outcome != nil {
		// A caller that is still sending would see its connection reset instead of
		// the refusal.
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, MaxMessageBytes+envelopeBytes))
		in.refuse(w, r, outcome)
		return
	}
	body, outcome := in.read(w, r)
	kept := int64(len(body))
	in.release(customer, size-kept)
	defer in.release(customer, kept)
	if outcome != nil {
		in.refuse(w, r, outcome)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	r.Body = io.NopCloser(bytes.NewReader(body))
	in.next.ServeHTTP(w, r)
}

// read reads the whole body by the deadline of its connection or stream.
func (in *intake) read(w http.ResponseWriter, r *http.Request) ([]byte, *OutcomeError) {
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
func (in *intake) refuse(w http.ResponseWriter, r *http.Request, outcome *OutcomeError) {
	if r.URL.Path == medlarwindv1connect.RouterServiceCallProcedure {
		outcome.Kind = Unknown
	}
	_ = in.errors.Write(w, r, connectError(outcome))
}

// reserve takes room for a body of a length, which is negative if it is unknown.
func (in *intake) reserve(customer fleet.CustomerID, length int64) (int64, *OutcomeError) {
	if length > MaxMessageBytes+envelopeBytes {
		return 0, refuse(ReasonTooLarge, 0)
	}
	if length < 0 {
		length = MaxMessageBytes
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.sum+length > in.limit || in.held[customer]+length > in.limit/customerPart {
		return 0, refuse(ReasonInstanceMemory, time.Second)
	}
	in.sum += length
	in.held[customer] += length
	return length, nil
}

func (in *intake) release(customer fleet.CustomerID, size int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sum -= size
	in.held[customer] -= size
	if in.held[customer] == 0 {
		delete(in.held, customer)
	}
}
