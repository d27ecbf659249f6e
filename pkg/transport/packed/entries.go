package packed

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"hickoryroute/internal/lru"
	"hickoryroute/pkg/protocol"
)

const (
	// maxEntriesBytes limits the uncompressed size of packed entries. Half of it exceeds
	// the records of 8,000 targets and a configuration of the largest size.
	maxEntriesBytes = 16 << 20
	// cachedCopies is the number of packed copies that a VM keeps. The VMs that it
	// reads for have mostly one of the latest revisions.
	cachedCopies = 8
)

// EntriesCache holds the packed form of the latest copies, because a VM sends each
// of them to many others. The zero value is empty.
type EntriesCache struct {
	mu     sync.Mutex
	packed *lru.Table[contents, []byte]
}

// contents identifies the entries of a copy by their era, keys and revisions, in any
// order. The revision of a copy does not: a read of several pages has that of its
// first one.
type contents struct {
	era   uint64
	count int
	bytes int
	sum   uint64
}

func contentsOf(era uint64, entries []protocol.CopyEntry) contents {
	c := contents{era: era, count: len(entries)}
	hash := xxhash.New()
	var revision [8]byte
	for _, e := range entries {
		c.bytes += len(e.Key) + len(e.Value)
		binary.LittleEndian.PutUint64(revision[:], uint64(e.Revision))
		hash.Reset()
		_, _ = hash.WriteString(e.Key) // a hash returns no error
		_, _ = hash.Write(revision[:])
		c.sum += hash.Sum64()
	}
	return c
}

// Get returns the packed form of the entries of a copy of an era of the store, or nil
// if they are so few or so many that they are sent as they are.
func (c *EntriesCache) Get(era uint64, entries []protocol.CopyEntry) ([]byte, error) {
	id := contentsOf(era, entries)
	if id.bytes < minBytesToCompress || id.bytes > maxEntriesBytes/2 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed == nil {
		c.packed = lru.New[contents, []byte](cachedCopies)
	}
	if data, ok := c.packed.Get(id); ok {
		return data, nil
	}
	data, err := packEntries(entries)
	if err == nil {
		c.packed.Add(id, data)
	}
	return data, err
}

func packEntries(entries []protocol.CopyEntry) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(entries); err != nil {
		return nil, errors.Wrap(err, "encode entries for a peer")
	}
	return Compress(b.Bytes()), nil
}

// UnpackEntries returns the entries in data. It returns an error if they exceed
// maxEntriesBytes or cannot be decoded.
func UnpackEntries(data []byte) ([]protocol.CopyEntry, error) {
	text, err := decompress(data, maxEntriesBytes)
	if err != nil {
		return nil, err
	}
	var entries []protocol.CopyEntry
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&entries); err != nil {
		return nil, errors.Wrap(err, "decode the entries of a peer")
	}
	return entries, nil
}
