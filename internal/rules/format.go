package rules

import (
	"bytes"
	"strings"
)

// Format returns the document in canonical form: one space between words and before
// the comment, no blank lines at the start and end and at most one between rules, keys
// in lower case, and lines that end in "\n". Comments and the order of lines are kept.
// For an invalid document it returns the error of Parse.
func Format(text []byte) ([]byte, error) {
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	blank := false
	var tokens []token
	for line := range strings.Lines(string(text)) {
		s := scanLine(strings.TrimRight(line, "\r\n"), 0, tokens)
		tokens = s.tokens
		formatted := formatLine(line, s)
		if formatted == "" {
			blank = out.Len() > 0
			continue
		}
		if blank {
			out.WriteByte('\n')
		}
		blank = false
		out.WriteString(formatted)
		out.WriteByte('\n')
	}
	return out.Bytes(), nil
}

// formatLine returns the formatted line without a line ending, or "" for a blank line.
func formatLine(line string, s statement) string {
	if len(s.tokens) == 0 {
		return strings.TrimSpace(line)
	}
	var out strings.Builder
	for _, t := range s.tokens {
		word := t.text
		if strings.HasPrefix(word, keyPrefix) {
			word = strings.ToLower(word)
		}
		out.WriteString(word)
		out.WriteByte(' ')
	}
	out.WriteString("# ")
	out.WriteString(s.comment)
	return out.String()
}
