package feed

import (
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// decoder decodes the entries of a mirror, each once a revision, because most
// of them do not change from one reading to the next.
type decoder[T any] struct {
	decode func(platform.Entry) (T, error)
	logger *eventlog.Logger
	known  map[string]decodedEntry[T]
}

// decodedEntry is an entry as it reads.
type decodedEntry[T any] struct {
	revision int64
	value    T
	readable bool
}

// all returns what the readable entries hold.
func (d *decoder[T]) all(entries map[string]platform.Entry) []T {
	next := make(map[string]decodedEntry[T], len(entries))
	values := make([]T, 0, len(entries))
	for key, e := range entries {
		entry, known := d.known[key]
		if !known || entry.revision != e.Revision {
			entry = d.read(e)
		}
		next[key] = entry
		if entry.readable {
			values = append(values, entry.value)
		}
	}
	d.known = next
	return values
}

// read decodes an entry. It logs one that cannot be read.
func (d *decoder[T]) read(e platform.Entry) decodedEntry[T] {
	value, err := d.decode(e)
	if err != nil {
		d.logger.Log(EventEntryUnreadable, eventlog.Fields{
			"key": e.Key, "revision": e.Revision, "error": err.Error(),
		})
	}
	return decodedEntry[T]{revision: e.Revision, value: value, readable: err == nil}
}
