package earlyrefusal_test

import (
	"strings"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/earlyrefusal"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// A request that net/http would judge in a way of its own must not be judged by its fields here.
func TestOnlyUsualHeadsAreJudged(t *testing.T) {
	const usual = "POST /s/x?q HTTP/1.1\r\nHost: h.example:80\r\nA: b\r\nContent-Length: 3\r\n\r\nabc"
	for _, test := range []struct {
		name, old, new string
		want           earlyrefusal.Verdict
	}{
		{"usual", "", "", earlyrefusal.Refused},
		{"body not whole", "\r\n\r\nabc", "\r\n\r\na", earlyrefusal.Refused},
		{"head not whole", "\r\n\r\nabc", "\r\n", earlyrefusal.Incomplete},
		{"bare line ends", "\r\n", "\n", earlyrefusal.Incomplete},
		{"one bare line end", "A: b\r\n", "A: b\nC: d\r\n", earlyrefusal.Unusual},
		{"pipelined", "abc", "abcPOST /s/x", earlyrefusal.Unusual},
		{"no body is expected", "POST", "GET", earlyrefusal.Unusual},
		{"old version", "HTTP/1.1", "HTTP/1.0", earlyrefusal.Unusual},
		{"escaped path", "/s/x", "/s/%78", earlyrefusal.Unusual},
		{"absolute target", "/s/x", "http://h/s/x", earlyrefusal.Unusual},
		{"expects 100", "A: b", "EXPECT: 100-continue", earlyrefusal.Unusual},
		{"chunked", "Content-Length: 3", "Transfer-Encoding: chunked", earlyrefusal.Unusual},
		{"chunked with a length", "A: b", "transfer-encoding: chunked", earlyrefusal.Unusual},
		{"upgrade", "A: b", "Connection: upgrade", earlyrefusal.Unusual},
		{"two lengths", "A: b", "Content-Length: 3", earlyrefusal.Unusual},
		{"length is no number", "Content-Length: 3", "Content-Length: +3", earlyrefusal.Unusual},
		{"two hosts", "A: b", "Host: h2.example", earlyrefusal.Unusual},
		{"no host", "Host:", "Hose:", earlyrefusal.Unusual},
		{"folded", "A: b", "A: b\r\n c", earlyrefusal.Unusual},
		{"space in name", "A: b", "A : b", earlyrefusal.Unusual},
		{"control character", "A: b", "A: b\x00", earlyrefusal.Unusual},
		{"many fields", "A: b", strings.Repeat("A: b\r\n", earlyrefusal.MaxFields) + "A: b", earlyrefusal.Unusual},
	} {
		text := usual
		if test.old != "" {
			text = strings.ReplaceAll(usual, test.old, test.new)
		}
		h, got := earlyrefusal.Parse([]byte(text))
		if got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
		if test.name == "usual" && (h.Host != "h.example:80" || h.Path != "/s/x" || h.BodyBytes != 3 || h.UnreadBytes != 0 || len(h.Fields) != 1) {
			t.Errorf("%s: %+v", test.name, h)
		}
		if test.name == "body not whole" && h.UnreadBytes != 2 {
			t.Errorf("%s: %d bytes unread, want 2", test.name, h.UnreadBytes)
		}
	}
}

// The log line names the customers that are refused most, with the inputs of their last refusal.
func TestTallyNamesLargest(t *testing.T) {
	var tally earlyrefusal.Tally
	for i, c := range []fleet.CustomerID{"a", "b", "b", "c"} {
		tally.Add(c, earlyrefusal.Inputs{RetryAfter: time.Duration(i)})
	}
	largest, customers := tally.Largest(1)
	if tally.Refused != 4 || customers != 3 || len(largest) != 1 || largest[0].Customer != "b" || largest[0].Refused != 2 || largest[0].Last.RetryAfter != 2 {
		t.Errorf("%d refused of %d customers, largest %+v", tally.Refused, customers, largest)
	}
}
