package feed

import (
	"github.com/go-faster/errors"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// decoder decodes the entries of an entryCache. It caches the results, because
// most entries do not change from one read to the next.
type decoder[T any] struct {
	decode func(platform.Entry) (T, error)
	logger *eventlog.Logger
	cache  map[string]decodedEntry[T]
}

// decodedEntry is the result of decoding one revision of an entry.
type decodedEntry[T any] struct {
	revision int64
	value    T
	valid    bool
}

// reset forgets the decoded entries, because another era gives the same revisions to
// other values.
func (d *decoder[T]) reset() { d.cache = nil }

// decodeAll returns the values of all valid entries.
func (d *decoder[T]) decodeAll(entries map[string]platform.Entry) []T {
	next := make(map[string]decodedEntry[T], len(entries))
	values := make([]T, 0, len(entries))
	for key, e := range entries {
		entry, cached := d.cache[key]
		if !cached || entry.revision != e.Revision {
			entry = d.decodeEntry(e)
		}
		next[key] = entry
		if entry.valid {
			values = append(values, entry.value)
		}
	}
	d.cache = next
	return values
}

// decodeEntry decodes an entry and logs a decoding error.
func (d *decoder[T]) decodeEntry(e platform.Entry) decodedEntry[T] {
	value, err := d.decodeSafely(e)
	if err != nil {
		d.logger.Log(EventEntryUnreadable, eventlog.Fields{
			"key": e.Key, "revision": e.Revision, "error": err.Error(),
		})
	}
	return decodedEntry[T]{revision: e.Revision, value: value, valid: err == nil}
}

// decodeSafely returns a panic of decode as an error, so that an entry of another
// writer cannot end the process.
func (d *decoder[T]) decodeSafely(e platform.Entry) (value T, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("decoding failed unexpectedly: %v", p)
		}
	}()
	return d.decode(e)
}
