package explain

import (
	"cmp"
	"fmt"
)

// silence holds the fields of a request line on the last target that sent nothing for too
// long and on its replacement. All are zero if no replacement was sought.
type silence struct {
	SilentTarget      string `json:"silent_target"`
	SilentFromMS      int64  `json:"silent_from_ms"`
	SilentAskedMS     int64  `json:"silent_asked_ms"`
	Replacement       string `json:"replacement"`
	ReplacementResult string `json:"replacement_result"`
	ReplacementMS     int64  `json:"replacement_ms"`
}

// noRetryTexts describes why no other target got a request without a complete answer.
var noRetryTexts = map[string]string{
	"targets_used":  "the request might run on no further target",
	"sends_used":    "it had reached as many targets as an instance tries",
	"request_ended": "the caller had left or the time was up",
}

// replacementTexts describes what became of the second run that was begun beside a silent one.
var replacementTexts = map[string]string{
	"not_placed":  "no other target could take it, and the run went on",
	"unreachable": "it could not be reached, and the run went on",
	"left":        "it had to leave before the request was sent, and the run went on",
	"refused":     "it did not run the request, and the run went on",
	"broken":      "its run broke off, and the silent one went on",
	"unsound":     "its response failed validation, and the run went on",
	"failed":      "it answered with an error, and the run went on",
	"unneeded":    "the silent run delivered or the request ended before it had delivered",
	"took_over":   "it delivered first, and the silent run was ended for it",
	"followed":    "the silent run ended by itself, and the request went on there",
}

// silenceTexts describes a silent target, its replacement and why no attempt followed the last
// one.
func silenceTexts(l Line) []string {
	var texts []string
	if l.SilentTarget != "" {
		text := fmt.Sprintf("%s sent nothing from %d ms on; at %d ms another target was sought", l.SilentTarget, l.SilentFromMS, l.SilentAskedMS)
		if l.Replacement != "" {
			text += ", " + l.Replacement
		}
		text += ": " + cmp.Or(replacementTexts[l.ReplacementResult], l.ReplacementResult)
		if l.ReplacementMS > 0 {
			text += fmt.Sprintf(" (%d ms later)", l.ReplacementMS)
		}
		texts = append(texts, text)
	}
	if l.NoRetry != "" {
		texts = append(texts, "no other target got it: "+cmp.Or(noRetryTexts[l.NoRetry], l.NoRetry))
	}
	return texts
}
