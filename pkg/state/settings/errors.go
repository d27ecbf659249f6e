package settings

import (
	"fmt"
	"strings"
)

// Error is one fault in a tree, a path or a document. Line and Column are
// counted from 1 and are 0 when the fault has no single place in the text.
type Error struct {
	Path    string
	Line    int
	Column  int
	Message string
	Remedy  string
}

// Error returns the place, the fault and the remedy.
func (e *Error) Error() string {
	var place string
	if e.Line > 0 {
		place = fmt.Sprintf("line %d, column %d: ", e.Line, e.Column)
	}
	if e.Path != "" {
		place += e.Path + ": "
	}
	return place + e.Message + "; " + e.Remedy
}

// ErrorList holds all faults found in one tree.
type ErrorList []*Error

// Error returns all faults, one a line.
func (l ErrorList) Error() string {
	lines := make([]string, 0, len(l))
	for _, e := range l {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults.
func (l ErrorList) Unwrap() []error {
	errs := make([]error, 0, len(l))
	for _, e := range l {
		errs = append(errs, e)
	}
	return errs
}

// add appends a fault at path.
func (l *ErrorList) add(path, remedy, format string, args ...any) {
	*l = append(*l, &Error{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// orNil returns the list as an error, or nil if it is empty.
func (l ErrorList) orNil() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
