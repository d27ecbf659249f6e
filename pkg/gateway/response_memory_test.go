package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a VM that is killed for its memory because many callers read long
// responses slowly: beyond the limit, each response takes a small part.
func TestResponseMemoryIsBounded(t *testing.T) {
	const slowCallers = 2_000
	var m responseMemory
	var held []int64
	for range slowCallers {
		held = append(held, m.reserve(540<<10))
	}
	most := int64(maxResponseMemory + slowCallers*minBufferedResponse)
	assert.Assert(t, m.reserved.Load() <= most, "%d bytes, at most %d", m.reserved.Load(), most)
	assert.Equal(t, held[0], int64(maxBufferedResponse))
	assert.Equal(t, held[slowCallers-1], int64(minBufferedResponse))
	assert.Equal(t, m.reserve(100), int64(100))
	for _, size := range append(held, 100) {
		m.release(size)
	}
	assert.Equal(t, m.reserved.Load(), int64(0))
	assert.Equal(t, m.reserve(-1), int64(maxBufferedResponse))
}

// Guards against responses that are cut, or taken for longer than they are, at the
// size of their first part.
func TestReadFirst(t *testing.T) {
	for _, length := range []int{0, 1, 99, 100, 101, 5_000} {
		for _, known := range []bool{false, true} {
			body := bytes.Repeat([]byte("x"), length)
			got, err := readFirst(bytes.NewReader(body), 100, known)
			assert.NilError(t, err)
			assert.Equal(t, len(got), min(length, 101))
		}
	}
	brokenOff := errors.New("broken off")
	_, err := readFirst(io.MultiReader(bytes.NewReader([]byte("ab")), errorReader{brokenOff}), 100, true)
	assert.ErrorIs(t, err, brokenOff)
}
