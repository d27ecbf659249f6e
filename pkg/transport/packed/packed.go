// Package packed compresses documents that VMs send each other.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

// minPackedBytes is the size below which a document is sent as it is.
const minPackedBytes = 4 << 10

// gzipMagic starts a packed document. No document starts with it, because it
// is not valid UTF-8.
var gzipMagic = []byte{0x1f, 0x8b}

// Cache keeps the packed form of the latest revision of a document, which
// each VM sends to a few peers. The zero value is empty.
type Cache struct {
	mu       sync.Mutex
	revision int64
	bytes    []byte
}

// Get returns the document of a revision in packed form.
func (p *Cache) Get(revision int64, document []byte) []byte {
	if len(document) < minPackedBytes {
		return document
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision != revision {
		p.bytes, p.revision = Compress(document), revision
	}
	return p.bytes
}

// Compress returns the packed form of a document.
func Compress(document []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(document)
	if err != nil || w.Close() != nil {
		return document
	}
	return b.Bytes()
}

// Decompress returns the document that a peer sent, packed or not. It refuses more
// than the largest value of the store, which no document exceeds.
func Decompress(sent []byte) ([]byte, error) {
	if !bytes.HasPrefix(sent, gzipMagic) {
		return sent, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(sent))
	if err != nil {
		return nil, errors.Wrap(err, "unpack the settings of a peer")
	}
	document, err := io.ReadAll(io.LimitReader(r, platform.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack the settings of a peer")
	}
	if len(document) > platform.MaxValueBytes {
		return nil, errors.Errorf("settings of a peer exceed %d bytes unpacked; check that the peer runs this version", platform.MaxValueBytes)
	}
	return document, nil
}
