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

// Guards against a VM that goes back to a lower revision or applies an invalid
// one.
func TestApplyKeepsTheHighestValidRevision(t *testing.T) {
	store, m := newStoreWithRevision(t)
	first := m.Current()
	assert.NilError(t, m.Apply(first.Revision-1, []byte(firstTree)))
	assert.Equal(t, m.Current(), first)
	bad := store.putHead("regions: {}")
	assert.ErrorContains(t, m.Refresh(t.Context()), "at least one region")
	s := m.Current()
	assert.Equal(t, s.Revision, first.Revision)
	assert.Equal(t, s.Tree, first.Tree)
	assert.Equal(t, s.Rejected.Revision, bad)
	assert.Equal(t, m.AnswerPeer(0, 0).Revision, first.Revision)
	revision, err := m.Propose(t.Context(), setWeightEdit("repair", first.Revision, 20))
	assert.NilError(t, err)
	assert.Equal(t, m.Current().Revision, revision)
	assert.Assert(t, m.Current().Rejected == nil)
	assert.Equal(t, m.Current().BypassReason, "")
}

// Guards against a VM that starts with a lower revision than its peers could
// have supplied, or that starts without settings.
func TestBootstrapTakesTheHighestRevision(t *testing.T) {
	store, ahead := newStoreWithRevision(t)
	behind := newTestManager(store, &fakePeers{})
	assert.NilError(t, behind.Bootstrap(t.Context()))
	_, err := ahead.Propose(t.Context(), setWeightEdit("second", 0, 20))
	assert.NilError(t, err)
	peers := &fakePeers{managers: map[string]*Manager{"a": behind, "b": ahead}, names: []string{"gone", "a", "b"}}
	store.nextFault = func(string) fault { return staleRead }
	m := newTestManager(store, peers)
	assert.NilError(t, m.Bootstrap(t.Context()))
	assert.Equal(t, m.Current().Revision, ahead.Current().Revision)
	store.nextFault = func(string) fault { return unavailable }
	m = newTestManager(store, peers)
	assert.NilError(t, m.Bootstrap(t.Context()))
	assert.Equal(t, m.Current().Revision, ahead.Current().Revision)
	peers.unreachable = true
	var none *NoTreeError
	assert.Assert(t, errors.As(newTestManager(store, peers).Bootstrap(t.Context()), &none))
	assert.ErrorIs(t, none, platform.ErrUnavailable)
}

// Guards against a conflict error that does not describe the change that was
// accepted first.
func TestConflictNamesTheOtherChange(t *testing.T) {
	store, m := newStoreWithRevision(t)
	base := m.Current().Revision
	other := newTestManager(store, &fakePeers{})
	won, err := other.Propose(t.Context(), setWeightEdit("other", base, 20))
	assert.NilError(t, err)
	_, err = m.Propose(t.Context(), setWeightEdit("mine", base, 30))
	var c *ConflictError
	assert.Assert(t, errors.As(err, &c), "%v", err)
	assert.DeepEqual(t, *c, ConflictError{
		BaseRevision: base, Revision: won, Author: "author-other", Reason: "reason-other", RequestID: "other", Paths: []string{"sask"},
	})
	assert.Equal(t, store.countAccepted(t, "mine"), 0)
}

// Guards against changes that are accepted without an author, a reason or a
// valid tree.
func TestProposeRefusesIncompleteChanges(t *testing.T) {
	store, m := newStoreWithRevision(t)
	for want, spoil := range map[string]func(*Edit){
		"author":                func(e *Edit) { e.Author = " " },
		"reason":                func(e *Edit) { e.Reason = "" },
		"request id":            func(e *Edit) { e.RequestID = "../head" },
		"does nothing":          func(e *Edit) { e.Mutate = nil },
		"outside 0 to 1000":     func(e *Edit) { e.Mutate = setWeightEdit("x", 0, 1001).Mutate },
		"no region that serves": func(e *Edit) { e.Mutate = setWeightEdit("x", 0, 0).Mutate },
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
		edit := setWeightEdit("bad", 0, 20)
		spoil(&edit)
		_, err := m.Propose(t.Context(), edit)
		assert.ErrorContains(t, err, want)
	}
	assert.Equal(t, len(store.heads), 1)
	store.nextFault = func(string) fault { return unavailable }
	_, err := m.Propose(t.Context(), setWeightEdit("down", 0, 20))
	var unavailable *PlatformError
	assert.Assert(t, errors.As(err, &unavailable))
}

