package rules

import (
	"fmt"
	"slices"
	"strings"
)

// maxPrintedErrors bounds the length of Errors.Error, which ends up in logs.
const maxPrintedErrors = 20

// Error is one fault of a document.
type Error struct {
	// Line and Column count from 1; Column counts bytes.
	Line    int
	Column  int
	Message string
}

// Error returns "line L, column C: MESSAGE".
func (e Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Errors holds all faults of a document, in the order of their position.
type Errors struct {
	List []Error
}

// Error returns one line for each fault, and the number of those left out.
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

// add appends one fault.
func (e *Errors) add(line, column int, format string, args ...any) {
	e.List = append(e.List, Error{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

// result returns nil if there is no fault, otherwise the sorted faults.
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
