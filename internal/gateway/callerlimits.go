package gateway

import "time"

// callerIdleTimeout returns the idle timeout of callers' connections.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if c := g.catalog.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return idleTimeout
}

// callerHeadTimeout returns the configured time for the head of a request, 0 if there is none.
func (g *Gateway) callerHeadTimeout() time.Duration {
	if c := g.catalog.Load(); c != nil {
		return c.Limits.HeaderTimeout
	}
	return 0
}
