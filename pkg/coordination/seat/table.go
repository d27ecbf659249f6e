// Package seat manages the seats of one VM. A region has a fixed number of
// seats, and a seat carries the ownership of targets and shares of limits. A
// seat has one holder at a time: the table of a region is one key of the
// platform and changes only by compare-and-swap, a VM uses its seats only
// while its last confirmed renewal is younger than ValidityPeriod, and no other VM
// takes a seat over before the holder has ended or has stopped using it.
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

// Seat is one entry of a table.
type Seat struct {
	Holder Holder
	// Recover is set on a free seat that was released before the recovery wait
	// of its last holder was over.
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

// storedTable is the JSON form. Holders are listed once, since a large region
// has several seats for each of them.
type storedTable struct {
	Holders []Holder `json:"holders"`
	Seats   []int    `json:"seats"` // index of the holder, or -1
	Recover []int    `json:"recover,omitempty"`
}

// encode returns the value of the table's key.
func (t Table) encode() []byte {
	stored := storedTable{Seats: make([]int, len(t.Seats))}
	index := map[Holder]int{}
	for i, s := range t.Seats {
		if s.NeedsRecoveryWait {
			stored.Recover = append(stored.Recover, i)
		}
		if s.Free() {
			stored.Seats[i] = -1
			continue
		}
		at, ok := index[s.Holder]
		if !ok {
			at = len(stored.Holders)
			index[s.Holder] = at
			stored.Holders = append(stored.Holders, s.Holder)
		}
		stored.Seats[i] = at
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
	for i, at := range stored.Seats {
		if at >= 0 && at < len(stored.Holders) {
			t.Seats[i].Holder = stored.Holders[at]
		}
	}
	for _, i := range stored.Recover {
		if i >= 0 && i < len(t.Seats) {
			t.Seats[i].NeedsRecoveryWait = true
		}
	}
	return t, nil
}

// Member is the record under members/<address>, which lives as long as the
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
