package gateway

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// maxBufferedBody limits the part of a request body that is buffered in memory,
// so that the request can be resent to another target. The rest of a longer
// body is streamed.
const maxBufferedBody = 64 << 10

// discardBufferBytes is the size of the reads of Body.Discard.
const discardBufferBytes = 8 << 10

// Body is the body of a request: a buffered first part, and a stream for the
// rest.
type Body struct {
	buffered []byte
	rest     io.Reader // nil if the whole body is buffered
	length   int64     // -1 if unknown

	mu       sync.Mutex
	reader   *bodyReader // of the latest attempt; nil after Discard
	restUsed bool        // an attempt has begun to read from rest

	readMu sync.Mutex  // held during each read from rest
	ended  atomic.Bool // rest was read to its end
}

// ErrBodyTooLarge means that a request body exceeds the operator's limit.
var ErrBodyTooLarge = errors.New("the request body exceeds the limit; send a smaller body")

// ReadBody buffers the first part of a body. A length of -1 means that the
// length is unknown, a limit of 0 that there is no limit.
func ReadBody(source io.Reader, length, limit int64) (*Body, error) {
	if limit > 0 && length > limit {
		return nil, ErrBodyTooLarge
	}
	b := &Body{length: length}
	if source == nil || length == 0 {
		b.length = 0
		return b, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(source, maxBufferedBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the request body")
	}
	b.buffered = buffered
	if len(buffered) <= maxBufferedBody {
		b.length = int64(len(buffered))
		return b, nil
	}
	b.rest = source
	if limit > 0 {
		b.rest = &limitedReader{source: source, remaining: limit - int64(len(buffered))}
	}
	return b, nil
}

// limitedReader returns ErrBodyTooLarge once source has returned more than
// remaining bytes.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// canSend reports whether the body can still be sent in full. An attempt that
// failed before it read the rest, for example because no connection could be
// opened, does not prevent that.
func (b *Body) canSend() bool {
	if b.rest == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.restUsed
}

// newReader returns a reader of the whole body for one attempt. The readers of
// earlier attempts can no longer read from the rest. If one of them has, since
// canSend was called, the reader returns errRestUsed before its first byte.
func (b *Body) newReader() io.Reader {
	if b.length == 0 {
		return nil
	}
	if b.rest == nil {
		return bytes.NewReader(b.buffered)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = &bodyReader{body: b, buffered: bytes.NewReader(b.buffered), incomplete: b.restUsed}
	return b.reader
}

// errOtherAttempt means that a later attempt sends the body.
var errOtherAttempt = errors.New("a later attempt sends the request body")

// errRestUsed means that an earlier attempt has read a part of the body that cannot
// be read again.
var errRestUsed = errors.New("an earlier attempt has read a part of the request body")

// bodyReader reads a body for one attempt.
type bodyReader struct {
	body       *Body
	buffered   *bytes.Reader
	incomplete bool // a part of the rest has been read before
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.incomplete {
		return 0, errRestUsed
	}
	if r.buffered.Len() > 0 {
		return r.buffered.Read(p)
	}
	return r.body.readRest(p, r)
}

// readRest reads from the rest for one attempt, or for Discard if r is nil.
func (b *Body) readRest(p []byte, r *bodyReader) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if !b.useRest(r) {
		return 0, errOtherAttempt
	}
	n, err := b.rest.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// Received reports whether the caller has sent the whole body.
func (b *Body) Received() bool { return b.rest == nil || b.ended.Load() }

// Discard reads the rest of the body that no attempt has read, until its end or
// an error. Once it has returned, no attempt reads from the source any more, as
// the handler of a request must ensure before it returns: net/http would
// otherwise take the bytes that follow for the next request.
func (b *Body) Discard() {
	b.mu.Lock()
	b.reader = nil
	b.mu.Unlock()
	buffer := make([]byte, discardBufferBytes)
	for !b.Received() {
		if _, err := b.readRest(buffer, nil); err != nil {
			return
		}
	}
}

// useRest reports whether a reader may read from the rest, and records it.
func (b *Body) useRest(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return false
	}
	b.restUsed = true
	return true
}