// Guards against unattributed settings that are forgotten after the next
// attributed change, and against wrong authors in the history.
func TestUnattributedStaysUntilAdopted(t *testing.T) {
	store, m := newStoreWithRevision(t)
	revision := store.putHead(strings.NewReplacer("slots: 3", "slots: 9", "weight: 10", "weight: 11").Replace(firstTree))
	assert.NilError(t, m.Refresh(t.Context()))
	assert.Equal(t, m.Current().BypassReason, "no envelope")
	assert.Equal(t, fmt.Sprint(m.Current().Unattributed),
		fmt.Sprintf("[{sask weight 11 %d} {sask/cluebook/c1 slots 9 %d}]", revision, revision))
	_, err := m.Propose(t.Context(), setWeightEdit("on-top", revision, 20))
	assert.NilError(t, err)
	late := newTestManager(store, &fakePeers{})
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
	adopt := setWeightEdit("adopt", 0, 20)
	adopt.AdoptUnattributed = true
	_, err = late.Propose(t.Context(), adopt)
	assert.NilError(t, err)
	assert.Equal(t, len(late.Current().Unattributed), 0)
	d, err := late.ChangeDocument(t.Context(), "on-top")
	assert.NilError(t, err)
	assert.Equal(t, d.Author, "author-on-top")
}

// Guards against a repeated change that is written again because a write around
// the operator tool removed it from the history or made the tree invalid.
func TestRepeatedChangeIsAcceptedOnce(t *testing.T) {
	store, m := newStoreWithRevision(t)
	first := store.heads[0]
	store.putHead(firstTree)
	revision, err := m.Propose(t.Context(), setWeightEdit("first", 0, 10))
	assert.NilError(t, err)
	assert.Equal(t, revision, first.Revision)
	d, err := settings.DecodeDocument(first.Value)
	assert.NilError(t, err)
	d.Tree = "regions: {}"
	broken, err := settings.EncodeDocument(d)
	assert.NilError(t, err)
	accepted := store.putHead(string(broken))
	revision, err = newTestManager(store, &fakePeers{}).Propose(t.Context(), setWeightEdit("first", 0, 10))
	assert.NilError(t, err)
	assert.Equal(t, revision, accepted)
	assert.Equal(t, len(store.heads), 3)
}

// Guards against a change that is accepted a second time, and so reverts later
// ones, when it is repeated after so many other changes that it has left the
// history, through a VM that does not remember it.
func TestRepeatedChangeBeyondHistoryIsNotAccepted(t *testing.T) {
	store, m := newStoreWithRevision(t)
	_, err := m.Propose(t.Context(), setWeightEdit("repeated", 0, 20))
	assert.NilError(t, err)
	for n := range 60 {
		_, err := m.Propose(t.Context(), setWeightEdit(fmt.Sprintf("later-%d", n), 0, 30+n))
		assert.NilError(t, err)
	}
	restarted := newTestManager(store, &fakePeers{})
	_, err = restarted.Propose(t.Context(), setWeightEdit("repeated", 0, 20))
	var forgotten *ForgottenError
	assert.Assert(t, errors.As(err, &forgotten), "%v", err)
	assert.Equal(t, store.countAccepted(t, "repeated"), 1)
}

// Guards against a change that cannot be repeated after its document was written
// and its head was not: the history shows that it was not accepted.
func TestChangeOfWhichOnlyTheDocumentWasWrittenIsRepeated(t *testing.T) {
	for _, laterChanges := range []int{0, 3} {
		store, m := newStoreWithRevision(t)
		store.nextFault = func(op string) fault {
			if _, stored := store.entries[RevisionPrefix+"second"]; stored && op == "cas" {
				return unavailable
			}
			return noFault
		}
		_, err := m.Propose(t.Context(), setWeightEdit("second", 0, 20))
		var failed *PlatformError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		assert.Equal(t, store.countAccepted(t, "second"), 0)
		store.nextFault = func(string) fault { return noFault }
		for n := range laterChanges {
			_, err := m.Propose(t.Context(), setWeightEdit(fmt.Sprintf("later-%d", n), 0, 30+n))
			assert.NilError(t, err)
		}
		_, err = newTestManager(store, &fakePeers{}).Propose(t.Context(), setWeightEdit("second", 0, 20))
		assert.NilError(t, err)
		assert.Equal(t, store.countAccepted(t, "second"), 1)
	}
}

