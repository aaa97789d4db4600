package rules

import (
	"bytes"
	"maps"
	"slices"
)

// compareBlock is the length of the blocks in which CommonLines compares, in bytes.
const compareBlock = 4096

// maxUpdatedRules is the number of changed rules beyond which Update parses the
// whole document.
const maxUpdatedRules = 1024

// Update is Parse for a text that differs in few lines from the text of a document
// that Parse or Update returned. If the same rules are there and only values
// changed that no other rule depends on, it reads the changed lines alone and
// shares the rest with the base document; otherwise it parses the whole text. The
// result is the same as that of Parse.
func Update(base *Document, baseText, text []byte) (*Document, error) {
	if changes, ok := changedRules(baseText, text); ok {
		return base.with(changes), nil
	}
	return Parse(text)
}

// CommonLines returns the length of the whole lines with which both texts begin,
// and of those with which the rest of both ends.
func CommonLines(a, b []byte) (prefix, suffix int) {
	for prefix+compareBlock <= min(len(a), len(b)) && bytes.Equal(a[prefix:prefix+compareBlock], b[prefix:prefix+compareBlock]) {
		prefix += compareBlock
	}
	for prefix < min(len(a), len(b)) && a[prefix] == b[prefix] {
		prefix++
	}
	prefix = bytes.LastIndexByte(a[:prefix], '\n') + 1
	return prefix, commonSuffix(a[prefix:], b[prefix:])
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n+compareBlock <= min(len(a), len(b)) && bytes.Equal(a[len(a)-n-compareBlock:len(a)-n], b[len(b)-n-compareBlock:len(b)-n]) {
		n += compareBlock
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

// changedRules compares two texts line by line and returns the rules of the second
// that differ. It gives up if lines were added or removed or a line may not be
// replaced alone.
func changedRules(baseText, text []byte) (changes *Document, ok bool) {
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
		if differing > maxUpdatedRules || !changes.replace(before, after, number) {
			return nil, false
		}
	}
	return changes, len(old) == 0 && len(rest) == 0
}

// cutLine returns the first line without its line end, and the text behind it.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// replace adds the rule of a line that stands in place of another one. It returns
// false unless both define the same thing and agree in all that other rules depend
// on or are checked against.
func (d *Document) replace(before, after []byte, number int) bool {
	old, next := parseAlone(before, number), parseAlone(after, number)
	if old == nil || next == nil || len(old.Orders)+len(next.Orders) > 0 {
		return false
	}
	ok := sameRules(old.Customers, next.Customers, func(a, b Customer) bool { return a.KeyHash == b.KeyHash }) &&
		sameRules(old.DataCentres, next.DataCentres, nil) &&
		sameRules(old.Models, next.Models, nil) &&
		sameRules(old.Calls, next.Calls, nil) &&
		sameRules(old.Targets, next.Targets, func(a, b Target) bool {
			return a.DataCentre == b.DataCentre && a.Service == b.Service && slices.Equal(a.Models, b.Models)
		})
	if ok {
		d.copyFrom(next)
	}
	return ok
}

// parseAlone parses one line without looking for the names it refers to, and
// returns nil if it is faulty.
func parseAlone(line []byte, number int) *Document {
	p := newParser(line)
	p.parseLine(string(line), number)
	if len(p.errors.List) > 0 {
		return nil
	}
	return p.document
}

// sameRules reports whether both maps have the same keys and each pair agrees.
func sameRules[K comparable, V any](old, next map[K]V, agree func(a, b V) bool) bool {
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

// copyFrom adds the rules of another document but for its orders.
func (d *Document) copyFrom(other *Document) {
	maps.Copy(d.Customers, other.Customers)
	maps.Copy(d.DataCentres, other.DataCentres)
	maps.Copy(d.Models, other.Models)
	maps.Copy(d.Targets, other.Targets)
	maps.Copy(d.Calls, other.Calls)
}

// with returns a document with some rules replaced. Maps without a replaced rule
// are shared.
func (d *Document) with(changes *Document) *Document {
	return &Document{
		Customers:   replaced(d.Customers, changes.Customers),
		DataCentres: replaced(d.DataCentres, changes.DataCentres),
		Models:      replaced(d.Models, changes.Models),
		Targets:     replaced(d.Targets, changes.Targets),
		Calls:       replaced(d.Calls, changes.Calls),
		Orders:      d.Orders,
	}
}

func replaced[K comparable, V any](base, changes map[K]V) map[K]V {
	if len(changes) == 0 {
		return base
	}
	next := maps.Clone(base)
	maps.Copy(next, changes)
	return next
}
