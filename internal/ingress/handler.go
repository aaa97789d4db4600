// Package ingress takes callers' plain HTTP requests, has them placed by the
// scheduler, sends them to targets and relays the answers.
//
// Each request runs in the goroutine of its connection. What callers and targets
// write in their headers is translated by a Codec; the package knows no header of
// theirs.
//
// What may be sent again follows from the route's kind alone. A request whose fate is
// unknown is answered 502 or 504, or its connection is closed; 503 says that it has
// not run.
package ingress

import (
	"context"
	"hash/fnv"
	"net/http"
	"strings"
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

// Constants of the handler.
const (
	// defaultTimeout bounds requests whose caller and route state no time.
	defaultTimeout = 30 * time.Second
	// noConfigRetryAfter is the advised pause while this instance knows no configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is the advised pause while keys cannot be checked.
	staleRetryAfter = 500 * time.Millisecond
	// defaultMaxBody bounds bodies where the configuration does not, in bytes.
	defaultMaxBody = 4 << 20
)

// ConfigSource is the configuration in force.
type ConfigSource interface {
	// Current returns the configuration, nil if none is known.
	Current() *catalog.Catalog
	// Confirmed reports whether the configuration is known to be so recent that its
	// keys may be trusted.
	Confirmed() bool
}

// Options are what a Handler needs.
type Options struct {
	Codec        Codec
	ConfigSource ConfigSource
	Scheduler    *scheduler.Scheduler
	Upstream     *upstream.Client
	Now          clock.Source
	Log          zerolog.Logger
	// BodyMemory bounds the bytes of all bodies held.
	BodyMemory int64
	// TooManyConns reports whether callers hold so many connections that each answer should
	// close its own; nil means never.
	TooManyConns func() bool
	// Observe is told of each finished request.
	Observe func(Report)
}

// Handler serves callers.
type Handler struct {
	options Options
	bodies  bodyMemory
	drain   drainState
	// callerTimeouts tells first tries from later ones.
	callerTimeouts callerTimeouts
}

// New returns a handler.
func New(o Options) *Handler {
	return &Handler{options: o, bodies: bodyMemory{limit: o.BodyMemory}}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.drain.active.Add(1)
	defer h.drain.active.Add(-1)
	x := &exchange{h: h, w: w, r: r, arrived: h.options.Now()}
	defer x.report()
	if h.drain.started() || h.options.TooManyConns != nil && h.options.TooManyConns() {
		w.Header().Set("Connection", "close")
	}
	if !x.identify() || !x.readBody() {
		return
	}
	defer x.body.release()
	ctx, cancel := context.WithTimeoutCause(r.Context(), x.job.Deadline.Sub(h.options.Now()), errRequestTimeout)
	defer cancel()
	h.options.Scheduler.Arrive(x.job)
	x.serve(ctx)
}

// errRequestTimeout ends a request at its deadline or its route's timeout.
var errRequestTimeout = errors.New("the request's time is up")

// exchange is one caller's request on its way.
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

	// sends counts what reached targets, runs what may have run there.
	sends, runs int
	// headerWritten says that the answer's head was written to the caller.
	headerWritten bool
	// lastEvent is the id of the last event written.
	lastEvent string
	// cancelFirstByteTimer ends the limit on the present attempt's first byte, nil if there is
	// none.
	cancelFirstByteTimer func() bool
	result               Report
}

// identify decodes the request and finds its route, customer and service. It answers
// the request and returns false if one is missing.
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
	if x.h.drain.refuses(route.Kind == catalog.Stream, o.Now()) {
		x.refuse(http.StatusServiceUnavailable, string(scheduler.ReasonLeaving), drainRetryAfter)
		return false
	}
	var customer *catalog.Customer
	if c.HasCustomers() && !route.Anonymous {
		if customer, ok = c.Customer(call.Key); !ok {
			return x.refuseUnknown(http.StatusUnauthorized, "unknown_key")
		}
		if !o.ConfigSource.Confirmed() {
			x.refuse(http.StatusServiceUnavailable, "keys_unconfirmed", staleRetryAfter)
			return false
		}
	}
	return x.buildJob(c, customer)
}

// refuseUnknown refuses a request that the configuration does not know; while the
// configuration may be out of date it says so instead.
func (x *exchange) refuseUnknown(status int, reason string) bool {
	if !x.h.options.ConfigSource.Confirmed() {
		x.refuse(http.StatusServiceUnavailable, "configuration_unconfirmed", staleRetryAfter)
		return false
	}
	x.refuse(status, reason, 0)
	return false
}

// buildJob picks the service and describes the job.
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
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.call.Budget > 0 {
		timeout = min(timeout, x.call.Budget)
	}
	x.job = &scheduler.Job{
		ID: x.call.ID, Route: x.route, Service: x.service,
		Prompt: x.call.Prompt, Output: x.call.expectedOutput(), Parts: x.call.Parts,
		Arrived: x.arrived, Deadline: x.arrived.Add(timeout),
	}
	x.job.Elapsed, x.job.Patience = x.h.callerTimeouts.elapsed(x.route.Name, x.call.Budget, x.arrived)
	var regions []fleet.RegionID
	if customer != nil {
		x.customer, regions = customer.ID, customer.Regions
	}
	x.job.Customer = x.customer
	x.job.Regions, x.job.AnyRegion = catalog.AllowedRegions(x.route.Regions, regions)
	return true
}

// readBody reads the whole body, so that it can wait and be sent again.
func (x *exchange) readBody() bool {
	limit := x.h.options.ConfigSource.Current().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := x.h.bodies.read(x.r, limit)
	switch {
	case errors.Is(err, errBodyTooLarge):
		// Without this net/http would first wait for a part of the body.
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case errors.Is(err, errMemoryFull):
		x.refuse(http.StatusServiceUnavailable, "memory_full", staleRetryAfter)
		return false
	case err != nil:
		x.result.Reason = "body_incomplete"
		panic(http.ErrAbortHandler)
	}
	x.body = body
	x.job.Fingerprint = x.fingerprint()
	return true
}

// fingerprint identifies a request by its customer and content: a caller that sends it
// again uses another id.
func (x *exchange) fingerprint() uint64 {
	var sum xxhash.Digest
	sum.Reset()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, string(x.customer)} {
		// A Digest's writes do not fail.
		_, _ = sum.WriteString(part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(x.body.bytes)
	return sum.Sum64()
}

// refuse answers with a status of this instance's own.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	header := x.w.Header()
	x.h.options.Codec.SetRefusalHeader(header, x.call, retryAfter)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.result.Status, x.result.Reason, x.result.OwnAnswer, x.result.RetryAfter = status, reason, true, retryAfter
	http.Error(x.w, reason, status)
}
