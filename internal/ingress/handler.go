// Package ingress serves callers' plain HTTP requests: the scheduler chooses a target for
// each, and the package forwards the request and relays the response.
//
// Each request is handled in the goroutine of its connection. A Codec translates the
// headers of callers and targets; the package depends on no header of theirs.
//
// Only the kind of the route decides whether a request may be retried. If a request may
// have run, the caller gets 502 or 504, or its connection is closed; 503 means that the
// request has not run.
package ingress

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// Defaults and retry delays of the handler.
const (
	// defaultTimeout limits requests for which neither the caller nor the route has a
	// timeout.
	defaultTimeout = 30 * time.Second
	// noConfigRetryAfter is the retry delay sent to callers while this instance has no
	// configuration, or none with a service for the route.
	noConfigRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is the retry delay sent to callers while the configuration may be out
	// of date, so that keys cannot be checked, and while the body memory is full.
	staleRetryAfter = 500 * time.Millisecond
	// defaultMaxBody is the largest request body in bytes if the configuration sets none.
	defaultMaxBody = 4 << 20
)

// ConfigSource gives access to the current configuration.
type ConfigSource interface {
	// Current returns the current configuration, or nil if there is none yet.
	Current() *catalog.Catalog
	// Confirmed reports whether the configuration is known to be recent enough to rely on
	// its keys.
	Confirmed() bool
	// KeysRequired reports whether requests on routes that are not anonymous need a key,
	// whatever the current configuration says.
	KeysRequired() bool
}

// Options are the dependencies and settings of a Handler.
type Options struct {
	Codec        Codec
	ConfigSource ConfigSource
	Scheduler    *scheduler.Scheduler
	Upstream     *upstream.Client
	Now          clock.Source
	Log          zerolog.Logger
	// BodyMemory limits the memory for the bodies of all requests being served, in bytes.
	BodyMemory int64
	// AnswerMemory limits the memory for what targets have sent and is not passed on yet, in bytes.
	AnswerMemory int64
	// TooManyConns reports whether callers hold so many connections that each response
	// should close its connection. If it is nil, none does.
	TooManyConns func() bool
	// Observe is called with the report of each finished request, if it is not nil.
	Observe func(Report)
	// ObserveSend is called for each attempt that is sent, if it is not nil.
	ObserveSend func(scheduler.Validity)
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	options Options
	bodies  bodyMemory
	answers *answerMemory
	drain   drainState
	// callerTimeouts estimates how long callers wait, to detect their retries.
	callerTimeouts callerTimeouts
	unanswered     unansweredRequests
	// oddPauses are what targets said of pauses that cannot be read, and is logged.
	oddPauses loggedOnce
}

// New returns a handler with the given options.
func New(o Options) *Handler {
	h := &Handler{options: o, bodies: bodyMemory{limit: o.BodyMemory}, answers: newAnswerMemory(o.AnswerMemory)}
	h.drain.ended, h.drain.end = context.WithCancel(context.Background())
	return h
}

// ServeHTTP serves one request and reports its result.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.drain.active.Add(1)
	defer h.drain.active.Add(-1)
	x := &exchange{h: h, w: w, r: r, arrived: h.options.Now()}
	defer x.discardBody()
	defer x.report()
	if h.drain.started() || h.options.TooManyConns != nil && h.options.TooManyConns() {
		w.Header().Set("Connection", "close")
	}
	if !x.identify() {
		return
	}
	h.unanswered.add(r.RemoteAddr, x.call.ID)
	defer h.unanswered.remove(r.RemoteAddr)
	if !x.readBody() {
		return
	}
	defer x.body.release()
	stoppable, stop := context.WithCancelCause(r.Context())
	defer context.AfterFunc(h.drain.ended, func() { stop(errStopping) })()
	ctx, cancel := context.WithTimeoutCause(stoppable, x.job.Deadline.Sub(h.options.Now()), errRequestTimeout)
	defer cancel()
	h.options.Scheduler.RecordArrival(x.job)
	x.serve(ctx)
}

