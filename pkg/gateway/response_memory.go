package gateway

import (
	"io"
	"net/http"
	"sync/atomic"

	"hickoryroute/pkg/transport/target"
)

const (
	// maxResponseMemory limits the memory that responses take together before
	// their first parts are cut to minBufferedResponse. The smallest VMs have
	// 184 MB, and use about 60 MB without any response.
	maxResponseMemory = 32 << 20
	// minBufferedResponse is the part of a response that is buffered when many
	// callers read slowly. It holds a whole short response, which can then be
	// resent if it is truncated.
	minBufferedResponse = 4 << 10
)

// responseMemory counts the memory that the first parts of responses take until
// their callers have read them.
type responseMemory struct{ reserved atomic.Int64 }

// reserve returns how much of a response may be buffered. length is the length
// of its body, or -1. The result must be released.
func (m *responseMemory) reserve(length int64) int64 {
	size := int64(maxBufferedResponse)
	if length >= 0 {
		size = min(size, length)
	}
	if m.reserved.Add(size) <= maxResponseMemory || size <= minBufferedResponse {
		return size
	}
	m.reserved.Add(minBufferedResponse - size)
	return minBufferedResponse
}

func (m *responseMemory) release(size int64) { m.reserved.Add(-size) }

// bodyLength returns the length of the body that follows the head of a response,
// or -1 if it is unknown.
func bodyLength(method string, resp *target.Response) int64 {
	if method == http.MethodHead {
		return 0
	}
	return resp.ContentLength
}

// readFirst reads at most size bytes and one more, which shows that more follow.
// A body of known length needs no larger buffer than that.
func readFirst(body io.Reader, size int64, lengthKnown bool) ([]byte, error) {
	if !lengthKnown {
		return io.ReadAll(io.LimitReader(body, size+1))
	}
	buffer := make([]byte, size+1)
	n, err := io.ReadFull(body, buffer)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		err = nil // the body has ended within size bytes
	}
	return buffer[:n], err
}
