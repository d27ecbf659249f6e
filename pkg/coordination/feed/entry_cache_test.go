package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/transport/platform"
)

// A cache that merges the deltas of another one must have the same entries,
// for any order of writes, deletions, reads and deltas.
func TestDeltasCarryEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := map[string]platform.Entry{}
		reader, follower := newEntryCache(), newEntryCache()
		revision := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				key := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))
				stored[key] = platform.Entry{Key: key, Revision: revision}
			case 1:
				revision++
				delete(stored, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key")))
			case 2:
				var all []platform.Entry
				for _, e := range stored {
					all = append(all, e)
				}
				reader.replace(all, platform.Position{Revision: revision})
			case 3:
				follower.merge(reader.deltaSince(follower.position(), time.Now()))
				if reader.loaded {
					assert.DeepEqual(t, follower.entries, reader.entries)
				}
			}
		}
	})
}

// A cache that is far behind must get a full delta, because old deletions are
// no longer recorded.
func TestFarBehindCacheGetsFullDelta(t *testing.T) {
	reader := newEntryCache()
	reader.replace([]platform.Entry{{Key: "a", Revision: 1}}, platform.Position{Revision: 1})
	for n := range int64(maxDeletions + 10) {
		reader.replace([]platform.Entry{{Key: "a", Revision: 1}, {Key: fmt.Sprint(n), Revision: 2*n + 2}}, platform.Position{Revision: 2*n + 2})
		reader.replace([]platform.Entry{{Key: "a", Revision: 1}}, platform.Position{Revision: 2*n + 3})
	}
	assert.Assert(t, reader.deltaSince(platform.Position{Revision: 2}, time.Now()).Full)
	assert.Assert(t, !reader.deltaSince(platform.Position{Revision: reader.revision - 2}, time.Now()).Full)
	assert.Equal(t, len(reader.deletions), maxDeletions)
}

// An older delta of another VM must change nothing.
func TestOlderDeltaIsIgnored(t *testing.T) {
	m := newEntryCache()
	m.replace([]platform.Entry{{Key: "a", Revision: 5}}, platform.Position{Revision: 9})
	assert.Assert(t, !m.merge(Delta{Revision: 8, Full: true}))
	assert.Assert(t, !m.replace(nil, platform.Position{Revision: 8}))
	assert.Equal(t, len(m.entries), 1)
}

// Guards against VMs that keep a target that has gone: they had its record from one
// reader, and another reader has read all entries before it was written and after it was
// deleted.
func TestDeletionBetweenTwoReadsReachesOtherVMs(t *testing.T) {
	reader, vm := newEntryCache(), newEntryCache()
	old := platform.Entry{Key: "a", Revision: 5}
	reader.replace([]platform.Entry{old}, platform.Position{Revision: 10})
	vm.replace([]platform.Entry{old, {Key: "b", Revision: 12}}, platform.Position{Revision: 12})
	reader.replace([]platform.Entry{old}, platform.Position{Revision: 14})
	assert.Assert(t, !reader.deltaSince(platform.Position{Revision: 10}, time.Now()).Full, "nothing is missing in a delta between its reads")
	vm.merge(reader.deltaSince(vm.position(), time.Now()))
	_, listed := vm.entries["b"]
	assert.Assert(t, !listed)
}

// Guards against VMs that keep a target that has gone: its record was deleted between
// two pages of a reader's read, which has the revision of its first page.
func TestDeletionDuringPagedReadReachesOtherVMs(t *testing.T) {
	entry := func(key string) platform.Entry { return platform.Entry{Key: key, Revision: 5} }
	reader, vm := newEntryCache(), newEntryCache()
	reader.replace([]platform.Entry{entry("a"), entry("b")}, platform.Position{Revision: 10})
	vm.merge(reader.deltaSince(platform.Position{}, time.Now()))
	reader.replace([]platform.Entry{entry("a")}, platform.Position{Revision: 10})
	reader.apply(platform.Changes{Revision: 11, Changes: []platform.Change{{Deleted: true, Entry: platform.Entry{Key: "b", Revision: 11}}}})
	vm.merge(reader.deltaSince(vm.position(), time.Now()))
	_, listed := vm.entries["b"]
	assert.Assert(t, !listed)
}
