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

// RefuseEarly decides on a connection by the first bytes that it has received. It refuses the request
// only if ServeHTTP would now refuse it because this instance's processor is late, and forwards
// nothing. The response is built in buffer, which may be the memory of received.
func (h *Handler) RefuseEarly(received, buffer []byte) (EarlyRefusal, earlyrefusal.Verdict) {
	if h.drain.started() {
		return EarlyRefusal{}, earlyrefusal.Leaving
	}
	head, verdict := earlyrefusal.Parse(received)
	if verdict != earlyrefusal.Refused {
		return EarlyRefusal{}, verdict
	}
	call, ok := h.options.Codec.DecodeFields(head.Fields)
	if !ok {
		return EarlyRefusal{}, earlyrefusal.Unusual
	}
	job, verdict := h.earlyJob(&head, &call)
	if verdict != earlyrefusal.Refused {
		return EarlyRefusal{}, verdict
	}
	refusal := h.options.Scheduler.RefuseEarly(&job)
	if refusal == nil {
		return EarlyRefusal{}, earlyrefusal.NotShed
	}
	response := append(buffer[:0], earlyHead...)
	response = append(h.options.Codec.AppendRefusal(response, call, refusal.RetryAfter), earlyTail...)
	in := &refusal.Inputs
	return EarlyRefusal{
		Response: response, UnreadBytes: head.UnreadBytes, Wait: job.Deadline.Sub(job.Arrived), Customer: job.Customer,
		Inputs: earlyrefusal.Inputs{
			Delay: in.ProcessorDelay, Used: in.Used, Nominal: in.Nominal, Reports: in.Reports, OldestReport: in.OldestReport,
			RetryAfter: refusal.RetryAfter,
		},
	}, earlyrefusal.Refused
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
