package gateway

import "medlarwind.dev/medlarwind/internal/quarantine"

// logEvidence logs which requests are refused from now on because they crash targets, and
// which no longer.
func (g *Gateway) logEvidence(changes []quarantine.Change) {
	for _, c := range changes {
		event := "suspect_allowed"
		if c.Refused {
			event = "suspect_refused"
		}
		g.options.Log.Info().Str("event", event).Str("suspect_trait", quarantine.FormatTrait(c.Trait)).Bool("whole_request", c.Whole).
			Int("crashes", c.Crashes).Int("requests", c.Requests).Int("customers", c.Customers).Int("trials", c.Trials).Msg("")
	}
}
