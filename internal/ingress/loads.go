package ingress

import (
	"net/http"

	"medlarwind.dev/medlarwind/internal/scheduler"
)

// observeLoad records what the target says of its load. A response from another target says nothing. Only the
// first call for a placement has an effect.
func (x *exchange) observeLoad(p *scheduler.Placement, status int, info ResponseInfo) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	o := scheduler.LoadObservation{
		Report: info.Load, Odd: info.LoadText != "", Ran: !info.NotRun && info.Signed && status < http.StatusMultipleChoices,
	}
	if p.ObserveLoad(o) {
		x.h.options.Log.Warn().Str("event", "target_load_invalid").Str("id", x.call.ID).Str("target", string(p.Target.ID)).
			Int64("target_start", p.Target.StartMillis).Bool("missing", !o.Odd).
			Str("value", info.LoadText[:min(len(info.LoadText), maxOddText)]).Msg("")
	}
}
