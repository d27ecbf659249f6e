package feed

import (
	"bytes"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

const (
	// newEraPause is the base of the pause before all entries of a new era are read,
	// because the watches of all VMs end at the same time.
	newEraPause = 200 * time.Millisecond
	// rewriteGrace is the time after the store has come back from an older copy within
	// which operators and targets write again what it has lost. It is the time that the
	// platform states for records that expired while the store was away.
	rewriteGrace = 2 * time.Second
)

// errOtherEra means that the changes of a watch do not follow the copy, because the
// store has come back from an older copy of itself since.
var errOtherEra = errors.New("the store is in another era than the copy of this VM; read all entries again")

// lastEra returns the latest era that a client of the store has been told, or 0 for a
// client that does not know any.
func lastEra(client any) uint64 {
	if source, ok := client.(platform.EraSource); ok {
		return source.LastEra()
	}
	return 0
}

// Era returns the era of the copy, or 0 if it is not known.
func (f *follower) Era() uint64 { return f.Position().Era }

// storeIsInNewEra reports whether a failed call shows that the store is in a later
// era than the copy.
func (f *follower) storeIsInNewEra(err error) bool {
	known := f.Era()
	return err != nil && known != 0 && lastEra(f.cfg.feed) > known
}

// isFromEarlierEra reports whether a state of the store belongs to an era before that
// of the copy. The caller holds the lock.
func (f *follower) isFromEarlierEra(p platform.Position) bool {
	own := f.cache.position()
	return !p.SameEra(own) && p.Before(own)
}

// isOutdated reports whether the copy of a reader belongs to an era before that of the
// copy of this VM, which then asks the store.
func (f *follower) isOutdated(d Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isFromEarlierEra(d.position())
}

// update changes the cache and calls onNewEra if that led to a new era. It returns
// the result of change. The caller holds the lock.
func (f *follower) update(change func() bool) bool {
	previous, before := f.cache.entries, f.cache.position()
	if !change() {
		return false
	}
	if f.cache.position().SameEra(before) {
		return true
	}
	missing, changed := compareEntries(previous, f.cache.entries)
	f.cfg.logger.Log(EventStoreEraChanged, eventlog.Fields{
		"dependency": f.cfg.name, "from": before.Era, "to": f.cache.era, "revision_before": before.Revision,
		"revision": f.cache.revision, "missing": missing, "changed": changed, "source": string(f.source),
	})
	if f.cfg.onNewEra != nil {
		f.cfg.onNewEra()
	}
	return true
}

// compareEntries returns how many of the previous entries are missing, and how many
// have another value.
func compareEntries(previous, current map[string]platform.Entry) (missing, changed int) {
	for key, old := range previous {
		e, exists := current[key]
		switch {
		case !exists:
			missing++
		case !bytes.Equal(e.Value, old.Value):
			changed++
		}
	}
	return missing, changed
}
