package ingress

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// Ender is who or what ended a request that was read and got neither a complete answer nor a
// refusal that says that it has not run.
type Ender string

// Who ends such a request.
const (
	// endedByTarget: the target closed the connection, or what it sent cannot be passed on.
	endedByTarget Ender = "target"
	// endedByNetwork: the kernel closed the connection to the target, which acknowledged nothing
	// for too long.
	endedByNetwork Ender = "network"
	// endedByMemory: the memory for answers was used up, and this answer held the most.
	endedByMemory Ender = "memory"
	// endedByCaller: the caller left, or sent only a part of the request.
	endedByCaller Ender = "caller"
	// endedByCallerTimeout and endedByRouteTimeout: the time that the caller or the route allows
	// was up.
	endedByCallerTimeout Ender = "caller_timeout"
	endedByRouteTimeout  Ender = "route_timeout"
	// endedByStop: this instance stopped.
	endedByStop Ender = "stop"
)

// enderOf returns who ended a request whose last attempt failed with x.failure.
func (x *exchange) enderOf(ctx context.Context) Ender {
	cause := context.Cause(ctx)
	switch {
	case x.r.Context().Err() != nil, errors.Is(x.failure, errCallerGone):
		return endedByCaller
	case errors.Is(cause, errStopping):
		return endedByStop
	case errors.Is(cause, errRequestTimeout) && x.call.Budget > 0 && x.call.Budget <= x.timeout():
		return endedByCallerTimeout
	case errors.Is(cause, errRequestTimeout):
		return endedByRouteTimeout
	case errors.Is(x.failure, errAnswerMemory):
		return endedByMemory
	case errors.Is(x.failure, syscall.ETIMEDOUT), errors.Is(x.failure, syscall.EHOSTUNREACH), errors.Is(x.failure, syscall.ENETUNREACH):
		// The kernel gives the last error of the way to the target in place of a timeout.
		return endedByNetwork
	}
	return endedByTarget
}
