package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"hickoryroute/pkg/transport/platform"
)

// Limits of the change history in a document.
const (
	maxHistory      = 50
	maxHistoryPaths = 20
)

// Document is the value of the store key settings/head: an envelope with the
// text of a tree and the change that produced it.
type Document struct {
	Author       string          `json:"author"`
	Reason       string          `json:"reason"`
	At           time.Time       `json:"at"`
	RequestID    string          `json:"request_id"`
	BaseRevision int64           `json:"base_revision"` // revision that the change was based on
	TreeSHA256   string          `json:"tree_sha256"`
	Tree         string          `json:"tree"`
	History      []ChangeSummary `json:"history,omitempty"`      // oldest first; the last one is this change
	Unattributed []Unattributed  `json:"unattributed,omitempty"` // from earlier writes and still in force

	// Plain is set by DecodeDocument for a text without an envelope.
	Plain bool `json:"-"`
}

// ChangeSummary describes one accepted change. Revision is 0 for the change that
// wrote the document itself, since the store assigns it on writing.
type ChangeSummary struct {
	Revision  int64     `json:"revision,omitempty"`
	Author    string    `json:"author"`
	Reason    string    `json:"reason"`
	At        time.Time `json:"at"`
	RequestID string    `json:"request_id"`
	Paths     []string  `json:"paths,omitempty"`
	MorePaths int       `json:"more_paths,omitempty"` // number of paths left out of Paths
}

// NewDocument returns a document for the text of a tree, based on the document
// at revision base. Its history holds only this change; PrependHistory adds
// that of the previous document.
func NewDocument(text []byte, author, reason, requestID string, at time.Time, base int64, changed []string) *Document {
	d := &Document{
		Author: author, Reason: reason, At: at.UTC(), RequestID: requestID,
		BaseRevision: base, Tree: string(text), TreeSHA256: Digest(text),
	}
	d.History = []ChangeSummary{d.summary(changed)}
	return d
}

func (d *Document) summary(changed []string) ChangeSummary {
	s := ChangeSummary{Author: d.Author, Reason: d.Reason, At: d.At, RequestID: d.RequestID, Paths: changed}
	if len(changed) > maxHistoryPaths {
		s.Paths, s.MorePaths = changed[:maxHistoryPaths], len(changed)-maxHistoryPaths
	}
	return s
}

// Digest returns the SHA-256 digest of the text of a tree in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// PrependHistory puts the history of the previous document, which is stored at
// revision d.BaseRevision, before the change of d.
func (d *Document) PrependHistory(previous []ChangeSummary) {
	history := append([]ChangeSummary(nil), previous...)
	if n := len(history); n > 0 && history[n-1].Revision == 0 {
		history[n-1].Revision = d.BaseRevision
	}
	history = append(history, d.History...)
	d.History = history[max(0, len(history)-maxHistory):]
}

// AddBypass appends a summary without an author for a write that bypassed the
// operator tool.
func (d *Document) AddBypass(revision int64, cause string, changed []string) {
	s := (&Document{Reason: "written around the operator tool: " + cause}).summary(changed)
	s.Revision = revision
	d.History = append(d.History, s)
}

// FindRequest returns the revision at which the change with the given request id
// was accepted, or false if it is not in the history. revision is that at which
// d is stored.
func (d *Document) FindRequest(requestID string, revision int64) (int64, bool) {
	if requestID == "" {
		return 0, false
	}
	if d.RequestID == requestID {
		return revision, true
	}
	for _, s := range d.History {
		if s.RequestID == requestID {
			return s.Revision, true
		}
	}
	return 0, false
}

// EncodeDocument returns d as JSON. It leaves out the oldest summaries if the
// document would not fit into one value of the store.
func EncodeDocument(d *Document) ([]byte, error) {
	c := *d
	for {
		text, err := json.Marshal(&c)
		if err != nil {
			return nil, &Error{Message: err.Error(), Remedy: "report this error with the tree that caused it"}
		}
		if len(text) <= platform.MaxValueBytes {
			return text, nil
		}
		if len(c.History) <= 1 {
			return nil, ErrorList{{
				Message: fmt.Sprintf("document has %d bytes, more than %d", len(text), platform.MaxValueBytes),
				Remedy:  "remove unused targets, client blocks or expired overrides",
			}}
		}
		c.History = c.History[(len(c.History)+1)/2:]
	}
}

// DecodeDocument decodes a document. A text without an envelope is taken as the
// YAML text of a tree. The tree itself is not parsed.
func DecodeDocument(raw []byte) (*Document, error) {
	if len(raw) > platform.MaxValueBytes {
		return nil, &Error{
			Message: fmt.Sprintf("document has %d bytes, more than %d", len(raw), platform.MaxValueBytes),
			Remedy:  "write a smaller document",
		}
	}
	d := &Document{}
	if err := json.Unmarshal(raw, d); err != nil || d.TreeSHA256 == "" && d.Tree == "" {
		return &Document{Tree: string(raw), Plain: true}, nil
	}
	return d, nil
}

// ChangesSince returns the summaries of the changes after the revision base.
func (d *Document) ChangesSince(base int64) []ChangeSummary {
	for i, s := range d.History {
		if s.Revision == 0 || s.Revision > base {
			return d.History[i:]
		}
	}
	return nil
}

// CoversChangesSince reports whether the history of d contains every change that
// is based on the revision base or a later one.
func (d *Document) CoversChangesSince(base int64) bool {
	if d.BaseRevision == base || base == 0 && len(d.History) < maxHistory {
		return true
	}
	for _, s := range d.History {
		if s.Revision == base {
			return true
		}
	}
	return false
}
