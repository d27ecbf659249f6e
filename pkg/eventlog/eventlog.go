// Package eventlog writes numbered log events with logrus. Each event has a
// stable number and name, which docs/EVENTS.md lists.
package eventlog

import (
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is a kind of log event, an entry of the catalogue.
type Event struct {
	Number int
	Name   string
	Level  logrus.Level
	Help   string // what happened and what an operator can do
}

// Fields are the structured values of an event.
type Fields = logrus.Fields

var catalogue = map[int]Event{}

// Define adds an event to the catalogue. It panics on a duplicate number,
// since numbers are fixed at compile time.
func Define(number int, name string, level logrus.Level, help string) Event {
	if old, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event number %d is used by both %q and %q", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Help: help}
	catalogue[number] = e
	return e
}

// Catalogue returns all defined events ordered by number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Recorder stores events for the time line.
type Recorder interface {
	Record(number int, name string, fields map[string]any)
}

// Timestamp is a reading of a recorder's clock. The zero value means none.
type Timestamp struct{ Value any }

// TimestampRecorder is a Recorder that can record an event with an earlier
// timestamp.
type TimestampRecorder interface {
	// Now returns the current time of the recorder's clock.
	Now() Timestamp
	// RecordAt records an event with a timestamp that Now has returned.
	RecordAt(at Timestamp, number int, name string, fields map[string]any)
}

// Logger writes events to a logrus logger and to a time line recorder.
type Logger struct {
	log      logrus.FieldLogger
	recorder Recorder
}

// New returns a Logger. recorder may be nil.
func New(log logrus.FieldLogger, recorder Recorder) *Logger {
	return &Logger{log: log, recorder: recorder}
}

// Discard returns a Logger that drops all events.
func Discard() *Logger { return &Logger{} }

// Now returns the current time of the recorder's clock, for a later call of
// LogAt.
func (l *Logger) Now() Timestamp {
	if l == nil {
		return Timestamp{}
	}
	if timestamps, ok := l.recorder.(TimestampRecorder); ok {
		return timestamps.Now()
	}
	return Timestamp{}
}

// LogAt writes an event that happened between the time at and now. The time
// line shows it at the time at, because other processes may already have
// logged its effects.
func (l *Logger) LogAt(at Timestamp, e Event, fields Fields) {
	if l == nil {
		return
	}
	if timestamps, ok := l.recorder.(TimestampRecorder); ok && at.Value != nil {
		timestamps.RecordAt(at, e.Number, e.Name, fields)
	} else if l.recorder != nil {
		l.recorder.Record(e.Number, e.Name, fields)
	}
	l.write(e, fields)
}

// Log writes an event.
func (l *Logger) Log(e Event, fields Fields) { l.LogAt(Timestamp{}, e, fields) }

func (l *Logger) write(e Event, fields Fields) {
	if l.log == nil {
		return
	}
	entry := l.log.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case logrus.ErrorLevel:
		entry.Error(e.Name)
	case logrus.WarnLevel:
		entry.Warn(e.Name)
	case logrus.DebugLevel:
		entry.Debug(e.Name)
	default:
		entry.Info(e.Name)
	}
}
