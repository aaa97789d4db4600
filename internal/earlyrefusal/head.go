// Package earlyrefusal decides which new connections are refused before net/http parses their requests.
//
// The load that it responds to: an instance whose processor is late receives more requests of a
// customer over its share than it can refuse through net/http. A request is refused early only if its
// whole head has arrived and has the usual form; net/http gets all others, so that whatever is odd has
// one parser. The package does no I/O, reads no clock and knows only header names of HTTP itself.
package earlyrefusal

import (
	"bytes"
	"strings"
)

// Verdict says what becomes of a new connection: it is refused, or why it goes to net/http.
type Verdict string

// Verdicts.
const (
	Refused Verdict = "refused"
	// HandedOver connections went to a peer.
	HandedOver Verdict = "handed_over"
	// Incomplete heads have not arrived whole; Unusual ones have a form that net/http has to judge.
	Incomplete Verdict = "head_incomplete"
	Unusual    Verdict = "head_unusual"
	// Leaving: the instance stops, which has rules of its own.
	Leaving Verdict = "instance_leaving"
	// UnknownRoute, UnknownKey and Unconfirmed requests get other refusals.
	UnknownRoute Verdict = "route_unknown"
	UnknownKey   Verdict = "key_unknown"
	Unconfirmed  Verdict = "key_unconfirmed"
	// TooLarge bodies are refused for their size.
	TooLarge Verdict = "body_too_large"
	// PlainService calls cost less than their refusal and the return of their caller.
	PlainService Verdict = "service_plain"
	// NotShed requests are not refused by the scheduler now.
	NotShed Verdict = "not_shed"
)

// Limits of a head that is read here.
const (
	// MaxFields is the number of fields from which net/http gets the head; callers send about a dozen.
	MaxFields = 48
	// maxLengthDigits keeps a content length within an int64.
	maxLengthDigits = 15
)

// Field is one field of a head.
type Field struct{ Name, Value string }

// Head is the head of a POST request.
type Head struct {
	// Host is the Host field, Path the request target without its query.
	Host, Path string
	// Fields are the fields that HTTP's framing does not use, in their order.
	Fields []Field
	// BodyBytes is the length of the body.
	BodyBytes int64
	// UnreadBytes is how much of the body has not arrived.
	UnreadBytes int64
}

// Parse reads the head at the start of what a connection has received. The verdict is Refused if the
// head may be judged by its fields, else Incomplete or Unusual. It takes O(len(received)) time.
func Parse(received []byte) (Head, Verdict) {
	end := bytes.Index(received, []byte("\r\n\r\n"))
	if end < 0 {
		return Head{}, Incomplete
	}
	line, rest, _ := strings.Cut(string(received[:end+2]), "\r\n")
	h := Head{Fields: make([]Field, 0, 16)}
	var ok bool
	if h.Path, ok = parseRequestLine(line); !ok {
		return Head{}, Unusual
	}
	hasLength := false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		f, ok := parseField(line)
		if !ok || len(h.Fields) == MaxFields {
			return Head{}, Unusual
		}
		switch {
		case isNamed(f, "Host"):
			if h.Host != "" || !isHost(f.Value) {
				return Head{}, Unusual
			}
			h.Host = f.Value
		case isNamed(f, "Content-Length"):
			if h.BodyBytes, ok = parseLength(f.Value); hasLength || !ok {
				return Head{}, Unusual
			}
			hasLength = true
		case !isFramingUsual(f):
			return Head{}, Unusual
		default:
			h.Fields = append(h.Fields, f)
		}
	}
	h.UnreadBytes = h.BodyBytes - int64(len(received)-end-len("\r\n\r\n"))
	// More bytes than the body has belong to a pipelined request.
	if h.Host == "" || h.UnreadBytes < 0 {
		return Head{}, Unusual
	}
	return h, Refused
}

// parseRequestLine returns the path of a POST request whose target is an absolute path without
// escapes, which net/http would check.
func parseRequestLine(line string) (path string, ok bool) {
	target, isPost := strings.CutPrefix(line, "POST ")
	target, isHTTP11 := strings.CutSuffix(target, " HTTP/1.1")
	if !isPost || !isHTTP11 || !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		return "", false
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= 0x7f || c == '%' || c == '#' {
			return "", false
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return path, true
}

// parseField splits a field line. It returns false for folded lines, names that are no tokens and
// values with control characters.
func parseField(line string) (Field, bool) {
	name, value, found := strings.Cut(line, ":")
	if !found || name == "" {
		return Field{}, false
	}
	for i := range len(name) {
		if c := name[i]; c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return Field{}, false
		}
	}
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c >= 0x7f {
			return Field{}, false
		}
	}
	return Field{Name: name, Value: strings.Trim(value, " \t")}, true
}

// isNamed reports whether a field has the given name.
func isNamed(f Field, name string) bool {
	return len(f.Name) == len(name) && strings.EqualFold(f.Name, name)
}

// isFramingUsual reports whether a field leaves the framing of the request to its content length.
func isFramingUsual(f Field) bool {
	switch {
	case isNamed(f, "Transfer-Encoding"), isNamed(f, "Trailer"), isNamed(f, "Expect"), isNamed(f, "Upgrade"):
		return false
	case isNamed(f, "Connection"):
		return strings.EqualFold(f.Value, "keep-alive") || strings.EqualFold(f.Value, "close")
	}
	return true
}

// isHost reports whether a host consists of letters, digits, dots and hyphens, with an optional port.
func isHost(host string) bool {
	for i := range len(host) {
		if c := host[i]; c != '.' && c != '-' && c != ':' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return host != ""
}

// parseLength parses a content length.
func parseLength(text string) (int64, bool) {
	if text == "" || len(text) > maxLengthDigits {
		return 0, false
	}
	n := int64(0)
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
		n = 10*n + int64(text[i]-'0')
	}
	return n, true
}
