package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a log output whose writes block until open is closed.
type blockedWriter struct {
	open   chan struct{}
	mu     sync.Mutex
	output bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.Write(p)
}

// countLines returns the number of lines written and the number of lines
// reported as dropped.
func (w *blockedWriter) countLines(t *testing.T) (written, reported uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for line := range strings.Lines(w.output.String()) {
		if line == "line\n" {
			written++
			continue
		}
		var report struct {
			Msg   string `json:"msg"`
			Count uint64 `json:"count"`
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &report))
		assert.Equal(t, report.Msg, "log lines dropped")
		reported += report.Count
	}
	return written, reported
}

// Guards against a stalled reader of the log that blocks requests, and against
// dropped lines that are not counted and reported once the reader continues.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	output := &blockedWriter{open: make(chan struct{})}
	w := NewAsyncWriter(output)
	now := time.Now()
	w.now = func() time.Time { now = now.Add(10 * time.Millisecond); return now }
	const lines = 3 * maxQueuedLines
	done := make(chan struct{})
	go func() {
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	dropped := w.Dropped()
	assert.Assert(t, dropped >= lines-maxQueuedLines-1, "%d dropped", dropped)
	close(output.open)
	w.Close(5 * time.Second)
	written, reported := output.countLines(t)
	assert.Equal(t, written, lines-dropped)
	assert.Equal(t, reported, dropped, "the reports do not add up to the number of dropped lines")
}

// Guards against a log whose volume grows without bound under load.
func TestLineRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	now := w.lastRefill
	w.now = func() time.Time { now = now.Add(100 * time.Microsecond); return now }
	for range 20_000 { // two seconds
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(5 * time.Second)
	written := 20_000 - w.Dropped()
	assert.Assert(t, written <= lineBurst+2*maxLinesPerSecond+1, "%d lines in 2 s", written)
}
