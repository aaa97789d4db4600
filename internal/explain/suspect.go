package explain

import (
	"fmt"
	"slices"
)

// suspectState are the fields of request lines that were refused for crashing targets, and
// of the lines on broken runs and on suspects.
type suspectState struct {
	SuspectPart  string   `json:"suspect_part"`
	SuspectTrait string   `json:"suspect_trait"`
	Crashes      int      `json:"suspect_crashes"`
	TrialInMS    int64    `json:"trial_in_ms"`
	Parts        []string `json:"parts"`
}

// suspectTexts describes for what a request was refused because it crashes targets.
func suspectTexts(l Line) []string {
	if l.SuspectTrait == "" {
		return nil
	}
	what := "the same request"
	if l.SuspectPart != "" {
		what = "requests with the prompt part " + l.SuspectPart
	}
	return []string{fmt.Sprintf("%d targets crashed under %s, which may run again in a trial after %d ms at the earliest (trait %s)",
		l.Crashes, what, l.TrialInMS, l.SuspectTrait)}
}

// suspect writes, for a request that was refused for a part of its prompt, the broken runs
// with that part and when instances began to refuse it. For a request whose own runs
// broke, it writes these.
func (w *writer) suspect(lines []Line, l Line) {
	w.section("broken runs of the request", filter(lines, func(other Line) bool {
		return other.Event == eventBrokenRun && other.ID == l.ID
	}))
	if l.SuspectPart != "" {
		w.section("broken runs of requests with the part "+l.SuspectPart, filter(lines, func(other Line) bool {
			return other.Event == eventBrokenRun && slices.Contains(other.Parts, l.SuspectPart)
		}))
	}
	if l.SuspectTrait != "" {
		w.section("decisions on the trait", filter(lines, func(other Line) bool {
			return other.Event != eventRequest && other.SuspectTrait == l.SuspectTrait
		}))
	}
}
