package packed

import (
	"bytes"
	"encoding/gob"
	"sync"

	"github.com/go-faster/errors"

	"hickoryroute/internal/lru"
	"hickoryroute/pkg/protocol"
)

const (
	// maxEntriesBytes limits the uncompressed size of packed entries. It exceeds the
	// records of 8,000 targets and a configuration of the largest size.
	maxEntriesBytes = 16 << 20
	// cachedCopies is the number of packed copies that a VM keeps. The VMs that it
	// reads for have mostly one of the latest revisions.
	cachedCopies = 8
)

// CopyID identifies the changes of one kind of entries from one revision to another.
type CopyID struct {
	Kind            protocol.CopyKind
	After, Revision int64
	Full            bool
}

// EntriesCache holds the packed form of the latest copies, because a VM sends each
// of them to many others. The zero value is empty.
type EntriesCache struct {
	mu     sync.Mutex
	packed *lru.Table[CopyID, []byte]
}

// Get returns the packed form of the entries of a copy, or nil if they are so small
// that they are sent as they are.
func (c *EntriesCache) Get(id CopyID, entries []protocol.CopyEntry) ([]byte, error) {
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	if size < minBytesToCompress {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed == nil {
		c.packed = lru.New[CopyID, []byte](cachedCopies)
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
