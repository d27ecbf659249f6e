package config

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1") // generates the same cases in each run
	os.Exit(m.Run())
}

const firstTree = `regions:
  sask:
    zones: [sask-a]
    rules: {weight: 10}
    services:
      cluebook:
        targets:
          c1: {address: 127.0.0.1:9001, zone: sask-a, slots: 3}
`

// fault is the failure of one call to the fake store.
type fault int

const (
	noFault      fault = iota
	unavailable        // nothing is written
	replyLost          // written, but the reply is lost
	requestLost        // not written, and the reply is lost
	delayedWrite       // written at a later call, and the reply is lost
	staleRead          // reads return the entry before the last write
	faultKinds   = int(staleRead) + 1
)

// fakeStore keeps entries in memory and fails as nextFault says.
type fakeStore struct {
	platform.Store  // panics on calls that no test needs
	mu              sync.Mutex
	entries         map[string]platform.Entry
	previousEntries map[string]platform.Entry
	heads           []platform.Entry // every accepted head
	revision        int64
	delayedWrites   []func()
	nextFault       func(op string) fault
	headChanged     chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: map[string]platform.Entry{}, previousEntries: map[string]platform.Entry{},
		nextFault: func(string) fault { return noFault }, headChanged: make(chan struct{}),
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.nextFault("get")
	e, ok := s.entries[key]
	switch f {
	case noFault, delayedWrite:
	case staleRead:
		e, ok = s.previousEntries[key]
	default:
		return platform.Entry{}, platform.ErrUnavailable
	}
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expect int64, _ platform.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.delayedWrites {
		write()
	}
	s.delayedWrites = nil
	switch s.nextFault("cas") {
	case unavailable:
		return 0, platform.ErrUnavailable
	case requestLost:
		return 0, platform.ErrReplyLost
	case replyLost:
		_, _ = s.write(key, value, expect)
		return 0, platform.ErrReplyLost
	case delayedWrite:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.write(key, value, expect) })
		return 0, platform.ErrReplyLost
	}
	return s.write(key, value, expect)
}

func (s *fakeStore) write(key string, value []byte, expect int64) (int64, error) {
	if e := s.entries[key]; e.Revision != expect {
		return 0, &platform.ConflictError{Current: e}
	}
	s.revision++
	if old, ok := s.entries[key]; ok {
		s.previousEntries[key] = old
	}
	e := platform.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.entries[key] = e
	if key == HeadKey {
		s.heads = append(s.heads, e)
		close(s.headChanged)
		s.headChanged = make(chan struct{})
	}
	return s.revision, nil
}

// putHead writes the head around the operator tool.
func (s *fakeStore) putHead(value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, _ := s.write(HeadKey, []byte(value), s.entries[HeadKey].Revision)
	return revision
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, error) {
	for {
		s.mu.Lock()
		e, changed, f := s.entries[prefix], s.headChanged, s.nextFault("watch")
		s.mu.Unlock()
		if f != noFault {
			return nil, platform.ErrUnavailable
		}
		if e.Revision > after {
			return []platform.Entry{e}, nil
		}
		select {
		case <-changed:
		case <-time.After(30 * time.Second):
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// countAccepted returns the number of heads with the request id.
func (s *fakeStore) countAccepted(t assert.TestingT, requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.heads {
		d, err := settings.DecodeDocument(e.Value)
		assert.NilError(t, err)
		if d.RequestID == requestID {
			n++
		}
	}
	return n
}

// fakePeers connects managers by name.
type fakePeers struct {
	managers    map[string]*Manager
	names       []string
	unreachable bool
}

func (p *fakePeers) FetchSettings(_ context.Context, name string, have, rejected int64) (protocol.SettingsReply, error) {
	if p.unreachable || p.managers[name] == nil {
		return protocol.SettingsReply{}, errors.New("peer is unreachable")
	}
	return p.managers[name].AnswerPeer(have, rejected), nil
}

func (p *fakePeers) All() []string { return p.names }

func (p *fakePeers) Random(n int) []string { return p.names[:min(n, len(p.names))] }

func (p *fakePeers) Announce(int64) {}

func newTestManager(store platform.Store, peers Peers) *Manager {
	return New(Config{Store: store, Peers: peers, Rand: rand.New(rand.NewPCG(1, 2))})
}

// setWeightEdit returns an edit that sets the weight of sask.
func setWeightEdit(id string, base int64, value int) Edit {
	return Edit{
		Author: "author-" + id, Reason: "reason-" + id, RequestID: id, BaseRevision: base,
		Mutate: func(t *settings.Tree) (*settings.Tree, error) {
			if len(t.Regions) == 0 {
				return settings.Parse([]byte(strings.Replace(firstTree, "weight: 10", fmt.Sprintf("weight: %d", value), 1)))
			}
			region := t.Regions["sask"]
			region.Rules.Weight = &value
			t.Regions["sask"] = region
			return t, nil
		},
	}
}

// newStoreWithRevision returns a store with one accepted revision and a manager
// that uses it.
func newStoreWithRevision(t *testing.T) (*fakeStore, *Manager) {
	t.Helper()
	store := newFakeStore()
	m := newTestManager(store, &fakePeers{})
	_, err := m.Propose(t.Context(), setWeightEdit("first", 0, 10))
	assert.NilError(t, err)
	return store, m
}
