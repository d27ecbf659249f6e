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
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// count returns the number of lines written and the sum of the dropped lines
// reported.
func (g *gate) count(t *testing.T) (kept, reported uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for line := range strings.Lines(g.text.String()) {
		if line == "line\n" {
			kept++
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
	return kept, reported
}

// Guards against a stalled reader of the log that blocks requests, and against
// dropped lines that are not counted and reported once the reader continues.
func TestStalledReaderBlocksNobody(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewAsyncWriter(g)
	now := time.Now()
	w.now = func() time.Time { now = now.Add(10 * time.Millisecond); return now }
	const lines = 3 * asyncQueue
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
	assert.Assert(t, dropped >= lines-asyncQueue-1, "%d dropped", dropped)
	close(g.open)
	w.Close(5 * time.Second)
	kept, reported := g.count(t)
	assert.Equal(t, kept, lines-dropped)
	assert.Equal(t, reported, dropped, "the reports do not add up to the number of dropped lines")
}

// Guards against a log whose volume grows without bound under load.
func TestRateOfLinesIsBounded(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	now := w.last
	w.now = func() time.Time { now = now.Add(100 * time.Microsecond); return now }
	for range 20_000 { // two seconds
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(5 * time.Second)
	written := 20_000 - w.Dropped()
	assert.Assert(t, written <= lineBurst+2*maxLinesPerSecond+1, "%d lines in 2 s", written)
}
