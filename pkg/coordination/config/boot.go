package config

import (
	"context"
	"sync"
	"time"

	"hickoryroute/pkg/eventlog"
)

// Limits of the first fetch of the settings.
const (
	bootCallTimeout = 2 * time.Second
	bootWorkers     = 16
)

// Bootstrap asks all peers and the platform once and applies the highest revision.
// It returns *NoTreeError if none of them has a valid tree; the caller then
// tries again.
func (m *Manager) Bootstrap(ctx context.Context) error {
	// The peers come first: a platform that answers from an old state would
	// otherwise put that in force until the peers have answered.
	m.askPeers(ctx, m.config.Peers.All())
	err := m.Refresh(ctx)
	s := m.Current()
	if s.Tree != nil {
		m.config.Logger.Log(eventBooted, eventlog.Fields{"revision": s.Revision})
		return nil
	}
	if err == nil && s.Rejected != nil {
		err = s.Rejected.Err
	}
	return &NoTreeError{Err: err}
}

// Refresh reads the head from the platform and applies it.
func (m *Manager) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, bootCallTimeout)
	defer cancel()
	asked := m.config.Now()
	head, err := m.config.Store.Get(ctx, HeadKey)
	if err != nil {
		return err
	}
	err = m.Apply(head.Revision, head.Value)
	m.confirmRead(head.Revision, asked)
	return err
}

// askPeers fetches from all peers that have a higher revision than this VM at
// the time they are asked.
func (m *Manager) askPeers(ctx context.Context, peers []string) {
	work := make(chan string)
	var wg sync.WaitGroup
	for range min(bootWorkers, len(peers)) {
		wg.Go(func() {
			for peer := range work {
				m.FetchFromPeer(ctx, peer)
			}
		})
	}
	for _, peer := range peers {
		work <- peer
	}
	close(work)
	wg.Wait()
}

// FetchFromPeer asks one peer for its settings and applies them if they are newer.
func (m *Manager) FetchFromPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, bootCallTimeout)
	defer cancel()
	asked := m.config.Now()
	reply, err := m.config.Peers.FetchSettings(ctx, peer, m.Current().Revision, m.seen())
	if err != nil {
		m.config.Logger.Log(eventPeerFailed, eventlog.Fields{"peer": peer, "error": err.Error()})
		return
	}
	if len(reply.Document) > 0 {
		_ = m.Apply(reply.Revision, reply.Document) // a fault is kept in Current
	}
	if len(reply.Rejected) > 0 {
		_ = m.Apply(reply.RejectedRevision, reply.Rejected) // kept out here too, and shown
	}
	m.confirmByPeer(reply, asked)
}

// NotePeerRevision tells Run that a peer has a higher revision. It does not block; a
// hint that is lost is made up for by the comparison with random peers.
func (m *Manager) NotePeerRevision(peer string, revision int64) {
	if revision <= m.Current().Revision {
		return
	}
	select {
	case m.learned <- hint{peer, revision}:
	default:
	}
}
