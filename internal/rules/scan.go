package rules

import (
	"strings"
	"unicode/utf8"
)

// token is one word of a rule with its column, from 1 in bytes.
type token struct {
	text   string
	column int
}

// statement is one rule's words and comment.
type statement struct {
	line    int
	tokens  []token
	comment string
	// end is the column after the last byte of the line.
	end int
}

// scanLine splits one line without its line end. The tokens are appended to
// buffer[:0]. A line that is blank or only a comment has no tokens.
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

// printable reports whether a whole text is UTF-8 without control characters but
// tabs and line ends.
func printable(text []byte) bool {
	var found uint8
	for _, c := range text {
		found |= controlCharacter[c]
	}
	return found == 0 && utf8.Valid(text)
}

// controlCharacter has 1 for the bytes that no rule may hold, and the carriage return,
// which may only end a line.
var controlCharacter = func() (table [256]uint8) {
	for c := range ' ' {
		table[c] = 1
	}
	table['\t'], table['\n'], table[0x7f] = 0, 0, 1
	return table
}()

// findBadCharacter returns the byte offset of the first byte that no rule may
// hold: a control character except tab, or one that is not UTF-8. It returns -1
// if there is none.
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

// validName reports whether text can name something: 1 to MaxNameBytes letters,
// digits, '.', '_', '-' and '/', and it begins with a letter or a digit.
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
