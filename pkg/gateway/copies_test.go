package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/platform"
)

// entriesFeed is a store with a number of VM records and some other entries.
type entriesFeed struct {
	platform.Feed
	count    int
	revision int64
	others   []platform.Entry
}

func (f *entriesFeed) Snapshot(context.Context, string, platform.Freshness) (platform.Snapshot, error) {
	s := platform.Snapshot{Revision: f.revision, Entries: slices.Clone(f.others)}
	for i := range f.count {
		s.Entries = append(s.Entries, platform.Entry{
			Key: fmt.Sprintf("vm/vm-%d", i), Revision: int64(i + 1), Value: fmt.Appendf(nil, `{"id":"vm-%d","region":"r"}`, i),
		})
	}
	return s, nil
}

// Guards against copies that lose entries when they are packed, and against packed
// copies for VMs of an earlier version, which cannot read them.
func TestPackedCopyHoldsTheSameEntries(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	store := &entriesFeed{}
	reader, other := newTestGateway(&now), newTestGateway(&now)
	reader.cfg.Feed = store
	reader.createFeeds()
	// A read of several pages has the revision of its first one, so that one revision
	// may stand for two lists. A record of another writer may look compressed.
	store.others = []platform.Entry{{Key: "vm/odd", Revision: 1, Value: []byte{0x1f, 0x8b, 1}}}
	for i, count := range []int{1, 400, 399} {
		store.count, store.revision = count, int64(min(i, 1)+400)
		assert.Assert(t, reader.vmFeed.Confirm(t.Context(), -1, time.Minute))
		var plain, packedReply protocol.CopyReply
		assert.NilError(t, reader.peers.Copy(t.Context(), &protocol.CopyRequest{Kind: protocol.CopyVMRecords}, &plain))
		assert.NilError(t, reader.peers.Copy(t.Context(), &protocol.CopyRequest{Kind: protocol.CopyVMRecords, AcceptsPacked: true}, &packedReply))
		assert.Equal(t, len(plain.Packed), 0)
		assert.Equal(t, len(packedReply.Packed) > 0, count > 1, "small copies are sent as they are")
		want, ok := other.peers.decodeCopy(&plain)
		assert.Assert(t, ok)
		assert.Equal(t, len(want.Entries), count+len(store.others))
		got, ok := other.peers.decodeCopy(&packedReply)
		assert.Assert(t, ok)
		byKey := func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) }
		slices.SortFunc(want.Entries, byKey)
		slices.SortFunc(got.Entries, byKey)
		assert.DeepEqual(t, got, want)
	}
	_, ok := other.peers.decodeCopy(&protocol.CopyReply{Revision: 1, Packed: []byte(strings.Repeat("x", 100))})
	assert.Assert(t, !ok, "damaged copies are rejected")
}

// Guards against a VM that the store refuses and that waits for a silent VM although
// another one has sent its copy: its keys expire meanwhile.
func TestSilentVMDoesNotDelayTheCopyOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := make(chan copyResult, 3)
		results <- copyResult{}
		results <- copyResult{ok: true}
		began := time.Now()
		assert.Equal(t, len(collectCopies(results, 3)), 1)
		assert.Equal(t, time.Since(began), laterCopyWait)
	})
}
