package target

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

var (
	errNoResponse   = errors.New("the connection ended before the head of the response")
	errMismatchedID = errors.New("the response carries the id of another request")

	errNotEchoed = errors.New("the response does not carry the id of the request")
)

// stoppableBody passes the request body to the writer until stop is called.
type stoppableBody struct {
	mu      sync.Mutex
	source  io.Reader
	length  int64
	read    int64
	stopped bool
	ended   bool // the whole body was read
	err     error
}

func newStoppableBody(r *Request) *stoppableBody {
	return &stoppableBody{source: r.Body, length: r.ContentLength}
}

func (b *stoppableBody) empty() bool {
	return b.source == nil || b.source == http.NoBody || b.length == 0
}

// Read implements io.Reader.
func (b *stoppableBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	stopped := b.stopped
	if stopped {
		b.err = errBodyStopped
	}
	b.mu.Unlock()
	if stopped {
		return 0, errBodyStopped
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	if err == io.EOF || b.read == b.length {
		b.ended = true
	} else if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer for http.Request.
func (b *stoppableBody) Close() error { return nil }

func (b *stoppableBody) exhausted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// readError returns the error that ended the reading of the body, or nil.
func (b *stoppableBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

func (b *stoppableBody) stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
}

// rewind seeks back to the start of the body and reports whether the whole body
// can be sent again. It must be called only after the writer has returned.
func (b *stoppableBody) rewind() bool {
	if b.empty() || b.read == 0 {
		return true
	}
	seeker, ok := b.source.(io.Seeker)
	if !ok {
		return false
	}
	_, err := seeker.Seek(-b.read, io.SeekCurrent)
	return err == nil
}

// responseBody streams the body of a response. It returns io.EOF only at the end
// of the whole body.
type responseBody struct {
	x   *exchange
	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.x.resp.Body.Read(p)
	if err == io.EOF && endsWithConnection(b.x.resp) {
		if unproven := b.x.confirmEnd(); unproven != nil {
			err = unproven
		}
	}
	switch {
	case err == io.EOF:
		b.err = io.EOF
		b.x.finish(b.x.reusable())
	case err != nil:
		f := b.x.fail(KindTruncated, err)
		f.NotRun = false
		b.err = f
	}
	return n, b.err
}

// Close ends the exchange. If the response was not read completely, the
// connection is closed, so that the rest cannot reach another request.
func (b *responseBody) Close() error {
	b.x.finish(b.x.resp.Body == http.NoBody && b.x.reusable())
	return nil
}
