package config

import (
	"context"
	"sync"
	"time"

	"hickoryroute/pkg/eventlog"
)

// Limits of fetches of the settings.
const (
	fetchTimeout         = 2 * time.Second
	maxConcurrentFetches = 16
)

// Bootstrap fetches the settings once from all peers and from the platform, and
// applies the highest revision. It returns *NoTreeError if none of them has a
// valid tree; the caller should then try again.
func (m *Manager) Bootstrap(ctx context.Context) error {
	// The peers come first: if the platform answers with an outdated revision,
	// that revision would otherwise be in force until the peers have answered.
	m.fetchFromPeers(ctx, m.config.Peers.All())
	err := m.Refresh(ctx)
	s := m.Current()
	if s.Tree != nil {
		m.config.Logger.Log(eventBootstrapped, eventlog.Fields{"revision": s.Revision})
		return nil
	}
	if err == nil && s.Rejected != nil {
		err = s.Rejected.Err
	}
	return &NoTreeError{Err: err}
}

// Refresh reads the head from the platform and applies it.
func (m *Manager) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	askedAt := m.ageNow()
	head, err := m.config.Store.Get(ctx, HeadKey)
	if err != nil {
		return err
	}
	err = m.Apply(head.Revision, head.Value)
	m.recordHeadRead(head.Revision, askedAt)
	return err
}

// fetchFromPeers asks all peers for newer settings, a limited number of them at
// a time.
func (m *Manager) fetchFromPeers(ctx context.Context, peers []string) {
	queue := make(chan string)
	var wg sync.WaitGroup
	for range min(maxConcurrentFetches, len(peers)) {
		wg.Go(func() {
			for peer := range queue {
				m.FetchFromPeer(ctx, peer)
			}
		})
	}
	for _, peer := range peers {
		queue <- peer
	}
	close(queue)
	wg.Wait()
}

// FetchFromPeer asks one peer for its settings and applies them if they are
// newer.
func (m *Manager) FetchFromPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	askedAt := m.ageNow()
	reply, err := m.config.Peers.FetchSettings(ctx, peer, m.Current().Revision, m.highestSeenRevision())
	if err != nil {
		m.config.Logger.Log(eventPeerFailed, eventlog.Fields{"peer": peer, "error": err.Error()})
		return
	}
	if len(reply.Document) > 0 {
		_ = m.Apply(reply.Revision, reply.Document) // an invalid document is recorded in Current
	}
	if len(reply.Rejected) > 0 {
		_ = m.Apply(reply.RejectedRevision, reply.Rejected) // is rejected and recorded in Current
	}
	m.recordPeerConfirmation(reply, askedAt)
}

// NotePeerRevision makes Run fetch the settings from a peer that has announced
// a higher revision. It does not block and drops the announcement if too many
// are waiting; the regular comparison with random peers makes up for that.
func (m *Manager) NotePeerRevision(peer string, revision int64) {
	if revision <= m.Current().Revision {
		return
	}
	select {
	case m.peerRevisions <- peerRevision{peer, revision}:
	default:
	}
}
