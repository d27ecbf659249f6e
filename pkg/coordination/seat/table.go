// Package seat manages the seats of one VM. A region has a fixed number of
// seats; the holder of a seat owns the targets that hash to it and a share of
// the region's limits. A seat has at most one holder at a time: the table of a
// region is one key of the platform and changes only by compare-and-swap, a VM
// uses its seats only while its last confirmed renewal is younger than
// ValidityPeriod, and no other VM takes a seat over before the holder has ended
// or has stopped using it.
//
// A VM claims a seat when the seat is free, when its holder was an earlier
// process on the VM's own address, or when its holder answers no probe and
// either has vanished from the VM list or has had an expired lease for longer
// than ValidityPeriod.
package seat

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

// Prefixes of the platform keys of this package.
const (
	tablePrefix  = "seats/"
	memberPrefix = "members/"
)

// Holder identifies the process that holds a seat. The zero Holder holds none.
type Holder struct {
	Address     string // peer address
	Incarnation uint64
}

// Seat is one entry of a Table.
type Seat struct {
	Holder Holder
	// NeedsRecoveryWait is set on a free seat that was released before the
	// recovery wait of its last holder was over.
	NeedsRecoveryWait bool `json:"Recover"`
}

// Free reports whether the seat has no holder.
func (s Seat) Free() bool { return s.Holder == Holder{} }

// Table maps the seats of one region to their holders. Revision is the
// platform's revision of the key. Tables are not modified once published.
type Table struct {
	Region   string
	Revision int64
	Seats    []Seat
}

func newTable(region string, count int) Table {
	return Table{Region: region, Seats: make([]Seat, count)}
}

// clone returns a copy whose seats may be changed.
func (t Table) clone() Table {
	t.Seats = append([]Seat(nil), t.Seats...)
	return t
}

// counts returns the number of seats by address of the holder.
func (t Table) counts() map[string]int {
	counts := map[string]int{}
	for _, s := range t.Seats {
		if !s.Free() {
			counts[s.Holder.Address]++
		}
	}
	return counts
}

// storedTable is the JSON form of a Table. Each holder is listed once, since it
// holds several seats in a large region.
type storedTable struct {
	Holders           []Holder `json:"holders"`
	Seats             []int    `json:"seats"` // index in Holders, or -1
	NeedsRecoveryWait []int    `json:"recover,omitempty"`
}

// encode returns the value of the table's key.
func (t Table) encode() []byte {
	stored := storedTable{Seats: make([]int, len(t.Seats))}
	holderIndexes := map[Holder]int{}
	for i, s := range t.Seats {
		if s.NeedsRecoveryWait {
			stored.NeedsRecoveryWait = append(stored.NeedsRecoveryWait, i)
		}
		if s.Free() {
			stored.Seats[i] = -1
			continue
		}
		index, ok := holderIndexes[s.Holder]
		if !ok {
			index = len(stored.Holders)
			holderIndexes[s.Holder] = index
			stored.Holders = append(stored.Holders, s.Holder)
		}
		stored.Seats[i] = index
	}
	value, err := json.Marshal(stored)
	if err != nil {
		panic(err) // only integers and strings are encoded
	}
	return value
}

// decodeTable reads the value of a table's key.
func decodeTable(key string, value []byte, revision int64) (Table, error) {
	var stored storedTable
	if err := json.Unmarshal(value, &stored); err != nil {
		return Table{}, errors.Wrapf(err, "seat table %q is damaged; restore it from a backup of the platform", key)
	}
	t := newTable(strings.TrimPrefix(key, tablePrefix), len(stored.Seats))
	t.Revision = revision
	for i, index := range stored.Seats {
		if index >= 0 && index < len(stored.Holders) {
			t.Seats[i].Holder = stored.Holders[index]
		}
	}
	for _, i := range stored.NeedsRecoveryWait {
		if i >= 0 && i < len(t.Seats) {
			t.Seats[i].NeedsRecoveryWait = true
		}
	}
	return t, nil
}

// Member is the record under members/<address>, which exists as long as the
// member's lease.
type Member struct {
	Address     string
	Incarnation uint64
	Region      string
	Zone        string
}

func (m Member) encode() []byte {
	value, err := json.Marshal(m)
	if err != nil {
		panic(err) // only integers and strings are encoded
	}
	return value
}
