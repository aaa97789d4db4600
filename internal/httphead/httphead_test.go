package httphead_test

import (
	"strings"
	"testing"

	"medlarwind.dev/medlarwind/internal/httphead"
)

func TestLinesAreCountedUpToEndOfHead(t *testing.T) {
	for _, test := range []struct {
		name, text string
		// within is how much of the text is within 3 lines.
		within int
		open   bool
	}{
		{"allowed", "GET / HTTP/1.1\r\nA: b\r\nC: d\r\n", 28, true},
		{"ended", "GET / HTTP/1.1\r\nA: b\r\n\r\n1\n2\n3\n4\n5\n", 34, false},
		{"bare line ends", "GET / HTTP/1.1\nA: b\n\n1\n2\n3\n4\n", 29, false},
		{"empty lines before", "\r\n\r\nGET / HTTP/1.1\r\nA: b\r\nC: d\r\n\r\n", 34, false},
		{"one too many", "a\r\nb\r\nc\r\nd\r\n", 11, true},
		{"many", strings.Repeat("a\n", 100), 7, true},
	} {
		for _, size := range []int{1, 2, 3, 1000} {
			c := httphead.Counter{Max: 3}
			c.Begin()
			within := 0
			for at := 0; at < len(test.text); at += size {
				n, err := c.Scan([]byte(test.text[at:min(at+size, len(test.text))]))
				if within += n; err != nil {
					break
				}
			}
			if within != test.within || c.IsOpen() != test.open {
				t.Errorf("%s, %d bytes at a time: %d bytes within, open %v; want %d, %v", test.name, size, within, c.IsOpen(), test.within, test.open)
			}
		}
	}
}
