package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines queued for a slow reader of the log.
	maxQueuedLines = 2048
	// maxLinesPerSecond bounds the volume of the log under load.
	maxLinesPerSecond = 400
	// lineBurst is the number of lines that may exceed the rate for a moment.
	lineBurst = 800
)

// AsyncWriter passes lines to another writer without blocking. Lines above
// maxLinesPerSecond and lines that find the queue full are dropped. The number
// of dropped lines is written before the next line.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu         sync.Mutex
	closed     bool
	tokens     float64
	lastRefill time.Time
	now        func() time.Time
}

// NewAsyncWriter returns an AsyncWriter that passes lines to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		tokens: lineBurst, lastRefill: time.Now(), now: time.Now,
	}
	go w.writeQueued()
	return w
}

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Write queues or drops one line. It never returns an error.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.tokens = min(lineBurst, w.tokens+now.Sub(w.lastRefill).Seconds()*maxLinesPerSecond)
	w.lastRefill = now
	if w.closed || w.tokens < 1 {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
		w.tokens--
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *AsyncWriter) writeQueued() {
	defer close(w.done)
	var reported uint64
	for line := range w.lines {
		if dropped := w.dropped.Load(); dropped != reported {
			fmt.Fprintf(w.out, `{"level":"warning","msg":"log lines dropped","count":%d}`+"\n", dropped-reported)
			reported = dropped
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Close stops accepting lines and waits until the queued ones are written, at
// most for timeout.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
