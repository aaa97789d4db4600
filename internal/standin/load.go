package standin

import (
	"hash/fnv"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// recordLoad adds the current load to the history; completed is the number of requests
// completed since the previous entry. e.mu must be held.
func (e *Engine) recordLoad(completed int64) {
	report := fleet.LoadReport{
		BootID:    e.bootID(),
		State:     e.state,
		Running:   len(e.active),
		Waiting:   len(e.queue),
		Completed: e.load.last().Completed + completed,
	}
	if e.leaving {
		report.State = fleet.TargetLeaving
	}
	e.load.add(report, e.opts.ReportLag)
}

// loadHistory holds the load reports of the last ReportLag.
type loadHistory struct{ samples []loadSample }

// loadSample is a load report and the time from which it applies.
type loadSample struct {
	since  time.Time
	report fleet.LoadReport
}

// last returns the newest report, or a zero report if there is none.
func (h *loadHistory) last() fleet.LoadReport {
	if len(h.samples) == 0 {
		return fleet.LoadReport{}
	}
	return h.samples[len(h.samples)-1].report
}

// add appends a report and drops those that are no longer needed at the given lag.
func (h *loadHistory) add(r fleet.LoadReport, lag time.Duration) {
	now := time.Now()
	h.samples = append(h.samples, loadSample{now, r})
	for len(h.samples) > 1 && !h.samples[1].since.After(now.Add(-lag)) {
		h.samples = h.samples[1:]
	}
}

// at returns the load as it was lag ago, or at boot if that is later. The history must
// not be empty.
func (h *loadHistory) at(lag time.Duration) fleet.LoadReport {
	then := time.Now().Add(-lag)
	i := len(h.samples) - 1
	for i > 0 && h.samples[i].since.After(then) {
		i--
	}
	r := h.samples[i].report
	r.AgeMillis = min(lag, time.Since(h.samples[0].since)).Milliseconds()
	return r
}

// Output returns the output that every engine generates for a prompt, with the given
// number of tokens. A longer output begins with the shorter one.
func Output(prompt string, tokens int64) []byte {
	h := fnv.New64a()
	h.Write([]byte(prompt))
	state := h.Sum64() | 1
	output := make([]byte, tokens*bytesPerToken)
	for i := range output {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		output[i] = byte(state >> 32)
	}
	return output
}