// Guards against a change that is reported as failed although it was accepted
// and then overwritten around the operator tool before the head was read again.
func TestOverwrittenChangeIsUnresolved(t *testing.T) {
	store, m := newStoreWithRevision(t)
	calls := 0
	store.nextFault = func(op string) fault {
		calls++
		switch calls {
		case 3: // the write of the head, after the read of the head and the write of the document
			return replyLost
		case 4:
			_, _ = store.write(HeadKey, []byte(firstTree), store.entries[HeadKey].Revision)
		}
		return noFault
	}
	_, err := m.Propose(t.Context(), setWeightEdit("second", 0, 20))
	var unresolved *UnresolvedError
	assert.Assert(t, errors.As(err, &unresolved), "%v", err)
	assert.Equal(t, store.countAccepted(t, "second"), 1)
}

// Guards against a change that is written repeatedly while the platform accepts
// each write and each reply is lost.
func TestEveryWriteReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, m := newStoreWithRevision(t)
		store.nextFault = func(op string) fault { return map[string]fault{"cas": replyLost}[op] }
		_, err := m.Propose(t.Context(), setWeightEdit("second", 0, 20))
		assert.NilError(t, err)
		assert.Equal(t, store.countAccepted(t, "second"), 1)
	})
}

// Guards against VMs that miss a revision: watchers while the watch fails, and
// other VMs through comparison and after an announcement.
func TestRunFollowsTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, editor := newStoreWithRevision(t)
		watcher := newTestManager(store, &fakePeers{})
		peers := &fakePeers{managers: map[string]*Manager{"watcher": watcher}, names: []string{"watcher"}}
		other := New(Config{Store: store, Peers: peers, IsWatcher: func() bool { return false }})
		changed := watcher.Subscribe()
		go watcher.Run(ctx)
		go other.Run(ctx)
		propose := func(id string, value int) int64 {
			revision, err := editor.Propose(t.Context(), setWeightEdit(id, 0, value))
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
		store.nextFault = func(op string) fault { return map[string]fault{"watch": unavailable}[op] }
		store.mu.Unlock()
		time.Sleep(time.Minute)
		revision = propose("fourth", 40)
		time.Sleep(maxWatchBackoff)
		assert.Equal(t, watcher.Current().Revision, revision)

		watches := 0
		store.mu.Lock()
		store.nextFault = func(op string) fault {
			if op == "watch" {
				watches++
			}
			return fault(min(watches/100, 1)) // fails after 100 watches, so that a busy loop ends
		}
		store.mu.Unlock()
		store.putHead("regions: {}")
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		store.mu.Lock()
		defer store.mu.Unlock()
		assert.Assert(t, watches < 20, "an invalid head keeps the watch busy: %d calls a minute", watches)
	})
}

// Guards against an invalid revision that only the VMs with a watch report: the
// other VMs receive it once from their peers, and keep the last valid one in
// force.
func TestPeersPassOnRejectedRevisions(t *testing.T) {
	peers := &fakePeers{managers: map[string]*Manager{}, names: []string{"watcher"}}
	watcher := newTestManager(newFakeStore(), &fakePeers{})
	peers.managers["watcher"] = watcher
	other := newTestManager(newFakeStore(), peers)
	assert.NilError(t, watcher.Apply(5, []byte(firstTree)))
	assert.Assert(t, watcher.Apply(6, []byte("regions: [")) != nil)
	other.FetchFromPeer(t.Context(), "watcher")
	s := other.Current()
	assert.Equal(t, s.Revision, int64(5))
	assert.Assert(t, s.Rejected != nil)
	assert.Equal(t, s.Rejected.Revision, int64(6))
	assert.Equal(t, len(watcher.AnswerPeer(s.Revision, s.Rejected.Revision).Rejected), 0)
}

// Guards against a refusal that names the wrong winner: while a proposal reads
// the head, another change is accepted and put in force. The refusal must name
// that change and not the one that it replaced.
func TestConflictNamesTheChangeInForce(t *testing.T) {
	store, m := newStoreWithRevision(t)
	base := m.Current().Revision
	winner := setWeightEdit("winner", base, 20)
	winner.Author = "alice"
	revision, err := m.Propose(t.Context(), winner)
	assert.NilError(t, err)
	reads := 0
	store.nextFault = func(op string) fault {
		if op != "get" {
			return noFault
		}
		if reads++; reads > 1 {
			return noFault
		}
		return staleRead // the head before the change, which is in force already
	}
	_, err = m.Propose(t.Context(), setWeightEdit("loser", base, 30))
	var c *ConflictError
	assert.Assert(t, errors.As(err, &c), "%v", err)
	assert.Equal(t, c.Author, "alice")
	assert.Equal(t, c.Revision, revision)
}
