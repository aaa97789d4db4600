package gateway

import (
	"cmp"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/exchange"
)

// logShares updates the metrics of the shares, and logs the customers with the largest
// demand if there is any.
func (g *Gateway) logShares() {
	r, ok := g.scheduler.ShareReport()
	g.metrics.recordShares(r)
	if !ok {
		return
	}
	line := g.options.Log.Info().Str("event", "shares")
	if r.Limited {
		line = line.Int64("nominal", int64(r.Nominal)).Int64("effective", int64(r.Effective))
		if r.Lead > 0 {
			line = line.Int64("lead", int64(r.Lead))
		}
	}
	largest := zerolog.Arr()
	for _, c := range r.Largest {
		largest = largest.Dict(zerolog.Dict().Str("customer", string(c.Customer)).
			Int64("demand", int64(c.Demand)).Int64("used", int64(c.Used)).
			Int64("own_requested", int64(c.Own.Requested)).Int64("own_started", int64(c.Own.Started)))
	}
	line.Int64("window_ms", r.Window.Milliseconds()).Int64("throughput", int64(r.Throughput)).
		Int("instances", r.Instances).Int("reports", r.Reports).Int64("reports_age_ms", r.OldestReport.Milliseconds()).
		Int64("starts", r.Starts).Int64("misplaced_starts", r.MisplacedStarts).Int64("load_age_ms", r.LoadAge.Milliseconds()).
		Int("queued", r.Queued).Int("customers", r.Customers).Array("largest", largest).Msg("")
}

// logExchangeChanges logs what changed in the use of peers' reports.
func (g *Gateway) logExchangeChanges(changes exchange.Changes) {
	log := &g.options.Log
	for _, c := range changes.Relays {
		log.Info().Str("event", "relay_report").Str("data_centre", string(c.DataCentre)).
			Str("from", string(c.From)).Str("to", string(c.To)).Int64("age_ms", c.Age.Milliseconds()).Msg("")
	}
	for _, b := range changes.Baselines {
		log.Info().Str("event", "usage_baseline").Str("peer", string(b.Peer)).Str("scope", cmp.Or(string(b.Scope), "own")).
			Str("cause", string(b.Cause)).Int64("since_ms", b.Since.Milliseconds()).Int("customers", b.Customers).
			Int64("requested", int64(b.Total.Requested)).Int64("started", int64(b.Total.Started)).Msg("")
	}
	if changes.Dropped > 0 {
		log.Warn().Str("event", "exchange_changes_dropped").Int("dropped", changes.Dropped).Msg("")
	}
}
