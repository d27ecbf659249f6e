package route

import "sync/atomic"

// Current holds the table in force. It never goes back to an older version in
// the life of a process. It is safe for concurrent use.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil before the first one.
func (c *Current) Load() *Table { return c.table.Load() }

// SetIfNewer puts a configuration in force unless a newer or equal one is, and
// reports whether it did.
func (c *Current) SetIfNewer(config *Config) bool {
	fresh := NewTable(config)
	for {
		old := c.table.Load()
		if old != nil && !newer(config, old.Config) {
			return false
		}
		if c.table.CompareAndSwap(old, fresh) {
			return true
		}
	}
}

// newer compares by version. Revisions alone would put a version in force
// again that the store wrote twice.
func newer(a, b *Config) bool { return a.Version > b.Version }
