package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Error is an error at one position of a settings file.
type Error struct {
	File string
	// Line and Column start at 1; Column is in bytes. Both are 0 if the position
	// is unknown.
	Line    int
	Column  int
	Message string
}

// Error returns "FILE:LINE:COLUMN: MESSAGE", or "FILE: MESSAGE" without a position.
func (e Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Errors holds all errors of a settings file, sorted by position.
type Errors struct {
	List []Error
}

// Error returns one line for each error.
func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i, fault := range e.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// syntaxErrors converts an error of the JSON parser. It takes the position from the start
// of the error text.
func syntaxErrors(file string, err error) *Errors {
	fault := Error{File: file, Message: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(fault.Message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, message, _ := strings.Cut(fault.Message, fmt.Sprintf("column %d: ", column))
		fault = Error{File: file, Line: line, Column: column, Message: message}
	}
	return &Errors{List: []Error{fault}}
}

// addError reports an error at a byte offset of the file.
func (d *decoder) addError(offset int, format string, args ...any) {
	before := d.data[:offset]
	d.errors = append(d.errors, Error{
		File:    d.file,
		Line:    1 + bytes.Count(before, []byte("\n")),
		Column:  offset - bytes.LastIndexByte(before, '\n'),
		Message: fmt.Sprintf(format, args...),
	})
}

// result sorts the errors by position and returns them, or nil if there are none.
func (d *decoder) result() error {
	if d.errors == nil {
		return nil
	}
	slices.SortStableFunc(d.errors, func(a, b Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return &Errors{List: d.errors}
}
