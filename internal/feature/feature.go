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
	// AdmissionOrder orders waiting requests by rank, share and the time that is left.
	AdmissionOrder Name = "admission-order"
	// RunBackups lets large runs go on from a copy after their target crashed.
	RunBackups Name = "run-backups"
)

// names are all parts, in the order in which they are listed for operators.
var names = []Name{EarlyRefusals, HandOver, LoadReports, PrefixFetch, EvenLoad, PrefillIsolation, AdmissionOrder, RunBackups}

// Set is the set of parts that are switched on. The zero value has all of them.
type Set struct{ disabled map[Name]bool }

// Enabled reports whether a part is switched on.
func (s Set) Enabled(n Name) bool { return !s.disabled[n] }

// Without returns the set of all parts but those in a comma-separated list, which may be empty. The error
// names the first one that does not exist.
func Without(list string) (Set, error) {
	s := Set{disabled: make(map[Name]bool)}
	for field := range strings.SplitSeq(list, ",") {
		n := Name(strings.TrimSpace(field))
		if n == "" {
			continue
		}
		if !slices.Contains(names, n) {
			return Set{}, errors.Errorf("unknown part %q, want one of %s", n, List())
		}
		s.disabled[n] = true
	}
	return s, nil
}

// List returns the names of all parts, separated by commas.
func List() string {
	all := make([]string, len(names))
	for i, n := range names {
		all[i] = string(n)
	}
	return strings.Join(all, ", ")
}
