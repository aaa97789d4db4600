package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// cursor reads one statement from left to right. It reports only the first error of
// a statement, since later errors are usually consequences of the first.
type cursor struct {
	statement
	errors   *Errors
	position int
	failed   bool
}

// next returns the next word and advances. After the last word it returns an empty
// token whose column is just past that word.
func (c *cursor) next() token {
	if c.position >= len(c.tokens) {
		last := c.tokens[len(c.tokens)-1]
		return token{column: last.column + len(last.text)}
	}
	t := c.tokens[c.position]
	c.position++
	return t
}

// peek returns the text of the next word without advancing, or "" after the last.
func (c *cursor) peek() string {
	if c.position >= len(c.tokens) {
		return ""
	}
	return c.tokens[c.position].text
}

// fail reports an error at the token, unless the statement has failed already.
func (c *cursor) fail(t token, format string, args ...any) {
	if !c.failed {
		c.errors.add(c.line, t.column, format, args...)
	}
	c.failed = true
}

func (c *cursor) failDuplicate(t token, kind string, first int) {
	c.fail(t, "%s %q is already defined on line %d", kind, t.text, first)
}

// expect reads one word and fails unless it is the wanted one.
func (c *cursor) expect(want string) {
	if t := c.next(); t.text != want {
		c.fail(t, "want %q, found %s", want, quoteToken(t))
	}
}

// name reads and checks a name. The kind is used in error messages.
func (c *cursor) name(kind string) token {
	t := c.next()
	if t.text == "" {
		c.fail(t, "the name of the %s is missing", kind)
	} else if !validName(t.text) {
		c.fail(t, "invalid name %q: want 1 to %d letters, digits, '.', '_', '-' or '/', starting with a letter or digit", t.text, MaxNameBytes)
	}
	return t
}

// number reads a decimal integer without sign or leading zeros and fails unless it is
// within 1 to maximum. It returns 0 for a word that is not such an integer.
func (c *cursor) number(kind string, maximum int) int {
	t := c.next()
	n, err := strconv.Atoi(t.text)
	if err != nil || strconv.Itoa(n) != t.text {
		c.fail(t, "%s must be an integer, found %s", kind, quoteToken(t))
		return 0
	}
	if n < 1 || n > maximum {
		c.fail(t, "%s %d is out of range: want 1 to %d", kind, n, maximum)
	}
	return n
}

// oneOf reads one word and returns it. It fails and returns "" unless the word is
// among those given.
func (c *cursor) oneOf(words ...string) string {
	t := c.next()
	for _, word := range words {
		if t.text == word {
			return word
		}
	}
	c.fail(t, "want %s, found %s", strings.Join(words, " or "), quoteToken(t))
	return ""
}

// keyHash reads the hash of a customer's key.
func (c *cursor) keyHash() (token, [32]byte) {
	t := c.next()
	key, fault := parseKeyHash(t.text)
	if fault != "" {
		c.fail(t, "%s", fault)
	}
	return t, key
}

// expectEnd fails if words are left over. It reports whether the whole statement was
// read without an error.
func (c *cursor) expectEnd() bool {
	if t := c.next(); t.text != "" {
		c.fail(t, "unexpected %s", quoteToken(t))
	}
	return !c.failed
}

// quoteToken returns the token's quoted text for an error message.
func quoteToken(t token) string {
	if t.text == "" {
		return "the end of the rule"
	}
	return fmt.Sprintf("%q", t.text)
}
