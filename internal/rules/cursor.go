package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// cursor reads one statement from left to right. After the first fault of a
// statement it reports no more, since what follows is likely out of step.
type cursor struct {
	statement
	errors *Errors
	at     int
	failed bool
}

// next returns the next word, or an empty one behind the line's last word.
func (c *cursor) next() token {
	if c.at >= len(c.tokens) {
		last := c.tokens[len(c.tokens)-1]
		return token{column: last.column + len(last.text)}
	}
	t := c.tokens[c.at]
	c.at++
	return t
}

// peek returns the text of the next word without reading it.
func (c *cursor) peek() string {
	if c.at >= len(c.tokens) {
		return ""
	}
	return c.tokens[c.at].text
}

// fail reports the statement's first fault.
func (c *cursor) fail(t token, format string, args ...any) {
	if !c.failed {
		c.errors.add(c.line, t.column, format, args...)
	}
	c.failed = true
}

func (c *cursor) failDuplicate(t token, kind string, first int) {
	c.fail(t, "%s %q is already on line %d", kind, t.text, first)
}

// keyword reads one fixed word.
func (c *cursor) keyword(want string) {
	if t := c.next(); t.text != want {
		c.fail(t, "want %q, found %s", want, describe(t))
	}
}

// name reads the name of something.
func (c *cursor) name(kind string) token {
	t := c.next()
	if t.text == "" {
		c.fail(t, "the name of the %s is missing", kind)
	} else if !validName(t.text) {
		c.fail(t, "bad name %q: want 1 to %d letters, digits, '.', '_', '-' or '/', the first a letter or digit", t.text, MaxNameBytes)
	}
	return t
}

// number reads a whole number from 1 to maximum.
func (c *cursor) number(kind string, maximum int) int {
	t := c.next()
	n, err := strconv.Atoi(t.text)
	if err != nil || strconv.Itoa(n) != t.text {
		c.fail(t, "%s must be a whole number, found %s", kind, describe(t))
		return 0
	}
	if n < 1 || n > maximum {
		c.fail(t, "%s %d is not within 1 to %d", kind, n, maximum)
	}
	return n
}

// choice reads one of some fixed words.
func (c *cursor) choice(words ...string) string {
	t := c.next()
	for _, word := range words {
		if t.text == word {
			return word
		}
	}
	c.fail(t, "want %s, found %s", strings.Join(words, " or "), describe(t))
	return ""
}

// keyHash reads a customer's key.
func (c *cursor) keyHash() (token, [32]byte) {
	t := c.next()
	key, fault := parseKeyHash(t.text)
	if fault != "" {
		c.fail(t, "%s", fault)
	}
	return t, key
}

// finish reports words that are left over, and returns whether the statement
// was read without fault.
func (c *cursor) finish() bool {
	if t := c.next(); t.text != "" {
		c.fail(t, "unexpected %s", describe(t))
	}
	return !c.failed
}

func describe(t token) string {
	if t.text == "" {
		return "the end of the rule"
	}
	return fmt.Sprintf("%q", t.text)
}
