package config

import (
	"fmt"
	"strings"
)

// ConflictError reports that a change was refused because another one was
// accepted first.
type ConflictError struct {
	BaseRevision int64 // revision that the refused change was based on
	Revision     int64 // revision in force
	Author       string
	Reason       string
	RequestID    string
	Paths        []string // paths that the other change modified
}

// Error describes the other change and the remedy.
func (e *ConflictError) Error() string {
	author := e.Author
	if author == "" {
		author = "an unattributed write"
	}
	paths := strings.Join(e.Paths, ", ")
	if paths == "" {
		paths = "an unknown set of paths"
	}
	return fmt.Sprintf("revision %d by %s (%s) replaced revision %d and changed %s; read the settings again and repeat the change on top of it",
		e.Revision, author, e.Reason, e.BaseRevision, paths)
}

// PlatformError reports that a call to the platform failed and that this
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

// UnresolvedError reports that it is unknown whether a change was accepted.
type UnresolvedError struct {
	RequestID string
	Err       error
}

// Error names the request and the remedy.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("change %s may have been accepted, but the platform has not confirmed it: %v; repeat it with the same request id", e.RequestID, e.Err)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Err }

// ForgottenError reports that a change was proposed before, and that the history
// no longer shows whether it was accepted then. This attempt changed nothing.
type ForgottenError struct{ RequestID string }

// Error names the request and the remedy.
func (e *ForgottenError) Error() string {
	return fmt.Sprintf("change %s was proposed before, and the history does not reach back to that; "+
		"read the settings and propose the change under a new request id if it is missing", e.RequestID)
}

// EditError reports that a change is incomplete or not valid.
type EditError struct {
	Message string
	Remedy  string
}

// Error returns the message and the remedy.
func (e *EditError) Error() string { return e.Message + "; " + e.Remedy }

// NoTreeError reports that neither the platform nor a peer had valid settings.
type NoTreeError struct {
	Err error // error of the platform or of its settings
}

// Error returns the cause and the remedy.
func (e *NoTreeError) Error() string {
	return fmt.Sprintf("no settings from the platform (%v) nor from a peer; write a first tree or check the addresses of platform and peers", e.Err)
}

// Unwrap returns the cause.
func (e *NoTreeError) Unwrap() error { return e.Err }
