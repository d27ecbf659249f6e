// Package config keeps the operators' settings on an entry VM up to date. It
// writes changes to the platform by compare-and-swap, spreads accepted
// revisions among the VMs, and never goes back to a lower revision.
//
// The document in force is called the head. The platform's revision of its key
// numbers the settings.
package config

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/internal/suspend"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/platform"
)

// Keys of the settings in the platform's store.
const (
	// HeadKey holds the document in force.
	HeadKey = "settings/head"
	// RevisionPrefix is followed by the request id of a change; the key holds
	// the document of that change.
	RevisionPrefix = "settings/revision/"
)

// Peers reaches the other entry VMs.
type Peers interface {
	// FetchSettings asks the peer for its document if its revision is higher
	// than have, and for the document that it rejected as invalid if the
	// revision of that is higher than rejected.
	FetchSettings(ctx context.Context, address string, have, rejected int64) (protocol.SettingsReply, error)
	// Random returns the addresses of up to n random live peers.
	Random(n int) []string
	// All returns the addresses of all known peers.
	All() []string
	// Announce notifies a few random peers that this VM has the revision.
	Announce(revision int64)
}

// Config holds the dependencies of a Manager.
type Config struct {
	// Store is the platform's key-value service.
	Store platform.Store
	// Peers reaches the other entry VMs.
	Peers Peers
	// IsWatcher reports whether this VM watches the head on the platform; two
	// VMs of a region should. nil means that it does.
	IsWatcher func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Suspended returns the time for which the machine has been suspended, which
	// Now does not count; nil means suspend.Total.
	Suspended func() time.Duration
	// Rand adds jitter to the pauses between retries. It is used under a lock.
	// nil means a generator with a random seed.
	Rand *rand.Rand
	// ObserveAuthorTime is called with the time at which a revision was
	// written, before the revision is logged, so that the timeline orders the
	// log event after the write. It may be nil.
	ObserveAuthorTime func(at time.Time)
	// Logger receives events 1200 to 1299.
	Logger *eventlog.Logger
}

// Snapshot is the state of the settings on this VM. It must not be changed.
type Snapshot struct {
	Revision     int64
	Tree         *settings.Tree
	Document     *settings.Document
	Raw          []byte // stored form of Document, for peers
	BypassReason string // why Document counts as written around the operator tool, empty if it does not
	Unattributed []settings.Unattributed
	AppliedAt    time.Time
	Rejected     *RejectedRevision // higher revision that was rejected, nil if there is none
}

// RejectedRevision is a revision that was not applied because its document is
// not valid.
type RejectedRevision struct {
	Revision int64
	Author   string
	Err      error
	At       time.Time
	raw      []byte // stored form of the document, for peers
}

// Manager holds the settings in force on this VM and keeps them up to date.
type Manager struct {
	config  Config
	current atomic.Pointer[Snapshot]
	// confirmedAt is the time of the last confirmation by the platform.
	confirmedAt atomic.Pointer[time.Time]

	mu                  sync.Mutex // serializes apply; guards the fields below
	subscribers         []chan struct{}
	revisionByRequestID map[string]int64 // revisions of accepted changes
	random              *rand.Rand

	peerRevisions chan peerRevision
}

// peerRevision is the announcement of a peer that it has a revision.
type peerRevision struct {
	peer     string
	revision int64
}

// peerRevisionsBacklog bounds the announcements that wait for Run.
const peerRevisionsBacklog = 16

// New returns a Manager without settings; Bootstrap fetches the first ones.
func New(config Config) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Suspended == nil {
		config.Suspended = suspend.Total
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.IsWatcher == nil {
		config.IsWatcher = func() bool { return true }
	}
	m := &Manager{
		config:              config,
		revisionByRequestID: map[string]int64{},
		random:              config.Rand,
		peerRevisions:       make(chan peerRevision, peerRevisionsBacklog),
	}
	m.current.Store(&Snapshot{})
	return m
}

// Current returns the settings in force. Its Tree is nil before the first
// valid revision is applied.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Subscribe returns a channel that receives a value after each change of
// Current. Changes in quick succession may produce a single value.
func (m *Manager) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, ch)
	return ch
}

// Unsubscribe ends a subscription made by Subscribe.
func (m *Manager) Unsubscribe(ch <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = slices.DeleteFunc(m.subscribers, func(c chan struct{}) bool { return c == ch })
}

// AnswerPeer returns the reply to a peer: the document in force if its revision
// is higher than have, and the rejected one if its revision is higher than
// rejected.
func (m *Manager) AnswerPeer(have, rejected int64) protocol.SettingsReply {
	s := m.Current()
	reply := protocol.SettingsReply{Revision: s.Revision}
	if s.Tree != nil && s.Revision > have {
		reply.Document = s.Raw
	}
	if s.Rejected != nil && s.Rejected.Revision > max(rejected, s.Revision) {
		reply.Rejected, reply.RejectedRevision = s.Rejected.raw, s.Rejected.Revision
	}
	return m.addAge(reply)
}
