package gateway

import "medlarwind.dev/medlarwind/internal/scheduler"

// logOddTimes logs times to first events that no engine can have needed.
func (g *Gateway) logOddTimes(odd []scheduler.OddTime) {
	for _, o := range odd {
		g.options.Log.Warn().Str("event", "engine_time_odd").Str("target", string(o.Target)).Int64("took_ms", o.Took.Milliseconds()).Msg("")
	}
}
