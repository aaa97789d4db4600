package ingress

import (
	"hash/fnv"
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/earlyrefusal"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// EarlyRefusal is the refusal of a request of which nothing was parsed but the fields that it needs.
type EarlyRefusal struct {
	// Response is the whole response, which closes its connection.
	Response []byte
	// UnreadBytes is the part of the body that has not arrived, Wait how long the caller still waits.
	UnreadBytes int64
	Wait        time.Duration
	Customer    fleet.CustomerID
	Inputs      earlyrefusal.Inputs
}

// earlyHead and earlyTail enclose the headers of the codec in an early refusal. The body is that of
// the same refusal by ServeHTTP.
var (
	earlyHead = "HTTP/1.1 503 Service Unavailable\r\n"
	earlyBody = string(scheduler.ReasonInstanceBusy) + "\n"
	earlyTail = "Connection: close\r\nContent-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\nContent-Length: " +
		strconv.Itoa(len(earlyBody)) + "\r\n\r\n" + earlyBody
)

// EarlyRequest is a generation of a known customer of which only the fields that a refusal needs were read.
type EarlyRequest struct {
	call Call
	job  scheduler.Job
	// UnreadBytes is the part of the body that has not arrived.
	UnreadBytes int64
}

// Wait returns how long the caller waited for an answer when the head was read.
func (r *EarlyRequest) Wait() time.Duration { return r.job.Deadline.Sub(r.job.Arrived) }

// ReadEarly reads the request at the start of what a connection has received. The verdict is
// earlyrefusal.NotShed if the processor may be a reason to refuse it, else why net/http must get the connection.
func (h *Handler) ReadEarly(received []byte) (*EarlyRequest, earlyrefusal.Verdict) {
	if h.drain.started() {
		return nil, earlyrefusal.Leaving
	}
	head, verdict := earlyrefusal.Parse(received)
	if verdict != earlyrefusal.Refused {
		return nil, verdict
	}
	call, ok := h.options.Codec.DecodeFields(head.Fields)
	if !ok {
		return nil, earlyrefusal.Unusual
	}
	r := &EarlyRequest{call: call, UnreadBytes: head.UnreadBytes}
	if r.job, verdict = h.earlyJob(&head, &r.call); verdict != earlyrefusal.Refused {
		return nil, verdict
	}
	return r, earlyrefusal.NotShed
}

// WouldShed reports whether ServeHTTP would now refuse a request because the processor is late.
func (h *Handler) WouldShed(r *EarlyRequest) bool { return h.options.Scheduler.WouldShed(&r.job) }

// RefuseEarly refuses a request if ServeHTTP would now refuse it because this instance's processor is
// late, and forwards nothing. The response is built in buffer, which may be what the request was read from.
func (h *Handler) RefuseEarly(r *EarlyRequest, buffer []byte) (EarlyRefusal, bool) {
	refusal := h.options.Scheduler.RefuseEarly(&r.job)
	if refusal == nil {
		return EarlyRefusal{}, false
	}
	response := append(buffer[:0], earlyHead...)
	response = append(h.options.Codec.AppendRefusal(response, r.call, refusal.RetryAfter), earlyTail...)
	in := &refusal.Inputs
	return EarlyRefusal{
		Response: response, UnreadBytes: r.UnreadBytes, Wait: r.Wait(), Customer: r.job.Customer,
		Inputs: earlyrefusal.Inputs{
			Delay: in.ProcessorDelay, Used: in.Used, Nominal: in.Nominal, Reports: in.Reports, OldestReport: in.OldestReport,
			RetryAfter: refusal.RetryAfter,
		},
	}, true
}

// earlyJob returns the job that ServeHTTP would create for a generation of a known customer, without
// what only placement needs. Otherwise the verdict says why net/http gets the request.
func (h *Handler) earlyJob(head *earlyrefusal.Head, call *Call) (scheduler.Job, earlyrefusal.Verdict) {
	source := h.options.ConfigSource
	c := source.Current()
	if c == nil {
		return scheduler.Job{}, earlyrefusal.UnknownRoute
	}
	route, ok := c.Route(head.Host, head.Path)
	if !ok {
		return scheduler.Job{}, earlyrefusal.UnknownRoute
	}
	var customer *catalog.Customer
	if !route.Anonymous {
		customer, ok = c.Customer(call.Key)
	}
	switch {
	case customer == nil || !ok:
		return scheduler.Job{}, earlyrefusal.UnknownKey
	case !source.Confirmed():
		return scheduler.Job{}, earlyrefusal.Unconfirmed
	case head.BodyBytes > h.maxBody():
		return scheduler.Job{}, earlyrefusal.TooLarge
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(call.ID))
	name, ok := route.Service(hash.Sum64())
	service, known := c.Service(name)
	if !ok || !known || service.Engine == nil {
		return scheduler.Job{}, earlyrefusal.PlainService
	}
	now := h.options.Now()
	job := scheduler.Job{
		ID: call.ID, Route: route, Service: service, Customer: customer.ID, Prompt: call.Prompt, Output: call.expectedOutput(),
		Arrived: now, Deadline: now.Add(timeoutOf(route, call)),
	}
	job.Elapsed, job.CallerTimeout = h.callerTimeouts.elapsed(route.Name, call.Budget, now)
	return job, earlyrefusal.Refused
}
