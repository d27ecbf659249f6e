package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func longBody64K(t testing.TB) (*Body, string) {
	t.Helper()
	text := strings.Repeat("0123456789abcdef", maxBufferedBody/16) + strings.Repeat("rest", 1000)
	b, err := ReadBody(strings.NewReader(text), int64(len(text)), 0)
	assert.NilError(t, err)
	return b, text
}

// Guards against a long upload that is given up after one attempt that reached no
// target and read nothing of the rest.
func TestLongBodyCanBeSentAfterAnAttemptThatSentNothing(t *testing.T) {
	b, text := longBody64K(t)
	first := b.newReader()
	assert.Assert(t, b.canSend())
	_, err := io.ReadFull(first, make([]byte, maxBufferedBody))
	assert.NilError(t, err)
	assert.Assert(t, b.canSend())
	sent, err := io.ReadAll(b.newReader())
	assert.NilError(t, err)
	assert.Equal(t, string(sent), text)
	assert.Assert(t, !b.canSend())
}

// Guards against a body whose parts go to two targets, because the writer of the
// first attempt is still running when the second one begins.
func TestEarlierAttemptReadsNothingOfTheRest(t *testing.T) {
	b, text := longBody64K(t)
	first, second := b.newReader(), b.newReader()
	head, err := io.ReadAll(first)
	assert.ErrorIs(t, err, errOtherAttempt)
	assert.Assert(t, len(head) <= maxBufferedBody+1)
	sent, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, string(sent), text)
}

// Guards against a body with a hole: the writer of a refused attempt reads on after
// the body was found to be complete, and before the next attempt begins.
func TestBodyWithAHoleIsNotSent(t *testing.T) {
	b, _ := longBody64K(t)
	first := b.newReader()
	assert.Assert(t, b.canSend())
	_, err := io.ReadFull(first, make([]byte, maxBufferedBody+100))
	assert.NilError(t, err)
	sent, err := io.ReadAll(b.newReader())
	assert.ErrorIs(t, err, errRestUsed)
	assert.Equal(t, len(sent), 0)
}

// Guards against a body that breaks off and reaches a target as if it were whole.
func TestTruncatedBodyEndsWithAnError(t *testing.T) {
	brokenOff := errors.New("the caller has left")
	source := io.MultiReader(bytes.NewReader(make([]byte, maxBufferedBody+100)), errorReader{brokenOff})
	b, err := ReadBody(source, -1, 0)
	assert.NilError(t, err)
	_, err = io.ReadAll(b.newReader())
	assert.ErrorIs(t, err, brokenOff)
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// BenchmarkUploads measures the memory that 500 uploads of the largest size hold
// at once: the buffered part of each, and not the whole.
func BenchmarkUploads(b *testing.B) {
	const uploads, size = 500, 360 << 10
	for b.Loop() {
		bodies := make([]*Body, uploads)
		held := 0
		for i := range bodies {
			body, err := ReadBody(io.LimitReader(zeros{}, size), size, 0)
			assert.NilError(b, err)
			bodies[i] = body
			held += cap(body.buffered)
		}
		b.ReportMetric(float64(held)/(1<<20), "held-MiB")
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
