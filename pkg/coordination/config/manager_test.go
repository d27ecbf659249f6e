package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/platform"
)

// Guards against a VM that goes back to an older revision or runs an invalid
// one.
func TestApplyKeepsTheHighestValidRevision(t *testing.T) {
	store, m := started(t)
	first := m.Current()
	assert.NilError(t, m.Apply(first.Revision-1, []byte(tree)))
	assert.Equal(t, m.Current(), first)
	bad := store.put("regions: {}")
	assert.ErrorContains(t, m.Refresh(t.Context()), "at least one region")
	s := m.Current()
	assert.Equal(t, s.Revision, first.Revision)
	assert.Equal(t, s.Tree, first.Tree)
	assert.Equal(t, s.Rejected.Revision, bad)
	assert.Equal(t, m.AnswerPeer(0, 0).Revision, first.Revision)
	revision, err := m.Propose(t.Context(), weight("repair", first.Revision, 20))
	assert.NilError(t, err)
	assert.Equal(t, m.Current().Revision, revision)
	assert.Assert(t, m.Current().Rejected == nil)
	assert.Equal(t, m.Current().BypassReason, "")
}

// Guards against a VM that starts with less than it could have learned, or is
// ready without settings.
func TestBootTakesTheHighestRevision(t *testing.T) {
	store, ahead := started(t)
	behind := newManager(store, &fakePeers{})
	assert.NilError(t, behind.Bootstrap(t.Context()))
	_, err := ahead.Propose(t.Context(), weight("second", 0, 20))
	assert.NilError(t, err)
	peers := &fakePeers{managers: map[string]*Manager{"a": behind, "b": ahead}, names: []string{"gone", "a", "b"}}
	store.next = func(string) fault { return stale }
	m := newManager(store, peers)
	assert.NilError(t, m.Bootstrap(t.Context()))
	assert.Equal(t, m.Current().Revision, ahead.Current().Revision)
	store.next = func(string) fault { return down }
	m = newManager(store, peers)
	assert.NilError(t, m.Bootstrap(t.Context()))
	assert.Equal(t, m.Current().Revision, ahead.Current().Revision)
	peers.cut = true
	var none *NoTreeError
	assert.Assert(t, errors.As(newManager(store, peers).Bootstrap(t.Context()), &none))
	assert.ErrorIs(t, none, platform.ErrUnavailable)
}

// Guards against an operator who loses a race without learning to whom.
func TestConflictNamesTheOtherChange(t *testing.T) {
	store, m := started(t)
	base := m.Current().Revision
	other := newManager(store, &fakePeers{})
	won, err := other.Propose(t.Context(), weight("other", base, 20))
	assert.NilError(t, err)
	_, err = m.Propose(t.Context(), weight("mine", base, 30))
	var c *ConflictError
	assert.Assert(t, errors.As(err, &c), "%v", err)
	assert.DeepEqual(t, *c, ConflictError{
		BaseRevision: base, Revision: won, Author: "author-other", Reason: "reason-other", RequestID: "other", Paths: []string{"sask"},
	})
	assert.Equal(t, store.accepted(t, "mine"), 0)
}

// Guards against changes that are accepted without an author, a reason or a
// valid tree.
func TestProposeRefusesIncompleteChanges(t *testing.T) {
	store, m := started(t)
	for want, spoil := range map[string]func(*Edit){
		"author":                func(e *Edit) { e.Author = " " },
		"reason":                func(e *Edit) { e.Reason = "" },
		"request id":            func(e *Edit) { e.RequestID = "../head" },
		"does nothing":          func(e *Edit) { e.Mutate = nil },
		"outside 0 to 1000":     func(e *Edit) { e.Mutate = weight("x", 0, 1001).Mutate },
		"no region that serves": func(e *Edit) { e.Mutate = weight("x", 0, 0).Mutate },
		"that serves it at": func(e *Edit) {
			e.Mutate = func(t *settings.Tree) (*settings.Tree, error) {
				drain, now := true, time.Now()
				return t.SetOverride(settings.Override{
					Path: "/", Rules: settings.Rules{Drain: &drain}, Author: "an", Reason: "test",
					SetAt: now, Expires: now.Add(time.Hour),
				})
			}
		},
	} {
		edit := weight("bad", 0, 20)
		spoil(&edit)
		_, err := m.Propose(t.Context(), edit)
		assert.ErrorContains(t, err, want)
	}
	assert.Equal(t, len(store.heads), 1)
	store.next = func(string) fault { return down }
	_, err := m.Propose(t.Context(), weight("down", 0, 20))
	var unavailable *PlatformError
	assert.Assert(t, errors.As(err, &unavailable))
}

// Guards against unattributed settings that vanish with the next recorded
// change, and against wrong names in the history.
func TestUnattributedStaysUntilAdopted(t *testing.T) {
	store, m := started(t)
	revision := store.put(strings.NewReplacer("slots: 3", "slots: 9", "weight: 10", "weight: 11").Replace(tree))
	assert.NilError(t, m.Refresh(t.Context()))
	assert.Equal(t, m.Current().BypassReason, "no envelope")
	assert.Equal(t, fmt.Sprint(m.Current().Unattributed),
		fmt.Sprintf("[{sask weight 11 %d} {sask/cluebook/c1 slots 9 %d}]", revision, revision))
	_, err := m.Propose(t.Context(), weight("on-top", revision, 20))
	assert.NilError(t, err)
	late := newManager(store, &fakePeers{})
	assert.NilError(t, late.Bootstrap(t.Context()))
	for _, vm := range []*Manager{m, late} {
		assert.Equal(t, vm.Current().BypassReason, "")
		assert.Equal(t, fmt.Sprint(vm.Current().Unattributed), fmt.Sprintf("[{sask/cluebook/c1 slots 9 %d}]", revision))
	}
	var authors []string
	for _, s := range late.History(t.Context()) {
		authors = append(authors, fmt.Sprint(s.Revision, s.Author))
	}
	assert.DeepEqual(t, authors, []string{"2author-first", "3", "5author-on-top"})
	adopt := weight("adopt", 0, 20)
	adopt.AdoptUnattributed = true
	_, err = late.Propose(t.Context(), adopt)
	assert.NilError(t, err)
	assert.Equal(t, len(late.Current().Unattributed), 0)
	d, err := late.ChangeDocument(t.Context(), "on-top")
	assert.NilError(t, err)
	assert.Equal(t, d.Author, "author-on-top")
}

