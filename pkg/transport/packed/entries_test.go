package packed

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

// targetRecords returns records as targets write them.
func targetRecords(n int) []protocol.CopyEntry {
	var list []protocol.CopyEntry
	for i := range n {
		list = append(list, protocol.CopyEntry{
			Key: fmt.Sprintf("servers/i-%010x", i*7919), Revision: int64(i + 1),
			Value: fmt.Appendf(nil, `{"service":"desk","address":"10.1.%d.%d:8422","zone":"z%d","version":"v1","slots":5,"state":"ready","cold_left_ms":0,"sequence":1,"born":%d}`,
				i/250, i%250, i%9, 1785101296000+i*37),
		})
	}
	return list
}

// Guards against copies that take their full size on the links of weak VMs: on the
// large site each VM that starts gets the records of 1,485 targets.
func TestTargetRecordsTakeASmallPartOfTheirSize(t *testing.T) {
	records := targetRecords(1485)
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	var cache EntriesCache
	data, err := cache.Get(1, records)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < size/5, "%d of %d bytes", len(data), size)
	t.Logf("%d of %d bytes", len(data), size)
}

// Any entries must arrive as they were sent, those of one copy never in place of
// those of another one.
func TestPackedEntriesArriveUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cache EntriesCache
		size := rapid.IntRange(minBytesToCompress/4, minBytesToCompress).Draw(t, "size")
		for range rapid.IntRange(2, 3).Draw(t, "copies") {
			var entries []protocol.CopyEntry
			for i := range rapid.IntRange(1, 3).Draw(t, "entries") {
				revision := rapid.Int64Range(1, 3).Draw(t, "revision")
				value := bytes.Repeat([]byte{byte(i), byte(revision)}, size) // a key and a revision have one value
				entries = append(entries, protocol.CopyEntry{Key: fmt.Sprint(i), Value: value, Revision: revision})
			}
			data, err := cache.Get(1, entries)
			assert.NilError(t, err)
			assert.Equal(t, data == nil, contentsOf(1, entries).bytes < minBytesToCompress)
			if data == nil {
				continue
			}
			got, err := UnpackEntries(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, entries)
		}
	})
}

// Guards against copies that change when others take their place in the cache.
func TestPackedCopiesTakeTurnsInTheCache(t *testing.T) {
	var cache EntriesCache
	for round := range 2 {
		for i := range 2 * cachedCopies {
			entries := targetRecords(40 + i)
			data, err := cache.Get(1, entries)
			assert.NilError(t, err)
			got, err := UnpackEntries(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, entries)
			assert.Assert(t, cache.packed.Len() <= cachedCopies, "round %d", round)
		}
	}
}

// Guards against a copy that its receivers reject for its size.
func TestTooManyEntriesAreSentAsTheyAre(t *testing.T) {
	var cache EntriesCache
	data, err := cache.Get(1, []protocol.CopyEntry{{Key: "a", Value: make([]byte, maxEntriesBytes)}})
	assert.NilError(t, err)
	assert.Assert(t, data == nil)
}

// Guards against damaged data that is taken for entries, and against a small message
// that decompresses to more than any copy holds.
func TestDamagedOrHugeEntriesAreRejected(t *testing.T) {
	data, err := packEntries(targetRecords(100))
	assert.NilError(t, err)
	_, err = UnpackEntries(data[:len(data)/2])
	assert.ErrorContains(t, err, "decompress")
	_, err = UnpackEntries(Compress([]byte("no entries")))
	assert.ErrorContains(t, err, "decode the entries of a peer")
	_, err = UnpackEntries(Compress(make([]byte, maxEntriesBytes+1)))
	assert.ErrorContains(t, err, "exceeds")
}

// Guards against a packed copy of an earlier era of the store, which has given the same
// revisions to other values.
func TestCopiesOfTwoErasAreKeptApart(t *testing.T) {
	var cache EntriesCache
	for era := range uint64(2) {
		value := bytes.Repeat([]byte{byte(era)}, 2*minBytesToCompress)
		data, err := cache.Get(era, []protocol.CopyEntry{{Key: "a", Value: value, Revision: 1}})
		assert.NilError(t, err)
		got, err := UnpackEntries(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got[0].Value, value)
	}
}