// errRequestTimeout is the cause with which a request's context ends at its deadline, which
// follows from the timeouts of the caller and the route.
var errRequestTimeout = errors.New("request timed out")

// exchange holds the state of one caller's request while it is served. It is used by one
// goroutine; a standby reads what does not change after the body was read.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived clock.Instant

	call     Call
	route    *catalog.Route
	service  *catalog.Service
	customer fleet.CustomerID
	job      *scheduler.Job
	body     *body
	// bodyUnread is set if the request was refused while much of its body had not been read.
	bodyUnread bool

	// sends counts the unsuccessful attempts that reached a target, runs those of them that
	// may have run there.
	sends, runs int
	// sentTo lists the addresses to which attempts were made. A standby adds to it, too; sentMu
	// guards it. validity is what the last of them rested on.
	sentMu   sync.Mutex
	sentTo   []string
	validity scheduler.Validity
	// headerWritten reports whether the status and headers were written to the caller.
	headerWritten bool
	// lastEvent is the id of the last event written, runEvents the number of events that the
	// current run contributed.
	lastEvent string
	runEvents int
	// streaming reports whether a stream is being written. streamType is its media type, position
	// the place up to which it was written.
	streaming  bool
	streamType string
	position   streamPosition
	// silence watches the current attempt. standby is the second run that it began and with
	// which the request goes on, nil for none.
	silence *silenceWatch
	// memory is the memory of the current attempt's response.
	memory  *answerPart
	standby *standby
	// lost is the run that broke last if it has a copy, nil for none.
	lost *brokenRun
	// failure is the error of the last attempt that failed after it was sent, nil if there is none
	// beside its reason.
	failure error
	result  Report
}

// identify decodes the caller's headers, finds the route, customer and service and creates
// the job. If any of them is missing, it refuses the request and returns false.
func (x *exchange) identify() bool {
	o := &x.h.options
	call, err := o.Codec.DecodeCall(x.r.Header)
	if err != nil {
		x.refuse(http.StatusBadRequest, "bad_header", 0)
		return false
	}
	x.call = call
	c := o.ConfigSource.Current()
	if c == nil {
		x.refuse(http.StatusServiceUnavailable, "no_configuration", noConfigRetryAfter)
		return false
	}
	x.result.Version = c.Version
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := c.Route(x.r.Host, path)
	if !ok {
		return x.refuseUnknown(http.StatusNotFound, "no_route")
	}
	x.route = route
	if now := o.Now(); x.h.drain.refuses(route.Kind == catalog.Stream, now.Add(x.timeout()), now) {
		x.refuse(http.StatusServiceUnavailable, string(scheduler.ReasonLeaving), drainRetryAfter)
		return false
	}
	var customer *catalog.Customer
	if !route.Anonymous {
		if customer, ok = x.authenticate(c); !ok {
			return false
		}
	}
	return x.buildJob(c, customer)
}

// authenticate returns the customer that holds the request's key, nil if the request has none and
// none is needed. Otherwise it refuses the request and returns false: a key that no customer
// holds may have been revoked, even if the configuration lists no customers.
func (x *exchange) authenticate(c *catalog.Catalog) (*catalog.Customer, bool) {
	source := x.h.options.ConfigSource
	customer, known := c.Customer(x.call.Key)
	switch {
	case known && source.Confirmed():
		return customer, true
	case known:
		x.refuse(http.StatusServiceUnavailable, "keys_unconfirmed", staleRetryAfter)
		return nil, false
	case x.call.Key == "" && !c.RequiresKey() && !source.KeysRequired():
		return nil, true
	}
	return nil, x.refuseUnknown(http.StatusUnauthorized, "unknown_key")
}

