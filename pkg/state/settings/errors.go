package settings

import (
	"fmt"
	"strings"
)

// Error is one error in a tree, a path or a document. Line and Column are
// counted from 1 and are 0 if the error has no position in the text. Remedy
// says how to correct it.
type Error struct {
	Path    string
	Line    int
	Column  int
	Message string
	Remedy  string
}

// Error returns the position, the path, the message and the remedy.
func (e *Error) Error() string {
	var position string
	if e.Line > 0 {
		position = fmt.Sprintf("line %d, column %d: ", e.Line, e.Column)
	}
	if e.Path != "" {
		position += e.Path + ": "
	}
	return position + e.Message + "; " + e.Remedy
}

// ErrorList holds the errors found in one tree.
type ErrorList []*Error

// maxErrorLines limits the text of an ErrorList, because a tree of 1 MiB may have
// thousands of errors.
const maxErrorLines = 100

// Error returns the first maxErrorLines errors, one per line.
func (l ErrorList) Error() string {
	shown := l[:min(len(l), maxErrorLines)]
	lines := make([]string, 0, len(shown)+1)
	for _, e := range shown {
		lines = append(lines, e.Error())
	}
	if more := len(l) - len(shown); more > 0 {
		lines = append(lines, fmt.Sprintf("%d more errors; correct these first", more))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors.
func (l ErrorList) Unwrap() []error {
	errs := make([]error, 0, len(l))
	for _, e := range l {
		errs = append(errs, e)
	}
	return errs
}

// add appends an error at path.
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
