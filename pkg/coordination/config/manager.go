// Package config keeps the operators' settings of an entry VM up to date: it
// accepts changes by compare-and-swap on the platform, spreads accepted
// revisions between the VMs, and never goes back to a lower revision.
package config

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/platform"
)

// Store keys of the settings.
const (
	// HeadKey holds the document in force.
	HeadKey = "settings/head"
	// RevisionPrefix is followed by the request id of a change; the key holds
	// the document of that change.
	RevisionPrefix = "settings/revision/"
)

// Peers reaches the other entry VMs.
type Peers interface {
	// FetchSettings asks the peer for its document if it is newer than have, and for
	// a document that is not valid if it is newer than rejected.
	FetchSettings(ctx context.Context, peerAddr string, have, rejected int64) (protocol.SettingsReply, error)
	// Random returns the addresses of up to n random live peers.
	Random(n int) []string
	// All returns the addresses of all known peers.
	All() []string
	// Announce tells a few random peers that this VM has revision.
	Announce(revision int64)
}

// Config holds what a Manager depends on.
type Config struct {
	// Store is the platform's key-value service.
	Store platform.Store
	// Peers reaches the other entry VMs.
	Peers Peers
	// IsWatcher tells whether this VM holds the watch of its region; two VMs of
	// a region should. nil means that it does.
	IsWatcher func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand spreads the intervals of polls and retries. It is used under a
	// lock. nil means a generator with a random seed.
	Rand *rand.Rand
	// ObserveAuthorTime is called with the time at which the author of a revision wrote
	// it, before the revision is logged, so that the time line puts it after
	// its cause. nil means nobody is told.
	ObserveAuthorTime func(at time.Time)
	// Logger receives the events 1200 to 1299.
	Logger *eventlog.Logger
}

// Snapshot is the state of the settings on this VM. It must not be changed.
type Snapshot struct {
	Revision     int64
	Tree         *settings.Tree
	Document     *settings.Document
	Raw          []byte // document as stored, for peers
	BypassReason string // why Document counts as unattributed, empty if it does not
	Unattributed []settings.Unattributed
	AppliedAt    time.Time
	Rejected     *RejectedRevision // higher revision that was kept out, nil if none
}

// RejectedRevision is a revision that was not applied because it is not valid.
type RejectedRevision struct {
	Revision int64
	Author   string
	Err      error
	At       time.Time
	raw      []byte // document as stored, for peers
}

// Manager holds the settings in force on this VM.
type Manager struct {
	config  Config
	current atomic.Pointer[Snapshot]
	// confirmed is the time of the last confirmation by the platform.
	confirmed atomic.Pointer[time.Time]

	mu          sync.Mutex // serialises apply; guards the fields below
	subscribers []chan struct{}
	requests    map[string]int64 // revisions of changes seen by request id
	random      *rand.Rand

	learned chan hint
}

// hint tells that a peer has a higher revision.
type hint struct {
	peer     string
	revision int64
}

// learnedBacklog bounds the hints that wait for Run.
const learnedBacklog = 16

// New returns a Manager without settings; Bootstrap fetches the first ones.
func New(c Config) *Manager {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.IsWatcher == nil {
		c.IsWatcher = func() bool { return true }
	}
	m := &Manager{
		config:   c,
		requests: map[string]int64{},
		random:   c.Rand,
		learned:  make(chan hint, learnedBacklog),
	}
	m.current.Store(&Snapshot{})
	return m
}

// Current returns the settings in force. Tree is nil before the first Apply.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Subscribe returns a channel that receives a value after each change of
// Current. Changes that follow each other closely may be merged.
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

// AnswerPeer answers a peer that has revision have and knows that rejected is
// not valid.
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
