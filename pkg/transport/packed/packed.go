// Package packed compresses the documents that VMs send to each other.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

// minBytesToCompress is the size below which documents are sent uncompressed.
const minBytesToCompress = 4 << 10

// gzipMagic starts a compressed document. No uncompressed document starts with
// it, because it is not valid UTF-8.
var gzipMagic = []byte{0x1f, 0x8b}

// Cache holds the compressed form of the latest document, because each VM sends it
// to several peers. The zero value is empty.
type Cache struct {
	mu         sync.Mutex
	document   []byte
	compressed []byte
}

// Get returns the compressed form of document, which must not be modified later. It
// returns a small document uncompressed.
func (c *Cache) Get(document []byte) []byte {
	if len(document) < minBytesToCompress {
		return document
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.Equal(c.document, document) {
		c.compressed, c.document = Compress(document), document
	}
	return c.compressed
}

// Compress returns the compressed form of a document.
func Compress(document []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(document)
	if err != nil || w.Close() != nil {
		return document
	}
	return b.Bytes()
}

// Decompress returns the document in data, which may be compressed or not. It
// returns an error if the document is larger than the largest value of the store.
func Decompress(data []byte) ([]byte, error) {
	return decompress(data, platform.MaxValueBytes)
}

func decompress(data []byte, maxBytes int64) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the document of a peer")
	}
	document, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the document of a peer")
	}
	if int64(len(document)) > maxBytes {
		return nil, errors.Errorf("the document of a peer exceeds %d bytes uncompressed; check that the peer runs this version", maxBytes)
	}
	return document, nil
}
