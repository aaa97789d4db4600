package rules

import (
	"fmt"
	"slices"
	"strings"
)

// maxPrintedErrors limits the number of lines of Errors.Error, which is written to logs.
const maxPrintedErrors = 20

// Error is an error at one position of a document.
type Error struct {
	// Line and Column start at 1; Column is in bytes.
	Line    int
	Column  int
	Message string
}

// Error returns "line L, column C: MESSAGE".
func (e Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Errors holds all errors of a document, sorted by position.
type Errors struct {
	List []Error
}

// Error returns one line for each of the first errors, and the number of those omitted.
func (e *Errors) Error() string {
	printed := e.List[:min(len(e.List), maxPrintedErrors)]
	lines := make([]string, 0, len(printed)+1)
	for _, fault := range printed {
		lines = append(lines, fault.Error())
	}
	if rest := len(e.List) - len(printed); rest > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", rest))
	}
	return strings.Join(lines, "\n")
}

// add appends an error.
func (e *Errors) add(line, column int, format string, args ...any) {
	e.List = append(e.List, Error{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

// result sorts the errors by position and returns them, or nil if there are none.
func (e *Errors) result() error {
	if len(e.List) == 0 {
		return nil
	}
	slices.SortStableFunc(e.List, func(a, b Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return e
}
