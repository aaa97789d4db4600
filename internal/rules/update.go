package rules

import (
	"bytes"
	"maps"
	"slices"
)

// compareBlockBytes is the length of the blocks that CommonLines compares at once.
const compareBlockBytes = 4096

// maxUpdatedRules is the largest number of changed rules for which Update does not
// parse the whole document.
const maxUpdatedRules = 1024

// Update returns the same result as Parse(text), but is faster if text differs in few
// lines from baseText, the text of the document base, which Parse or Update returned.
// If both texts have the same rules and differ only in values on which no other rule
// depends, Update parses only the changed lines and shares the rest with base.
// Otherwise it parses the whole text.
func Update(base *Document, baseText, text []byte) (*Document, error) {
	if changes, ok := parseChangedLines(baseText, text); ok {
		return base.withReplaced(changes), nil
	}
	return Parse(text)
}

// CommonLines returns the length in bytes of the whole lines that both texts have in
// common at the start, and of those that the remaining texts have in common at the end.
func CommonLines(a, b []byte) (prefix, suffix int) {
	for prefix+compareBlockBytes <= min(len(a), len(b)) && bytes.Equal(a[prefix:prefix+compareBlockBytes], b[prefix:prefix+compareBlockBytes]) {
		prefix += compareBlockBytes
	}
	for prefix < min(len(a), len(b)) && a[prefix] == b[prefix] {
		prefix++
	}
	prefix = bytes.LastIndexByte(a[:prefix], '\n') + 1
	return prefix, commonSuffix(a[prefix:], b[prefix:])
}

// commonSuffix returns the length in bytes of the whole lines that both texts have in
// common at the end.
func commonSuffix(a, b []byte) int {
	n := 0
	for n+compareBlockBytes <= min(len(a), len(b)) && bytes.Equal(a[len(a)-n-compareBlockBytes:len(a)-n], b[len(b)-n-compareBlockBytes:len(b)-n]) {
		n += compareBlockBytes
	}
	for n < min(len(a), len(b)) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	if n == len(a) && n == len(b) {
		return n
	}
	tail := a[len(a)-n:]
	return len(tail) - (bytes.IndexByte(tail, '\n') + 1)
}

// parseChangedLines compares two texts line by line and returns the rules of the second
// that differ. It returns false if lines were added or removed, if more than
// maxUpdatedRules lines differ, or if a line cannot be replaced on its own.
func parseChangedLines(baseText, text []byte) (changes *Document, ok bool) {
	prefix, suffix := CommonLines(baseText, text)
	number := 1 + bytes.Count(text[:prefix], []byte("\n"))
	old, rest := baseText[prefix:len(baseText)-suffix], text[prefix:len(text)-suffix]
	changes = newDocument(0, 0)
	differing := 0
	for ; len(old) > 0 && len(rest) > 0; number++ {
		var before, after []byte
		before, old = cutLine(old)
		after, rest = cutLine(rest)
		if bytes.Equal(before, after) {
			continue
		}
		differing++
		if differing > maxUpdatedRules || !changes.addReplacement(before, after, number) {
			return nil, false
		}
	}
	return changes, len(old) == 0 && len(rest) == 0
}

// cutLine returns the first line without its line ending, and the text after it.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// addReplacement adds the rule of the line after, which replaces the line before. It
// returns false and adds nothing unless both lines define the same name and are equal in
// all values that other rules depend on or are checked against.
func (d *Document) addReplacement(before, after []byte, number int) bool {
	old, next := parseSingleLine(before, number), parseSingleLine(after, number)
	if old == nil || next == nil || len(old.Orders)+len(next.Orders) > 0 {
		return false
	}
	ok := rulesMatch(old.Customers, next.Customers, func(a, b Customer) bool { return a.KeyHash == b.KeyHash }) &&
		rulesMatch(old.DataCentres, next.DataCentres, nil) &&
		rulesMatch(old.Models, next.Models, nil) &&
		rulesMatch(old.Calls, next.Calls, nil) &&
		rulesMatch(old.Targets, next.Targets, func(a, b Target) bool {
			return a.DataCentre == b.DataCentre && a.Service == b.Service && slices.Equal(a.Models, b.Models)
		})
	if ok {
		d.copyFrom(next)
	}
	return ok
}

// parseSingleLine parses one line without checking that the names it refers to are
// defined. It returns nil if the line is invalid.
func parseSingleLine(line []byte, number int) *Document {
	p := newParser(line)
	p.parseLine(string(line), number)
	if len(p.errors.List) > 0 {
		return nil
	}
	return p.document
}

// rulesMatch reports whether both maps have the same keys and agree returns true for the
// two values of each key. A nil agree accepts all values.
func rulesMatch[K comparable, V any](old, next map[K]V, agree func(a, b V) bool) bool {
	if len(old) != len(next) {
		return false
	}
	for key, rule := range next {
		earlier, known := old[key]
		if !known || agree != nil && !agree(earlier, rule) {
			return false
		}
	}
	return true
}

// copyFrom adds all rules of another document except its orders.
func (d *Document) copyFrom(other *Document) {
	maps.Copy(d.Customers, other.Customers)
	maps.Copy(d.DataCentres, other.DataCentres)
	maps.Copy(d.Models, other.Models)
	maps.Copy(d.Targets, other.Targets)
	maps.Copy(d.Calls, other.Calls)
}

// withReplaced returns a copy of the document in which the rules of changes replace
// those with the same key. Maps without a replaced rule are shared with d.
func (d *Document) withReplaced(changes *Document) *Document {
	return &Document{
		Customers:   mergeRules(d.Customers, changes.Customers),
		DataCentres: mergeRules(d.DataCentres, changes.DataCentres),
		Models:      mergeRules(d.Models, changes.Models),
		Targets:     mergeRules(d.Targets, changes.Targets),
		Calls:       mergeRules(d.Calls, changes.Calls),
		Orders:      d.Orders,
	}
}

// mergeRules returns a copy of base with changes applied, or base itself if there are
// none.
func mergeRules[K comparable, V any](base, changes map[K]V) map[K]V {
	if len(changes) == 0 {
		return base
	}
	next := maps.Clone(base)
	maps.Copy(next, changes)
	return next
}
