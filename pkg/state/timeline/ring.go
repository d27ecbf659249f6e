package timeline

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/protocol"
)

// RingCapacity is the number of events that a Ring keeps.
const RingCapacity = 4096

// Event is one entry of the timeline.
type Event struct {
	Time    protocol.Timestamp `json:"time"`
	Process string             `json:"process"`
	Number  int                `json:"number"`
	Name    string             `json:"name"`
	Fields  map[string]any     `json:"fields,omitempty"`
}

// Ring keeps the latest events of a process. It is safe for concurrent use.
type Ring struct {
	clock   *Clock
	process string

	mu     sync.Mutex
	events []Event
	oldest int // index of the oldest event; 0 until the ring is full
}

var (
	_ eventlog.Recorder          = (*Ring)(nil)
	_ eventlog.TimestampRecorder = (*Ring)(nil)
)

// NewRing returns an empty ring. process identifies the process that logs the
// events and should differ between incarnations, such as "127.0.0.1:7201#5".
func NewRing(process string, clock *Clock) *Ring {
	return &Ring{clock: clock, process: process}
}

// Record implements eventlog.Recorder. It copies fields and converts values
// other than integers, strings and booleans to text.
func (r *Ring) Record(number int, name string, fields map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(Event{Time: r.clock.Now(), Process: r.process, Number: number, Name: name, Fields: encodableFields(fields)})
}

// Now implements eventlog.TimestampRecorder.
func (r *Ring) Now() eventlog.Timestamp { return eventlog.Timestamp{Value: r.clock.Now()} }

// RecordAt implements eventlog.TimestampRecorder.
func (r *Ring) RecordAt(at eventlog.Timestamp, number int, name string, fields map[string]any) {
	timestamp, ok := at.Value.(protocol.Timestamp)
	if !ok {
		r.Record(number, name, fields)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(Event{Time: timestamp, Process: r.process, Number: number, Name: name, Fields: encodableFields(fields)})
}

// add appends an event, in place of the oldest one if the ring is full. The
// caller holds the lock.
func (r *Ring) add(event Event) {
	if len(r.events) < RingCapacity {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % RingCapacity
}

// Events returns the events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.oldest:]...)
	return append(events, r.events[:r.oldest]...)
}

// encodableFields returns a copy of fields that shares no memory with it and
// can be encoded.
func encodableFields(fields map[string]any) map[string]any {
	if len(fields) == 0 {
		return nil
	}
	copied := maps.Clone(fields)
	for name, value := range copied {
		switch value.(type) {
		case nil, string, bool, int, int32, int64, uint, uint32, uint64:
		default:
			copied[name] = fmt.Sprint(value)
		}
	}
	return copied
}

// Merge merges the logs of several processes. An event that could have caused
// another one comes before it, provided that each message between processes
// carried a clock reading. An event that is in several logs appears once.
func Merge(logs ...[]Event) []Event {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool { return compareEvents(a, b) == 0 })
}

func compareEvents(a, b Event) int {
	return cmp.Or(Compare(a.Time, b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Number, b.Number))
}
