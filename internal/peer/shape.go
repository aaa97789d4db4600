package peer

// maxDepth is the deepest nesting of arrays and objects in a message.
const maxDepth = 8

// checkShape refuses a JSON text that has an array of more than limit elements or
// nests deeper than maxDepth, before anything is allocated for it. Whether the text
// is valid JSON is left to the decoder. It takes time linear in the text.
func checkShape(text []byte, limit int) error {
	var commas [maxDepth + 1]int
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '[', '{':
			depth++
			if depth > maxDepth {
				return failuref(KindOversize, "nested deeper than %d", maxDepth)
			}
			commas[depth] = 0
		case ']', '}':
			depth = max(depth-1, 0)
		case ',':
			commas[depth]++
			if commas[depth] >= limit {
				return failuref(KindOversize, "list of more than %d entries", limit)
			}
		}
	}
	return nil
}

// stringEnd returns the index of the quote that closes the string opened at start,
// or the last index of an unclosed one.
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
