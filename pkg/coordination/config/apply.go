package config

import (
	"fmt"
	"strings"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/settings"
)

// maxLoggedPaths bounds the number of changed paths in a log event.
const maxLoggedPaths = 20

// maxRequestIDs is the number of recorded request ids above which they are
// cleared.
const maxRequestIDs = 1000

// Apply puts the document of a revision in force if the revision is higher than
// the current one. It returns an error if the document is not valid; the
// revision is then recorded as Rejected of Current.
func (m *Manager) Apply(revision int64, document []byte) error {
	applied, err := m.apply(revision, document)
	if applied {
		m.config.Peers.Announce(revision)
	}
	return err
}

func (m *Manager) apply(revision int64, document []byte) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.Current()
	if revision <= old.Revision {
		return false, nil
	}
	if old.Rejected != nil && old.Rejected.Revision == revision {
		return false, old.Rejected.Err
	}
	d, tree, err := parseDocument(document)
	if err != nil {
		m.reject(old, revision, document, d, err)
		return false, err
	}
	next := m.newSnapshot(old, revision, d, tree, document)
	m.recordRequestIDs(revision, d)
	if m.config.ObserveAuthorTime != nil && !d.Plain {
		m.config.ObserveAuthorTime(d.At)
	}
	m.publish(next)
	m.logApplied(old, next)
	return true, nil
}

func parseDocument(document []byte) (*settings.Document, *settings.Tree, error) {
	d, err := settings.DecodeDocument(document)
	if err != nil {
		return nil, nil, err
	}
	tree, err := settings.Parse([]byte(d.Tree))
	return d, tree, err
}

func (m *Manager) newSnapshot(old *Snapshot, revision int64, d *settings.Document, tree *settings.Tree, raw []byte) *Snapshot {
	bypass := d.BypassReason(old.Revision)
	next := &Snapshot{
		Revision: revision, Tree: tree, Document: d, Raw: raw,
		BypassReason: bypass, AppliedAt: m.config.Now(),
	}
	if old.Rejected != nil && old.Rejected.Revision > revision {
		next.Rejected = old.Rejected
	}
	if bypass != "" && old.Document != nil {
		d.History = old.History()
		d.AddBypass(revision, bypass, settings.ChangedPaths(settings.Diff(old.Tree, tree)))
	}
	next.Unattributed = settings.FindUnattributed(d, revision, bypass != "", old.Tree, tree, old.Unattributed)
	return next
}

// reject records a revision as rejected and leaves the current tree in force.
func (m *Manager) reject(old *Snapshot, revision int64, raw []byte, d *settings.Document, err error) {
	if old.Rejected != nil && old.Rejected.Revision >= revision {
		return
	}
	next := *old
	next.Rejected = &RejectedRevision{Revision: revision, Err: err, At: m.config.Now(), raw: raw}
	if d != nil {
		next.Rejected.Author = d.Author
	}
	m.publish(&next)
	m.config.Logger.Log(eventInvalid, eventlog.Fields{
		"revision": revision, "in_force": old.Revision, "author": next.Rejected.Author, "error": err.Error(),
	})
}

// publish makes next the current snapshot and notifies the subscribers. The
// caller holds the lock.
func (m *Manager) publish(next *Snapshot) {
	m.current.Store(next)
	for _, ch := range m.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// recordRequestIDs records the request ids of accepted changes, so that
// findAccepted finds them even after a write around the operator tool has
// removed them from the history. The caller holds the lock.
func (m *Manager) recordRequestIDs(revision int64, d *settings.Document) {
	if len(m.revisionByRequestID) > maxRequestIDs {
		clear(m.revisionByRequestID)
	}
	if d.Plain {
		return
	}
	for _, s := range d.History {
		if s.Revision != 0 {
			m.revisionByRequestID[s.RequestID] = s.Revision
		}
	}
	m.revisionByRequestID[d.RequestID] = revision
}

func (m *Manager) logApplied(old, next *Snapshot) {
	m.config.Logger.Log(eventApplied, eventlog.Fields{
		"revision": next.Revision, "author": next.Document.Author, "reason": next.Document.Reason,
		"request_id": next.Document.RequestID, "from_revision": old.Revision, "paths": formatChangedPaths(old.Tree, next.Tree),
	})
	if next.BypassReason == "" {
		return
	}
	for _, u := range next.Unattributed {
		m.config.Logger.Log(eventUnattributed, eventlog.Fields{
			"revision": u.Revision, "path": u.Path, "key": u.Key, "value": u.Value, "cause": next.BypassReason,
		})
	}
}

// formatChangedPaths returns the paths that differ between two trees as text
// for the log.
func formatChangedPaths(old, next *settings.Tree) string {
	if old == nil {
		return "(first settings of this process)"
	}
	paths := settings.ChangedPaths(settings.Diff(old, next))
	if more := len(paths) - maxLoggedPaths; more > 0 {
		paths = append(paths[:maxLoggedPaths], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(paths, " ")
}
