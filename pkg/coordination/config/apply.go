package config

import (
	"fmt"
	"strings"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/settings"
)

// maxLoggedPaths bounds the changed paths in a log event.
const maxLoggedPaths = 20

// maxRequests bounds the request ids that are remembered.
const maxRequests = 1000

// Apply puts the document of a revision in force if the revision is higher
// than the current one. A document that is not valid is kept out, recorded as
// the fault of Current and returned as an error.
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
	d, tree, err := read(document)
	if err != nil {
		m.keepOut(old, revision, document, d, err)
		return false, err
	}
	next := m.snapshot(old, revision, d, tree, document)
	m.remember(revision, d)
	if m.config.ObserveAuthorTime != nil && !d.Plain {
		m.config.ObserveAuthorTime(d.At)
	}
	m.publish(next)
	m.logApplied(old, next)
	return true, nil
}

func read(document []byte) (*settings.Document, *settings.Tree, error) {
	d, err := settings.DecodeDocument(document)
	if err != nil {
		return nil, nil, err
	}
	tree, err := settings.Parse([]byte(d.Tree))
	return d, tree, err
}

func (m *Manager) snapshot(old *Snapshot, revision int64, d *settings.Document, tree *settings.Tree, raw []byte) *Snapshot {
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

// keepOut records the fault of a revision and leaves the tree in force.
func (m *Manager) keepOut(old *Snapshot, revision int64, raw []byte, d *settings.Document, err error) {
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

// publish makes next the current snapshot. It is called under the lock.
func (m *Manager) publish(next *Snapshot) {
	m.current.Store(next)
	for _, ch := range m.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// remember keeps the request ids of accepted changes, also of those that a
// write around the operator tool removes from the history.
func (m *Manager) remember(revision int64, d *settings.Document) {
	if len(m.requests) > maxRequests {
		clear(m.requests)
	}
	if d.Plain {
		return
	}
	for _, s := range d.History {
		if s.Revision != 0 {
			m.requests[s.RequestID] = s.Revision
		}
	}
	m.requests[d.RequestID] = revision
}

func (m *Manager) logApplied(old, s *Snapshot) {
	m.config.Logger.Log(eventApplied, eventlog.Fields{
		"revision": s.Revision, "author": s.Document.Author, "reason": s.Document.Reason,
		"request_id": s.Document.RequestID, "from_revision": old.Revision, "paths": pathsText(old.Tree, s.Tree),
	})
	if s.BypassReason == "" {
		return
	}
	for _, u := range s.Unattributed {
		m.config.Logger.Log(eventUnattributed, eventlog.Fields{
			"revision": u.Revision, "path": u.Path, "key": u.Key, "value": u.Value, "cause": s.BypassReason,
		})
	}
}

// pathsText lists the paths that differ, for the log.
func pathsText(old, new *settings.Tree) string {
	if old == nil {
		return "(first settings of this process)"
	}
	paths := settings.ChangedPaths(settings.Diff(old, new))
	if more := len(paths) - maxLoggedPaths; more > 0 {
		paths = append(paths[:maxLoggedPaths], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(paths, " ")
}
