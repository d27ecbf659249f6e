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

// Event is one entry of the time line.
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
	next   int // index of the oldest event once the ring is full
}

var (
	_ eventlog.Recorder          = (*Ring)(nil)
	_ eventlog.TimestampRecorder = (*Ring)(nil)
)

// NewRing returns an empty ring. process names the origin of the events and
// should differ between incarnations, such as "127.0.0.1:7201#5".
func NewRing(process string, clock *Clock) *Ring {
	return &Ring{clock: clock, process: process}
}

// Record implements eventlog.Recorder. It copies fields; values other than
// numbers, strings and booleans are kept as text.
func (r *Ring) Record(number int, name string, fields map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(Event{Time: r.clock.Now(), Process: r.process, Number: number, Name: name, Fields: plain(fields)})
}

// Now implements eventlog.TimestampRecorder.
func (r *Ring) Now() eventlog.Timestamp { return eventlog.Timestamp{Value: r.clock.Now()} }

// RecordAt implements eventlog.TimestampRecorder.
func (r *Ring) RecordAt(at eventlog.Timestamp, number int, name string, fields map[string]any) {
	moment, ok := at.Value.(protocol.Timestamp)
	if !ok {
		r.Record(number, name, fields)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(Event{Time: moment, Process: r.process, Number: number, Name: name, Fields: plain(fields)})
}

// add keeps an event. It runs under the lock.
func (r *Ring) add(event Event) {
	if len(r.events) < RingCapacity {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % RingCapacity
}

// Events returns the events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

// plain copies fields into a form that later changes do not affect and that
// can be encoded.
func plain(fields map[string]any) map[string]any {
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

// Merge joins the logs of several processes. An event that could have caused
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
