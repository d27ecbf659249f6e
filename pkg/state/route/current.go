package route

import "sync/atomic"

// CurrentTable holds the routing table in force. It never returns to an older
// version while the process runs. It is safe for concurrent use.
type CurrentTable struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil before the first one.
func (c *CurrentTable) Load() *Table { return c.table.Load() }

// SetIfNewer puts a configuration in force if its version is higher than that of
// the current one, and reports whether it did.
func (c *CurrentTable) SetIfNewer(config *Config) bool {
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

// newer reports whether the version of a is higher than that of b. Revisions are
// not compared, because a version that is written to the store twice has two
// revisions and would come into force again.
func newer(a, b *Config) bool { return a.Version > b.Version }
