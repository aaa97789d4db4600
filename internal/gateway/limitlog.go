package gateway

import "medlarwind.dev/medlarwind/internal/scheduler"

// logLimits logs the limits that targets name, as they change.
func (g *Gateway) logLimits(changes []scheduler.LimitChange) {
	for _, c := range changes {
		g.options.Log.Info().Str("event", "target_limit").Str("target", string(c.Target)).Int64("target_start", c.StartMillis).
			Bool("named", c.Named).Float64("per_second", c.PerSecond).Float64("before", c.Before).
			Int("own_starts", c.OwnStarts).Msg("")
	}
}
