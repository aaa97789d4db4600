package gateway

import "medlarwind.dev/medlarwind/internal/scheduler"

// logIsolation logs which engines are now set aside for long prefills.
func (g *Gateway) logIsolation(changes []scheduler.IsolationChange) {
	for _, c := range changes {
		g.options.Log.Info().Str("event", "prefill_isolation").Str("service", string(c.Service)).
			Int("set_aside", c.Targets).Int("usable", c.Usable).Float64("long_share", c.Share).Msg("")
	}
}
