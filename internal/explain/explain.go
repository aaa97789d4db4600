// Package explain joins the log lines of several instances into the story of one
// request. It is pure: lines in, text out.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Spans in which other lines belong to a story.
const (
	// triesWithin is the time between a caller's tries.
	triesWithin = 20 * time.Second
	// aroundTarget and aroundInstance are the times around the request in which its
	// target's failures and its instance's events are told.
	aroundTarget   = time.Second
	aroundInstance = 3 * time.Second
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
	// maxContext bounds the lines of each kind that are told.
	maxContext = 12
)

// Line is one log line; fields that a line lacks are zero.
type Line struct {
	Time         time.Time `json:"time"`
	Instance     string    `json:"instance"`
	Event        string    `json:"event"`
	ID           string    `json:"id"`
	Status       int       `json:"status"`
	OwnAnswer    bool      `json:"own"`
	Reason       string    `json:"reason"`
	Cause        string    `json:"cause"`
	Route        string    `json:"route"`
	Customer     string    `json:"customer"`
	Target       string    `json:"target"`
	Version      uint64    `json:"version"`
	BudgetMS     int64     `json:"budget_ms"`
	PromptTokens int       `json:"prompt"`
	OutputTokens int       `json:"output"`
	CachedTokens int       `json:"cached"`
	Rank         int       `json:"rank"`
	WaitedMS     int64     `json:"waited_ms"`
	ExpectedMS   int64     `json:"expected_ms"`
	FirstByteMS  int64     `json:"first_ms"`
	TotalMS      int64     `json:"total_ms"`
	Sends        int       `json:"sends"`
	Runs         int       `json:"runs"`
	Events       int       `json:"events"`
	Error        string    `json:"error"`

	raw string
}

// eventRequest is the event of a finished request.
const eventRequest = "request"

// Read collects the lines of one log. Text around a line's JSON object and lines that
// are none are passed over; it returns how many were.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 64<<10), maxLineBytes)
	for in.Scan() {
		text := in.Bytes()
		start := bytes.IndexByte(text, '{')
		var l Line
		if start < 0 || json.Unmarshal(text[start:], &l) != nil {
			skipped++
			continue
		}
		l.raw = string(text[start:])
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(in.Err(), "read log")
}

// Explain writes the story of the request with an id; the error says that no line
// names it.
func Explain(out io.Writer, lines []Line, id string) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Event == eventRequest && l.ID == id })
	if i < 0 {
		return errors.Errorf("no line of a request names %q", id)
	}
	l := lines[i]
	w := &writer{out: out}
	w.line("request %s at %s, ended %s after %d ms", id, l.Instance, l.Time.Format(time.RFC3339), l.TotalMS)
	w.line("  route %s, customer %s, configuration %d", orNone(l.Route), orNone(l.Customer), l.Version)
	w.line("  prompt %d tokens, expected output %d, the caller waited %d ms more", l.PromptTokens, l.OutputTokens, l.BudgetMS)
	w.line("  %s", result(l))
	w.line("  %s", meaning(l))
	if l.Target != "" {
		w.line("  target %s: waited %d ms here, %d ms expected there; %d tokens believed kept, rank %d of the prompt's home",
			l.Target, l.WaitedMS, l.ExpectedMS, l.CachedTokens, l.Rank)
	}
	w.section("other tries of the same caller, by customer, route and sizes", otherTries(lines, l))
	w.section("other failures at the target", targetFailures(lines, l))
	w.section("events at the instance", instanceEvents(lines, l))
	return w.err
}

// writer keeps the first error.
type writer struct {
	out io.Writer
	err error
}

func (w *writer) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

func (w *writer) section(title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	w.line("%s:", title)
	for _, l := range lines[:min(len(lines), maxContext)] {
		w.line("  %s %s", l.Instance, l.raw)
	}
	if more := len(lines) - maxContext; more > 0 {
		w.line("  and %d more", more)
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// result tells what the caller got.
func result(l Line) string {
	var b strings.Builder
	switch {
	case l.Status == 0:
		b.WriteString("the caller's connection was closed without an answer")
	case l.OwnAnswer:
		fmt.Fprintf(&b, "answered %d by the instance", l.Status)
	default:
		fmt.Fprintf(&b, "answered %d by the target, first byte after %d ms, %d events", l.Status, l.FirstByteMS, l.Events)
	}
	if l.Reason != "" {
		fmt.Fprintf(&b, "; %s", l.Reason)
	}
	if l.Cause != "" {
		fmt.Fprintf(&b, " (%s)", l.Cause)
	}
	return b.String()
}

// meanings explain the reasons that instances log.
var meanings = map[string]string{
	"over_share":                "the customer had used its share, and no target had time to spare",
	"busy":                      "all targets' work was longer than the route's objective",
	"queue_full":                "the instance's queue was full",
	"no_target":                 "no target of the service could be used",
	"keys_unconfirmed":          "the configuration was too old to trust keys",
	"configuration_unconfirmed": "the configuration was too old to say that the route or key is unknown",
	"no_configuration":          "the instance knew no configuration yet",
	"leaving":                   "the instance was stopping",
	"too_large":                 "no engine can hold the prompt and its output",
	"crashes_targets":           "the same request had broken off at several targets",
	"retry_budget":              "the budget of second sends was used up",
	"target_refused":            "the target said that it did not run the request",
	"target_unreachable":        "no connection to the target came up",
	"target_broken":             "the target's connection broke before its answer",
	"answer_broken":             "the target's answer broke off",
	"answer_unsound":            "the target's answer could not be passed on as its own",
	"time_up":                   "the caller's time or the route's was over",
	"caller_gone":               "the caller had left",
	"unknown_key":               "no customer holds the key",
	"no_route":                  "no route matches host and path",
}

// meaning tells whether the request ran and why it failed.
func meaning(l Line) string {
	ran := "it has not run"
	switch {
	case l.Runs > 0:
		ran = fmt.Sprintf("it may have run on %d targets without a whole answer", l.Runs)
	case l.Status > 0 && !l.OwnAnswer:
		ran = "it ran"
	}
	if text, ok := meanings[l.Reason]; ok {
		return ran + ": " + text
	}
	return ran
}

func within(a, b Line, d time.Duration) bool { return a.Time.Sub(b.Time).Abs() <= d }

// otherTries are requests that look like the same caller's: another id, but the same
// customer, route and sizes.
func otherTries(lines []Line, l Line) []Line {
	return filter(lines, func(o Line) bool {
		return o.Event == eventRequest && o.ID != l.ID && o.Route == l.Route && o.Customer == l.Customer &&
			o.PromptTokens == l.PromptTokens && o.OutputTokens == l.OutputTokens && l.PromptTokens > 0 && within(o, l, triesWithin)
	})
}

func targetFailures(lines []Line, l Line) []Line {
	return filter(lines, func(o Line) bool {
		return l.Target != "" && o.Event == eventRequest && o.ID != l.ID && o.Target == l.Target &&
			(o.Runs > 0 || o.Reason != "") && within(o, l, aroundTarget)
	})
}

func instanceEvents(lines []Line, l Line) []Line {
	return filter(lines, func(o Line) bool {
		return o.Instance == l.Instance && o.Event != "" && o.Event != eventRequest && within(o, l, aroundInstance)
	})
}

func filter(lines []Line, keep func(Line) bool) []Line {
	var kept []Line
	for _, l := range lines {
		if keep(l) {
			kept = append(kept, l)
		}
	}
	return kept
}