// refuseUnknown refuses a request for which the configuration has no route or key. While
// the configuration may be out of date, the request is refused for that reason instead. It
// always returns false.
func (x *exchange) refuseUnknown(status int, reason string) bool {
	if !x.h.options.ConfigSource.Confirmed() {
		x.refuse(http.StatusServiceUnavailable, "configuration_unconfirmed", staleRetryAfter)
		return false
	}
	x.refuse(status, reason, 0)
	return false
}

// timeout returns how long the request may take: until the time of the caller or the route is up.
func (x *exchange) timeout() time.Duration { return timeoutOf(x.route, &x.call) }

func timeoutOf(route *catalog.Route, call *Call) time.Duration {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if call.Budget > 0 {
		timeout = min(timeout, call.Budget)
	}
	return timeout
}

// buildJob chooses the service and creates the job. If the route has no service, it refuses
// the request and returns false.
func (x *exchange) buildJob(c *catalog.Catalog, customer *catalog.Customer) bool {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(x.call.ID))
	name, ok := x.route.Service(hash.Sum64())
	if ok {
		x.service, ok = c.Service(name)
	}
	if !ok {
		x.refuse(http.StatusServiceUnavailable, "no_service", noConfigRetryAfter)
		return false
	}
	x.job = &scheduler.Job{
		ID: x.call.ID, Route: x.route, Service: x.service,
		Prompt: x.call.Prompt, Output: x.call.expectedOutput(), Parts: x.call.Parts,
		Arrived: x.arrived, Deadline: x.arrived.Add(x.timeout()),
	}
	x.job.Elapsed, x.job.CallerTimeout = x.h.callerTimeouts.elapsed(x.route.Name, x.call.Budget, x.arrived)
	var regions []fleet.RegionID
	if customer != nil {
		x.customer, regions = customer.ID, customer.Regions
	}
	x.job.Customer = x.customer
	x.job.Regions, x.job.AnyRegion = catalog.AllowedRegions(x.route.Regions, regions)
	return true
}

// readBody reads the complete body, so that the request can be queued and retried. If it
// cannot, it refuses the request and returns false, or aborts the connection if the body is
// incomplete.
func (x *exchange) readBody() bool {
	body, err := x.h.bodies.read(x.r, x.h.maxBody())
	switch {
	case errors.Is(err, errBodyTooLarge):
		// Without this header, net/http would wait for a part of the body before it responds.
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case errors.Is(err, errMemoryFull):
		x.refuse(http.StatusServiceUnavailable, "memory_full", staleRetryAfter)
		return false
	case err != nil:
		x.result.Reason, x.result.EndedBy = reasonBodyIncomplete, endedByCaller
		panic(http.ErrAbortHandler)
	}
	x.body = body
	x.job.Fingerprint = x.fingerprint()
	return true
}

// maxBody returns the largest request body in bytes.
func (h *Handler) maxBody() int64 {
	if c := h.options.ConfigSource.Current(); c != nil && c.Limits.MaxBodyBytes > 0 {
		return c.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

// fingerprint returns a hash of the request's customer and content. It identifies a request
// that a caller repeats, since each repetition has a new id.
func (x *exchange) fingerprint() uint64 {
	var sum xxhash.Digest
	sum.Reset()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, string(x.customer)} {
		// Writes to a Digest never return an error.
		_, _ = sum.WriteString(part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(x.body.bytes)
	return sum.Sum64()
}

// refuse responds with a status and reason of this instance; retryAfter is the retry delay
// sent to the caller, 0 for none.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	header := x.w.Header()
	x.h.options.Codec.SetRefusalHeader(header, x.call, retryAfter)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.result.Status, x.result.Reason, x.result.OwnAnswer, x.result.RetryAfter = status, reason, true, retryAfter
	unread := x.answerBeforeBody()
	text := reason + "\n"
	header.Set("X-Content-Type-Options", "nosniff")
	// With a length the refusal is complete for its caller before the handler returns.
	header.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
	if unread {
		_ = http.NewResponseController(x.w).Flush()
	}
}