// Guards against a repeated change that is written again because a write
// around the operator tool removed it from the history, or broke the tree.
func TestRepeatedChangeIsAcceptedOnce(t *testing.T) {
	store, m := started(t)
	first := store.heads[0]
	store.put(tree)
	revision, err := m.Propose(t.Context(), weight("first", 0, 10))
	assert.NilError(t, err)
	assert.Equal(t, revision, first.Revision)
	d, err := settings.DecodeDocument(first.Value)
	assert.NilError(t, err)
	d.Tree = "regions: {}"
	broken, err := settings.EncodeDocument(d)
	assert.NilError(t, err)
	accepted := store.put(string(broken))
	revision, err = newManager(store, &fakePeers{}).Propose(t.Context(), weight("first", 0, 10))
	assert.NilError(t, err)
	assert.Equal(t, revision, accepted)
	assert.Equal(t, len(store.heads), 3)
}

// Guards against a change that is reported as failed although it was accepted
// and then overwritten around the operator tool before the head was read back.
func TestOverwrittenChangeIsUnresolved(t *testing.T) {
	store, m := started(t)
	calls := 0
	store.next = func(op string) fault {
		calls++
		switch calls {
		case 3: // the head, after a read and the text of the change
			return lost
		case 4:
			_, _ = store.write(HeadKey, []byte(tree), store.entries[HeadKey].Revision)
		}
		return works
	}
	_, err := m.Propose(t.Context(), weight("second", 0, 20))
	var unresolved *UnresolvedError
	assert.Assert(t, errors.As(err, &unresolved), "%v", err)
	assert.Equal(t, store.accepted(t, "second"), 1)
}

// Guards against a change that is written over and over while the platform
// takes every write and loses every reply.
func TestEveryWriteReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, m := started(t)
		store.next = func(op string) fault { return map[string]fault{"cas": lost}[op] }
		_, err := m.Propose(t.Context(), weight("second", 0, 20))
		assert.NilError(t, err)
		assert.Equal(t, store.accepted(t, "second"), 1)
	})
}

// Guards against VMs that miss a revision: watchers while the watch fails,
// the others while they have no watch, and all of them after a hint.
func TestRunFollowsTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, editor := started(t)
		watcher := newManager(store, &fakePeers{})
		peers := &fakePeers{managers: map[string]*Manager{"watcher": watcher}, names: []string{"watcher"}}
		other := New(Config{Store: store, Peers: peers, IsWatcher: func() bool { return false }})
		changed := watcher.Subscribe()
		go watcher.Run(ctx)
		go other.Run(ctx)
		propose := func(id string, value int) int64 {
			revision, err := editor.Propose(t.Context(), weight(id, 0, value))
			assert.NilError(t, err)
			return revision
		}
		revision := propose("second", 20)
		synctest.Wait()
		assert.Equal(t, watcher.Current().Revision, revision)
		assert.Equal(t, len(changed), 1)
		time.Sleep(compareInterval + time.Millisecond)
		assert.Equal(t, other.Current().Revision, revision)

		revision = propose("third", 30)
		synctest.Wait()
		other.NotePeerRevision("watcher", revision)
		synctest.Wait()
		assert.Equal(t, other.Current().Revision, revision)

		store.mu.Lock()
		store.next = func(op string) fault { return map[string]fault{"watch": down}[op] }
		store.mu.Unlock()
		time.Sleep(time.Minute)
		revision = propose("fourth", 40)
		time.Sleep(maxWatchBackoff)
		assert.Equal(t, watcher.Current().Revision, revision)

		watches := 0
		store.mu.Lock()
		store.next = func(op string) fault {
			if op == "watch" {
				watches++
			}
			return fault(min(watches/100, 1)) // fails after 100 so that a busy loop ends
		}
		store.mu.Unlock()
		store.put("regions: {}")
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		store.mu.Lock()
		defer store.mu.Unlock()
		assert.Assert(t, watches < 20, "an invalid head keeps the watch busy: %d calls a minute", watches)
	})
}

// Guards against a fault that only the VMs with a watch show: the others learn
// of a revision that is not valid from their peers, once, and keep the last
// valid one.
func TestPeersPassOnRejectedRevisions(t *testing.T) {
	peers := &fakePeers{managers: map[string]*Manager{}, names: []string{"watcher"}}
	watcher := newManager(newFakeStore(), &fakePeers{})
	peers.managers["watcher"] = watcher
	other := newManager(newFakeStore(), peers)
	assert.NilError(t, watcher.Apply(5, []byte(tree)))
	assert.Assert(t, watcher.Apply(6, []byte("regions: [")) != nil)
	other.FetchFromPeer(t.Context(), "watcher")
	s := other.Current()
	assert.Equal(t, s.Revision, int64(5))
	assert.Assert(t, s.Rejected != nil)
	assert.Equal(t, s.Rejected.Revision, int64(6))
	assert.Equal(t, len(watcher.AnswerPeer(s.Revision, s.Rejected.Revision).Rejected), 0)
}
