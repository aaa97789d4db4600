package ingress

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/where"
)

// Where returns where a request would go now, and why. Nothing is sent, counted or recorded. The error is a
// *where.FieldError. The request's body and its connection take no part: neither limits on them nor a hand-over to
// another instance are considered, nor that a request crashes targets as a whole.
func (h *Handler) Where(q where.Question) (where.Answer, error) {
	if err := q.Check(); err != nil {
		return where.Answer{}, err
	}
	source := h.options.ConfigSource
	c := source.Current()
	if c == nil {
		return refusedAnswer(http.StatusServiceUnavailable, "no_configuration", noConfigRetryAfter), nil
	}
	a, err := h.whereBy(c, &q)
	a.ConfigVersion = c.Version
	return a, err
}

// whereBy answers by a configuration, in the order in which requests are examined.
func (h *Handler) whereBy(c *catalog.Catalog, q *where.Question) (where.Answer, error) {
	confirmed := h.options.ConfigSource.Confirmed()
	path, _, _ := strings.Cut(q.Path, "?")
	route, ok := c.Route(q.Host, path)
	if !ok {
		return refusedUnknown(confirmed, http.StatusNotFound, "no_route"), nil
	}
	now := h.options.Now()
	call := Call{ID: q.ID, Budget: millis(q.BudgetMillis)}
	deadline := now.Add(timeoutOf(route, &call))
	refuse := func(reason string, retryAfter time.Duration) (where.Answer, error) {
		a := refusedAnswer(http.StatusServiceUnavailable, reason, retryAfter)
		a.Route = route.Name
		return a, nil
	}
	if h.drain.refuses(route.Kind == catalog.Stream, deadline, now) {
		return refuse(string(scheduler.ReasonLeaving), drainRetryAfter)
	}
	customer, known := c.CustomerNamed(q.Customer)
	switch {
	case q.Customer != "" && !known:
		return where.Answer{}, &where.FieldError{Field: "customer", Problem: fmt.Sprintf("%q is not in the configuration", q.Customer)}
	case route.Anonymous:
		// The key of a request on such a route is not looked at.
		customer = nil
	case known && len(customer.Keys) > 0 && !confirmed:
		return refuse("keys_unconfirmed", staleRetryAfter)
	case known && len(customer.Keys) == 0, !known && (c.RequiresKey() || h.options.ConfigSource.KeysRequired()):
		a := refusedUnknown(confirmed, http.StatusUnauthorized, "unknown_key")
		a.Route = route.Name
		return a, nil
	}
	job, ok := h.askedJob(c, route, customer, q)
	if !ok {
		return refuse("no_service", noConfigRetryAfter)
	}
	job.Arrived, job.Deadline = now, deadline
	return h.options.Scheduler.Where(job), nil
}

// askedJob returns the job of a question but for its times, false if its route has no service.
func (h *Handler) askedJob(c *catalog.Catalog, route *catalog.Route, customer *catalog.Customer, q *where.Question) (*scheduler.Job, bool) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(q.ID))
	name, ok := route.Service(hash.Sum64())
	if !ok {
		return nil, false
	}
	service, ok := c.Service(name)
	if !ok {
		return nil, false
	}
	job := &scheduler.Job{ID: q.ID, Route: route, Service: service, Prompt: q.PromptTokens, Output: q.OutputTokens}
	for _, p := range q.Parts {
		job.Parts = append(job.Parts, scheduler.Part{ID: p.ID, Tokens: p.Tokens})
	}
	job.Elapsed, job.CallerTimeout = h.callerTimeouts.peek(route.Name, millis(q.BudgetMillis), h.options.Now())
	if q.ElapsedMillis > 0 {
		job.Elapsed = millis(q.ElapsedMillis)
	}
	var regions []fleet.RegionID
	if customer != nil {
		job.Customer, regions = customer.ID, customer.Regions
	}
	job.Regions, job.AnyRegion = catalog.AllowedRegions(route.Regions, regions)
	return job, true
}

// refusedUnknown is the answer for a request without a known route or key. While the configuration may be out of date, a
// request is refused for that reason.
func refusedUnknown(confirmed bool, status int, reason string) where.Answer {
	if !confirmed {
		return refusedAnswer(http.StatusServiceUnavailable, "configuration_unconfirmed", staleRetryAfter)
	}
	return refusedAnswer(status, reason, 0)
}

func refusedAnswer(status int, reason string, retryAfter time.Duration) where.Answer {
	return where.Answer{
		Outcome: where.Refused, Refusal: &where.Refusal{Status: status, Reason: reason, RetryAfter: where.MillisOf(retryAfter)},
		Candidates: []where.Candidate{}, LeftOut: []where.LeftOut{},
	}
}

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
