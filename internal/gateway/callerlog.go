package gateway

// maxUnansweredLines limits the lines on connections that are closed at shutdown.
const maxUnansweredLines = 64

// noteUnanswered counts and logs a connection on which a request was read although it is
// being closed.
func (g *Gateway) noteUnanswered(c unansweredConn) {
	g.metrics.addUnanswered(c.closer, 1)
	g.logUnanswered(c, "")
}

// logUnanswered logs a connection that is closed while a request on it is unanswered. id
// is the request's, empty if no handler has it: it has not begun or has just ended.
func (g *Gateway) logUnanswered(c unansweredConn, id string) {
	g.options.Log.Warn().Str("event", "closed_unanswered").Str("by", string(c.closer)).Str("caller", c.caller).
		Str("id", id).Int64("since_ms", c.since.Milliseconds()).
		Int64("idle_ms", c.idle.Milliseconds()).Int64("idle_limit_ms", c.idleTimeout.Milliseconds()).Msg("")
}

// logClosedIdle counts and logs the connections without a request that were closed since the last
// call, if any.
func (g *Gateway) logClosedIdle() {
	closed := g.callers.takeClosedIdle()
	if len(closed) == 0 {
		return
	}
	line := g.options.Log.Info().Str("event", "closed_idle")
	for _, why := range []idleReason{idleTooLong, idleSurplus, idleAtStop} {
		line = line.Int(string(why), closed[why])
		g.metrics.closedIdle.Add(string(why), int64(closed[why]))
	}
	line.Int64("limit_ms", g.callerIdleTimeout().Milliseconds()).Uint64("version", g.configVersion()).
		Int("conns_open", g.callers.counts().open).Msg("")
}
