// Package feature names the parts of an instance that an operator can switch off.
package feature

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Name identifies a part that can be switched off.
type Name string

// The parts, with the names that operators use.
const (
	// EarlyRefusals refuses connections before their requests are parsed, while the processor is late.
	EarlyRefusals Name = "early-refusals"
	// HandOver passes connections on to peers of the data centre, while the processor is late.
	HandOver Name = "hand-over"
	// LoadReports uses what targets say of their load.
	LoadReports Name = "load-reports"
	// PrefixFetch lets targets fetch the prompt parts that others keep.
	PrefixFetch Name = "prefix-fetch"
	// EvenLoad chooses targets so that many instances with old figures load them evenly.
	EvenLoad Name = "even-load"
	// PrefillIsolation keeps long prefills apart from the streams that they would hold up.
	PrefillIsolation Name = "prefill-isolation"
	// RunBackups lets large runs go on from a copy after their target crashed.
	RunBackups Name = "run-backups"
)

// names are all parts, in the order in which they are listed for operators.
var names = []Name{EarlyRefusals, HandOver, LoadReports, PrefixFetch, EvenLoad, PrefillIsolation, RunBackups}

// optional are the parts that are off unless they are asked for.
var optional = []Name{RunBackups}

// Set is the set of parts that are switched on. The zero value has all but the optional ones.
type Set struct{ enabled, disabled map[Name]bool }

// Enabled reports whether a part is switched on.
func (s Set) Enabled(n Name) bool {
	return !s.disabled[n] && (s.enabled[n] || !slices.Contains(optional, n))
}

// New returns the set of the parts that are on by default, with those in a comma-separated list and without those
// in another one. Both may be empty. The error names the first part that does not exist.
func New(enabled, disabled string) (Set, error) {
	var s Set
	var err error
	if s.enabled, err = parse(enabled); err != nil {
		return Set{}, err
	}
	if s.disabled, err = parse(disabled); err != nil {
		return Set{}, err
	}
	return s, nil
}

// Without returns the set without the parts in a comma-separated list.
func Without(list string) (Set, error) { return New("", list) }

// All returns the set of all parts.
func All() Set {
	s := Set{enabled: make(map[Name]bool)}
	for _, n := range names {
		s.enabled[n] = true
	}
	return s
}

// parse returns the parts in a comma-separated list.
func parse(list string) (map[Name]bool, error) {
	parts := make(map[Name]bool)
	for field := range strings.SplitSeq(list, ",") {
		n := Name(strings.TrimSpace(field))
		if n == "" {
			continue
		}
		if !slices.Contains(names, n) {
			return nil, errors.Errorf("unknown part %q, want one of %s", n, join(names))
		}
		parts[n] = true
	}
	return parts, nil
}

// List returns the names of all parts, separated by commas.
func List() string { return join(names) }

// Optional returns the names of the parts that are off unless they are asked for, separated by commas.
func Optional() string { return join(optional) }

func join(parts []Name) string {
	all := make([]string, len(parts))
	for i, n := range parts {
		all[i] = string(n)
	}
	return strings.Join(all, ", ")
}
