// Package httphead limits the lines of the heads of HTTP/1.1 messages while they are read. A field
// takes many times the bytes of a short line in memory, and net/http limits only the bytes of a head.
package httphead

import "github.com/pkg/errors"

// Counter counts the lines of a head as its bytes are read. The zero value counts none before Begin.
type Counter struct {
	// Max is the number of lines that a head may have.
	Max int
	// open is set up to the empty line that ends the head.
	open  bool
	lines int
	// length is the number of bytes of the current line without its end.
	length int
}

// Begin starts a new head.
func (c *Counter) Begin() { c.open, c.lines, c.length = true, 0, 0 }

// End ends the head wherever it is.
func (c *Counter) End() { c.open = false }

// IsOpen reports whether a head has begun and has not ended.
func (c *Counter) IsOpen() bool { return c.open }

// Scan counts the lines in the next bytes. It returns how many of these bytes lie within Max lines
// of the head or after its end, and an error if that is not all of them.
func (c *Counter) Scan(p []byte) (int, error) {
	for i := 0; c.open && i < len(p); i++ {
		switch {
		case p[i] == '\r':
		case p[i] != '\n':
			c.length++
		case c.length > 0:
			if c.lines++; c.lines > c.Max {
				return i, errors.Errorf("head: more than %d lines", c.Max)
			}
			c.length = 0
		case c.lines > 0:
			c.open = false
		}
	}
	return len(p), nil
}
