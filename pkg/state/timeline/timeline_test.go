package timeline

import (
	"encoding/json"
	"flag"
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// A fixed seed makes every run check the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against a merged timeline that shows an effect before its cause when
// the wall clocks of the processes differ and jump.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		walls := make([]int64, processes)
		rings := make([]*Ring, processes)
		clocks := make([]*Clock, processes)
		for p := range processes {
			walls[p] = rapid.Int64Range(1_000_000, 1_010_000).Draw(t, "wall")
			clocks[p] = NewClock(func() time.Time { return time.UnixMilli(walls[p]) })
			rings[p] = NewRing(string(rune('a'+p)), clocks[p])
		}
		// happened[p] holds the events that happened before the next event of p.
		happened := make([]map[int]bool, processes)
		for p := range happened {
			happened[p] = map[int]bool{}
		}
		causes := map[int]map[int]bool{}
		number := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.IntRange(0, processes-1).Draw(t, "process")
			walls[p] += rapid.Int64Range(-50, 50).Draw(t, "step of the wall clock")
			q := rapid.IntRange(0, processes-1).Draw(t, "peer")
			if q != p && rapid.Bool().Draw(t, "message") {
				clocks[q].Observe(clocks[p].Now())
				for n := range happened[p] {
					happened[q][n] = true
				}
				continue
			}
			number++
			rings[p].Record(number, "event", nil)
			causes[number] = map[int]bool{}
			for n := range happened[p] {
				causes[number][n] = true
			}
			happened[p][number] = true
		}
		logs := [][]Event{rings[0].Events()}
		for _, ring := range rings {
			logs = append(logs, ring.Events())
		}
		merged := Merge(logs...)
		if len(merged) != number {
			t.Fatalf("merged log has %d events of %d", len(merged), number)
		}
		seen := map[int]bool{}
		for _, event := range merged {
			for cause := range causes[event.Number] {
				if !seen[cause] {
					t.Fatalf("event %d comes before its cause %d", event.Number, cause)
				}
			}
			seen[event.Number] = true
		}
	})
}

// Guards against a broken remote clock that advances the local one permanently,
// and against a logical counter that overflows.
func TestClockBounds(t *testing.T) {
	c := NewClock(func() time.Time { return time.UnixMilli(1000) })
	got := c.Observe(protocol.Timestamp{WallMs: math.MaxInt64})
	assert.Equal(t, got, protocol.Timestamp{WallMs: 1000})
	got = c.Observe(protocol.Timestamp{WallMs: 2000, Logical: math.MaxUint32})
	assert.Equal(t, got, protocol.Timestamp{WallMs: 2001})
}

// Guards against a ring that grows, loses its latest events or returns them
// out of order, and against fields that cannot be encoded.
func TestRingKeepsLatestEvents(t *testing.T) {
	ring := NewRing("a", NewClock(nil))
	fields := map[string]any{"error": errors.New("failed"), "f": func() {}}
	for n := range RingCapacity + 10 {
		ring.Record(n, "event", fields)
	}
	events := ring.Events()
	assert.Equal(t, len(events), RingCapacity)
	for i, event := range events {
		assert.Equal(t, event.Number, i+10)
	}
	_, err := json.Marshal(events)
	assert.NilError(t, err)
	assert.Equal(t, events[0].Fields["error"], "failed")
}

// A change may be in force on another VM before the reply to its write arrives.
// The timeline then showed it as accepted after its effects (operator_timeline,
// once in a CI run).
func TestEventLoggedLateComesBeforeItsEffects(t *testing.T) {
	wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := func() time.Time { return wall }
	writer, other := NewRing("writer", NewClock(now)), NewRing("other", NewClock(now))
	log := eventlog.New(nil, writer)
	sent := log.Now()
	wall = wall.Add(5 * time.Millisecond)
	other.Record(1020, "in force", nil)
	wall = wall.Add(5 * time.Millisecond)
	log.LogAt(sent, eventlog.Event{Number: 1203, Name: "accepted"}, nil)
	log.LogAt(eventlog.Timestamp{}, eventlog.Event{Number: 1204, Name: "later"}, nil)
	var names []string
	for _, e := range Merge(other.Events(), writer.Events()) {
		names = append(names, e.Name)
	}
	assert.DeepEqual(t, names, []string{"accepted", "in force", "later"})
}
