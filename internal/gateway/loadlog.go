package gateway

import "github.com/rs/zerolog"

// logLoads logs what is known of the load of targets, if any of them reports it.
func (g *Gateway) logLoads() {
	state := g.scheduler.LoadState()
	if state.Targets == 0 {
		return
	}
	services := zerolog.Dict()
	for id, millis := range state.ServiceMillis {
		services = services.Float64(string(id), millis)
	}
	g.options.Log.Info().Str("event", "load_reports").Int("targets", state.Targets).Int("paced", state.Paced).
		Int64("median_age_ms", state.MedianAgeMillis).Int("slow", state.Slow).Int("waiting", state.Waiting).
		Int64("received", state.Received).Int64("odd", state.Odd).Int64("missing", state.Missing).
		Int64("from_peers", state.FromPeers).Int64("old_from_peers", state.OldFromPeers).
		Int64("odd_from_peers", state.OddFromPeers).Int64("to_peers", state.ToPeers).
		Dict("service_ms", services).Msg("")
}
