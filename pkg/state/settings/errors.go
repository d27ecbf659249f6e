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

// maxErrorLines bounds the text of an ErrorList; a tree of 1 MiB may have
// thousands of faults.
const maxErrorLines = 100

// Error returns the first faults, one a line.
func (l ErrorList) Error() string {
	shown := l[:min(len(l), maxErrorLines)]
	lines := make([]string, 0, len(shown)+1)
	for _, e := range shown {
		lines = append(lines, e.Error())
	}
	if more := len(l) - len(shown); more > 0 {
		lines = append(lines, fmt.Sprintf("%d more faults; correct these first", more))
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
