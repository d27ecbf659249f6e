// Package lookup finds the preferred regions of a client and the entry VMs that
// its callers should use.
package lookup

import (
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/state/settings"
)

// Table maps blocks of client addresses to the regions that serve them, in
// order of preference. It is immutable and safe for concurrent use.
type Table struct {
	prefixes bart.Table[uint32] // index into orders
	orders   [][]string         // distinct region orders
}

// BlockError reports a client block that cannot be loaded.
type BlockError struct {
	Prefix string
	Err    error
}

// Error names the block and the remedy.
func (e *BlockError) Error() string {
	return "client block " + e.Prefix + ": " + e.Err.Error() + "; write it as address/bits with at least one region"
}

// Unwrap returns the cause.
func (e *BlockError) Unwrap() error { return e.Err }

// NewTable builds a table. Blocks with the same region order share its storage.
func NewTable(blocks []settings.ClientBlock) (*Table, error) {
	t := &Table{}
	indexes := map[string]uint32{}
	for _, b := range blocks {
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			return nil, &BlockError{Prefix: b.Prefix, Err: err}
		}
		if len(b.Regions) == 0 {
			return nil, &BlockError{Prefix: b.Prefix, Err: errors.New("no region is given")}
		}
		t.prefixes.Insert(prefix.Masked(), t.orderIndex(indexes, b.Regions))
	}
	return t, nil
}

// orderIndex returns the index of a region order in orders and appends the
// order if it is new.
func (t *Table) orderIndex(indexes map[string]uint32, regions []string) uint32 {
	key := strings.Join(regions, "\x00")
	if i, ok := indexes[key]; ok {
		return i
	}
	i := uint32(len(t.orders))
	t.orders = append(t.orders, append([]string(nil), regions...))
	indexes[key] = i
	return i
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.prefixes.Size() }

// Lookup returns the regions of the longest block that contains addr, or nil.
// The result is shared and must not be modified.
func (t *Table) Lookup(addr netip.Addr) []string {
	i, ok := t.prefixes.Lookup(addr.Unmap())
	if !ok {
		return nil
	}
	return t.orders[i]
}

// blockAndRegions returns the longest block that contains addr with its
// regions, or the address itself as a block without regions.
func (t *Table) blockAndRegions(addr netip.Addr) (netip.Prefix, []string) {
	addr = addr.Unmap()
	host := netip.PrefixFrom(addr, addr.BitLen())
	prefix, i, ok := t.prefixes.LookupPrefixLPM(host)
	if !ok {
		return host, nil
	}
	return prefix, t.orders[i]
}

// BlockOf returns the longest block that contains addr, or "" if there is none.
func (t *Table) BlockOf(addr netip.Addr) string {
	prefix, _ := t.blockAndRegions(addr)
	if !prefix.IsValid() {
		return ""
	}
	return prefix.String()
}
