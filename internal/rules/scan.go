package rules

import (
	"strings"
	"unicode/utf8"
)

// token is a word of a rule and its column, which starts at 1 and is in bytes.
type token struct {
	text   string
	column int
}

// statement holds the words and the comment of one line.
type statement struct {
	line    int
	tokens  []token
	comment string
	// end is the column after the last byte of the line.
	end int
}

// scanLine splits a line, given without its line ending, into words and a comment. The
// tokens are appended to buffer[:0]. A blank line or one with only a comment has no
// tokens.
func scanLine(line string, number int, buffer []token) statement {
	body, comment, _ := strings.Cut(line, "#")
	s := statement{line: number, tokens: buffer[:0], end: len(line) + 1}
	s.comment = strings.TrimSpace(comment)
	for at := 0; at < len(body); {
		if isSpace(body[at]) {
			at++
			continue
		}
		start := at
		for at < len(body) && !isSpace(body[at]) {
			at++
		}
		s.tokens = append(s.tokens, token{text: body[start:at], column: start + 1})
	}
	return s
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' }

// isPrintable reports whether the text is valid UTF-8 and has no control characters
// other than tabs and newlines. It returns false for a text with carriage returns.
func isPrintable(text []byte) bool {
	var found uint8
	for _, c := range text {
		found |= controlCharacter[c]
	}
	return found == 0 && utf8.Valid(text)
}

// controlCharacter is 1 for the control characters that a rule must not contain, and
// for the carriage return, which is only allowed at the end of a line.
var controlCharacter = func() (table [256]uint8) {
	for c := range ' ' {
		table[c] = 1
	}
	table['\t'], table['\n'], table[0x7f] = 0, 0, 1
	return table
}()

// findBadCharacter returns the offset of the first byte that a rule must not contain:
// a control character other than tab, or invalid UTF-8. It returns -1 if there is
// none.
func findBadCharacter(line string) int {
	for at := 0; at < len(line); {
		c := line[at]
		if c < utf8.RuneSelf {
			if c < ' ' && c != '\t' || c == 0x7f {
				return at
			}
			at++
			continue
		}
		r, size := utf8.DecodeRuneInString(line[at:])
		if r == utf8.RuneError && size == 1 {
			return at
		}
		at += size
	}
	return -1
}

// validName reports whether text is a valid name: 1 to MaxNameBytes ASCII letters,
// digits, '.', '_', '-' and '/', starting with a letter or a digit.
func validName(text string) bool {
	if text == "" || len(text) > MaxNameBytes || !isAlphanumeric(text[0]) {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if !isAlphanumeric(c) && c != '.' && c != '_' && c != '-' && c != '/' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
