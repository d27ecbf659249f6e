package config

import (
	"fmt"
	"strings"
)

// ConflictError tells an operator that another change was accepted first.
type ConflictError struct {
	BaseRevision int64 // revision that the refused change was made on
	Revision     int64 // revision in force
	Author       string
	Reason       string
	RequestID    string
	Paths        []string // paths that the other change touched
}

// Error names the other change and the remedy.
func (c *ConflictError) Error() string {
	author := c.Author
	if author == "" {
		author = "an unattributed write"
	}
	paths := strings.Join(c.Paths, ", ")
	if paths == "" {
		paths = "an unknown set of paths"
	}
	return fmt.Sprintf("revision %d by %s (%s) replaced revision %d and changed %s; read the settings again and repeat the change on top of it",
		c.Revision, author, c.Reason, c.BaseRevision, paths)
}

// PlatformError tells that the platform could not be asked and that this
// attempt changed nothing. An earlier attempt may have been accepted.
type PlatformError struct {
	Op  string
	Err error
}

// Error names the operation, the cause and the remedy.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("%s failed, this attempt changed nothing: %v; repeat the change with the same request id when the platform answers", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Err }

// UnresolvedError tells that a change may have been accepted.
type UnresolvedError struct {
	RequestID string
	Err       error
}

// Error names the request and the remedy.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("change %s may have been accepted, the platform did not tell: %v; repeat it with the same request id", e.RequestID, e.Err)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// EditError tells that a change lacks what every change needs.
type EditError struct {
	Message string
	Remedy  string
}

// Error returns the fault and the remedy.
func (e *EditError) Error() string { return e.Message + "; " + e.Remedy }

// NoTreeError tells that no settings could be found yet.
type NoTreeError struct {
	Err error // answer of the platform
}

// Error returns the cause and the remedy.
func (e *NoTreeError) Error() string {
	return fmt.Sprintf("no settings from the platform (%v) nor from a peer; write a first tree or check the addresses of platform and peers", e.Err)
}

// Unwrap returns the cause.
func (e *NoTreeError) Unwrap() error { return e.Err }
