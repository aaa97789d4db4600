package peer

// maxDepth bounds the nesting of arrays and objects in a message.
const maxDepth = 8

// checkJSONLimits returns an error of KindOversize for a JSON text that has an array
// of more than limit elements or is nested deeper than maxDepth. It runs before the
// text is decoded, so that nothing is allocated for such a text. It does not check
// that the text is valid JSON. It takes time linear in the length of the text.
func checkJSONLimits(text []byte, limit int) error {
	var commas [maxDepth + 1]int
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '[', '{':
			depth++
			if depth > maxDepth {
				return errorf(KindOversize, "message is nested deeper than %d levels", maxDepth)
			}
			commas[depth] = 0
		case ']', '}':
			depth = max(depth-1, 0)
		case ',':
			commas[depth]++
			if commas[depth] >= limit {
				return errorf(KindOversize, "list has more than %d elements", limit)
			}
		}
	}
	return nil
}

// stringEnd returns the index of the quote that closes the string opened at start,
// or the last index of text if the string is not closed.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text) - 1
}
