package config

import (
	"context"

	"hickoryroute/pkg/state/settings"
)

// History returns the most recent changes up to s, newest last, each with its
// revision. A write around the operator tool has no author.
func (s *Snapshot) History() []settings.ChangeSummary {
	if s.Document == nil {
		return nil
	}
	history := append([]settings.ChangeSummary(nil), s.Document.History...)
	if n := len(history); n > 0 && history[n-1].Revision == 0 {
		history[n-1].Revision = s.Revision
	}
	return history
}

// History returns the most recent changes, newest last. It reads the head, and
// falls back to the settings in force if the platform does not answer.
func (m *Manager) History(ctx context.Context) []settings.ChangeSummary {
	_ = m.Refresh(ctx) // the settings in force are the fallback
	return m.Current().History()
}

// ChangeDocument returns the document of the change with the given request id,
// whether the change was accepted or not.
func (m *Manager) ChangeDocument(ctx context.Context, requestID string) (*settings.Document, error) {
	if !requestIDPattern.MatchString(requestID) {
		return nil, &EditError{"request id is not valid", "take one from the history"}
	}
	entry, err := m.config.Store.Get(ctx, RevisionPrefix+requestID)
	if err != nil {
		return nil, &PlatformError{"reading the document of the change", err}
	}
	return settings.DecodeDocument(entry.Value)
}
